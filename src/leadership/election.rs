//! How a node that does not lead becomes the leader: it watches for one, asks for promises and takes over.

use super::{Action, By, Leadership, Message, Role};
use crate::limits::{self, lengthened};
use rand::Rng;
use tracing::{debug, info};

impl Leadership {
    pub(super) fn probe(&mut self, now: u64, every: u64, actions: &mut Vec<Action>) {
        self.probing = true;
        self.probe_due = now + every;
        actions.push(Action::Probe);
    }

    pub(super) fn leader_heard(&self, now: u64) -> bool {
        self.leader.is_some_and(|(_, _, heard)| now < heard + limits::GRANT)
    }

    pub(super) fn follow(&mut self, now: u64, actions: &mut Vec<Action>) {
        let calm = self.leader_heard(now);
        if now >= self.probe_due && !self.probing {
            self.probe(now, if calm { limits::PROBE_CALM } else { limits::PROBE_LEADERLESS }, actions);
        }
        // Without a fresh reading there is nothing to condition a transaction on.
        let readable = self.probed && now < self.probed_at + limits::PROBE_CALM && !self.locked;
        if let Role::LeaseKeeper { .. } = self.role {
            if self.lease_keeper(now).is_some() && !readable && !self.peer_has_state(now) {
                return;
            }
            info!("caretaking ends");
            self.role = Role::Follower;
            self.campaign_due = now;
        }
        if self.state_lost() {
            self.unlocked = None;
        }
        if matches!(self.role, Role::Taking { .. }) || calm || now < self.campaign_due {
            return;
        }
        let may_care = now + limits::GRANT < self.cancellations.keeps_until();
        let outage = self.state_lost() && self.token > 0 && !self.peer_has_state(now) && may_care;
        if !(readable || outage) || self.grant_out.is_some_and(|(_, until)| now < until) {
            return;
        }
        if self.promise_out.is_some_and(|(to, until)| to != self.me && now < until) {
            return;
        }
        self.campaign_due = now + limits::CAMPAIGN + self.rng.random_range(0..limits::CAMPAIGN);
        if !self.amnesiac(now) {
            self.promise_out = Some((self.me, now + lengthened(limits::GRANT)));
        }
        if let (Some((version, since)), true) = (self.unlocked, readable) {
            if now >= self.acted_by_peers_until(since) {
                return self.take(version, By::Time, actions);
            }
        }
        self.campaigning = true;
        debug!("campaigning");
        let request = Message::PromiseRequest { sent: now };
        actions.extend(self.others().map(|i| Action::Send(i, request)));
        self.try_take(now, actions);
    }

    /// When whoever held the lock, free since then, can act by its peers alone no more: it lives by what it read
    /// before the lock ended, or by all members' attestations, ours among them. As long again as an earlier
    /// version believes a peer's word, and a grant's time.
    pub(super) fn acted_by_peers_until(&self, unlocked: u64) -> u64 {
        let attested = self.attested_until + limits::LOCK_LEASE_MS * 1_000;
        unlocked.max(attested) + lengthened(self.longest_autonomy) + limits::PEER_WORD + limits::GRANT
    }

    pub(super) fn state_lost(&self) -> bool {
        self.status.state_age >= limits::STATE_LOST
    }

    pub(super) fn promises_until(&self, now: u64) -> u64 {
        // Our own promise counts only while it binds us too.
        let own = self.promise_out.filter(|(to, until)| *to == self.me && now < *until);
        self.majority_until(own.is_some(), |p| p.promised).min(own.map_or(u64::MAX, |(_, until)| until))
    }

    pub(super) fn try_take(&mut self, now: u64, actions: &mut Vec<Action>) {
        if !self.campaigning || !matches!(self.role, Role::Follower) {
            return;
        }
        if self.promises_until(now) <= now + limits::GUARD {
            return;
        }
        if self.state_lost() {
            // Both proofs of any leader's cannot be seen to be gone without the state service, but a
            // leader that lives on by its state lease alone counts on no worker lease ending meanwhile.
            info!(token = self.token, "no leader and no state service: keeping workers alive");
            self.campaigning = false;
            self.role = Role::LeaseKeeper { token: self.token };
            self.peers.iter_mut().for_each(|p| p.granted = 0);
            self.heartbeat_due = now;
            return;
        }
        if self.locked {
            return;
        }
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        self.take(version, By::Promises, actions);
    }

    pub(super) fn take(&mut self, version: u64, by: By, actions: &mut Vec<Action>) {
        let known = self.epoch.as_ref().map_or(0, |(epoch, _)| epoch.token);
        let token = known.max(self.token) + 1;
        self.campaigning = false;
        self.role = Role::Taking { token, by };
        info!(token, ?by, "taking over");
        actions.push(Action::TakeOver { token, version, over_lock: by == By::Resuming });
    }
}
