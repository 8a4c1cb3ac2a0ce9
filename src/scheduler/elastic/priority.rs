//! Who comes first: aged priority, and the orders in which jobs are served and yield.

use crate::limits;
use crate::scheduler::model::{Job, JobId, Kind, Priority};
use crate::scheduler::Scheduler;
use crate::time::{from_seconds, scaled, whole_micros, Timestamp};
use std::sync::Arc;
use std::time::Duration;

impl Scheduler {
    /// Aged rank: the priority class plus the share of a class that its age has earned, in thousandths.
    /// Every job ages from its arrival: were only waiting ones to age, a newcomer would pass earlier jobs
    /// that still grow, and a job short of its width would yield after an earlier one that has all.
    ///
    /// A deadline makes a job age faster, by one class until it falls due; one that is late already leaves
    /// the room to those that can still be in time. Either rate goes by the work that is left: when more waits
    /// than can be served, first come first served makes all alike late, and the short ones are the many. A
    /// job of which nothing has begun for long ages fastest, so that the widest are not put off for ever.
    pub fn rank(&self, job: &Job) -> u64 {
        let rank = self.plain_rank(job, self.size(job));
        if job.has_started() || job.spec.priority == Priority::Critical {
            return rank;
        }
        rank.max(self.aged(job, job.submitted_at + limits::AGING_DELAY, limits::AGING_INTERVAL))
    }

    pub(super) fn plain_rank(&self, job: &Job, size: f64) -> u64 {
        if job.spec.priority == Priority::Critical {
            return Priority::Critical as u64 * 1000;
        }
        let age = self.now.since(job.submitted_at);
        let aging = from_seconds(self.config.operator.aging_s);
        let due = job.spec.deadline_s.map(from_seconds).filter(|due| !due.is_zero() && age <= *due);
        let aging = scaled(due.map_or(aging, |due| aging.min(due)), size);
        self.aged(job, job.submitted_at, aging.max(Duration::from_micros(1)))
    }

    /// How much work is left of a job, as a multiple of what a job brings on average now.
    pub(super) fn size(&self, job: &Job) -> f64 {
        if self.mean_job_work <= 0.0 {
            return 1.0;
        }
        let size = job.work(job.unfinished()) / self.mean_job_work;
        size.clamp(1.0 / limits::MAX_AGING_FACTOR, limits::MAX_AGING_FACTOR)
    }

    pub(super) fn note_typical_work(&mut self) {
        let elastic = self.jobs.values().filter(|j| !j.terminated && j.spec.kind != Kind::Service);
        let works: Vec<f64> = elastic.map(|j| j.work(j.spec.tasks)).collect();
        self.mean_job_work = works.iter().sum::<f64>() / works.len().max(1) as f64;
    }

    /// The rank of a job that gains a class in `aging` from `since` on; age never lifts anybody above
    /// critical services.
    pub(super) fn aged(&self, job: &Job, since: Timestamp, aging: Duration) -> u64 {
        let age = whole_micros(self.now.since(since));
        (job.spec.priority as u64 * 1000 + age * 1000 / whole_micros(aging))
            .min(Priority::Critical as u64 * 1000 - 1)
    }

    /// The order in which jobs yield: lowest class with its age first, the latest first on ties. The work that
    /// is left does not count here: it would make the long jobs feed everybody else.
    pub(super) fn yielding(&self) -> Arc<[JobId]> {
        let running = self.jobs.values().filter(|j| !j.terminated && !j.placements.is_empty());
        let mut order: Vec<_> = running
            .map(|j| (self.plain_rank(j, 1.0), std::cmp::Reverse((j.submitted_at, j.version)), j.spec.job_id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, job_id)| job_id).collect()
    }

    /// The order of a round: highest aged priority first, earlier first on ties.
    pub(super) fn order(&self) -> Vec<JobId> {
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|j| !j.terminated && (!j.progress.pending.is_empty() || !j.placements.is_empty()))
            .map(|j| (std::cmp::Reverse(self.rank(j)), j.submitted_at, j.version, j.spec.job_id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, _, job_id)| job_id).collect()
    }
}
