//! Computes until when this node may act as the leader or keep workers alive, and how long followers with a
//! shard lease may respond to workers without this leader. Called by the controller's event loop and by the
//! other modules of leadership.

use super::role::Role;
use super::Leadership;
use crate::fencing_token::FencingToken;
use crate::lease::cancellation_log::{EpochLeader, EpochReading};
use crate::limits;
use crate::time::Timestamp;
use std::time::Duration;

impl Leadership {
    /// Until when the grants of a majority run. The majority includes this node if it may count itself.
    /// Capped at one grant duration after `now`: for the only node of a cluster, which needs no grants,
    /// `Peers::granted_until` returns [`Timestamp::MAX`].
    fn capped_granted_until(&self, now: Timestamp) -> Timestamp {
        let counts_itself = self.commitments.counts_itself(now);
        self.peers.granted_until(counts_itself).min(now + limits::GRANT_DURATION)
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
        let authority_by_grants_until =
            self.capped_granted_until(now).min(self.cancellation_bound_without_lock(term.lease_until));
        authority_by_grants_until.max(term.lease_until) - limits::AUTHORITY_MARGIN
    }

    /// Whether this node may act as the leader and start tasks at `now`. A leader that can't rule out that another
    /// node has confirmed a cancellation unknown to it goes on without starts.
    pub fn may_start_tasks(&self, now: Timestamp) -> bool {
        let starts_until = self.cancellations.may_start_tasks_until();
        self.authority(now).is_some() && now + limits::AUTHORITY_MARGIN < starts_until
    }

    /// Version of the epoch record as last read or written; None: not known, or this node has no peers, which then
    /// need not be informed of requests to cancel.
    pub fn known_epoch_version(&self) -> Option<u64> {
        Some(self.lock.epoch_version()).filter(|version| *version > 0 && !self.peers.is_empty())
    }

    /// The node that the epoch record names, by the last reading. A node that has authority to lead knows that
    /// the record names it.
    pub(super) fn epoch_reading(&self, now: Timestamp) -> EpochReading {
        if self.authority(now).is_some() {
            return EpochReading { requested_at: now, leader: EpochLeader::LocalNode };
        }
        let leader = match self.lock.epoch() {
            Some(record) => self.epoch_leader(&record.epoch.node),
            None => EpochLeader::Nobody,
        };
        EpochReading { requested_at: self.lock.read_at(), leader }
    }

    fn epoch_leader(&self, node_name: &str) -> EpochLeader {
        if node_name == self.peers.local_name() {
            return EpochLeader::LocalNode;
        }
        let member = self.peers.others().find(|node| self.peers.name(*node) == node_name);
        member.map_or(EpochLeader::Unknown, EpochLeader::Member)
    }

    /// The fencing token under which this node, in keep-alive mode, may renew worker leases. None: it may
    /// not.
    pub fn keep_alive_token(&self, now: Timestamp) -> Option<FencingToken> {
        let Role::KeepAlive { token } = self.role else { return None };
        (now + limits::AUTHORITY_MARGIN < self.keep_alive_mode_until(now)).then_some(token)
    }

    /// Until when a node in keep-alive mode may keep workers alive. Cancellations might fail to reach this
    /// node: without the bound by the cancellation log, a zone cut off with a majority in it would keep the
    /// tasks of a cancelled job alive for as long as it is cut off. `limits::AUTHORITY_MARGIN` is not
    /// subtracted yet.
    fn keep_alive_mode_until(&self, now: Timestamp) -> Timestamp {
        let majority_until = self.capped_granted_until(now).max(self.votes_until(now));
        majority_until.min(self.cancellations.may_keep_alive_until())
    }

    /// Until when a leader may act without the lock lease, given the time up to which it knows all
    /// cancellations. Readings of the key-value store count only up to when the last confirmed renewal of the
    /// lock lease was sent: a peer may take over a fixed time after it first saw the lock free
    /// (`former_leader_authority_until`), so later readings must not extend this leader's authority.
    fn cancellation_bound_without_lock(&self, lease_until: Timestamp) -> Timestamp {
        // Slightly earlier than that renewal was sent, because `lease_until` is shortened for clock drift.
        let last_confirmed_renewal_sent_at = lease_until - limits::LOCK_LEASE;
        let store_known_until = self.cancellations.known_until_by_store().min(last_confirmed_renewal_sent_at);
        let known_until = store_known_until.max(self.cancellations.known_until_by_members());
        self.cancellations.keep_alive_end(known_until)
    }

    /// The duration of the shard lease (`lease::shard`) that this leader gives when a follower's shard
    /// heartbeat arrives; the follower may respond to workers without the leader for that long. Zero: this
    /// node does not lead.
    pub fn shard_lease(&self, now: Timestamp) -> Duration {
        if !self.is_leader() {
            return Duration::ZERO;
        }
        self.cancellations.may_keep_alive_until().since(now).min(self.longest_autonomy)
    }

    /// The last time at which another node in keep-alive mode may have renewed worker leases without this
    /// leader's knowledge: `now` while the leader has no grants of a majority, otherwise the last recorded
    /// time at which it had none.
    pub fn others_kept_alive_until(&self, now: Timestamp) -> Timestamp {
        let has_majority = self.peers.granted_until(self.commitments.counts_itself(now)) > now;
        if has_majority {
            self.last_without_majority_at
        } else {
            now
        }
    }

    /// The time since the key-value store last answered this node, as it is reported to the peer `to`. A peer
    /// that runs an earlier release concludes that there is no recent cancellation once all other nodes
    /// report the store as lost. If this node may have confirmed a cancellation recently, it reports an age
    /// below `limits::STORE_LOST_TIMEOUT` to such a peer, so that the peer does not conclude this.
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
