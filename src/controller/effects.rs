//! Carries out what the scheduler decides: responses to heartbeats, direct commands, transactions, requests to the
//! cloud. The outcome comes back as a command to the scheduler.

use super::cloud_driver::{AuthorityGate, CloudRequest};
use super::finished_tasks::{finished_tasks_write, FinishedTasksWrite};
use super::job_watch::sweep;
use super::record_writer::write_outcome;
use super::Controller;
use crate::node_events::Event;
use crate::peer::Payload;
use crate::protocol::records::{FinalRecord, MachineRecord};
use crate::protocol::users::JobStatus;
use crate::protocol::workers::{DirectCommands, WorkerCommand};
use crate::scheduler::model::JobId;
use crate::scheduler::{Command, Effect, RequestOutcome, StoredMachine, TaskCommand};
use crate::storage::key_value_store::{compare_version, remove_change, write_change};
use crate::storage::keys;
use crate::worker;
use std::collections::BTreeSet;
use tracing::{debug, info};

/// Puts and deletes of a job's last transaction besides its finished tasks: its final state, its live record.
const FINAL_CHANGES: usize = 2;

impl Controller {
    /// Runs a request of the scheduler and sends it the outcome as a command under the current token.
    pub(super) fn spawn_scheduler_request<F>(&self, future: F)
    where
        F: std::future::Future<Output = Command> + Send + 'static,
    {
        let (events, token) = (self.events.clone(), self.config.token);
        // Not aborted by an owner: its transaction compares the epoch, and the controller drops a command under an
        // earlier token.
        tokio::spawn(async move {
            // The controller ends only with the process.
            let _ = events.send(Event::Scheduler(token, future.await)).await;
        });
    }

