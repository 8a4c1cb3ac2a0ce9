//! Election: a node that does not lead looks for a leader, asks for votes, and takes over, or enters
//! keep-alive mode while the key-value store is lost. Called on each tick and when messages or store
//! responses arrive.

use super::role::{Role, TakeoverProof};
use super::{Action, Leadership, Message};
use crate::fencing_token::FencingToken;
use crate::limits::{self, plus_clock_drift};
use crate::time::{to_micros, Timestamp};
use rand::Rng;
use std::time::Duration;
use tracing::{debug, info};

impl Leadership {
    /// Requests epoch and lock from the key-value store. The next probe is due after `interval`.
    pub(super) fn probe(&mut self, now: Timestamp, interval: Duration, actions: &mut Vec<Action>) {
        self.lock.start_probe(now, interval);
        actions.push(Action::Probe);
    }

    /// Handles a tick of a node that does not lead.
    pub(super) fn follow(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let has_leader = self.followed.is_some_and(|leader| leader.holds_back_campaigns(now));
        if self.lock.is_probe_due(now) {
            let interval =
                if has_leader { limits::LOCK_PROBE_INTERVAL } else { limits::LEADERLESS_PROBE_INTERVAL };
            self.probe(now, interval, actions);
        }
        if self.role.is_keep_alive() {
            if self.should_stay_in_keep_alive(now) {
                return;
            }
            info!(
                "keep-alive mode ended; possible reasons: no majority of grants or votes, knowledge of \
                 cancellations too old, lock free, key-value store answers a peer"
            );
            self.role = Role::Follower;
            self.next_campaign_at = now;
        }
        if self.is_store_lost() {
            self.lock.forget_free_lock();
        }
        if self.role.is_taking_over() || has_leader || now < self.next_campaign_at {
            return;
        }
        if self.may_campaign(now) {
            self.campaign(now, actions);
        }
    }

    /// Whether a node in keep-alive mode stays in it: until its permission to keep workers alive expires
    /// (`keep_alive_mode_until`), the lock is free, or a peer reaches the key-value store.
    fn should_stay_in_keep_alive(&self, now: Timestamp) -> bool {
        self.keep_alive_token(now).is_some() && !self.lock.is_known_free(now) && !self.peer_reaches_store(now)
    }

    /// Whether the lock is free or keep-alive mode is possible, and no running grant or vote for another node
    /// forbids a campaign.
    fn may_campaign(&self, now: Timestamp) -> bool {
        (self.lock.is_known_free(now) || self.may_enter_keep_alive(now))
            && !self.commitments.is_excluded(now, self.peers.local_node())
    }

    /// Whether neither this node nor a peer in contact reaches the key-value store, a fencing token is known,
    /// and keep-alive mode would last longer than a grant.
    fn may_enter_keep_alive(&self, now: Timestamp) -> bool {
        self.is_store_lost()
            && self.highest_token > FencingToken::NONE
            && !self.peer_reaches_store(now)
            && now + limits::GRANT_DURATION < self.cancellations.may_keep_alive_until()
    }

    fn campaign(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let random_delay = self.rng.random_range(0..to_micros(limits::CAMPAIGN_INTERVAL));
        self.next_campaign_at = now + limits::CAMPAIGN_INTERVAL + Duration::from_micros(random_delay);
        if !self.commitments.in_restart_grace(now) {
            self.commitments.give_vote(now, self.peers.local_node());
        }
        if let Some(free) = self.lock.continuously_free().filter(|_| self.lock.is_known_free(now)) {
            if now >= self.former_leader_authority_until(free.since) {
                return self.start_takeover(free.epoch_version, TakeoverProof::LockFreeLongEnough, actions);
            }
        }
        self.campaigning = true;
        debug!("campaign started");
        self.broadcast(Message::VoteRequest { sent: now }, actions);
        self.try_takeover(now, actions);
    }

    /// The time after which the former holder of a lock that has been free since `unlocked_at` can no longer
    /// act with grants only. Let K be the time up to which that leader knows all cancellations. It may act
    /// until K plus `limits::LOCK_LEASE` plus `longest_autonomy`. K is at most the later of `unlocked_at`
    /// minus `limits::LOCK_LEASE` (by the key-value store) and `attested_until` (by the attestations of all
    /// its peers, this node among them), so K plus `limits::LOCK_LEASE` is at most the later of `unlocked_at`
    /// and `attested_until` plus `limits::LOCK_LEASE`. The result also includes `limits::PEER_TIMEOUT`, for
    /// which an earlier release trusts a peer's status, and `limits::GRANT_DURATION`.
    fn former_leader_authority_until(&self, unlocked_at: Timestamp) -> Timestamp {
        let attested = self.attested_until + limits::LOCK_LEASE;
        unlocked_at.max(attested)
            + plus_clock_drift(self.longest_autonomy)
            + limits::PEER_TIMEOUT
            + limits::GRANT_DURATION
    }

    /// Whether the key-value store has not answered this node for `limits::STORE_LOST_TIMEOUT`.
    pub(super) fn is_store_lost(&self) -> bool {
        self.status.store_answer_age >= limits::STORE_LOST_TIMEOUT
    }

    /// Until when a majority votes for this node. Its own vote is part of the majority only while that vote
    /// runs.
    pub(super) fn votes_until(&self, now: Timestamp) -> Timestamp {
        match self.commitments.own_vote(now) {
            Some(own_vote) => self.peers.voted_until(true).min(own_vote.until),
            None => self.peers.voted_until(false),
        }
    }

    /// Once a majority has voted for this node: takes over, or enters keep-alive mode if the key-value store
    /// is lost.
    pub(super) fn try_takeover(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.campaigning || !self.role.is_follower() {
            return;
        }
        if self.votes_until(now) <= now + limits::AUTHORITY_MARGIN {
            return;
        }
        if self.is_store_lost() {
            self.enter_keep_alive(now);
        } else if !self.lock.is_locked() {
            self.start_takeover(self.lock.epoch_version(), TakeoverProof::MajorityVotes, actions);
        }
    }

    /// Starts to keep workers alive. Without the key-value store this node cannot verify that a former
    /// leader's lock lease and grants have both expired. A former leader that still acts by its lock lease
    /// alone does no harm: without grants of a majority it counts no worker lease as expired
    /// (`others_kept_alive_until`).
    fn enter_keep_alive(&mut self, now: Timestamp) {
        info!(
            token = %self.highest_token,
            "keep-alive mode started: no leader, and the key-value store does not answer"
        );
        self.campaigning = false;
        self.role = Role::KeepAlive { token: self.highest_token };
        self.peers.clear_grants();
        self.next_heartbeat_at = now;
    }

    /// Sends the takeover transaction. `version`: of the epoch record that it replaces; zero: there is none.
    pub(super) fn start_takeover(&mut self, version: u64, proof: TakeoverProof, actions: &mut Vec<Action>) {
        let token = self.lock.epoch_token().max(self.highest_token).next();
        self.campaigning = false;
        self.role = Role::TakingOver { token, proof };
        info!(%token, proof = ?proof, "takeover started");
        let ignore_lock = proof == TakeoverProof::LedBeforeRestart;
        actions.push(Action::TakeOver { token, version, ignore_lock });
    }
}
