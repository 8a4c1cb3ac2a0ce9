//! Failures of the tasks of a job, and the backoffs that follow from them: of the whole job, and of the job on
//! single machines. Owned by `Job`; `fault_attribution` records failures, placement asks which machines are
//! closed to the job.

use crate::limits;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// How a task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskFailure {
    /// It started, and exited with an error.
    WhileRunning,
    /// The worker reported that it did not know the task (exit reason `unknown`): the job backs off, and the
    /// machine is not at fault.
    NotKnownToWorker,
}

/// Failures of a job's tasks on one machine since a task of the job last succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineFailures {
    /// When the last task failed there.
    pub last_at: Timestamp,
    /// Highest attempt number among the tasks that failed there.
    pub last_attempt: u64,
    /// Whether any task failed while it was running there.
    pub any_while_running: bool,
    /// Number of failures. Tasks that fail while the machine is closed to the job were started before it was
    /// closed, and are not counted again.
    pub count: u32,
    /// Until this time the machine is closed to the job: it gets no task of it.
    pub closed_until: Timestamp,
}

/// Failures of the tasks of a job, and the backoff that follows from them.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// Backoffs of the job since one of its tasks last succeeded. The job backs off if a task fails while the
    /// job is suspected to be faulty (`is_suspected`), or if a task that was not asked to stop exits with
    /// `ExitReason::Unknown`. Each backoff doubles the next one, up to `MAX_JOB_BACKOFF`.
    pub consecutive_backoffs: u32,
    /// By name, the machines on which its tasks have failed since a task of the job last succeeded.
    pub machines: BTreeMap<String, MachineFailures>,
    /// None of its tasks starts before this time.
    pub backoff_until: Timestamp,
}

impl JobFailures {
    /// Records that a task of the job failed on the machine at `now`, and closes the machine to the job: for
    /// `FAILED_MACHINE_BACKOFF`, twice as long with each further failure, `MAX_JOB_BACKOFF` at most.
    pub(in crate::scheduler) fn record(
        &mut self,
        machine: &str,
        attempt: u64,
        failure: TaskFailure,
        now: Timestamp,
    ) -> MachineFailures {
        self.forget_old(now);
        let none = MachineFailures {
            last_at: now,
            last_attempt: 0,
            any_while_running: false,
            count: 0,
            closed_until: Timestamp::ZERO,
        };
        let mut failures = self.machines.get(machine).copied().unwrap_or(none);
        failures.last_at = now;
        failures.any_while_running |= failure == TaskFailure::WhileRunning;
        failures.last_attempt = failures.last_attempt.max(attempt);
        if now >= failures.closed_until {
            let backoff = limits::FAILED_MACHINE_BACKOFF * (1 << failures.count.min(10));
            failures.count += 1;
            failures.closed_until = now + backoff.min(limits::MAX_JOB_BACKOFF);
        }
        if self.has_failed_on(machine) || self.machines.len() < limits::MAX_MACHINES_IN_FAILURE_RECORD {
            self.machines.insert(machine.to_string(), failures);
        }
        failures
    }

    /// Clears the record if no task has failed for `FAILURE_MEMORY`. Otherwise a service, of which no task ever
    /// succeeds, would be suspected for good after a few failures in its life.
    fn forget_old(&mut self, now: Timestamp) {
        let last_at = self.machines.values().map(|failures| failures.last_at).max();
        if last_at.is_some_and(|last_at| now >= last_at + limits::FAILURE_MEMORY) {
            *self = JobFailures::default();
        }
    }

    /// Whether tasks of the job have failed on the machine with this name since one last succeeded.
    pub(in crate::scheduler) fn has_failed_on(&self, machine: &str) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether the machine with this name is closed to the job at `now`.
    pub(in crate::scheduler) fn is_closed(&self, machine: &str, now: Timestamp) -> bool {
        self.machines.get(machine).is_some_and(|failures| now < failures.closed_until)
    }
}
