//! Decides whether a failed task is the fault of its machine or of its job. Called by `task_exit`.
//!
//! Usually the machine is at fault. This is proven if a task of the same job has succeeded, or if several
//! jobs that are not suspected themselves failed on the machine. A job of which no task has succeeded and
//! that fails on several machines is most likely faulty: its backoff grows with each failure, and it does not
//! count against machines.

use super::model::{Job, JobId, TaskFailure};
use super::Scheduler;
use crate::limits;
use crate::time::Timestamp;
use tracing::{info, warn};

impl Job {
    /// Whether the job itself is most likely faulty: no task of it has succeeded, and it has failed on
    /// several machines.
    pub(super) fn is_suspected(&self) -> bool {
        self.progress.succeeded.is_empty()
            && self.failure_history.machines.len() >= limits::SUSPECT_JOB_MACHINES
    }

    /// Whether the job gets no machine with this name now because its tasks failed there lately. Never for a
    /// suspected job, which backs off as a whole: its failures say nothing about machines.
    pub(super) fn avoids(&self, machine: &str, now: Timestamp) -> bool {
        !self.is_suspected() && self.failure_history.is_closed(machine, now)
    }
}

impl Scheduler {
    /// Records that this attempt of a task of the job failed on the machine with this name.
    pub(super) fn attribute_task_failure(
        &mut self,
        name: &str,
        job_id: JobId,
        attempt: u64,
        failure: TaskFailure,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let failures = job.failure_history.record(name, attempt, failure, now);
        let machine_proven_faulty = !job.progress.succeeded.is_empty();
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
            // A job that fails everywhere must not be restarted in a tight loop.
            let backoff = limits::JOB_BACKOFF * (1 << job.failure_history.consecutive_backoffs.min(10));
            job.failure_history.consecutive_backoffs += 1;
            job.failure_history.backoff_until = now + backoff.min(limits::MAX_JOB_BACKOFF);
        }
        if failure == TaskFailure::NotKnownToWorker {
            return;
        }
        // A failure of a suspected job says nothing about the machine, and must not delay other jobs.
        if suspected {
            return;
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.health.failed_jobs.insert(job_id, now);
            // For a while nothing is placed here, so that other machines are tried first. A further failure of
            // the same job says nothing new about the machine and must not delay other jobs.
            if failures.count == 1 {
                machine.health.back_off_until(now + limits::PLACEMENT_BACKOFF);
            }
        }
        self.replace_if_faulty(name, machine_proven_faulty, now);
    }

    /// Applies the success of this attempt of a task of the job on the machine with this name: machines on
    /// which other tasks of the job failed are at fault. This machine is not if the task was started after
    /// the failures here.
    pub(super) fn attribute_failures_to_machines(&mut self, name: &str, job_id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if job.failure_history.machines.is_empty() {
            return;
        }
        job.failure_history.backoff_until = Timestamp::ZERO;
        job.failure_history.consecutive_backoffs = 0;
        for (failed_on, failures) in std::mem::take(&mut job.failure_history.machines) {
            let succeeded_later = failed_on == name && attempt > failures.last_attempt;
            if !succeeded_later && failures.any_while_running {
                self.replace_if_faulty(&failed_on, true, failures.last_at);
            } else if let Some(machine) = self.machines.get_mut(&failed_on) {
                machine.health.failed_jobs.remove(&job_id);
            }
        }
    }

    /// Marks a machine for replacement if it is proven faulty (a task of the failed job succeeded) or if
    /// several jobs failed on it, and closes it for a while after the last failure there.
    fn replace_if_faulty(&mut self, name: &str, proven_faulty: bool, last_failure_at: Timestamp) {
        let (jobs, now) = (&self.jobs, self.now);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.health.failed_jobs.retain(|_, failed_at| now < *failed_at + limits::FAILURE_MEMORY);
        // Jobs that have become suspected since they failed do not count against the machine.
        let is_suspected = |job_id: &JobId| jobs.get(job_id).is_some_and(Job::is_suspected);
        let failures = machine.health.failed_jobs.keys().filter(|job_id| !is_suspected(job_id)).count();
        if !proven_faulty && failures < limits::MAX_MACHINE_FAILURES {
            return;
        }
        machine.health.back_off_until(last_failure_at + limits::FAULTY_MACHINE_BACKOFF);
        if !machine.lifecycle.to_be_replaced {
            warn!(machine = name, "tasks fail on the machine; draining and replacing it");
            machine.lifecycle.to_be_replaced = true;
        }
    }
}
