//! Handles the other controllers' messages and attestations of cancellations, and creates those of this node.
//! Called by the controller's event loop.

use super::role::Role;
use super::{Action, AttestationOutcome, ConfirmationOutcome, FollowedLeader, Leadership, Message, Status};
use crate::fencing_token::FencingToken;
use crate::lease::cancellation_log::{Attestation, CancellationCommit, MemberHeartbeat, StoreAccess};
use crate::limits;
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use std::time::Duration;

impl Leadership {
    /// Applies an attestation of the peer `from`, sent by the process with this incarnation. The peer may
    /// need this node's acknowledgement before it can confirm a cancellation to a user, so the answer does
    /// not wait for the next heartbeat.
    pub fn handle_attestation(
        &mut self,
        now: Timestamp,
        from: usize,
        incarnation: u64,
        attestation: &Attestation,
    ) -> AttestationOutcome {
        let applied = self.cancellations.apply_attestation(now, from, incarnation, attestation);
        let mut actions = Vec::new();
        // Answered only if it reports new cancellations. Without this rule, two nodes that rejected each
        // other's attestations, for example because these were meant for another incarnation, answered each
        // other without end, and every repeated message doubled the number in flight (found by the network
        // test).
        if applied.has_new {
            self.attest(now, from, &mut actions);
        }
        AttestationOutcome { cancelled_jobs: applied.cancelled_jobs, actions }
    }

    /// Records that a user asks to cancel a job, right before the transaction that cancels it is sent, and informs
    /// the peers. `epoch_version`: the version of the epoch record that the transaction compares.
    #[must_use = "the actions are to be carried out"]
    pub fn request_cancellation(&mut self, now: Timestamp, job_id: JobId, epoch_version: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.cancellations.request(now, job_id, epoch_version) {
            self.peers.others().for_each(|node| self.attest(now, node, &mut actions));
        }
        actions
    }

    /// Records a cancellation that is about to be confirmed to a user, and returns whether it may be
    /// confirmed now. The peers are informed at once.
    pub fn request_confirmation(
        &mut self,
        now: Timestamp,
        job_id: JobId,
        commit: CancellationCommit,
    ) -> ConfirmationOutcome {
        let epoch = self.epoch_reading(now);
        let outcome = self.cancellations.confirm(now, job_id, commit, epoch);
        let mut actions = Vec::new();
        if outcome.is_new || !outcome.is_permitted {
            self.peers.others().for_each(|node| self.attest(now, node, &mut actions));
        }
        ConfirmationOutcome { is_new: outcome.is_new, is_permitted: outcome.is_permitted, actions }
    }

    /// Records for each cancellation of this node that a peer has not acknowledged whether any leader may still
    /// start tasks of its job ([`crate::lease::cancellation_log::CancellationLog::rule_out_starts`]).
    pub fn rule_out_starts(&mut self, now: Timestamp) {
        let epoch = self.epoch_reading(now);
        self.cancellations.rule_out_starts(now, epoch);
    }

    fn attest(&mut self, now: Timestamp, to: usize, actions: &mut Vec<Action>) {
        let store_access = if self.status.store_answer_age >= limits::CONFIRMATION_SUSPENSION_DELAY {
            StoreAccess::Lost
        } else {
            StoreAccess::Available
        };
        let Some(attestation) = self.cancellations.attest_to(now, to, store_access) else { return };
        // By this attestation the receiver knows all cancellations that this node confirmed before the
        // receiver's last heartbeat arrived. While the store is lost, the attestation also covers the
        // `CONFIRMATION_SUSPENSION` after that, in which this node confirms no cancellation that the receiver
        // has not acknowledged.
        let suspension = match store_access {
            StoreAccess::Lost => limits::CONFIRMATION_SUSPENSION,
            StoreAccess::Available => Duration::ZERO,
        };
        let proven_until = self.peers.get(to).last_heartbeat_at() + suspension;
        self.attested_until = self.attested_until.max(proven_until);
        actions.push(Action::Attest(to, attestation));
    }

