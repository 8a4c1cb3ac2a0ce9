//! Computes until when this node may act as the leader or keep workers alive, and how long leaseholders may
//! respond without it. Called by the controller's event loop and by the other modules of leadership.

use super::role::Role;
use super::Leadership;
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::time::Timestamp;
use std::time::Duration;

impl Leadership {
    /// Until when the grants of a majority run, at most one grant duration after `now`. The majority includes
    /// this node where its own vote counts.
    fn granted_until(&self, now: Timestamp) -> Timestamp {
        let own_vote_counts = self.commitments.own_vote_counts(now);
        self.peers.granted_until(own_vote_counts).min(now + limits::GRANT_DURATION)
    }

    /// The fencing token with which this node may act as the leader at `now`. None: it may not.
    pub fn authority(&self, now: Timestamp) -> Option<FencingToken> {
        let term = self.role.term()?;
        (now < self.authority_until(now)).then_some(term.token)
    }

    /// Until when this node may act as the leader, by the proofs that it has at `now`; zero: it does not
    /// lead. `limits::AUTHORITY_MARGIN` is already subtracted.
    pub fn authority_until(&self, now: Timestamp) -> Timestamp {
        let Some(term) = self.role.term() else { return Timestamp::ZERO };
        let peer_proof_until = self.granted_until(now).min(self.peer_authority_until(term.lease_until));
        peer_proof_until.max(term.lease_until) - limits::AUTHORITY_MARGIN
    }

    /// The fencing token under which this node, in keep-alive mode, may renew worker leases. None: it may
    /// not.
    pub fn keep_alive_token(&self, now: Timestamp) -> Option<FencingToken> {
        let Role::KeepAlive { token } = self.role else { return None };
        (now + limits::AUTHORITY_MARGIN < self.keep_alive_until(now)).then_some(token)
    }

    /// Until when a node in keep-alive mode may keep workers alive. Cancellations may not reach this node:
    /// without the bound by the cancellation log, a zone cut off with a majority in it would keep the tasks
    /// of a cancelled job alive for as long as it is cut off.
    fn keep_alive_until(&self, now: Timestamp) -> Timestamp {
        let peer_proof_until = self.granted_until(now).max(self.votes_until(now));
        peer_proof_until.min(self.cancellations.responses_allowed_until())
    }

    /// Until when a leader may act by the grants of its peers alone. Its readings of the key-value store
    /// prove cancellations known at most up to the last confirmed renewal of the lock lease, because a peer
    /// takes over by the time for which it has seen the lock free.
    fn peer_authority_until(&self, lease_until: Timestamp) -> Timestamp {
        let lease_confirmed_at = lease_until - limits::LOCK_LEASE;
        let store_known_until = self.cancellations.known_until_by_store().min(lease_confirmed_at);
        let known_until = store_known_until.max(self.cancellations.known_until_by_members());
        self.cancellations.keep_alive_limit(known_until)
    }

    /// How long a leaseholder may respond to workers without the leader after this leader received its shard
    /// heartbeat; zero: this node does not lead.
    pub fn shard_lease(&self, now: Timestamp) -> Duration {
        if !self.is_leader() {
            return Duration::ZERO;
        }
        self.cancellations.responses_allowed_until().since(now).min(self.longest_autonomy)
    }

    /// The last time at which a node in keep-alive mode may have kept workers alive beside this leader: `now`
    /// while the leader has no grants of a majority, otherwise the time at which it got them back.
    pub fn others_kept_alive_until(&self, now: Timestamp) -> Timestamp {
        let has_majority = self.peers.granted_until(self.commitments.own_vote_counts(now)) > now;
        if has_majority {
            self.others_kept_alive_until
        } else {
            now
        }
    }

    /// The time since the key-value store last answered this node, as it is reported to the peer `to`. A peer
    /// of an earlier version concludes that there is no recent cancellation once all members report the store
    /// as lost. Unless that conclusion is right, such a peer gets an age below `limits::STORE_LOST_TIMEOUT`.
    pub fn reported_store_answer_age(
        &self,
        now: Timestamp,
        to: usize,
        store_answer_age: Duration,
    ) -> Duration {
        let peer_attests = self.peers.get(to).status().gives_attestations;
        if peer_attests || self.cancellations.has_confirmed_none_recently(now) {
            store_answer_age
        } else {
            store_answer_age.min(limits::STORE_LOST_TIMEOUT - Duration::from_micros(1))
        }
    }
}
