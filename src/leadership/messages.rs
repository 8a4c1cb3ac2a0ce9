//! Messages of the other controllers, and what is attested of cancellations.

use super::{Action, Leadership, Message, Role, Status};
use crate::cancellation_log::Attestation;
use crate::limits::{self, lengthened, shortened};
use crate::scheduler::model::JobId;

impl Leadership {
    /// What a member attests of cancellations. Returns the jobs that turned out to be over. A user may be waiting
    /// for us to hold them: the answer does not wait for the next heartbeat.
    pub fn attested(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        attestation: &Attestation,
    ) -> (Vec<JobId>, Vec<Action>) {
        let (over, news) = self.cancellations.attested(now, from, life, attestation);
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
    pub fn confirm(&mut self, now: u64, job_id: JobId) -> (bool, bool, Vec<Action>) {
        let (news, may) = self.cancellations.confirm(now, job_id);
        let mut actions = Vec::new();
        if news || !may {
            (0..self.names.len()).for_each(|to| self.attest(now, to, &mut actions));
        }
        (news, may, actions)
    }

    pub(super) fn attest(&mut self, now: u64, to: usize, actions: &mut Vec<Action>) {
        let lost = self.status.state_age >= limits::QUIET_AFTER;
        if let Some(attestation) = self.cancellations.attest_to(now, to, lost).filter(|_| to != self.me) {
            // It proves nothing beyond the heartbeat that it answers, the promise to be quiet aside.
            let quiet = if lost { limits::QUIET } else { 0 };
            self.attested_until = self.attested_until.max(self.peers[to].beat + quiet);
            actions.push(Action::Attest(to, attestation));
        }
    }

    pub fn message(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        status: Status,
        message: Message,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if from >= self.names.len() || from == self.me {
            return actions;
        }
        self.peers[from].heard = now;
        self.peers[from].status = status;
        if let Message::Heartbeat { sent, .. } = message {
            self.peers[from].beat = now;
            self.cancellations.heartbeat(from, life, status.attests, sent);
            self.attest(now, from, &mut actions);
        }
        match message {
            Message::Heartbeat { token: 0, .. } => {}
            Message::Heartbeat { token, sent } => self.heartbeat(now, from, token, sent, &mut actions),
            Message::Grant { token, echo } => {
                let current = match self.role {
                    Role::Leader { token: own, .. } | Role::LeaseKeeper { token: own } => own == token,
                    _ => false,
                };
                if current && echo <= now {
                    self.autonomous_until = self.autonomous_until(now);
                    let until = echo + shortened(limits::GRANT);
                    self.peers[from].granted = self.peers[from].granted.max(until);
                }
            }
            Message::PromiseRequest { sent } => {
                let own = self.promise_out.is_some_and(|(to, _)| to == self.me);
                if own && from < self.me && matches!(self.role, Role::Follower) {
                    // Two candidates that promise only themselves would block each other for L, again
                    // and again: the one with the lower number goes first.
                    self.campaigning = false;
                    self.promise_out = None;
                    self.campaign_due = now + limits::GRANT / 2;
                }
                if self.may_promise(now, from) {
                    self.promise_out = Some((from, now + lengthened(limits::GRANT)));
                    actions.push(Action::Send(from, Message::Promise { echo: sent }));
                }
            }
            Message::Promise { echo } => {
                if echo <= now {
                    let until = echo + shortened(limits::GRANT);
                    self.peers[from].promised = self.peers[from].promised.max(until);
                    self.try_take(now, &mut actions);
                }
            }
            Message::Release { token, successor } => {
                if self.grant_out.is_some_and(|(to, _)| to == from) && token >= self.token {
                    self.grant_out = None;
                }
                if self.leader.is_some_and(|(node, t, _)| node == from && t <= token) {
                    self.leader = None;
                }
                self.probe_due = now;
                // The others leave the successor a head start.
                let wait = if successor == self.me { 0 } else { limits::GRANT };
                self.campaign_due = now + wait;
            }
        }
        actions
    }

    pub(super) fn heartbeat(
        &mut self,
        now: u64,
        from: usize,
        token: u64,
        sent: u64,
        actions: &mut Vec<Action>,
    ) {
        if token < self.token {
            // A deposed leader's, or one that was held on its way.
            return;
        }
        if matches!(self.role, Role::Leader { token: own, .. } if own >= token) {
            return;
        }
        actions.extend(self.seen_token(token, now));
        if let Role::LeaseKeeper { .. } = self.role {
            self.role = Role::Follower;
        }
        if self.leader.is_none_or(|(node, t, _)| (node, t) != (from, token)) {
            self.leader_reached = false;
        }
        self.leader_reached |= self.peers[from].status.workers > 0;
        self.leader = Some((from, token, now));
        self.leader_stamp = sent;
        self.campaigning = false;
        if matches!(self.role, Role::Follower) && self.promise_out.is_some_and(|(to, _)| to == self.me) {
            // Our own campaign is over, and with it what we promised ourselves.
            self.promise_out = None;
        }
        let promised = self.promise_out.is_some_and(|(to, until)| to != from && now < until);
        let granted = self.grant_out.is_some_and(|(to, until)| to != from && now < until);
        if !self.amnesiac(now) && !promised && !granted {
            self.grant_out = Some((from, now + lengthened(limits::GRANT)));
            actions.push(Action::Send(from, Message::Grant { token, echo: sent }));
        }
    }

    pub(super) fn may_promise(&self, now: u64, to: usize) -> bool {
        let granted = self.grant_out.is_some_and(|(node, until)| node != to && now < until);
        let promised = self.promise_out.is_some_and(|(node, until)| node != to && now < until);
        !self.amnesiac(now) && !granted && !promised && matches!(self.role, Role::Follower)
    }
}
