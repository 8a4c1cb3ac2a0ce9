//! Tasks that fail: whether their machine is at fault or their job.
//!
//! Mostly it is the machine. A job that has finished a task elsewhere proves that, and so do failures of several
//! jobs that are not under suspicion themselves. A job of which nothing has finished and that fails on several
//! machines is most likely wrong: it waits longer and longer, and condemns no machine.

use super::model::{Job, JobId};
use super::Scheduler;
use crate::limits;
use tracing::warn;

impl Job {
    /// Nothing of it has finished, and it has failed on several machines: most likely it is wrong itself.
    pub(super) fn is_suspected(&self) -> bool {
        self.progress.succeeded.is_empty()
            && self.failure_history.machines.len() >= limits::SUSPECT_JOB_MACHINES
    }
}

impl Scheduler {
    /// A task of the job failed on the machine. `at_run`: it had started; otherwise the worker did not know it.
    pub(super) fn note_failure(&mut self, machine: &str, job_id: JobId, at_run: bool) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.failure_history.machines.insert(machine.to_string());
        let proven = !job.progress.succeeded.is_empty();
        let suspected = job.is_suspected();
        if suspected || !at_run {
            // A job that fails everywhere must not loop hot.
            let pause = limits::JOB_BACKOFF << job.failure_history.count.min(10);
            job.failure_history.count += 1;
            job.failure_history.backoff_until = now + pause.min(limits::MAX_JOB_BACKOFF);
        }
        if !at_run {
            return;
        }
        if let Some(machine) = self.machines.get_mut(machine) {
            // Other machines first.
            machine.health.no_room_backoff_until = now + limits::NO_ROOM_BACKOFF;
            if !suspected {
                machine.health.failed_jobs.insert(job_id);
            }
        }
        self.judge_faults(machine, proven);
    }

    /// A task of the job finished: where others of it failed, the machine is at fault.
    pub(super) fn note_success(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get_mut(&job_id).filter(|job| !job.failure_history.machines.is_empty())
        else {
            return;
        };
        job.failure_history.backoff_until = 0;
        job.failure_history.count = 0;
        for machine in std::mem::take(&mut job.failure_history.machines) {
            self.judge_faults(&machine, true);
        }
    }

    fn judge_faults(&mut self, name: &str, proven: bool) {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else { return };
        // Jobs that have come under suspicion since say nothing of the machine.
        let suspected = |job_id: &JobId| jobs.get(job_id).is_some_and(Job::is_suspected);
        let accusing = machine.health.failed_jobs.iter().filter(|job_id| !suspected(job_id)).count();
        if (proven || accusing >= limits::MAX_MACHINE_FAILURES) && !machine.lifecycle.draining {
            warn!(machine = name, "tasks fail on it: replacing it");
            machine.lifecycle.draining = true;
        }
    }
}
