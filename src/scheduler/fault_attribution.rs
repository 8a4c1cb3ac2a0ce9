//! Decides whether a failed task is the fault of its machine or of its job. Called by `task_exit`.
//!
//! Usually the machine is at fault. This is proven if the task then succeeds on another machine. It is assumed
//! if tasks of several jobs failed on the machine that have failed nowhere else, until they do.
//!
//! A job that fails on several machines without a success in between is most likely faulty: its backoff grows
//! with each failure, and it does not count against machines. Neither does a task that has failed on several
//! machines itself, whatever the other tasks of its job do: its input may be at fault.

use super::model::{Job, JobId, Kind, TaskAttempt, TaskFailure, TaskId};
use super::Scheduler;
use crate::limits;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use tracing::{info, warn};

impl Job {
    /// Whether the job itself is most likely faulty: it has failed on several machines since a task of it last
    /// succeeded.
    pub(super) fn is_suspected(&self) -> bool {
        self.failure_history.are_on_several_machines()
    }

    /// Lets no task of the job start for a while, longer each time: a job that fails everywhere must not be
    /// restarted in a tight loop.
    fn back_off(&mut self, now: Timestamp) {
        let failures = &mut self.failure_history;
        let backoff = limits::JOB_BACKOFF * (1 << failures.consecutive_backoffs.min(10));
        failures.consecutive_backoffs += 1;
        failures.backoff_until = now + backoff.min(limits::MAX_JOB_BACKOFF);
    }

    /// Whether the job gets no machine with this name now because its tasks failed there lately. Never for a
    /// suspected job, which backs off as a whole: its failures say nothing about machines.
    pub(super) fn avoids(&self, machine: &str, now: Timestamp) -> bool {
        self.failure_history.is_closed(machine, now) && !self.is_suspected()
    }
}

impl Scheduler {
    /// Records that a task failed on the machine with this name.
    pub(super) fn attribute_task_failure(&mut self, name: &str, failed: TaskAttempt, failure: TaskFailure) {
        let (now, job_id) = (self.now, failed.task.job_id);
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let failures = job.failure_history.record(name, failed, failure, now);
        let suspected = job.is_suspected();
        if !suspected {
            let closed_for_s = failures.closed_until.since(now).as_secs();
            info!(
                job = %job_id,
                machine = name,
                failures = failures.count,
                closed_for_s,
                "task failed; machine closed to the job"
            );
        }
        if suspected || failure == TaskFailure::NotKnownToWorker {
            job.back_off(now);
        }
        let index = failed.task.task;
        let may_be_fault_of_machine = failure == TaskFailure::WhileRunning
            && !suspected
            && !job.failure_history.task_failed_on_several_machines(index);
        let attempts = job.failure_history.attempts_of(index).to_vec();
        if may_be_fault_of_machine {
            self.count_against_machine(name, failed.task, failures.count);
        }
        // The task counts no longer against the machines on which it failed before.
        for earlier in attempts.iter().filter(|earlier| earlier.machine != name) {
            self.judge_machine(&earlier.machine, earlier.at);
        }
    }

    /// Counts the failure of a task against its machine. `failures`: how often its job has failed there.
    fn count_against_machine(&mut self, name: &str, task: TaskId, failures: u32) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.health.failed_tasks.insert(task, now);
        // For a while nothing is placed here, so that other machines are tried first. A further failure of the
        // same job says nothing new about the machine and must not delay other jobs.
        if failures == 1 {
            machine.health.back_off_until(now + limits::PLACEMENT_BACKOFF);
        }
        self.judge_machine(name, now);
    }

    /// Applies the success of a task on the machine with this name: machines on which the same task failed
    /// before are at fault. This machine is not if the task was started after the failures here.
    pub(super) fn attribute_failures_to_machines(&mut self, name: &str, succeeded: TaskAttempt) {
        let TaskAttempt { task, attempt } = succeeded;
        let Some(job) = self.jobs.get(&task.job_id) else { return };
        if job.failure_history.machines.is_empty() {
            return;
        }
        let mut machines = vec![name.to_string()];
        let mut tasks = task.task..task.task + 1;
        if job.spec.kind == Kind::Gang {
            // All tasks of a gang succeed together.
            tasks = 0..job.spec.tasks;
            let placements = self.placements_of(job).filter(|(_, _, placement)| placement.attempt == attempt);
            machines.extend(placements.map(|(_, machine, _)| machine.to_string()));
        }
        let Some(job) = self.jobs.get_mut(&task.job_id) else { return };
        let faults = job.failure_history.record_success(tasks, attempt, &machines);
        for recovered in machines.iter().filter(|machine| !job.failure_history.has_failed_on(machine)) {
            if let Some(machine) = self.machines.get_mut(recovered) {
                machine.health.failed_tasks.retain(|failed, _| failed.job_id != task.job_id);
            }
        }
        for fault in faults {
            if let Some(machine) = self.machines.get_mut(&fault.machine) {
                machine.health.proven_faulty = true;
            }
            self.judge_machine(&fault.machine, fault.at);
        }
    }

    /// Marks a machine for replacement if it is faulty, and closes it for a while after the last failure there;
    /// removes the mark if the failures no longer count against it.
    fn judge_machine(&mut self, name: &str, last_failure_at: Timestamp) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.health.failed_tasks.retain(|_, failed_at| now < *failed_at + limits::FAILURE_MEMORY);
        let is_faulty = self.is_faulty(name);
        let Some(machine) = self.machines.get_mut(name).filter(|machine| !machine.lifecycle.deleting) else {
            return;
        };
        if is_faulty {
            machine.health.back_off_until(last_failure_at + limits::FAULTY_MACHINE_BACKOFF);
        }
        match (is_faulty, machine.lifecycle.to_be_replaced) {
            (true, false) => warn!(machine = name, "tasks fail on the machine; draining and replacing it"),
            (false, true) => {
                info!(machine = name, "the tasks that failed on the machine fail elsewhere too; keeping it")
            }
            (true, true) | (false, false) => {}
        }
        machine.lifecycle.to_be_replaced = is_faulty;
    }

    /// Whether a machine is proven faulty, or tasks of several jobs failed on it that have failed nowhere else
    /// and whose jobs are not suspected.
    fn is_faulty(&self, name: &str) -> bool {
        let Some(machine) = self.machines.get(name) else { return false };
        let counts = |id: &TaskId| {
            let Some(job) = self.jobs.get(&id.job_id) else { return true };
            !job.is_suspected() && job.failure_history.attempts_of(id.task).len() <= 1
        };
        let failed_jobs: BTreeSet<JobId> =
            machine.health.failed_tasks.keys().filter(|id| counts(id)).map(|id| id.job_id).collect();
        machine.health.proven_faulty || failed_jobs.len() >= limits::MAX_MACHINE_FAILURES
    }
}
