//! Eligibility and score of a machine for a task of a job, and the number of a job's tasks by zone. Used by
//! `elastic`, drains, consolidation and the scaling plan.

use super::model::{Job, Machine, Priority, Resources};
use std::collections::BTreeMap;

/// Number of tasks of one job in each zone. A task that may be on several machines counts once for each.
#[derive(Debug, Clone, Default)]
pub struct TasksByZone(BTreeMap<String, u32>);

impl TasksByZone {
    /// Counts the placements of a job. Empty if the job's placement does not depend on zones.
    pub fn of(job: &Job, machines: &BTreeMap<String, Machine>) -> Self {
        let mut count = TasksByZone::default();
        let zones_matter = job.spec.spread || job.spec.one_zone || job.spec.priority == Priority::Critical;
        if !zones_matter {
            return count;
        }
        for machine in job.placements.values().flatten().filter_map(|name| machines.get(name)) {
            count.add(&machine.zone);
        }
        count
    }

    /// Adds one task in the zone.
    pub fn add(&mut self, zone: &str) {
        self.add_many(zone, 1);
    }

    /// Adds this many tasks in the zone.
    pub fn add_many(&mut self, zone: &str, tasks: u32) {
        *self.0.entry(zone.into()).or_default() += tasks;
    }

    /// Removes one task from the zone; the count does not fall below 0.
    pub fn remove(&mut self, zone: &str) {
        if let Some(tasks) = self.0.get_mut(zone) {
            *tasks = tasks.saturating_sub(1);
        }
    }

    /// Number of tasks in the zone.
    pub fn get(&self, zone: &str) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Whether the zone rules of the job allow one more task in the zone.
    pub fn allows(&self, job: &Job, zone: &str) -> bool {
        self.tasks_allowed(job, zone) > 0
    }

    /// How many more tasks the zone rules of the job allow in the zone.
    pub fn tasks_allowed(&self, job: &Job, zone: &str) -> u32 {
        let is_in_other_zone = |(other, tasks): (&String, &u32)| *tasks > 0 && other != zone;
        let is_bound_to_other_zone = job.spec.one_zone && self.0.iter().any(is_in_other_zone);
        if is_bound_to_other_zone || !job.spec.allows_zone(zone) {
            return 0;
        }
        job.spec.max_tasks_per_zone().saturating_sub(self.get(zone))
    }
}

/// Whether the job may use this machine at all, regardless of its free resources and other tasks.
pub fn is_eligible(job: &Job, machine: &Machine) -> bool {
    job.spec.allows_type(&machine.machine_type)
        && job.spec.allows_zone(&machine.zone)
        && (!machine.spot || job.spec.allows_spot)
}

/// The score of a machine for a job, without the best-fit remainder (see [`best_fit_remainder`]), which
/// changes with each task placed on the machine. Smaller is better; the fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// Whether the machine is to be replaced because it is faulty: any other one is tried first.
    pub is_faulty: bool,
    /// Whether tasks of the job have failed on the machine since one last succeeded: the machine may be
    /// faulty, so any other one is tried first.
    pub job_has_failed_here: bool,
    /// True if the job may use spot machines, the machine is ordinary, and some other job may use only
    /// ordinary machines.
    pub takes_from_non_spot_work: bool,
    /// Number of image fetches that a task waits for, its own image included; see [`Machine::image_fetches`].
    pub image_fetches: i64,
    /// Larger is worse. 1 each for a machine that consolidation empties, an ordinary machine for a job that
    /// may use spot machines, and (added by `elastic`) a machine that `drains` will drain; for gangs also 2
    /// for each second until the next heartbeat.
    pub penalty: i64,
}

impl Score {
    /// Scores the machine for the job. `has_non_spot_work`: whether some job may not use spot machines.
    pub fn of(job: &Job, machine: &Machine, has_non_spot_work: bool) -> Self {
        let is_ordinary_for_spot_job = job.spec.allows_spot && !machine.spot;
        Score {
            is_faulty: machine.lifecycle.to_be_replaced,
            job_has_failed_here: job.failure_history.has_failed_on(&machine.name),
            takes_from_non_spot_work: is_ordinary_for_spot_job && has_non_spot_work,
            image_fetches: machine.image_fetches(&job.spec.image),
            penalty: i64::from(machine.lifecycle.to_be_emptied) + i64::from(is_ordinary_for_spot_job),
        }
    }

    /// Whether the image would be fetched at the same time as another one.
    pub fn shares_fetch(&self) -> bool {
        self.image_fetches > 1
    }
}

/// What remains of the free resources `room` after one more task of the job, for best-fit bin packing: in
/// thousandths of a processor, where a GPU counts as much as a thousand processors. Smaller is better: the
/// fullest machines are filled first, so that others become empty.
pub fn best_fit_remainder(job: &Job, room: &Resources) -> i64 {
    let left = room.minus(&job.spec.resource_request);
    left.milli_gpus * 1000 + left.milli_cpus
}

#[cfg(test)]
#[path = "scoring_tests.rs"]
pub(super) mod tests;
