//! Carries out what leadership decides: messages, requests to the state service, the beginning and the end of this
//! node's own leadership.

use super::cloud_driver::{drive_cloud, list_machines};
use super::drain_records::follow_drains;
use super::heartbeat_routing::ReplyTo;
use super::job_watch::follow_jobs;
use super::Controller;
use crate::leadership::{Action, Message, StoreResponse};
use crate::node_events::{Event, HeartbeatReply};
use crate::peer::Payload;
use crate::protocol::records::Epoch;
use crate::scheduler::{Command, Scheduler};
use crate::storage::key_value_store::{KeyValueStore, LockCondition, LockState, Takeover, TakeoverError};
use crate::storage::record_versions::RecordVersions;
use tokio::sync::mpsc;
use tracing::debug;

impl Controller {
    /// Carries out actions of leadership in order.
    pub(super) fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send_message(to, message),
                Action::Attest(to, attestation) => {
                    self.send(to, Payload::Attestation(attestation));
                }
                Action::Probe => self.spawn_store_request(probe),
                Action::TakeOver { token, version, ignore_lock } => {
                    let lock_condition =
                        if ignore_lock { LockCondition::Ignored } else { LockCondition::Absent };
                    self.take_over(token, version, lock_condition);
                }
                Action::Renew { lease } => self.renew(lease),
                Action::Release { lease } => {
                    let store = self.store.clone();
                    tokio::spawn(async move { store.revoke_lease(lease).await });
                }
                Action::Elected { token, version } => self.begin_leadership(token, version),
                Action::Deposed { keep_until } => {
                    // Its workers are a shard now like any other's.
                    self.shard.retain_after_leadership(self.config.token, keep_until);
                    self.end_leadership();
                }
            }
        }
    }

    fn send_message(&mut self, to: usize, message: Message) {
        let now = self.clock.now();
        let mut status = self.status(now);
        status.state_age = self.leadership.reported_state_age(now, to, status.state_age);
        // A full queue means a peer that does not answer; later messages replace this one.
        self.send(to, Payload::Leadership(status, message));
    }

    fn take_over(&self, token: u64, version: u64, lock_condition: LockCondition) {
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

    fn renew(&self, lease: u64) {
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

    fn spawn_store_request<F>(&self, ask: impl FnOnce(KeyValueStore) -> F)
    where
        F: std::future::Future<Output = StoreResponse> + Send + 'static,
    {
        let (events, future) = (self.events.clone(), ask(self.store.clone()));
        tokio::spawn(async move {
            let _ = events.send(Event::Store(future.await)).await;
        });
    }

    fn begin_leadership(&mut self, token: u64, version: u64) {
        self.end_leadership();
        let now = self.clock.now();
        self.config.token = token;
        self.epoch_version = version;
        self.record_versions = RecordVersions::default();
        let mut scheduler = Scheduler::new(self.config.clone(), now);
        let types = Command::Types(self.types.values().cloned().collect());
        let effects = scheduler.step(now, vec![types]);
        self.scheduler = Some(scheduler);
        for effect in effects {
            self.apply_effect(effect);
        }
        let (to, queue) = mpsc::unbounded_channel();
        self.cloud_requests = Some(to);
        let events = self.events.clone();
        let rps = self.settings.deployment.cloud.rps;
        let cloud_limits = self.settings.deployment.cloud.clone();
        let draining = self.config.operator.draining.enabled;
        self.leadership_tasks = vec![
            tokio::spawn(follow_jobs(
                self.store.clone(),
                events.clone(),
                token,
                version,
                self.record_versions.clone(),
                draining.then(|| self.config.teams.clone()),
            )),
            tokio::spawn(drive_cloud(self.cloud.clone(), events.clone(), queue, token, rps, self.gate())),
            tokio::spawn(list_machines(self.cloud.clone(), events.clone(), token, cloud_limits)),
        ];
        if draining {
            self.leadership_tasks.push(tokio::spawn(follow_drains(self.store.clone(), events, token)));
        }
    }

    fn end_leadership(&mut self) {
        self.leadership_tasks.drain(..).for_each(|task| task.abort());
        self.cloud_requests = None;
        if let Some(mut scheduler) = self.scheduler.take() {
            scheduler.write_usage();
        }
        self.config.token = 0;
        for (_, to) in std::mem::take(&mut self.pending_replies) {
            match to {
                ReplyTo::Worker(to, _) => {
                    let _ = to.send(HeartbeatReply::Redirected(None));
                }
                ReplyTo::Leaseholder(node, id) => {
                    self.send(
                        node,
                        Payload::RelayedResponse {
                            id,
                            token: None,
                            cacheable: false,
                            task_commands: Vec::new(),
                        },
                    );
                }
            }
        }
    }
}

async fn probe(store: KeyValueStore) -> StoreResponse {
    match store.read_lock_state().await {
        Ok(LockState { epoch, locked }) => {
            StoreResponse::Probed { epoch: epoch.map(|stored| (stored.epoch, stored.version)), locked }
        }
        Err(error) => {
            debug!(%error, "probe");
            StoreResponse::Failed
        }
    }
}
