//! Adds jobs to the scheduler when they are submitted or loaded, and removes them when they are finished or
//! cancelled. Called by `Scheduler::apply`, and by `cold_start` for jobs that the state service was asked
//! about.

use super::model::{Job, JobId, JobSummary, TaskCounts, TaskStatus};
use super::{RequestOutcome, Scheduler, StoredJob};
use std::collections::BTreeSet;
use tracing::debug;

impl Scheduler {
    /// Adds a job unless it is known. `inherited`: an earlier leader may have started it.
    pub(super) fn add_job(&mut self, stored: StoredJob, inherited: bool) {
        let job_id = stored.spec.job_id;
        if self.jobs.contains_key(&job_id) {
            return;
        }
        debug!(job = %job_id, tasks = stored.spec.tasks, inherited, "job added");
        let submitted_at = self.now - stored.age;
        let job = Job::new(stored.spec, stored.version, submitted_at, inherited, stored.succeeded);
        self.jobs.insert(job_id, job);
    }

    /// Terminates a job: no task of it starts, and all that run are stopped. The job is removed once none of
    /// its tasks is placed.
    pub(super) fn terminate_job(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.terminated = true;
        job.progress.pending.clear();
        self.stop_all_tasks(job_id);
        self.remove_if_terminated(job_id);
    }

    /// Applies the outcome of the write that moves a job whose tasks have all succeeded to its final
    /// state.
    pub(super) fn handle_job_end_written(&mut self, job_id: JobId, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Done => self.terminate_job(job_id),
            // The job was cancelled meanwhile, or the outcome is not known. The write is repeated; it
            // succeeds only if the job's stored record still has the version that this leader knows.
            RequestOutcome::Refused | RequestOutcome::Unknown => {
                if let Some(job) = self.jobs.get_mut(&job_id) {
                    job.progress.write_in_flight = false;
                }
            }
        }
    }

    /// The task counts of each job that is not terminated.
    pub fn summary(&self) -> Vec<JobSummary> {
        let running = |job: &Job| {
            let placements = self.placements_of(job);
            let running = placements.filter(|(_, _, placement)| placement.status == TaskStatus::Running);
            // A task that is on two machines counts once.
            running.map(|(id, _, _)| id).collect::<BTreeSet<_>>().len() as u32
        };
        self.jobs
            .values()
            .filter(|job| !job.terminated)
            .map(|job| JobSummary {
                job_id: job.spec.job_id,
                counts: TaskCounts { succeeded: job.progress.succeeded.len() as u32, running: running(job) },
            })
            .collect()
    }
}
