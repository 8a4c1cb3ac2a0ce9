//! Aged priority of jobs, and the orders in which they are served and preempted (paper, 3.2.1 and 3.2.2).

use crate::limits;
use crate::scheduler::model::{Job, JobId, Kind, Priority};
use crate::scheduler::Scheduler;
use crate::time::{from_seconds, scaled, to_micros, Timestamp};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// What a priority class counts in a rank.
const RANKS_PER_CLASS: u64 = 1000;

/// The rank of the critical class, which age does not lift others to.
const CRITICAL_RANK: u64 = Priority::Critical as u64 * RANKS_PER_CLASS;

impl Scheduler {
    /// Aged rank: the priority class plus the share of a class that its age has earned, in thousandths.
    /// Every job ages from its arrival: were only waiting ones to age, a newcomer would pass earlier jobs
    /// that still grow, and a job short of its width would yield after an earlier one that has all.
    ///
    /// A job of which nothing has begun for long ages fastest, so that the widest are not put off for ever (exception
    /// 5 of `docs/design.md`).
    pub(in crate::scheduler) fn rank(&self, job: &Job) -> u64 {
        let rank = self.regular_rank(job, self.relative_size(job));
        if job.has_started() || job.spec.priority == Priority::Critical {
            return rank;
        }
        rank.max(self.aged_rank(job, job.submitted_at + limits::AGING_DELAY, limits::AGING_INTERVAL))
    }

    /// The rank without exception 5. A deadline makes a job age faster, by one class until it falls due; one that is
    /// late already leaves the room to those that can still be in time.
    ///
    /// Either rate goes by the work that is left, `size` (exception 7 of `docs/design.md`): when more waits than can
    /// be served, first come first served makes all alike late, and the short ones are the many.
    pub(super) fn regular_rank(&self, job: &Job, size: f64) -> u64 {
        if job.spec.priority == Priority::Critical {
            return CRITICAL_RANK;
        }
        let age = self.now.since(job.submitted_at);
        let aging = from_seconds(self.config.operator.aging_s);
        let due = job.spec.deadline_s.map(from_seconds).filter(|due| !due.is_zero() && age <= *due);
        let aging = scaled(due.map_or(aging, |due| aging.min(due)), size);
        self.aged_rank(job, job.submitted_at, aging.max(Duration::from_micros(1)))
    }

    /// How much work is left of a job, as a multiple of what a job brings on average now.
    pub(super) fn relative_size(&self, job: &Job) -> f64 {
        if self.mean_job_work <= 0.0 {
            return 1.0;
        }
        let size = job.work(job.unfinished()) / self.mean_job_work;
        size.clamp(1.0 / limits::MAX_AGING_FACTOR, limits::MAX_AGING_FACTOR)
    }

    pub(super) fn update_mean_job_work(&mut self) {
        let ending = self.jobs.values().filter(|job| !job.terminated && job.spec.kind != Kind::Service);
        let works: Vec<f64> = ending.map(|job| job.work(job.spec.tasks)).collect();
        self.mean_job_work = works.iter().sum::<f64>() / works.len().max(1) as f64;
    }

    /// The rank of a job that gains a class in each `interval` from `since` on. Age never lifts a job
    /// above critical services.
    fn aged_rank(&self, job: &Job, since: Timestamp, interval: Duration) -> u64 {
        let age = to_micros(self.now.since(since));
        let rank = job.spec.priority as u64 * RANKS_PER_CLASS + age * RANKS_PER_CLASS / to_micros(interval);
        rank.min(CRITICAL_RANK - 1)
    }

    /// The order in which jobs are preempted (figure 2): lowest class with its age first, the latest first on ties.
    /// The work that is left does not count here: it would make the long jobs feed all others.
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

    /// The order of a round (figures 2 and 3): highest aged rank first, earlier first on ties.
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
