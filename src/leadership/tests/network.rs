//! The simulated network between the nodes and the key-value store: carries out actions, and delivers
//! messages late, twice or not at all.

use super::cluster::Cluster;
use super::key_value_store::Request;
use super::lease_ledger::LeaseLedger;
use super::random_duration;
use super::{MS, NODE_COUNT};
use crate::leadership::{Action, Message, Status, StoreResponse};
use crate::lease::cancellation_log::{Attestation, CancellationCommit};
use crate::limits::{self, SECOND};
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// How often a node checks whether it may confirm a cancellation, while the user waits.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

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
    /// A user asks the node to cancel a job.
    CancellationRequested {
        node: usize,
        job_id: JobId,
    },
    /// The node's transaction that cancels a job arrives at the store. `epoch_version`: the version of the epoch
    /// record that it compares.
    CancelJob {
        node: usize,
        process: u64,
        job_id: JobId,
        epoch_version: Option<u64>,
    },
    /// The response to the transaction. On its arrival the node confirms the cancellation to the user, who waits
    /// until `give_up_at` (in true time) and then repeats the request.
    CancellationCommitted {
        node: usize,
        process: u64,
        job_id: JobId,
        commit: CancellationCommit,
        give_up_at: Timestamp,
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
                    self.nodes[node].term_began_at = self.local_time(node);
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
                | Delivery::CancellationRequested { .. }
                | Delivery::CancelJob { .. }
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
            Delivery::CancellationRequested { node, job_id } => self.request_cancellation(node, job_id),
            Delivery::CancelJob { node, process, job_id, epoch_version } => {
                self.cancel_job(node, process, job_id, epoch_version)
            }
            Delivery::CancellationCommitted { node, process, job_id, commit, give_up_at } => {
                if self.nodes[node].process != process || !self.reaches_store(node) {
                    // Without a response the node confirms nothing to the user.
                    return self.repeat_cancellation((node + 1) % NODE_COUNT, job_id);
                }
                self.confirm_cancellation(node, job_id, commit, give_up_at)
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
        self.nodes[node].store_answered_at = now;
        let cancellations = &mut self.nodes[node].leadership.cancellations;
        if sent < cancellations.known_until_by_store() {
            // Overtaken by a later reading: the real node sends one request at a time.
            return;
        }
        let live: Vec<JobId> = live.into_iter().collect();
        cancellations.apply_live_jobs(now, sent, true, &live, &[]);
        if sent >= self.nodes[node].term_began_at {
            self.nodes[node].jobs_read_at = now;
        }
    }

    /// Handles a user's request to cancel a job, as the endpoints do.
    pub(super) fn request_cancellation(&mut self, node: usize, job_id: JobId) {
        if !self.reaches_store(node) {
            return self.repeat_cancellation((node + 1) % NODE_COUNT, job_id);
        }
        let (now, process, delay) = (self.local_time(node), self.nodes[node].process, self.random_delay());
        if !self.store.live_jobs.contains(&job_id) {
            return self.respond_to_cancellation(node, process, job_id, CancellationCommit::Unknown);
        }
        let epoch_version = self.nodes[node].leadership.known_epoch_version();
        if let Some(version) = epoch_version {
            let actions = self.nodes[node].leadership.request_cancellation(now, job_id, version);
            self.apply_actions(node, actions);
        }
        self.send(delay, Delivery::CancelJob { node, process, job_id, epoch_version });
    }

    /// Carries out a transaction that cancels a job.
    fn cancel_job(&mut self, node: usize, process: u64, job_id: JobId, epoch_version: Option<u64>) {
        let current_version = self.store.epoch.as_ref().map_or(0, |(_, version)| *version);
        let is_in_epoch = epoch_version.is_none_or(|version| version == current_version);
        if !is_in_epoch {
            return self.repeat_cancellation(node, job_id);
        }
        if !self.store.live_jobs.remove(&job_id) {
            return self.respond_to_cancellation(node, process, job_id, CancellationCommit::Unknown);
        }
        self.cancelled.insert(job_id, self.now);
        let commit = epoch_version.map_or(CancellationCommit::Unknown, CancellationCommit::InEpoch);
        self.respond_to_cancellation(node, process, job_id, commit);
    }

    fn respond_to_cancellation(
        &mut self,
        node: usize,
        process: u64,
        job_id: JobId,
        commit: CancellationCommit,
    ) {
        let delay = self.random_delay();
        let give_up_at = self.now + delay + limits::CONFIRMATION_TIMEOUT;
        self.send(delay, Delivery::CancellationCommitted { node, process, job_id, commit, give_up_at });
    }

    fn confirm_cancellation(
        &mut self,
        node: usize,
        job_id: JobId,
        commit: CancellationCommit,
        give_up_at: Timestamp,
    ) {
        let (now, process) = (self.local_time(node), self.nodes[node].process);
        let outcome = self.nodes[node].leadership.request_confirmation(now, job_id, commit);
        self.apply_actions(node, outcome.actions);
        if outcome.is_permitted {
            self.confirmed.entry(job_id).or_insert(self.now);
        } else if self.now < give_up_at {
            let again = Delivery::CancellationCommitted { node, process, job_id, commit, give_up_at };
            self.send(CONFIRMATION_CHECK_INTERVAL, again);
        } else {
            self.repeat_cancellation(node, job_id);
        }
    }

    /// The user repeats the request a second later.
    fn repeat_cancellation(&mut self, node: usize, job_id: JobId) {
        self.send(SECOND, Delivery::CancellationRequested { node, job_id });
    }
}