    /// Carries out one effect of the scheduler.
    pub(super) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::HeartbeatResponse { response_id, renewal, task_commands, leaseholder_may_respond } => {
                self.respond(response_id, renewal, task_commands, leaseholder_may_respond)
            }
            Effect::RequestRelay { node, machine } => {
                self.peers.send(node, Payload::WakeRequest(vec![machine]));
            }
            Effect::DirectCommands { machine, address, agent_epoch, task_commands } => {
                self.send_direct(&machine, address, agent_epoch, &task_commands);
            }
            Effect::WriteFinishedTasks { job_id, version, tasks, all_succeeded } => {
                self.write_finished_tasks(job_id, version, tasks, all_succeeded);
            }
            Effect::WriteJobEnd { job_id, version, tasks, chunks } => {
                self.finish_job(job_id, version, tasks, chunks)
            }
            Effect::WriteMachineRecord { key, machines } => self.write_machine_record(key, machines),
            Effect::Rent { request, name, machine_type, zone, spot, count } => {
                // The token makes the name unique among all leaders, past and future.
                let name = name.unwrap_or_else(|| format!("r-{}-{request}", self.config.token));
                self.cloud_request(CloudRequest::Rent { request, name, machine_type, zone, spot, count });
            }
            Effect::ReadJob { job_id } => self.read_job(job_id),
            Effect::WriteColdStart(report) => self.write_cold_start(*report),
            Effect::WriteDrain { key, value } => self.write_drain(key, value),
            Effect::Delete(names) => self.cloud_request(CloudRequest::Delete(names)),
            Effect::Deposed(token) => {
                let actions = self.leadership.observe_token(token, self.clock.now());
                self.apply_actions(actions);
            }
        }
    }

    /// Sends stop commands to a worker's address, without waiting for its next heartbeat.
    fn send_direct(&self, machine: &str, address: String, agent_epoch: u64, task_commands: &[TaskCommand]) {
        let Some(token) = self.leadership.authority(self.clock.now()) else { return };
        let commands = task_commands.iter().map(WorkerCommand::from).collect();
        let commands = DirectCommands { token, agent_epoch, commands };
        // Without a permit the response to the next heartbeat carries the stops.
        let Ok(permit) = self.clients.direct_command_permits.clone().try_acquire_owned() else { return };
        let (http, events, gate) = (self.clients.workers.clone(), self.events.clone(), self.authority_gate());
        debug!(machine, stops = commands.commands.len(), "direct stops");
        // Not aborted by an owner: it ends with its request, and sends nothing without authority.
        tokio::spawn(async move {
            let response = match gate.is_open() {
                true => worker::send_commands(&http, &address, &commands).await,
                false => None,
            };
            drop(permit);
            if let Some(heartbeat) = response {
                // The controller ends only with the process.
                let _ = events.send(Event::Scheduler(token, Command::DirectResponse(heartbeat))).await;
            }
        });
    }

    /// Writes finished tasks of a job that goes on.
    fn write_finished_tasks(
        &self,
        job_id: JobId,
        version: u64,
        tasks: BTreeSet<u32>,
        all_succeeded: BTreeSet<u32>,
    ) {
        let max_changes = self.settings.deployment.state.txn_ops;
        let writer = self.record_writer();
        self.spawn_scheduler_request(async move {
            let FinishedTasksWrite { tasks, changes } =
                finished_tasks_write(job_id, tasks, &all_succeeded, max_changes);
            let is_live = compare_version(&keys::live_job(job_id), version);
            let outcome = writer.write_if(vec![is_live], changes).await;
            Command::FinishedTasksWritten { job_id, tasks, outcome }
        });
    }

    /// Moves a job from the live jobs to its final state, and removes its finished tasks.
    fn finish_job(&self, job_id: JobId, version: u64, tasks: u32, mut chunks: Vec<u32>) {
        // What does not fit the transaction is removed after it: readers ask for the job first.
        let max_chunks = self.settings.deployment.state.txn_ops.saturating_sub(FINAL_CHANGES);
        let rest = chunks.split_off(max_chunks.min(chunks.len()));
        let (store, epoch, leads) =
            (self.clients.store.clone(), self.term.epoch_version, self.epoch_comparison());
        self.spawn_scheduler_request(async move {
            let record = FinalRecord { status: JobStatus::Done, tasks };
            let mut changes: Vec<_> = write_change(&keys::final_state(job_id), record).into_iter().collect();
            changes.push(remove_change(&keys::live_job(job_id)));
            changes.extend(chunks.iter().map(|chunk| remove_change(&keys::finished_tasks(job_id, *chunk))));
            let conditions = vec![leads, compare_version(&keys::live_job(job_id), version)];
            let outcome = write_outcome(store.commit(conditions, changes).await).await;
            if outcome == RequestOutcome::Done {
                info!(job = %job_id, "done");
                let rest = rest.into_iter().map(|chunk| keys::finished_tasks(job_id, chunk)).collect();
                // Not aborted by an owner: see `sweep`.
                tokio::spawn(sweep(store, rest, epoch));
            }
            Command::JobEndWritten { job_id, outcome }
        });
    }

    /// Writes a machine record, or removes one without machines.
    fn write_machine_record(&self, key: String, machines: Vec<StoredMachine>) {
        let writer = self.record_writer();
        self.spawn_scheduler_request(async move {
            let path = keys::machine_record(&key);
            let records: Vec<MachineRecord> = machines.into_iter().map(MachineRecord::from).collect();
            let changes = if records.is_empty() {
                vec![remove_change(&path)]
            } else {
                write_change(&path, records).into_iter().collect()
            };
            let outcome = writer.write(changes).await;
            Command::MachineRecordWritten { key, outcome }
        });
    }

    pub(super) fn authority_gate(&self) -> AuthorityGate {
        AuthorityGate { clock: self.clock, until: self.authority_until.clone() }
    }

    fn cloud_request(&self, request: CloudRequest) {
        if let Some(queue) = &self.term.cloud_requests {
            // The receiver ends only with the leadership.
            let _ = queue.send(request);
        }
    }
}
