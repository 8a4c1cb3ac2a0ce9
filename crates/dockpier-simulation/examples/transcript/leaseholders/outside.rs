//! The outside world of the leader: applies its effects to workers, leaseholders, state service and cloud, and queues
//! their answers. Each effect draws its outcome first, whether it uses it or not.

use super::{Day, RoutedHeartbeat, STEP};
use crate::worker::InstanceKind;
use crate::SECOND;
use dockpier::lease::renewal::LeaseRenewal;
use dockpier::lease::shard::Shard;
use dockpier::scheduler::cold_start::JobReading;
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::{Command, Effect, RequestOutcome, StoredMachine, TaskCommand};
use dockpier::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;

/// The cloud has no more machines than this.
const MAX_MACHINES: usize = 16;

/// Whether a change is applied. One of unknown outcome is: only its answer is lost.
fn is_applied(outcome: RequestOutcome) -> bool {
    outcome != RequestOutcome::Refused
}

impl Day<'_> {
    /// Applies an effect of the leader.
    pub(super) fn carry_out(&mut self, effect: Effect) {
        let outcome = self.outcome();
        match effect {
            Effect::HeartbeatResponse { response_id, renewal, task_commands, leaseholder_may_respond } => {
                self.deliver_response(response_id, renewal.as_ref(), &task_commands, leaseholder_may_respond);
            }
            Effect::RequestRelay { node, machine } => self.leaseholder_shard(node).require_relay(&[machine]),
            Effect::DirectCommands { machine, agent_epoch, task_commands, .. } => {
                self.deliver_direct(&machine, agent_epoch, &task_commands);
            }
            Effect::WriteMachineRecord { key, machines } => self.record(key, machines, outcome),
            Effect::WriteFinishedTasks { job_id, tasks, .. } => self.commit_done(job_id, tasks, outcome),
            Effect::WriteJobEnd { job_id, .. } => {
                self.jobs.remove(&job_id);
                self.answer_later(Command::JobEndWritten { job_id, outcome: RequestOutcome::Done });
            }
            Effect::Rent { request, machine_type, zone, spot, count, .. } => {
                let instance = InstanceKind { machine_type, zone, spot };
                self.rent(request, instance, count, outcome);
            }
            Effect::Delete(machines) => self.delete(machines, outcome),
            Effect::ReadJob { job_id } => {
                let sent_at = Timestamp::from_micros(self.now);
                self.answer_later(Command::JobRead { job_id, sent_at, reading: JobReading::Absent });
            }
            Effect::WriteDrain { .. } | Effect::WriteColdStart(_) | Effect::Deposed(_) => {}
        }
    }

    /// Draws what becomes of an effect.
    fn outcome(&mut self) -> RequestOutcome {
        match self.rng.random_range(0..100) {
            0..=87 => RequestOutcome::Done,
            88..=94 => RequestOutcome::Refused,
            _ => RequestOutcome::Unknown,
        }
    }

    /// Queues a command that reaches the scheduler one step later.
    fn answer_later(&mut self, command: Command) {
        self.later.push((self.now + STEP, command));
    }

    /// The shard of the leaseholder on this node. The leader's node 0 has none.
    fn leaseholder_shard(&mut self, node: usize) -> &mut Shard {
        &mut self.leaseholders[node - 1].shard
    }

    /// Hands the leader's response to the worker and to the leaseholder that relayed the heartbeat.
    fn deliver_response(
        &mut self,
        response_id: u64,
        renewal: Option<&LeaseRenewal>,
        task_commands: &[TaskCommand],
        leaseholder_may_respond: bool,
    ) {
        let (now, token) = (self.now, self.config.token);
        let Some(RoutedHeartbeat { relayed_by, heartbeat }) = self.waiting.remove(&response_id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&heartbeat.machine).filter(|_| renewal.is_some()) {
            worker.answered(now, token, task_commands);
        }
        if let Some(node) = relayed_by {
            let now = Timestamp::from_micros(now);
            self.leaseholder_shard(node).record_relayed_response(
                now,
                heartbeat,
                token,
                leaseholder_may_respond,
            );
        }
    }

    /// Hands commands to a worker past its leaseholder; a worker that takes them answers with a heartbeat.
    fn deliver_direct(&mut self, machine: &str, agent_epoch: u64, task_commands: &[TaskCommand]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else { return };
        if worker.take_direct(now, agent_epoch, task_commands) {
            let heartbeat = worker.heartbeat(now);
            self.answer_later(Command::DirectResponse(heartbeat));
        }
    }

    fn record(&mut self, key: String, machines: Vec<StoredMachine>, outcome: RequestOutcome) {
        if is_applied(outcome) {
            self.records.insert(key.clone(), machines);
        }
        self.answer_later(Command::MachineRecordWritten { key, outcome });
    }

    fn commit_done(&mut self, job_id: JobId, tasks: BTreeSet<u32>, outcome: RequestOutcome) {
        if let Some(job) = self.jobs.get_mut(&job_id).filter(|_| is_applied(outcome)) {
            job.succeeded.extend(&tasks);
        }
        self.answer_later(Command::FinishedTasksWritten { job_id, tasks, outcome });
    }

    /// Rents machines of this kind as far as the cloud has any.
    fn rent(&mut self, request: u64, instance: InstanceKind, count: u32, outcome: RequestOutcome) {
        let free = MAX_MACHINES.saturating_sub(self.workers.len()).min(count as usize);
        let outcome = if free == 0 { RequestOutcome::Refused } else { outcome };
        let made = if outcome == RequestOutcome::Refused { 0 } else { free };
        let made: Vec<String> = (0..made).map(|_| self.make_machine(instance.clone(), 4 * SECOND)).collect();
        let machines = (outcome == RequestOutcome::Done).then_some(made);
        self.answer_later(Command::Rented { request, machines, outcome });
    }

    fn delete(&mut self, machines: Vec<String>, outcome: RequestOutcome) {
        if is_applied(outcome) {
            self.workers.retain(|name, _| !machines.contains(name));
        }
        self.answer_later(Command::Deleted { machines, outcome });
    }
}
