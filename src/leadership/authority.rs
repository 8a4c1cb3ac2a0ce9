//! Who may act, and until when: the proofs of a leader, of a node in keep-alive mode, and of a former leader.

use super::{Leadership, Peer, Role};
use crate::limits::{self, lengthened};

impl Leadership {
    pub(super) fn majority(&self) -> usize {
        self.node_names.len() / 2 + 1
    }

    /// A process that has just started has forgotten what it granted: it says nothing for L.
    pub(super) fn in_restart_grace(&self, now: u64) -> bool {
        now < self.started_at + lengthened(limits::GRANT_DURATION)
    }

    /// Whether this node's own word counts for itself. What it granted or promised another before it took over
    /// binds it: a leader that resumed trusted leases beside the node in keep-alive mode that it had granted (the network test).
    pub(super) fn own_vote_counts(&self, now: u64) -> bool {
        !self.in_restart_grace(now) && now >= self.bound_until
    }

    /// Until when a majority of `deadline`s runs, this node's `own` word included.
    pub(super) fn majority_until(&self, own: bool, deadline: impl Fn(&Peer) -> u64) -> u64 {
        let own = usize::from(own);
        let need = self.majority() - own;
        if need == 0 {
            return u64::MAX;
        }
        let mut all: Vec<u64> = self
            .peers
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != self.local_node)
            .map(|(_, p)| deadline(p))
            .collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(need - 1).copied().unwrap_or(0)
    }

    /// The token this node may act with at this moment.
    pub fn authority(&self, now: u64) -> Option<u64> {
        self.authority_until(now).1
    }

    /// Until when what this node sends may leave, as far as is known now, and the token, if that is later.
    pub fn authority_until(&self, now: u64) -> (u64, Option<u64>) {
        let Role::Leader { token, lease_until, .. } = &self.role else { return (0, None) };
        let peers = self
            .majority_until(self.own_vote_counts(now), |p| p.grant_until)
            .min(now + limits::GRANT_DURATION);
        let until = peers.min(self.peer_authority_until(*lease_until)).max(*lease_until);
        let until = until.saturating_sub(limits::AUTHORITY_MARGIN);
        (until, (now < until).then_some(*token))
    }

    /// The token under which this node may keep workers alive, without commands.
    pub fn keep_alive_token(&self, now: u64) -> Option<u64> {
        let Role::KeepAlive { token } = self.role else { return None };
        (now + limits::AUTHORITY_MARGIN < self.keep_alive_until(now)).then_some(token)
    }

    /// A cancellation may pass the node in keep-alive mode by: a zone cut off with a majority in it would keep a cancelled
    /// job's tasks alive for as long as it is cut.
    pub(super) fn keep_alive_until(&self, now: u64) -> u64 {
        let granted = self
            .majority_until(self.own_vote_counts(now), |p| p.grant_until)
            .min(now + limits::GRANT_DURATION);
        granted.max(self.votes_until(now)).min(self.cancellations.keep_alive_until())
    }

    /// Until when a leader may act by its peers alone. What it read of the state service counts no longer than
    /// its lock does: a peer takes over by the time for which it has seen the lock free.
    pub(super) fn peer_authority_until(&self, lease_until: u64) -> u64 {
        let locked = lease_until.saturating_sub(limits::LOCK_LEASE_MS * 1_000);
        let read = self.cancellations.store_freshness().min(locked);
        self.cancellations.keep_alive_limit(read.max(self.cancellations.member_freshness()))
    }

    /// How long a leaseholder that this leader has heard may go on by itself.
    pub fn shard_lease(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return 0;
        }
        self.cancellations.keep_alive_until().saturating_sub(now).min(self.longest_autonomy)
    }

    /// The last time at which a node in keep-alive mode may have kept workers alive beside this leader: until now
    /// while it has no majority's grants, and until it got them back otherwise.
    pub fn autonomous_until(&self, now: u64) -> u64 {
        let backed = self.majority_until(self.own_vote_counts(now), |p| p.grant_until) > now;
        if backed {
            self.autonomous_until
        } else {
            now
        }
    }

    /// What a peer is told of our state service. An earlier version takes it for proof, once all members lack
    /// it, that nothing is cancelled without it: it is told so only where that is true.
    pub fn reported_state_age(&self, now: u64, to: usize, state_age: u64) -> u64 {
        let blind = !self.peers[to].status.attests && !self.cancellations.proves_no_recent_cancellation(now);
        if blind {
            state_age.min(limits::STORE_LOST_TIMEOUT - 1)
        } else {
            state_age
        }
    }
}
