//! Handles the key-value store's responses to probes, takeovers and renewals of the lock lease. Called by the
//! controller's event loop.

use super::role::{Role, TakeoverProof, Term};
use super::{Action, Leadership, StoreResponse};
use crate::limits::{self, minus_clock_drift};
use crate::protocol::records::Epoch;
use crate::time::Timestamp;
use tracing::info;

/// A takeover transaction that was committed.
struct CommittedTakeover {
    /// Id of the lock lease.
    lease: u64,
    /// Version of the epoch record.
    version: u64,
    /// When the lease was requested.
    lease_sent: Timestamp,
}

impl Leadership {
    /// Handles the outcome of a request that an earlier action asked for.
    #[must_use = "the actions are to be carried out"]
    pub fn handle_store_response(&mut self, now: Timestamp, response: StoreResponse) -> Vec<Action> {
        let mut actions = Vec::new();
        match response {
            StoreResponse::Probed { sent, epoch, locked } => {
                self.handle_probe(now, sent, epoch, locked, &mut actions)
            }
            StoreResponse::TakeoverCommitted { lease, version, lease_sent } => {
                let takeover = CommittedTakeover { lease, version, lease_sent };
                self.handle_committed_takeover(now, takeover, &mut actions);
            }
            StoreResponse::TakeoverFailed { lease } => self.handle_failed_takeover(now, lease, &mut actions),
            StoreResponse::Renewed { lease, sent, alive: true } => self.extend_lock_lease(lease, sent),
            StoreResponse::Renewed { lease, sent: _, alive: false } => self.end_lock_lease(now, lease),
            // `Failed` does not tell which request failed. If it was not the probe under way, the next probe
            // may be sent before that one is answered.
            StoreResponse::Failed => self.lock.end_probe(),
        }
        actions
    }

    fn handle_committed_takeover(
        &mut self,
        now: Timestamp,
        takeover: CommittedTakeover,
        actions: &mut Vec<Action>,
    ) {
        let Role::TakingOver { token, proof } = self.role else {
            actions.push(Action::RevokeLease { lease: takeover.lease });
            return;
        };
        let lease_until = takeover.lease_sent + minus_clock_drift(limits::LOCK_LEASE);
        // The response must have arrived before the votes expire.
        let proof_holds = match proof {
            TakeoverProof::MajorityVotes => self.votes_until(now) > now,
            TakeoverProof::LedBeforeRestart | TakeoverProof::LockFreeLongEnough => true,
        };
        if !proof_holds || lease_until <= now + limits::AUTHORITY_MARGIN {
            info!("takeover abandoned: votes or lock lease expired before the store's response arrived");
            self.role = Role::Follower;
            actions.push(Action::RevokeLease { lease: takeover.lease });
            return;
        }
        info!(%token, version = takeover.version, "leadership acquired");
        let term = Term { token, lease: Some(takeover.lease), lease_until, elected_at: now };
        self.begin_term(now, term, takeover.version);
        actions.push(Action::Elected { token, version: takeover.version });
    }

    fn begin_term(&mut self, now: Timestamp, term: Term, epoch_version: u64) {
        let node = self.peers.local_name().to_string();
        let epoch = Epoch { token: term.token, node, incarnation: self.incarnation };
        self.lock.record_own_epoch(epoch, epoch_version);
        self.highest_token = self.highest_token.max(term.token);
        self.role = Role::Leader(term);
        self.peers.clear_grants_and_votes();
        self.commitments.record_own_election();
        self.may_resume = false;
        self.reachability.begin_term();
        self.last_without_majority_at = now;
        self.followed = None;
        self.next_renewal_at = now + limits::LOCK_RENEWAL_INTERVAL;
        self.next_heartbeat_at = now;
    }

    fn handle_failed_takeover(&mut self, now: Timestamp, lease: Option<u64>, actions: &mut Vec<Action>) {
        actions.extend(lease.map(|lease| Action::RevokeLease { lease }));
        if self.role.is_taking_over() {
            self.role = Role::Follower;
            self.lock.make_probe_due(now);
        }
    }

    /// This node's term, if it leads under this lock lease.
    fn term_with_lease(&mut self, lease: u64) -> Option<&mut Term> {
        match &mut self.role {
            Role::Leader(term) => Some(term).filter(|term| term.lease == Some(lease)),
            Role::Follower | Role::TakingOver { .. } | Role::KeepAlive { .. } => None,
        }
    }

    fn extend_lock_lease(&mut self, lease: u64, renewal_sent: Timestamp) {
        if let Some(term) = self.term_with_lease(lease) {
            let until = renewal_sent + minus_clock_drift(limits::LOCK_LEASE);
            term.lease_until = term.lease_until.max(until);
        }
    }

    /// Handles the expiry of the lock lease. The leader may go on with the grants of its peers, but other
    /// nodes may take the lock.
    fn end_lock_lease(&mut self, now: Timestamp, lease: u64) {
        if let Some(term) = self.term_with_lease(lease) {
            term.lease = None;
            self.lock.make_probe_due(now);
        }
    }

    fn handle_probe(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        epoch: Option<(Epoch, u64)>,
        locked: bool,
        actions: &mut Vec<Action>,
    ) {
        self.lock.end_probe();
        if self.lock.is_newer_than(epoch.as_ref()) {
            return;
        }
        if let Some((epoch, _)) = &epoch {
            // The epoch may name another node: then this leader has been replaced.
            actions.extend(self.observe_token(epoch.token, now));
        }
        self.lock.record_probe(now, sent, epoch, locked);
        if self.role.term().is_some_and(|term| term.lease.is_none()) {
            // The lock lease has expired while grants still run. If the lock is free, the leader steps down
            // and campaigns at once, to take the lock again under a new token.
            if !locked {
                self.step_down(now, actions);
                self.next_campaign_at = now;
            }
            return;
        }
        self.try_resume(actions);
    }

    /// Takes over without votes if the epoch names an earlier process of this node: the last leader was that
    /// process, and it has ended, so no other node acts.
    fn try_resume(&mut self, actions: &mut Vec<Action>) {
        let Some(record) = self.lock.epoch() else { return };
        let is_previous_incarnation =
            record.epoch.node == self.peers.local_name() && record.epoch.incarnation != self.incarnation;
        if is_previous_incarnation && self.may_resume && self.role.is_follower() {
            self.start_takeover(record.version, TakeoverProof::LedBeforeRestart, actions);
        }
    }
}