    /// Handles a message of a peer, sent by the process with this incarnation.
    #[must_use = "the actions are to be carried out"]
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: usize,
        incarnation: u64,
        status: Status,
        message: Message,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.peers.is_peer(from) {
            return actions;
        }
        self.peers.observe_message(now, from, status);
        match message {
            Message::Heartbeat { token, sent } => {
                self.peers.observe_heartbeat(now, from);
                let heartbeat = MemberHeartbeat {
                    incarnation,
                    sent,
                    gives_attestations: status.gives_attestations,
                    store_answer_age: status.store_answer_age,
                };
                self.cancellations.observe_heartbeat(now, from, heartbeat);
                self.attest(now, from, &mut actions);
                if token > FencingToken::NONE {
                    self.handle_heartbeat_with_token(now, from, token, sent, &mut actions);
                }
            }
            Message::Grant { token, echo } => self.handle_grant(now, from, token, echo),
            Message::VoteRequest { sent } => self.handle_vote_request(now, from, sent, &mut actions),
            Message::Vote { echo } => self.handle_vote(now, from, echo, &mut actions),
            Message::HandOver { token, successor } => self.handle_handover(now, from, token, successor),
        }
        actions
    }

    /// Handles a heartbeat of a leader or of a node in keep-alive mode.
    fn handle_heartbeat_with_token(
        &mut self,
        now: Timestamp,
        from: usize,
        token: FencingToken,
        sent: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if token < self.highest_token {
            // From a deposed leader, or delayed in transit.
            return;
        }
        if self.role.term().is_some_and(|term| term.token >= token) {
            return;
        }
        actions.extend(self.observe_token(token, now));
        if self.role.is_keep_alive() {
            self.role = Role::Follower;
        }
        self.record_followed_leader(now, from, token, sent);
        self.campaigning = false;
        if self.role.is_follower() {
            self.commitments.withdraw_own_vote();
        }
        if self.commitments.may_commit_to(now, from) {
            self.commitments.give_grant(now, from);
            actions.push(Action::Send(from, Message::Grant { token, echo: sent }));
        }
    }

    fn record_followed_leader(
        &mut self,
        now: Timestamp,
        node: usize,
        token: FencingToken,
        heartbeat_stamp: Timestamp,
    ) {
        let same_term = self.followed.filter(|leader| (leader.node, leader.token) == (node, token));
        let reached_before = same_term.is_some_and(|leader| leader.reached_by_workers);
        let reached_by_workers = reached_before || self.peers.get(node).status().worker_heartbeats > 0;
        let last_heartbeat_at = now;
        self.followed =
            Some(FollowedLeader { node, token, heartbeat_stamp, last_heartbeat_at, reached_by_workers });
    }

    fn handle_grant(&mut self, now: Timestamp, from: usize, token: FencingToken, echo: Timestamp) {
        // An echo from the future belongs to the clock of an earlier incarnation.
        if self.role.token_for_grants() == Some(token) && echo <= now {
            self.last_without_majority_at = self.others_kept_alive_until(now);
            self.peers.record_grant(from, echo);
        }
    }

    fn handle_vote_request(
        &mut self,
        now: Timestamp,
        from: usize,
        sent: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let has_precedence = from < self.peers.local_node();
        if self.commitments.voted_for_itself() && has_precedence && self.role.is_follower() {
            // Two candidates that vote only for themselves would block each other for the duration of a
            // grant, again and again: the one with the lower number has precedence.
            self.campaigning = false;
            self.commitments.withdraw_own_vote();
            self.next_campaign_at = now + limits::GRANT_DURATION / 2;
        }
        if self.commitments.may_commit_to(now, from) && self.role.is_follower() {
            self.commitments.give_vote(now, from);
            actions.push(Action::Send(from, Message::Vote { echo: sent }));
        }
    }

    fn handle_vote(&mut self, now: Timestamp, from: usize, echo: Timestamp, actions: &mut Vec<Action>) {
        // An echo from the future belongs to the clock of an earlier incarnation.
        if echo <= now {
            self.peers.record_vote(from, echo);
            self.try_takeover(now, actions);
        }
    }

    fn handle_handover(&mut self, now: Timestamp, from: usize, token: FencingToken, successor: usize) {
        if token >= self.highest_token {
            self.commitments.withdraw_grant_to(from);
        }
        if self.followed.is_some_and(|leader| leader.node == from && leader.token <= token) {
            self.followed = None;
        }
        self.lock.make_probe_due(now);
        // The other nodes give the successor a head start.
        let delay =
            if successor == self.peers.local_node() { Duration::ZERO } else { limits::GRANT_DURATION };
        self.next_campaign_at = now + delay;
    }
}
