//! Carries out what the scheduler decides: answers, direct commands, transactions, requests to the cloud.

use super::cloud_driver::{CloudRequest, Gate};
use super::finished_tasks::done_changes;
use super::job_watch::sweep;
use super::Controller;
use crate::limits;
use crate::node_events::Event;
use crate::peer::Payload;
use crate::protocol::records::{FinalRecord, MachineRecord};
use crate::protocol::state_service::Comparison;
use crate::protocol::users::JobStatus;
use crate::protocol::workers::{DirectCommands, WorkerCommand};
use crate::scheduler::model::JobId;
use crate::scheduler::{Command, Effect, StoredMachine, TaskCommand, WriteOutcome};
use crate::storage::key_value_store::{compare_version, remove_change, write_change, CommitOutcome};
use crate::storage::keys;
use crate::worker;
use std::collections::BTreeSet;
use std::time::Duration;
use tracing::{debug, info};

/// Puts and deletes of a job's last transaction besides its finished tasks: its final state, its live record.
const FINAL_CHANGES: usize = 2;

impl Controller {
    /// Runs something for the scheduler of the present token and hands it the outcome.
    pub(super) fn spawn_scheduler_request<F>(&self, future: F)
    where
        F: std::future::Future<Output = Command> + Send + 'static,
    {
        let (events, token) = (self.events.clone(), self.config.token);
        tokio::spawn(async move {
            let _ = events.send(Event::Scheduler(token, future.await)).await;
        });
    }

