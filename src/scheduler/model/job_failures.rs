//! Failures of the tasks of a job, and the backoffs that follow from them: of the whole job, and of the job on
//! single machines. Owned by `Job`; `fault_attribution` records failures, placement asks which machines are
//! closed to the job.

use super::TaskAttempt;
use crate::limits;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::ops::Range;

/// How a task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskFailure {
    /// It started, and exited with an error.
    WhileRunning,
    /// The worker reported that it did not know the task (exit reason `unknown`): the job backs off, and the
    /// machine is not at fault.
    NotKnownToWorker,
}

/// Failures of a job's tasks on one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineFailures {
    /// When the last task failed there.
    pub last_at: Timestamp,
    /// Highest attempt number among the tasks that failed there.
    pub last_attempt: u64,
    /// Number of failures. Tasks that fail while the machine is closed to the job were started before it was
    /// closed, and are not counted again.
    pub count: u32,
    /// Until this time the machine is closed to the job: it gets no task of it.
    pub closed_until: Timestamp,
    /// Whether no task of the job has succeeded, on any machine, since the last failure there.
    pub since_last_success: bool,
}

/// A failure of one task on one machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Name of the machine.
    pub machine: String,
    /// The attempt that failed.
    pub attempt: u64,
    /// When it failed.
    pub at: Timestamp,
}

/// Failures of the tasks of a job, and the backoff that follows from them.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// Backoffs of the job since one of its tasks last succeeded. The job backs off if a task fails while the
    /// job is suspected to be faulty (`is_suspected`), or if a task that was not asked to stop exits with
    /// `ExitReason::Unknown`. Each backoff doubles the next one, up to `MAX_JOB_BACKOFF`.
    pub consecutive_backoffs: u32,
    /// By name, the machines on which its tasks have failed, until a task that was started later succeeds
    /// there.
    pub machines: BTreeMap<String, MachineFailures>,
    /// By index, tasks that failed while running and have not succeeded since: one failure for each of the
    /// first `SUSPECT_MACHINES` machines.
    tasks: BTreeMap<u32, Vec<FailedAttempt>>,
    /// None of its tasks starts before this time.
    pub backoff_until: Timestamp,
}

impl JobFailures {
    /// Records that a task of the job failed on the machine at `now`, and closes the machine to the job: for
    /// `FAILED_MACHINE_BACKOFF`, twice as long with each further failure, `MAX_JOB_BACKOFF` at most.
    pub(in crate::scheduler) fn record(
        &mut self,
        machine: &str,
        failed: TaskAttempt,
        failure: TaskFailure,
        now: Timestamp,
    ) -> MachineFailures {
        self.forget_old(now);
        let first = MachineFailures {
            last_at: now,
            last_attempt: 0,
            count: 0,
            closed_until: Timestamp::ZERO,
            since_last_success: true,
        };
        let mut failures = self.machines.get(machine).copied().unwrap_or(first);
        failures.last_at = now;
        failures.last_attempt = failures.last_attempt.max(failed.attempt);
        failures.since_last_success = true;
        if now >= failures.closed_until {
            let backoff = limits::FAILED_MACHINE_BACKOFF * (1 << failures.count.min(10));
            failures.count += 1;
            failures.closed_until = now + backoff.min(limits::MAX_JOB_BACKOFF);
        }
        if self.has_failed_on(machine) || self.machines.len() < limits::MAX_MACHINES_IN_FAILURE_RECORD {
            self.machines.insert(machine.to_string(), failures);
        }
        if failure == TaskFailure::WhileRunning {
            self.record_task(machine, failed, now);
        }
        failures
    }

    fn record_task(&mut self, machine: &str, failed: TaskAttempt, now: Timestamp) {
        let index = failed.task.task;
        if !self.tasks.contains_key(&index) && self.tasks.len() >= limits::MAX_TASKS_IN_FAILURE_RECORD {
            return;
        }
        let attempts = self.tasks.entry(index).or_default();
        let last = FailedAttempt { machine: machine.to_string(), attempt: failed.attempt, at: now };
        if let Some(earlier) = attempts.iter_mut().find(|earlier| earlier.machine == machine) {
            *earlier = last;
        } else if attempts.len() < limits::SUSPECT_MACHINES {
            attempts.push(last);
        }
    }

    /// Records that this attempt of the tasks has succeeded, which ends the backoff of the job. `machines`:
    /// where it ran. Returns the failures of these tasks that are the fault of their machines, since a later
    /// attempt succeeded elsewhere.
    pub(in crate::scheduler) fn record_success(
        &mut self,
        tasks: Range<u32>,
        attempt: u64,
        machines: &[String],
    ) -> Vec<FailedAttempt> {
        self.backoff_until = Timestamp::ZERO;
        self.consecutive_backoffs = 0;
        self.machines.values_mut().for_each(|failures| failures.since_last_success = false);
        let has_recovered =
            |machine: &String, failed_attempt: u64| machines.contains(machine) && attempt > failed_attempt;
        self.machines.retain(|machine, failures| !has_recovered(machine, failures.last_attempt));
        let mut faults = Vec::new();
        for index in self.tasks.range(tasks).map(|(index, _)| *index).collect::<Vec<_>>() {
            let failed = self.tasks.remove(&index).unwrap_or_default();
            faults
                .extend(failed.into_iter().filter(|failed| !has_recovered(&failed.machine, failed.attempt)));
        }
        faults
    }

    /// Clears the record if no task has failed for `FAILURE_MEMORY`. Otherwise a service, of which no task ever
    /// succeeds, would be suspected for good after a few failures in its life.
    fn forget_old(&mut self, now: Timestamp) {
        let last_at = self.machines.values().map(|failures| failures.last_at).max();
        if last_at.is_some_and(|last_at| now >= last_at + limits::FAILURE_MEMORY) {
            *self = JobFailures::default();
        }
    }

    /// Whether tasks of the job have failed on several machines since one last succeeded.
    pub(in crate::scheduler) fn are_on_several_machines(&self) -> bool {
        let recent = self.machines.values().filter(|failures| failures.since_last_success);
        recent.count() >= limits::SUSPECT_MACHINES
    }

    /// Whether the task with this index has failed on several machines.
    pub(in crate::scheduler) fn task_failed_on_several_machines(&self, index: u32) -> bool {
        self.attempts_of(index).len() >= limits::SUSPECT_MACHINES
    }

    /// The failures of the task with this index while running, one for each of the first `SUSPECT_MACHINES`
    /// machines.
    pub(in crate::scheduler) fn attempts_of(&self, index: u32) -> &[FailedAttempt] {
        self.tasks.get(&index).map_or(&[], Vec::as_slice)
    }

    /// Whether the machine with this name is in the record.
    pub(in crate::scheduler) fn has_failed_on(&self, machine: &str) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether the machine with this name is closed to the job at `now`.
    pub(in crate::scheduler) fn is_closed(&self, machine: &str, now: Timestamp) -> bool {
        self.machines.get(machine).is_some_and(|failures| now < failures.closed_until)
    }
}
