//! The simulated network between the nodes and the key-value store: carries out actions, and delivers
//! messages late, twice or not at all.

use super::cluster::Cluster;
use super::key_value_store::Request;
use super::lease_ledger::LeaseLedger;
use super::random_duration;
use super::{MS, NODE_COUNT};
use crate::leadership::{Action, Message, Status, StoreResponse};
use crate::lease::cancellation_log::Attestation;
use crate::limits::SECOND;
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A message in transit.
pub(super) enum Delivery {
    Message {
        from: usize,
        to: usize,
        status: Status,
        message: Message,
    },
    Attestation {
        from: usize,
        to: usize,
        incarnation: u64,
        attestation: Attestation,
    },
    StoreRequest {
        node: usize,
        process: u64,
        action: Action,
        sent: Timestamp,
    },
    StoreResponse {
        node: usize,
        process: u64,
        response: StoreResponse,
    },
    /// The live jobs as the key-value store had them when the node requested them at `sent`.
    LiveJobs {
        node: usize,
        process: u64,
        sent: Timestamp,
        live: BTreeSet<JobId>,
    },
    /// The response to the node's transaction that cancelled a job. On its arrival the node confirms the
    /// cancellation to the user.
    CancellationCommitted {
        node: usize,
        process: u64,
        job_id: JobId,
    },
}

impl Cluster {
    pub(super) fn send(&mut self, delay: Duration, delivery: Delivery) {
        self.last_serial += 1;
        self.deliveries.insert((self.now + delay, self.last_serial), delivery);
    }

    pub(super) fn random_delay(&mut self) -> Duration {
        if self.rng.random_bool(0.02) {
            return random_duration(&mut self.rng, 100 * MS..900 * MS);
        }
        random_duration(&mut self.rng, MS..12 * MS)
    }