    /// Carries out one effect of the scheduler.
    pub(super) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::HeartbeatResponse { reply, renewal, task_commands, cacheable: keep } => {
                self.respond(reply, renewal, task_commands, keep)
            }
            Effect::RequestWake { node, machine } => {
                self.send(node, Payload::WakeRequest(vec![machine]));
            }
            Effect::DirectCommands { machine, address, agent_epoch, task_commands } => {
                self.send_direct(&machine, address, agent_epoch, &task_commands);
            }
            Effect::CommitDone { job_id, version, tasks, all_done } => {
                self.commit_done(job_id, version, tasks, all_done);
            }
            Effect::Finish { job_id, version, tasks, chunks } => self.finish(job_id, version, tasks, chunks),
            Effect::Record { key, machines } => self.record(key, machines),
            Effect::Rent { request, name, machine_type, zone, spot, count } => {
                // The token makes the name unique among all leaders there will ever be.
                let name = name.unwrap_or_else(|| format!("r-{}-{request}", self.config.token));
                self.cloud_request(CloudRequest::Rent { request, name, machine_type, zone, spot, count });
            }
            Effect::ReadJob { job_id } => self.read_job(job_id),
            Effect::WriteColdStart(heartbeat) => self.write_cold_start(*heartbeat),
            Effect::WriteDrain { key, value } => self.write_drain(key, value),
            Effect::Delete(names) => self.cloud_request(CloudRequest::Delete(names)),
            Effect::Deposed(token) => {
                let actions = self.leadership.observe_token(token, self.clock.now());
                self.apply_actions(actions);
            }
        }
    }

    /// Every transaction of a leader rests on its epoch.
    pub(super) fn epoch_comparison(&self) -> Comparison {
        compare_version(keys::LEADER_EPOCH, self.epoch_version)
    }

    fn send_direct(&self, machine: &str, address: String, agent_epoch: u64, task_commands: &[TaskCommand]) {
        let Some(token) = self.leadership.authority(self.clock.now()) else { return };
        let commands = task_commands.iter().map(WorkerCommand::from).collect();
        let commands = DirectCommands { token, agent_epoch, commands };
        // The next heartbeat brings the stops as well.
        let Ok(turn) = self.direct_command_permits.clone().try_acquire_owned() else { return };
        let (http, events, gate) = (self.worker_client.clone(), self.events.clone(), self.gate());
        debug!(machine, stops = commands.commands.len(), "direct stops");
        tokio::spawn(async move {
            let answer = match gate.open() {
                true => worker::send_commands(&http, &address, &commands).await,
                false => None,
            };
            drop(turn);
            if let Some(heartbeat) = answer {
                let _ = events.send(Event::Scheduler(token, Command::DirectCommandAnswered(heartbeat))).await;
            }
        });
    }

    fn commit_done(&self, job_id: JobId, version: u64, tasks: BTreeSet<u32>, all_done: BTreeSet<u32>) {
        let most = self.settings.deployment.state.txn_ops;
        let (store, versions, leads) =
            (self.store.clone(), self.record_versions.clone(), self.epoch_comparison());
        self.spawn_scheduler_request(async move {
            let (tasks, changes) = done_changes(job_id, tasks, &all_done, most);
            let conditions = vec![leads, compare_version(&keys::live_job(job_id), version)];
            let outcome = outcome_of(versions.commit(&store, conditions, changes).await).await;
            Command::Committed { job_id, tasks, outcome }
        });
    }

    fn finish(&self, job_id: JobId, version: u64, tasks: u32, mut chunks: Vec<u32>) {
        // What does not fit the transaction is removed after it: readers ask for the job first.
        let fit = self.settings.deployment.state.txn_ops.saturating_sub(FINAL_CHANGES);
        let rest = chunks.split_off(fit.min(chunks.len()));
        let (store, epoch, leads) = (self.store.clone(), self.epoch_version, self.epoch_comparison());
        self.spawn_scheduler_request(async move {
            let record = FinalRecord { status: JobStatus::Done, tasks };
            let mut changes: Vec<_> = write_change(&keys::final_state(job_id), record).into_iter().collect();
            changes.push(remove_change(&keys::live_job(job_id)));
            changes.extend(chunks.iter().map(|chunk| remove_change(&keys::finished_tasks(job_id, *chunk))));
            let conditions = vec![leads, compare_version(&keys::live_job(job_id), version)];
            let outcome = outcome_of(store.commit(conditions, changes).await).await;
            if outcome == WriteOutcome::Done {
                info!(job = %job_id, "done");
                let rest = rest.into_iter().map(|chunk| keys::finished_tasks(job_id, chunk)).collect();
                tokio::spawn(sweep(store, rest, epoch));
            }
            Command::Finished { job_id, outcome }
        });
    }

    fn record(&self, key: String, machines: Vec<StoredMachine>) {
        let (store, versions, leads) =
            (self.store.clone(), self.record_versions.clone(), self.epoch_comparison());
        self.spawn_scheduler_request(async move {
            let path = keys::machine_record(&key);
            let records: Vec<MachineRecord> = machines.into_iter().map(MachineRecord::from).collect();
            let change = if records.is_empty() {
                vec![remove_change(&path)]
            } else {
                write_change(&path, records).into_iter().collect()
            };
            let outcome = outcome_of(versions.commit(&store, vec![leads], change).await).await;
            Command::Recorded { key, outcome }
        });
    }

    pub(super) fn gate(&self) -> Gate {
        Gate { clock: self.clock, until: self.authority_until.clone() }
    }

    fn cloud_request(&self, request: CloudRequest) {
        if let Some(queue) = &self.cloud_requests {
            let _ = queue.send(request);
        }
    }
}

/// What the scheduler needs to know of a transaction. A failed one is reported after a pause, so that a
/// service in trouble is not asked hot and an outage ends without a stampede.
pub(super) async fn outcome_of(committed: CommitOutcome) -> WriteOutcome {
    if !matches!(committed, CommitOutcome::Committed { .. }) {
        let pause = limits::STORE_RETRY_DELAY_MS;
        let pause = pause + rand::random_range(0..=pause);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    match committed {
        CommitOutcome::Committed { .. } => WriteOutcome::Done,
        CommitOutcome::Conflict | CommitOutcome::Refused => WriteOutcome::Refused,
        CommitOutcome::Unknown => WriteOutcome::Unknown,
    }
}
