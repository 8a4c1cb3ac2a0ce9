//! End of a leader's term: handover to a peer that reaches the key-value store or the workers, stepping down,
//! and the observation of a higher fencing token. Called on each tick and when messages or store responses
//! arrive; the controller passes in the tokens that workers show.

use super::role::{Role, Term};
use super::{Action, Leadership, Message};
use crate::fencing_token::FencingToken;
use crate::limits::{self, minus_clock_drift};
use crate::time::Timestamp;
use tracing::{info, warn};

/// Whether workers reach this leader.
#[derive(Debug, Default)]
pub(super) struct WorkerReachability {
    /// Whether a worker has sent this leader a heartbeat since it was elected.
    reached: bool,
    /// Since when this leader has had reason to end its term: no worker reaches it any more, and either a
    /// peer could lead instead or no peer is in contact (`check_reachability`). None: it has no reason.
    unreached_since: Option<Timestamp>,
}

impl WorkerReachability {
    /// Starts a new term, in which no worker has reached this leader yet.
    pub(super) fn begin_term(&mut self) {
        self.reached = false;
    }

    fn clear(&mut self) {
        self.unreached_since = None;
    }
}

impl Leadership {
    /// Hands over if no worker reaches this leader any more, or steps down if no peer is in contact either. A
    /// leader that gets no worker heartbeats is of no use, even if it reaches the key-value store or peers.
    pub(super) fn check_reachability(&mut self, term: Term, now: Timestamp, actions: &mut Vec<Action>) {
        let first_alive = self.peers.first_alive(now);
        let is_isolated = !self.peers.is_empty() && first_alive.is_none();
        // If none of several ready machines sends heartbeats any more, the fault is likely to be this node's.
        // Then any peer in contact should lead, before the workers stop trying this node and report to that
        // peer.
        let many_machines = self.status.ready_machines >= limits::MIN_CORRELATED_SILENT_MACHINES;
        let successor = self.peers.reached_by_most_workers(now).or(first_alive.filter(|_| many_machines));
        self.reachability.reached |= self.status.worker_heartbeats > 0;
        // Workers may not have found a new leader yet and still report to a peer, so silence is a sign of a
        // fault only after a first worker has reached this leader.
        let is_unreached = self.reachability.reached
            && self.status.worker_heartbeats == 0
            && (successor.is_some() || is_isolated);
        if !is_unreached || now < term.elected_at + limits::GRANT_DURATION {
            self.reachability.clear();
            return;
        }
        let since = *self.reachability.unreached_since.get_or_insert(now);
        if now < since + limits::PEER_HEARTBEAT_INTERVAL {
            return;
        }
        if let Some(successor) = successor {
            info!(
                successor = self.peers.name(successor),
                "leadership handed over: no worker reaches this leader"
            );
            self.hand_over(term.token, successor, now, actions);
        } else {
            info!("leadership released: neither workers nor peers reach this leader");
            self.step_down(now, actions);
            self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
        }
    }

    /// Steps down and names the peer that should lead next.
    pub(super) fn hand_over(
        &mut self,
        token: FencingToken,
        successor: usize,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.broadcast(Message::HandOver { token, successor }, actions);
        self.step_down(now, actions);
        self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
    }

    /// Becomes a follower. Like a follower with a shard lease (`lease::shard`), a former leader may keep its
    /// workers alive for a limited time.
    pub(super) fn step_down(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(term) = self.role.term().copied() {
            actions.extend(term.lease.map(|lease| Action::RevokeLease { lease }));
            actions.push(Action::Deposed { keep_alive_until: self.keep_alive_after_term(term, now) });
        }
        self.role = Role::Follower;
        self.followed = None;
        self.reachability.clear();
        self.lock.make_probe_due(now);
        self.peers.clear_grants();
    }

    /// Until when this node may keep its workers alive after its term. Counted from the last time at which it
    /// surely had authority, because the process may have been suspended since.
    fn keep_alive_after_term(&self, term: Term, now: Timestamp) -> Timestamp {
        let granted_until = self.peers.granted_until(self.commitments.counts_itself(now));
        let acted_until = granted_until.max(term.lease_until).min(now);
        (acted_until + minus_clock_drift(self.longest_autonomy))
            .min(self.cancellations.may_keep_alive_until())
    }

    /// Records a fencing token that a worker, a peer or the epoch record has shown. A leader with a lower
    /// token steps down.
    #[must_use = "the actions are to be carried out"]
    pub fn observe_token(&mut self, token: FencingToken, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.highest_token = self.highest_token.max(token);
        if self.role.term().is_some_and(|term| term.token < token) {
            warn!(%token, "leadership lost: higher fencing token observed");
            self.step_down(now, &mut actions);
        }
        actions
    }
}
