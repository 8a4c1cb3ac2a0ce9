//! Carries out what leadership decides: messages to peers, requests to the state service, and the beginning and the
//! end of this node's own leadership.

use super::cloud_driver::{drive_cloud, list_machines};
use super::drain_records::follow_drains;
use super::job_watch::{follow_jobs, JobWatch};
use super::{Controller, LeadershipTerm};
use crate::fencing_token::FencingToken;
use crate::leadership::{Action, Message, StoreResponse};
use crate::node_events::Event;
use crate::peer::Payload;
use crate::protocol::records::Epoch;
use crate::scheduler::{Command, Scheduler};
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::leader_lock::{LockCondition, LockState, Takeover, TakeoverError};
use std::future::Future;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tracing::debug;

impl Controller {
    /// Carries out actions of leadership in order.
    pub(super) fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send_message(to, message),
                Action::Attest(to, attestation) => {
                    self.peers.send(to, Payload::Attestation(attestation));
                }
                Action::Probe => self.spawn_store_request(probe),
                Action::TakeOver { token, version, ignore_lock } => {
                    let lock_condition =
                        if ignore_lock { LockCondition::Ignored } else { LockCondition::Absent };
                    self.take_over(token, version, lock_condition);
                }
                Action::Renew { lease } => self.renew_lock(lease),
                Action::RevokeLease { lease } => self.release_lock(lease),
                Action::Elected { token, version } => self.begin_leadership(token, version),
                Action::Deposed { keep_alive_until } => {
                    // Its workers now form a shard like that of any other node.
                    self.routing.shard.keep_alive_after_leadership(self.config.token, keep_alive_until);
                    self.end_leadership();
                }
            }
        }
    }

    /// Sends a message with this node's status, as far as that peer may know it.
    fn send_message(&mut self, to: usize, message: Message) {
        let now = self.clock.now();
        let mut status = self.status(now);
        status.store_answer_age = self.leadership.reported_store_answer_age(now, to, status.store_answer_age);
        self.peers.send(to, Payload::Leadership(status, message));
    }

    fn take_over(&self, token: FencingToken, version: u64, lock_condition: LockCondition) {
        let node = self.settings.node_name.clone();
        let epoch = Epoch { token, node, incarnation: self.incarnation };
        self.spawn_store_request(move |store| async move {
            match store.take_over(&epoch, version, lock_condition).await {
                Ok(Takeover { lease, version, requested_at }) => {
                    StoreResponse::TakeoverCommitted { lease, version, lease_sent: requested_at }
                }
                Err(TakeoverError { lease }) => StoreResponse::TakeoverFailed { lease },
            }
        });
    }

    fn renew_lock(&self, lease: u64) {
        let sent = self.clock.now();
        self.spawn_store_request(move |store| async move {
            match store.renew_lease(lease).await {
                Ok(alive) => StoreResponse::Renewed { lease, sent, alive },
                Err(error) => {
                    debug!(%error, "renewal");
                    StoreResponse::Failed
                }
            }
        });
    }

    fn release_lock(&self, lease: u64) {
        let store = self.clients.store.clone();
        // Not aborted by an owner: it ends with its request, and the lease must be revoked also after a leadership.
        tokio::spawn(async move { store.revoke_lease(lease).await });
    }

    fn spawn_store_request<F>(&self, request: impl FnOnce(KeyValueStore) -> F)
    where
        F: Future<Output = StoreResponse> + Send + 'static,
    {
        let (events, response) = (self.events.clone(), request(self.clients.store.clone()));
        // Not aborted by an owner: it ends with its request, and leadership needs the response in every role (a lease
        // that was created too late is revoked).
        tokio::spawn(async move {
            // The controller ends only with the process.
            let _ = events.send(Event::Store(response.await)).await;
        });
    }

    /// Starts a scheduler under the new token, and the tasks that serve it.
    fn begin_leadership(&mut self, token: FencingToken, version: u64) {
        self.end_leadership();
        let now = self.clock.now();
        self.config.token = token;
        self.term = LeadershipTerm { epoch_version: version, ..LeadershipTerm::default() };
        let mut scheduler = Scheduler::new(self.config.clone(), now);
        let types = Command::MachineTypes(self.types.values().cloned().collect());
        let effects = scheduler.step(now, vec![types]);
        self.scheduler = Some(scheduler);
        for effect in effects {
            self.apply_effect(effect);
        }
        self.spawn_leadership_tasks(token, version);
    }

    fn spawn_leadership_tasks(&mut self, token: FencingToken, version: u64) {
        let (cloud_requests, queue) = mpsc::unbounded_channel();
        self.term.cloud_requests = Some(cloud_requests);
        let (store, cloud, events) =
            (self.clients.store.clone(), self.clients.cloud.clone(), self.events.clone());
        let cloud_limits = self.settings.deployment.cloud.clone();
        let draining = self.config.operator.draining.enabled;
        let watch = JobWatch {
            store: store.clone(),
            events: events.clone(),
            token,
            epoch_version: version,
            record_versions: self.term.record_versions.clone(),
            drain_teams: draining.then(|| self.config.teams.clone()),
        };
        let gate = self.authority_gate();
        let tasks = &mut self.term.tasks;
        tasks.spawn(follow_jobs(watch));
        tasks.spawn(drive_cloud(cloud.clone(), events.clone(), queue, token, cloud_limits.rps, gate));
        tasks.spawn(list_machines(cloud, events.clone(), token, cloud_limits));
        if draining {
            tasks.spawn(follow_drains(store, events, token));
        }
    }

    /// Aborts the tasks of this leadership and drops the scheduler. The epoch's version stays: effects that are still
    /// to be carried out compare it, and so fail once another leader has written its own.
    fn end_leadership(&mut self) {
        self.term.tasks = JoinSet::new();
        self.term.cloud_requests = None;
        if let Some(mut scheduler) = self.scheduler.take() {
            scheduler.write_usage();
        }
        self.config.token = FencingToken::NONE;
        self.redirect_pending_replies();
    }
}

/// Reads the lock and the epoch for a candidate.
async fn probe(store: KeyValueStore) -> StoreResponse {
    let sent = store.now();
    match store.read_lock_state().await {
        Ok(LockState { epoch, locked }) => {
            let epoch = epoch.map(|stored| (stored.epoch, stored.version));
            StoreResponse::Probed { sent, epoch, locked }
        }
        Err(error) => {
            debug!(%error, "probe");
            StoreResponse::Failed
        }
    }
}