    /// Sends a message to a peer. A partition delays it until after its end, and some messages arrive twice.
    fn send_to_peer(&mut self, from: usize, to: usize, delivery: impl Fn() -> Delivery) {
        let held_back = match &self.partition {
            Some(partition) if self.are_partitioned(from, to) => partition.until.since(self.now),
            Some(_) | None => Duration::ZERO,
        };
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = held_back + self.random_delay();
            self.send(delay, delivery());
        }
    }

    pub(super) fn apply_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let status = self.status(node);
                    self.send_to_peer(node, to, || Delivery::Message { from: node, to, status, message });
                }
                Action::Attest(to, attestation) => {
                    let incarnation = self.nodes[node].leadership.incarnation;
                    self.send_to_peer(node, to, || {
                        let attestation = attestation.clone();
                        Delivery::Attestation { from: node, to, incarnation, attestation }
                    });
                }
                Action::Elected { token, version: _ } => {
                    self.elected_tokens.push(token);
                    self.nodes[node].ledger = LeaseLedger::new(token, self.now, self.local_time(node));
                    // The leader has not read the live jobs in this term yet.
                    self.nodes[node].jobs_read_at = Timestamp::ZERO;
                }
                Action::Deposed { keep_alive_until } => {
                    let token = self.nodes[node].ledger.token();
                    self.nodes[node].shard.keep_alive_after_leadership(token, keep_alive_until);
                }
                Action::Probe
                | Action::TakeOver { .. }
                | Action::Renew { .. }
                | Action::RevokeLease { .. } => self.request_store(node, action),
            }
        }
    }

    fn request_store(&mut self, node: usize, action: Action) {
        let (process, sent) = (self.nodes[node].process, self.local_time(node));
        let delay = self.random_delay();
        let unreachable =
            self.store_down || self.refused_by_store == Some(node) || self.is_partitioned_from_store(node);
        if !unreachable {
            return self.send(delay, Delivery::StoreRequest { node, process, action, sent });
        }
        if matches!(action, Action::TakeOver { .. }) {
            // The request may still arrive up to 20 s later: the store then commits the transaction, after
            // the node may have given up.
            let held_back = random_duration(&mut self.rng, Duration::ZERO..20 * SECOND);
            self.send(delay + held_back, Delivery::StoreRequest { node, process, action, sent });
        } else {
            self.send(delay, Delivery::StoreResponse { node, process, response: StoreResponse::Failed });
        }
    }

    pub(super) fn deliver_due(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            let receiver = match &delivery {
                Delivery::Message { to: node, .. } | Delivery::StoreResponse { node, .. } => Some(*node),
                Delivery::Attestation { .. }
                | Delivery::StoreRequest { .. }
                | Delivery::LiveJobs { .. }
                | Delivery::CancellationCommitted { .. } => None,
            };
            match self.suspension.filter(|suspension| Some(suspension.node) == receiver) {
                // Messages and store responses for a suspended node are delivered when it resumes.
                // Attestations, live jobs and committed cancellations are not held back.
                Some(suspension) => self.send(suspension.until.since(self.now), delivery),
                None => self.deliver(delivery),
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message { from, to, status, message } => {
                if self.nodes[to].down_until.is_some() {
                    return;
                }
                let now = self.local_time(to);
                let incarnation = self.nodes[from].leadership.incarnation;
                let leadership = &mut self.nodes[to].leadership;
                let actions = leadership.handle_message(now, from, incarnation, status, message);
                self.apply_actions(to, actions);
            }
            Delivery::Attestation { from, to, incarnation, attestation } => {
                if self.nodes[to].down_until.is_some() {
                    return;
                }
                let now = self.local_time(to);
                let leadership = &mut self.nodes[to].leadership;
                let outcome = leadership.handle_attestation(now, from, incarnation, &attestation);
                self.apply_actions(to, outcome.actions);
            }
            Delivery::StoreRequest { node, process, action, sent } => {
                // A late request gets the incarnation of the node's present process. The response to a
                // process that has ended is lost, but the transaction remains in effect.
                let incarnation = self.nodes[node].leadership.incarnation;
                let response = self.store.apply(self.now, action, Request { node, incarnation, sent });
                let delay = self.random_delay();
                self.send(delay, Delivery::StoreResponse { node, process, response });
            }
            Delivery::StoreResponse { node, process, response } => {
                self.deliver_store_response(node, process, response)
            }
            Delivery::LiveJobs { node, process, sent, live } => {
                self.deliver_live_jobs(node, process, sent, live)
            }
            Delivery::CancellationCommitted { node, process, job_id } => {
                self.confirm_cancellation(node, process, job_id)
            }
        }
    }

    fn deliver_store_response(&mut self, node: usize, process: u64, response: StoreResponse) {
        if self.nodes[node].process != process || self.nodes[node].down_until.is_some() {
            return;
        }
        let now = self.local_time(node);
        // If the response cannot reach the node, the node sees its request fail.
        let lost = !self.reaches_store(node);
        let response = match response {
            StoreResponse::TakeoverCommitted { .. } | StoreResponse::TakeoverFailed { .. } if lost => {
                StoreResponse::TakeoverFailed { lease: None }
            }
            _ if lost => StoreResponse::Failed,
            response => response,
        };
        if !lost && !matches!(response, StoreResponse::Failed) {
            self.nodes[node].store_answered_at = now;
        }
        let actions = self.nodes[node].leadership.handle_store_response(now, response);
        self.apply_actions(node, actions);
    }

    fn deliver_live_jobs(&mut self, node: usize, process: u64, sent: Timestamp, live: BTreeSet<JobId>) {
        if self.nodes[node].process != process || !self.reaches_store(node) {
            return;
        }
        let now = self.local_time(node);
        let live: Vec<JobId> = live.into_iter().collect();
        self.nodes[node].leadership.cancellations.apply_live_jobs(now, sent, true, &live, &[]);
        self.nodes[node].store_answered_at = now;
        self.nodes[node].jobs_read_at = now;
    }

    fn confirm_cancellation(&mut self, node: usize, process: u64, job_id: JobId) {
        // Without a response the node confirms nothing to the user, who repeats the request at another node.
        if self.nodes[node].process != process || !self.reaches_store(node) {
            return self.repeat_cancellation((node + 1) % NODE_COUNT, job_id);
        }
        let now = self.local_time(node);
        let outcome = self.nodes[node].leadership.request_confirmation(now, job_id);
        self.apply_actions(node, outcome.actions);
        if outcome.is_permitted {
            self.confirmed.entry(job_id).or_insert(self.now);
        } else {
            self.repeat_cancellation(node, job_id);
        }
    }

    /// The user repeats the cancellation a second later.
    fn repeat_cancellation(&mut self, node: usize, job_id: JobId) {
        let process = self.nodes[node].process;
        self.send(SECOND, Delivery::CancellationCommitted { node, process, job_id });
    }
}
