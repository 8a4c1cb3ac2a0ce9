//! Messages of the other controllers, and what is attested of cancellations.

use super::{Action, Leadership, Message, Role, Status};
use crate::lease::cancellation_log::{Attestation, StoreAccess};
use crate::limits::{self, lengthened, shortened};
use crate::scheduler::model::JobId;

impl Leadership {
    /// What a member attests of cancellations. Returns the jobs that turned out to be over. A user may be waiting
    /// for us to hold them: the answer does not wait for the next heartbeat.
    pub fn handle_attestation(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        attestation: &Attestation,
    ) -> (Vec<JobId>, Vec<Action>) {
        let applied = self.cancellations.apply_attestation(now, from, life, attestation);
        let (over, news) = (applied.terminated, applied.has_new);
        let mut actions = Vec::new();
        // Answered only where it brought news: two members that do not take each other's attestations, of other
        // lives say, answered one another for ever, and every copy doubled what was under way (the network test).
        if news {
            self.attest(now, from, &mut actions);
        }
        (over, actions)
    }

    /// A job that is about to be told as cancelled; whether that is news, and whether it may be told. The others
    /// hear of it at once.
    pub fn confirm_cancellation(&mut self, now: u64, job_id: JobId) -> (bool, bool, Vec<Action>) {
        let outcome = self.cancellations.confirm(now, job_id);
        let (news, may) = (outcome.is_new, outcome.is_permitted);
        let mut actions = Vec::new();
        if news || !may {
            (0..self.node_names.len()).for_each(|to| self.attest(now, to, &mut actions));
        }
        (news, may, actions)
    }

    pub(super) fn attest(&mut self, now: u64, to: usize, actions: &mut Vec<Action>) {
        let lost = self.status.state_age >= limits::CONFIRMATION_SUSPENSION_DELAY;
        if let Some(attestation) = self
            .cancellations
            .attest_to(now, to, if lost { StoreAccess::Lost } else { StoreAccess::Available })
            .filter(|_| to != self.local_node)
        {
            // It proves nothing beyond the heartbeat that it answers, the promise to be quiet aside.
            let quiet = if lost { limits::CONFIRMATION_SUSPENSION } else { 0 };
            self.attested_until = self.attested_until.max(self.peers[to].last_heartbeat_at + quiet);
            actions.push(Action::Attest(to, attestation));
        }
    }

    pub fn handle_message(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        status: Status,
        message: Message,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if from >= self.node_names.len() || from == self.local_node {
            return actions;
        }
        self.peers[from].last_message_at = now;
        self.peers[from].status = status;
        if let Message::Heartbeat { sent, .. } = message {
            self.peers[from].last_heartbeat_at = now;
            self.cancellations.observe_heartbeat(from, life, status.attests, sent);
            self.attest(now, from, &mut actions);
        }
        match message {
            Message::Heartbeat { token: 0, .. } => {}
            Message::Heartbeat { token, sent } => {
                self.handle_leader_heartbeat(now, from, token, sent, &mut actions)
            }
            Message::Grant { token, echo } => {
                let current = match self.role {
                    Role::Leader { token: own, .. } | Role::KeepAlive { token: own } => own == token,
                    _ => false,
                };
                if current && echo <= now {
                    self.autonomous_until = self.autonomous_until(now);
                    let until = echo + shortened(limits::GRANT_DURATION);
                    self.peers[from].grant_until = self.peers[from].grant_until.max(until);
                }
            }
            Message::VoteRequest { sent } => {
                let own = self.vote_given.is_some_and(|(to, _)| to == self.local_node);
                if own && from < self.local_node && matches!(self.role, Role::Follower) {
                    // Two candidates that promise only themselves would block each other for L, again
                    // and again: the one with the lower number goes first.
                    self.campaigning = false;
                    self.vote_given = None;
                    self.next_campaign_at = now + limits::GRANT_DURATION / 2;
                }
                if self.may_vote(now, from) {
                    self.vote_given = Some((from, now + lengthened(limits::GRANT_DURATION)));
                    actions.push(Action::Send(from, Message::Vote { echo: sent }));
                }
            }
            Message::Vote { echo } => {
                if echo <= now {
                    let until = echo + shortened(limits::GRANT_DURATION);
                    self.peers[from].vote_until = self.peers[from].vote_until.max(until);
                    self.try_takeover(now, &mut actions);
                }
            }
            Message::Release { token, successor } => {
                if self.grant_given.is_some_and(|(to, _)| to == from) && token >= self.highest_token {
                    self.grant_given = None;
                }
                if self.leader.is_some_and(|(node, t, _)| node == from && t <= token) {
                    self.leader = None;
                }
                self.next_probe_at = now;
                // The others leave the successor a head start.
                let wait = if successor == self.local_node { 0 } else { limits::GRANT_DURATION };
                self.next_campaign_at = now + wait;
            }
        }
        actions
    }

    pub(super) fn handle_leader_heartbeat(
        &mut self,
        now: u64,
        from: usize,
        token: u64,
        sent: u64,
        actions: &mut Vec<Action>,
    ) {
        if token < self.highest_token {
            // A deposed leader's, or one that was held on its way.
            return;
        }
        if matches!(self.role, Role::Leader { token: own, .. } if own >= token) {
            return;
        }
        actions.extend(self.observe_token(token, now));
        if let Role::KeepAlive { .. } = self.role {
            self.role = Role::Follower;
        }
        if self.leader.is_none_or(|(node, t, _)| (node, t) != (from, token)) {
            self.leader_reached_by_workers = false;
        }
        self.leader_reached_by_workers |= self.peers[from].status.workers > 0;
        self.leader = Some((from, token, now));
        self.leader_heartbeat_stamp = sent;
        self.campaigning = false;
        if matches!(self.role, Role::Follower) && self.vote_given.is_some_and(|(to, _)| to == self.local_node)
        {
            // Our own campaign is over, and with it what we promised ourselves.
            self.vote_given = None;
        }
        let promised = self.vote_given.is_some_and(|(to, until)| to != from && now < until);
        let granted = self.grant_given.is_some_and(|(to, until)| to != from && now < until);
        if !self.in_restart_grace(now) && !promised && !granted {
            self.grant_given = Some((from, now + lengthened(limits::GRANT_DURATION)));
            actions.push(Action::Send(from, Message::Grant { token, echo: sent }));
        }
    }

    pub(super) fn may_vote(&self, now: u64, to: usize) -> bool {
        let granted = self.grant_given.is_some_and(|(node, until)| node != to && now < until);
        let promised = self.vote_given.is_some_and(|(node, until)| node != to && now < until);
        !self.in_restart_grace(now) && !granted && !promised && matches!(self.role, Role::Follower)
    }
}
