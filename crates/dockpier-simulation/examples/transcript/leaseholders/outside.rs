//! The outside world of the leader: applies its effects to workers, leaseholders, state service and cloud, and queues
//! their answers. Each effect draws its outcome first, whether it uses it or not.

use super::{Day, RoutedHeartbeat, STEP};
use crate::worker::InstanceKind;
use crate::SECOND;
use dockpier::lease::renewal::LeaseRenewal;
use dockpier::lease::shard::Shard;
use dockpier::scheduler::cold_start::JobReading;
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::{Command, Effect, StoredMachine, TaskCommand, WriteOutcome};
use dockpier::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;

/// The cloud has no more machines than this.
const MAX_MACHINES: usize = 16;

/// Whether a change is applied. One of unknown outcome is: only its answer is lost.
fn is_applied(outcome: WriteOutcome) -> bool {
    outcome != WriteOutcome::Refused
}

impl Day<'_> {
    /// Applies an effect of the leader.
    pub(super) fn carry_out(&mut self, effect: Effect) {
        let outcome = self.outcome();
        match effect {
            Effect::HeartbeatResponse { reply, renewal, task_commands, cacheable } => {
                self.deliver_response(reply, renewal.as_ref(), &task_commands, cacheable);
            }
            Effect::RequestWake { node, machine } => self.leaseholder_shard(node).request_wake(&[machine]),
            Effect::DirectCommands { machine, agent_epoch, task_commands, .. } => {
                self.deliver_direct(&machine, agent_epoch, &task_commands);
            }
            Effect::Record { key, machines } => self.record(key, machines, outcome),
            Effect::CommitDone { job_id, tasks, .. } => self.commit_done(job_id, tasks, outcome),
            Effect::Finish { job_id, .. } => {
                self.jobs.remove(&job_id);
                self.answer_later(Command::Finished { job_id, outcome: WriteOutcome::Done });
            }
            Effect::Rent { request, machine_type, zone, spot, count, .. } => {
                let instance = InstanceKind { machine_type, zone, spot };
                self.rent(request, instance, count, outcome);
            }
            Effect::Delete(machines) => self.delete(machines, outcome),
            Effect::ReadJob { job_id } => {
                let sent = Timestamp::from_micros(self.now);
                self.answer_later(Command::JobRead { job_id, sent, reading: JobReading::Absent });
            }
            Effect::WriteDrain { .. } | Effect::WriteColdStart(_) | Effect::Deposed(_) => {}
        }
    }

    /// Draws what becomes of an effect.
    fn outcome(&mut self) -> WriteOutcome {
        match self.rng.random_range(0..100) {
            0..=87 => WriteOutcome::Done,
            88..=94 => WriteOutcome::Refused,
            _ => WriteOutcome::Unknown,
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
        reply: u64,
        renewal: Option<&LeaseRenewal>,
        task_commands: &[TaskCommand],
        cacheable: bool,
    ) {
        let (now, token) = (self.now, self.config.token);
        let Some(RoutedHeartbeat { via, heartbeat }) = self.waiting.remove(&reply) else { return };
        if let Some(worker) = self.workers.get_mut(&heartbeat.machine).filter(|_| renewal.is_some()) {
            worker.answered(now, token, task_commands);
        }
        if let Some(node) = via {
            let now = Timestamp::from_micros(now);
            self.leaseholder_shard(node).record_relayed_response(now, heartbeat, token, cacheable);
        }
    }

    /// Hands commands to a worker past its leaseholder; a worker that takes them answers with a heartbeat.
    fn deliver_direct(&mut self, machine: &str, agent_epoch: u64, task_commands: &[TaskCommand]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else { return };
        if worker.take_direct(now, agent_epoch, task_commands) {
            let heartbeat = worker.heartbeat(now);
            self.answer_later(Command::DirectCommandAnswered(heartbeat));
        }
    }

    fn record(&mut self, key: String, machines: Vec<StoredMachine>, outcome: WriteOutcome) {
        if is_applied(outcome) {
            self.records.insert(key.clone(), machines);
        }
        self.answer_later(Command::Recorded { key, outcome });
    }

    fn commit_done(&mut self, job_id: JobId, tasks: BTreeSet<u32>, outcome: WriteOutcome) {
        if let Some(job) = self.jobs.get_mut(&job_id).filter(|_| is_applied(outcome)) {
            job.succeeded.extend(&tasks);
        }
        self.answer_later(Command::Committed { job_id, tasks, outcome });
    }

    /// Rents machines of this kind as far as the cloud has any.
    fn rent(&mut self, request: u64, instance: InstanceKind, count: u32, outcome: WriteOutcome) {
        let free = MAX_MACHINES.saturating_sub(self.workers.len()).min(count as usize);
        let outcome = if free == 0 { WriteOutcome::Refused } else { outcome };
        let made = if outcome == WriteOutcome::Refused { 0 } else { free };
        let made: Vec<String> = (0..made).map(|_| self.make_machine(instance.clone(), 4 * SECOND)).collect();
        let machines = (outcome == WriteOutcome::Done).then_some(made);
        self.answer_later(Command::Rented { request, machines, outcome });
    }

    fn delete(&mut self, machines: Vec<String>, outcome: WriteOutcome) {
        if is_applied(outcome) {
            self.workers.retain(|name, _| !machines.contains(name));
        }
        self.answer_later(Command::Deleted { machines, outcome });
    }
}
