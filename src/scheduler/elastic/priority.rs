//! Aged priority of jobs, and the orders in which jobs are considered and preempted (paper, 3.2.1 and 3.2.2).
//! Used by the rounds and by the scaling plan.

use crate::limits;
use crate::scheduler::model::{Job, JobId, Kind, Priority};
use crate::scheduler::Scheduler;
use crate::time::{from_seconds, scaled, to_micros, Timestamp};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Difference in rank between two adjacent priority classes.
const RANKS_PER_CLASS: u64 = 1000;

/// Rank of critical jobs. Aging raises no other job to this rank.
const CRITICAL_RANK: u64 = Priority::Critical as u64 * RANKS_PER_CLASS;

impl Scheduler {
    /// Aged rank, in thousandths of a priority class: the class plus what the job has gained by age. Higher
    /// is served first. Every job ages from its submission, also while it runs. If a job stopped aging at its
    /// full width, later jobs would overtake it from then on, and it would be preempted before them. If it
    /// stopped aging with its first placed task, later jobs would overtake it even while it still grows.
    ///
    /// A job that has not started any task for `AGING_DELAY` ages faster, so that wide jobs do not starve
    /// (exception 5 of `docs/design.md`).
    pub(in crate::scheduler) fn rank(&self, job: &Job) -> u64 {
        let rank = self.regular_rank(job, self.relative_size(job));
        if job.has_started() || job.spec.priority == Priority::Critical {
            return rank;
        }
        rank.max(self.rank_after_aging(job, job.submitted_at + limits::AGING_DELAY, limits::AGING_INTERVAL))
    }

    /// The rank without exception 5. A job with a deadline ages fast enough to gain at least one priority
    /// class by its deadline, before the scaling by size described below. A job that has missed its deadline
    /// ages at the normal rate and leaves capacity to jobs that can still meet theirs.
    ///
    /// The interval in which a job gains a class, with or without a deadline, is multiplied by `size`, the
    /// relative size of the remaining work: smaller jobs age faster (exception 7 of `docs/design.md`). Under
    /// overload, serving jobs in order of arrival makes all of them late; as most jobs are short, preferring
    /// short ones keeps most in time.
    pub(super) fn regular_rank(&self, job: &Job, size: f64) -> u64 {
        if job.spec.priority == Priority::Critical {
            return CRITICAL_RANK;
        }
        let age = self.now.since(job.submitted_at);
        let interval = from_seconds(self.config.operator.aging_s);
        let deadline =
            job.spec.deadline_s.map(from_seconds).filter(|deadline| !deadline.is_zero() && age <= *deadline);
        let interval = scaled(deadline.map_or(interval, |deadline| interval.min(deadline)), size);
        self.rank_after_aging(job, job.submitted_at, interval.max(Duration::from_micros(1)))
    }

    /// The remaining work of the job as a multiple of the mean work of a job, clamped to `MAX_AGING_FACTOR`
    /// or its inverse. 1 if the mean is not known.
    pub(super) fn relative_size(&self, job: &Job) -> f64 {
        if self.mean_job_work <= 0.0 {
            return 1.0;
        }
        let size = job.estimated_work_s(job.unfinished_task_count()) / self.mean_job_work;
        size.clamp(1.0 / limits::MAX_AGING_FACTOR, limits::MAX_AGING_FACTOR)
    }

    /// Updates the mean work of the arrays and gangs that have not terminated.
    pub(super) fn update_mean_job_work(&mut self) {
        let finite_jobs = self.jobs.values().filter(|job| !job.terminated && job.spec.kind != Kind::Service);
        let works: Vec<f64> = finite_jobs.map(|job| job.estimated_work_s(job.spec.tasks)).collect();
        self.mean_job_work = works.iter().sum::<f64>() / works.len().max(1) as f64;
    }

    /// The rank of a job that gains one priority class per `interval` from `since` on. It stays below the
    /// rank of critical jobs.
    fn rank_after_aging(&self, job: &Job, since: Timestamp, interval: Duration) -> u64 {
        let age = to_micros(self.now.since(since));
        let rank = job.spec.priority as u64 * RANKS_PER_CLASS + age * RANKS_PER_CLASS / to_micros(interval);
        rank.min(CRITICAL_RANK - 1)
    }

    /// The order in which jobs are preempted (figure 2): lowest first by `regular_rank` with size 1, the
    /// latest first on ties. Size 1 leaves out the remaining work, since otherwise long jobs would be
    /// preempted for all others.
    pub(super) fn preemption_order(&self) -> Arc<[JobId]> {
        let placed = self.jobs.values().filter(|job| !job.terminated && !job.placements.is_empty());
        let mut order: Vec<_> = placed
            .map(|job| {
                (self.regular_rank(job, 1.0), Reverse((job.submitted_at, job.version)), job.spec.job_id)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, job_id)| job_id).collect()
    }

    /// The order in which a round considers jobs (figures 2 and 3): highest aged rank first, the earliest
    /// first on ties.
    pub(super) fn round_order(&self) -> Vec<JobId> {
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|job| !job.terminated && (!job.progress.pending.is_empty() || !job.placements.is_empty()))
            .map(|job| (Reverse(self.rank(job)), job.submitted_at, job.version, job.spec.job_id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, _, job_id)| job_id).collect()
    }
}
