//! Applies the exits of tasks to their jobs and machines. Called by `task_lists`.

use super::model::{ExitReason, JobId, Kind, TaskAttempt, TaskFailure, TaskId, TerminationProof};
use super::Scheduler;
use crate::limits;
use crate::time::to_micros;
use std::time::Duration;
use tracing::{debug, info, warn};

impl Scheduler {
    /// Applies the exit of a task as a heartbeat lists it. The worker lists it until it receives a command to
    /// forget the task; only the first report has an effect beyond the placement.
    pub(super) fn apply_exit(&mut self, name: &str, exited: TaskAttempt, reason: ExitReason) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_first_report = machine.unplaced_tasks.exited.insert(exited, reason).is_none();
        let placement = machine.tasks.get(&exited.task);
        let is_placed = placement.is_some_and(|placement| placement.attempt == exited.attempt);
        let stop_requested = placement.is_some_and(|placement| placement.stopping.is_some());
        if is_placed {
            self.end_placement(name, exited.task, reason);
        }
        if !is_first_report {
            return;
        }
        debug!(task = %exited.task, machine = name, ?reason, "task exited");
        if reason != ExitReason::Done && reason != ExitReason::Stopped {
            info!(task = %exited.task, machine = name, ?reason, "task did not succeed");
        }
        self.record_exit(name, exited, reason, stop_requested);
    }

    /// Removes the placement of an exited task.
    fn end_placement(&mut self, name: &str, id: TaskId, reason: ExitReason) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let running_since = machine.tasks.remove(&id).and_then(|placement| placement.running_since);
        if let (ExitReason::Done, Some(since)) = (reason, running_since) {
            self.assess_speed(name, id.job_id, now.since(since));
        }
        self.remove_placement(name, id, TerminationProof::Exited);
    }

    /// Applies an exit that is reported for the first time to the job and to the health of the machine.
    fn record_exit(&mut self, name: &str, exited: TaskAttempt, reason: ExitReason, stop_requested: bool) {
        let job_id = exited.task.job_id;
        match reason {
            ExitReason::Done => {
                self.record_succeeded(exited.task);
                self.attribute_failures_to_machines(name, exited);
            }
            // A task that was asked to stop may exit with these reasons without a fault of its job or machine.
            ExitReason::Error | ExitReason::Unknown if stop_requested => {}
            ExitReason::Error => {
                self.attribute_task_failure(name, exited, TaskFailure::WhileRunning);
            }
            ExitReason::Unknown => {
                self.attribute_task_failure(name, exited, TaskFailure::NotKnownToWorker);
            }
            // The task was asked to stop, or other members of its gang were gone or did not start: the
            // attempt has ended for the whole gang.
            ExitReason::Stopped => {
                if let Some(job) = self.jobs.get_mut(&job_id).filter(|job| job.spec.kind == Kind::Gang) {
                    job.gang.last_ended_attempt = job.gang.last_ended_attempt.max(exited.attempt);
                }
            }
            ExitReason::NoRoom | ExitReason::Busy => {
                let now = self.now;
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.health.back_off_until(now + limits::PLACEMENT_BACKOFF);
                }
            }
        }
    }

    /// Records that the task succeeded.
    fn record_succeeded(&mut self, id: TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        if job.terminated || id.task >= job.spec.tasks {
            return;
        }
        let succeeded = match job.spec.kind {
            Kind::Service => 0..0,
            // The tasks of a gang complete together, so one success is recorded for all: the machines of the
            // others may be lost before they report.
            Kind::Gang => 0..job.spec.tasks,
            Kind::Array => id.task..id.task + 1,
        };
        job.progress.record_succeeded(succeeded, now);
    }

    /// Compares the run time of a succeeded task with the mean of earlier ones of its job.
    ///
    /// Run times within one job differ by up to 2.3 times from shortest to longest. A task that takes more
    /// than `SLOW_FACTOR` times the mean counts against its machine; after `MAX_SLOW_TASKS` in a row the
    /// machine gets no arrays and gangs for a while.
    fn assess_speed(&mut self, name: &str, job_id: JobId, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let earlier = job.run_times;
        job.run_times.add(run_time);
        if earlier.count < limits::MIN_SPEED_SAMPLES {
            return;
        }
        let is_slow = to_micros(run_time) as f64
            > limits::SLOW_FACTOR * to_micros(earlier.total) as f64 / earlier.count as f64;
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.health.consecutive_slow_tasks =
            if is_slow { machine.health.consecutive_slow_tasks + 1 } else { 0 };
        if machine.health.consecutive_slow_tasks >= limits::MAX_SLOW_TASKS {
            warn!(machine = name, "machine is slow; placing no arrays or gangs on it for a while");
            machine.health.consecutive_slow_tasks = 0;
            machine.health.quarantined_until = now + limits::SLOW_MACHINE_QUARANTINE;
        }
    }
}
