//! How a leader stops: it hands over to a peer that can do more, steps down, or learns that another node leads.

use super::role::{Role, Term};
use super::{Action, Leadership, Message};
use crate::fencing_token::FencingToken;
use crate::limits::{self, shortened};
use crate::time::Timestamp;
use tracing::{info, warn};

/// Whether workers reach this leader.
#[derive(Debug, Default)]
pub(super) struct WorkerReachability {
    /// A worker has sent this leader a heartbeat since it was elected.
    reached: bool,
    /// Since when no worker reaches it, although workers reach a peer or no peer is in contact at all.
    unreached_since: Option<Timestamp>,
}

impl WorkerReachability {
    /// This node was elected: no worker has reached it as a leader yet.
    pub(super) fn begin_term(&mut self) {
        self.reached = false;
    }

    fn clear(&mut self) {
        self.unreached_since = None;
    }
}

impl Leadership {
    /// A leader that no worker reaches is of no use to them, whatever else it reaches: it hands over, or steps down if
    /// no peer is in contact.
    pub(super) fn check_reachability(&mut self, term: Term, now: Timestamp, actions: &mut Vec<Action>) {
        let first_alive = self.peers.first_alive(now);
        let isolated = !self.peers.is_empty() && first_alive.is_none();
        // When several machines fall silent at once, this node is cut off, not they. A peer should be ready before they
        // have given up on this node and report to it.
        let many_machines = self.status.machines >= limits::MIN_CORRELATED_SILENCE;
        let successor = self.peers.reached_by_most_workers(now).or(first_alive.filter(|_| many_machines));
        self.reachability.reached |= self.status.workers > 0;
        // Before any worker has reached this leader, the first ones may well report to a peer first.
        let unreached =
            self.reachability.reached && self.status.workers == 0 && (successor.is_some() || isolated);
        if !unreached || now < term.elected_at + limits::GRANT_DURATION {
            self.reachability.clear();
            return;
        }
        let since = *self.reachability.unreached_since.get_or_insert(now);
        if now < since + limits::HEARTBEAT_INTERVAL {
            return;
        }
        if let Some(successor) = successor {
            info!(
                successor = self.peers.name(successor),
                "leadership handed over: workers reach only a peer"
            );
            self.hand_over(term.token, successor, now, actions);
        } else {
            info!("leadership released: unreachable by peers and workers");
            self.step_down(now, actions);
            self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
        }
    }

    /// Steps down in favour of a peer.
    pub(super) fn hand_over(
        &mut self,
        token: FencingToken,
        successor: usize,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.broadcast(Message::Release { token, successor }, actions);
        self.step_down(now, actions);
        self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
    }

    /// Becomes a follower. A former leader may keep its workers alive for a while, as any leaseholder.
    pub(super) fn step_down(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(term) = self.role.term().copied() {
            actions.extend(term.lease.map(|lease| Action::Release { lease }));
            actions.push(Action::Deposed { keep_until: self.keep_alive_after_term(term, now) });
        }
        self.role = Role::Follower;
        self.followed = None;
        self.reachability.clear();
        self.lock.probe_soon(now);
        self.peers.clear_grants();
    }

    /// Counted from the last time at which the leader surely had authority: the process may have been suspended since.
    fn keep_alive_after_term(&self, term: Term, now: Timestamp) -> Timestamp {
        let granted_until = self.peers.granted_until(self.commitments.own_vote_counts(now));
        let acted_until = granted_until.max(term.lease_until).min(now);
        (acted_until + shortened(self.longest_autonomy)).min(self.cancellations.keep_alive_until())
    }

    /// A worker, a peer or the epoch record has shown a fencing token. A leader with a lower one steps down.
    #[must_use = "the actions are to be carried out"]
    pub fn observe_token(&mut self, token: FencingToken, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.highest_token = self.highest_token.max(token);
        if self.role.term().is_some_and(|term| term.token < token) {
            warn!(%token, "higher fencing token observed");
            self.step_down(now, &mut actions);
        }
        actions
    }
}
