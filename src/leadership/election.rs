//! How a node that does not lead becomes the leader: it watches for one, asks for votes and takes over.

use super::{Action, Leadership, Message, Role, TakeoverProof};
use crate::limits::{self, lengthened};
use rand::Rng;
use tracing::{debug, info};

impl Leadership {
    pub(super) fn probe(&mut self, now: u64, every: u64, actions: &mut Vec<Action>) {
        self.probe_in_flight = true;
        self.next_probe_at = now + every;
        actions.push(Action::Probe);
    }

    pub(super) fn is_leader_alive(&self, now: u64) -> bool {
        self.leader.is_some_and(|(_, _, heard)| now < heard + limits::GRANT_DURATION)
    }

    pub(super) fn follow(&mut self, now: u64, actions: &mut Vec<Action>) {
        let calm = self.is_leader_alive(now);
        if now >= self.next_probe_at && !self.probe_in_flight {
            self.probe(
                now,
                if calm { limits::PROBE_INTERVAL } else { limits::LEADERLESS_PROBE_INTERVAL },
                actions,
            );
        }
        // Without a fresh reading there is nothing to condition a transaction on.
        let readable = self.epoch_known && now < self.probed_at + limits::PROBE_INTERVAL && !self.locked;
        if let Role::KeepAlive { .. } = self.role {
            if self.keep_alive_token(now).is_some() && !readable && !self.peer_has_state(now) {
                return;
            }
            info!("keep-alive mode ended");
            self.role = Role::Follower;
            self.next_campaign_at = now;
        }
        if self.is_store_lost() {
            self.lock_free_since = None;
        }
        if matches!(self.role, Role::TakingOver { .. }) || calm || now < self.next_campaign_at {
            return;
        }
        let may_care = now + limits::GRANT_DURATION < self.cancellations.keep_alive_until();
        let outage = self.is_store_lost() && self.highest_token > 0 && !self.peer_has_state(now) && may_care;
        if !(readable || outage) || self.grant_given.is_some_and(|(_, until)| now < until) {
            return;
        }
        if self.vote_given.is_some_and(|(to, until)| to != self.local_node && now < until) {
            return;
        }
        self.next_campaign_at =
            now + limits::CAMPAIGN_INTERVAL + self.rng.random_range(0..limits::CAMPAIGN_INTERVAL);
        if !self.in_restart_grace(now) {
            self.vote_given = Some((self.local_node, now + lengthened(limits::GRANT_DURATION)));
        }
        if let (Some((version, since)), true) = (self.lock_free_since, readable) {
            if now >= self.former_leader_authority_until(since) {
                return self.start_takeover(version, TakeoverProof::LockExpired, actions);
            }
        }
        self.campaigning = true;
        debug!("campaign started");
        let request = Message::VoteRequest { sent: now };
        actions.extend(self.others().map(|i| Action::Send(i, request)));
        self.try_takeover(now, actions);
    }

    /// When whoever held the lock, free since then, can act by its peers alone no more: it lives by what it read
    /// before the lock ended, or by all members' attestations, ours among them. As long again as an earlier
    /// version believes a peer's word, and a grant's time.
    pub(super) fn former_leader_authority_until(&self, unlocked: u64) -> u64 {
        let attested = self.attested_until + limits::LOCK_LEASE_MS * 1_000;
        unlocked.max(attested)
            + lengthened(self.longest_autonomy)
            + limits::PEER_TIMEOUT
            + limits::GRANT_DURATION
    }

    pub(super) fn is_store_lost(&self) -> bool {
        self.status.state_age >= limits::STORE_LOST_TIMEOUT
    }

    pub(super) fn votes_until(&self, now: u64) -> u64 {
        // Our own promise counts only while it binds us too.
        let own = self.vote_given.filter(|(to, until)| *to == self.local_node && now < *until);
        self.majority_until(own.is_some(), |p| p.vote_until).min(own.map_or(u64::MAX, |(_, until)| until))
    }

    pub(super) fn try_takeover(&mut self, now: u64, actions: &mut Vec<Action>) {
        if !self.campaigning || !matches!(self.role, Role::Follower) {
            return;
        }
        if self.votes_until(now) <= now + limits::AUTHORITY_MARGIN {
            return;
        }
        if self.is_store_lost() {
            // Both proofs of any leader's cannot be seen to be gone without the state service, but a
            // leader that lives on by its state lease alone counts on no worker lease ending meanwhile.
            info!(token = self.highest_token, "keep-alive mode started: no leader and no key-value store");
            self.campaigning = false;
            self.role = Role::KeepAlive { token: self.highest_token };
            self.peers.iter_mut().for_each(|p| p.grant_until = 0);
            self.next_heartbeat_at = now;
            return;
        }
        if self.locked {
            return;
        }
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        self.start_takeover(version, TakeoverProof::Votes, actions);
    }

    pub(super) fn start_takeover(&mut self, version: u64, by: TakeoverProof, actions: &mut Vec<Action>) {
        let known = self.epoch.as_ref().map_or(0, |(epoch, _)| epoch.token);
        let token = known.max(self.highest_token) + 1;
        self.campaigning = false;
        self.role = Role::TakingOver { token, proof: by };
        info!(token, ?by, "takeover started");
        actions.push(Action::TakeOver {
            token,
            version,
            ignore_lock: by == TakeoverProof::PreviousIncarnation,
        });
    }
}
