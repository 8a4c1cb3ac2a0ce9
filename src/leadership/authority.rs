//! Who may act, and until when: the proofs of a leader, of a lease keeper, and of a former leader.

use super::{Leadership, Peer, Role};
use crate::limits::{self, lengthened};

impl Leadership {
    pub(super) fn majority(&self) -> usize {
        self.names.len() / 2 + 1
    }

    /// A process that has just started has forgotten what it granted: it says nothing for L.
    pub(super) fn amnesiac(&self, now: u64) -> bool {
        now < self.started + lengthened(limits::GRANT)
    }

    /// Whether this node's own word counts for itself. What it granted or promised another before it took over
    /// binds it: a leader that resumed trusted leases beside the lease keeper that it had granted (the network test).
    pub(super) fn own_word(&self, now: u64) -> bool {
        !self.amnesiac(now) && now >= self.bound_until
    }

    /// Until when a majority of `deadline`s runs, this node's `own` word included.
    pub(super) fn majority_until(&self, own: bool, deadline: impl Fn(&Peer) -> u64) -> u64 {
        let own = usize::from(own);
        let need = self.majority() - own;
        if need == 0 {
            return u64::MAX;
        }
        let mut all: Vec<u64> =
            self.peers.iter().enumerate().filter(|(i, _)| *i != self.me).map(|(_, p)| deadline(p)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(need - 1).copied().unwrap_or(0)
    }

    /// The token this node may act with at this moment.
    pub fn authority(&self, now: u64) -> Option<u64> {
        self.acts_until(now).1
    }

    /// Until when what this node sends may leave, as far as is known now, and the token, if that is later.
    pub fn acts_until(&self, now: u64) -> (u64, Option<u64>) {
        let Role::Leader { token, lease_until, .. } = &self.role else { return (0, None) };
        let peers = self.majority_until(self.own_word(now), |p| p.granted).min(now + limits::GRANT);
        let until = peers.min(self.alone_from(*lease_until)).max(*lease_until);
        let until = until.saturating_sub(limits::GUARD);
        (until, (now < until).then_some(*token))
    }

    /// The token under which this node may keep workers alive, without commands.
    pub fn lease_keeper(&self, now: u64) -> Option<u64> {
        let Role::LeaseKeeper { token } = self.role else { return None };
        (now + limits::GUARD < self.care_until(now)).then_some(token)
    }

    /// A cancellation may pass the lease keeper by: a zone cut off with a majority in it would keep a cancelled
    /// job's tasks alive for as long as it is cut.
    pub(super) fn care_until(&self, now: u64) -> u64 {
        let granted = self.majority_until(self.own_word(now), |p| p.granted).min(now + limits::GRANT);
        granted.max(self.promises_until(now)).min(self.cancellations.keeps_until())
    }

    /// Until when a leader may act by its peers alone. What it read of the state service counts no longer than
    /// its lock does: a peer takes over by the time for which it has seen the lock free.
    pub(super) fn alone_from(&self, lease_until: u64) -> u64 {
        let locked = lease_until.saturating_sub(limits::LOCK_LEASE_MS * 1_000);
        let read = self.cancellations.by_state().min(locked);
        self.cancellations.bound(read.max(self.cancellations.by_members()))
    }

    /// How long a leaseholder that this leader has heard may go on by itself.
    pub fn shard_lease(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return 0;
        }
        self.cancellations.keeps_until().saturating_sub(now).min(self.longest_autonomy)
    }

    /// The last time at which a lease keeper may have kept workers alive beside this leader: until now
    /// while it has no majority's grants, and until it got them back otherwise.
    pub fn autonomous_until(&self, now: u64) -> u64 {
        let backed = self.majority_until(self.own_word(now), |p| p.granted) > now;
        if backed {
            self.autonomous_until
        } else {
            now
        }
    }

    /// What a peer is told of our state service. An earlier version takes it for proof, once all members lack
    /// it, that nothing is cancelled without it: it is told so only where that is true.
    pub fn told_state_age(&self, now: u64, to: usize, state_age: u64) -> u64 {
        let blind = !self.peers[to].status.attests && !self.cancellations.may_be_taken_blindly(now);
        if blind {
            state_age.min(limits::STATE_LOST - 1)
        } else {
            state_age
        }
    }
}
