//! Eligibility and score of a machine for a task of a job, and the count of a job's tasks by zone. Slots are places
//! that fit the task, not a plain number.

use super::model::{Job, Machine, Priority, Resources};
use std::collections::BTreeMap;

/// How the tasks of one job are spread over the zones. Every place where a task may be counts.
#[derive(Debug, Clone, Default)]
pub struct ZoneCount(BTreeMap<String, u32>);

impl ZoneCount {
    /// Counts the placements of a job; empty where zones make no difference to it.
    pub fn of(job: &Job, machines: &BTreeMap<String, Machine>) -> Self {
        let mut count = ZoneCount::default();
        let zones_matter = job.spec.spread || job.spec.one_zone || job.spec.priority == Priority::Critical;
        if !zones_matter {
            return count;
        }
        for machine in job.placements.values().flatten().filter_map(|name| machines.get(name)) {
            count.add(&machine.zone);
        }
        count
    }

    /// One more task in the zone.
    pub fn add(&mut self, zone: &str) {
        self.add_many(zone, 1);
    }

    /// So many more tasks in the zone.
    pub fn add_many(&mut self, zone: &str, tasks: u32) {
        *self.0.entry(zone.into()).or_default() += tasks;
    }

    /// One task less in the zone.
    pub fn remove(&mut self, zone: &str) {
        if let Some(tasks) = self.0.get_mut(zone) {
            *tasks = tasks.saturating_sub(1);
        }
    }

    /// Tasks in the zone.
    pub fn get(&self, zone: &str) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Whether the zone rules of the job allow one more task there.
    pub fn allows(&self, job: &Job, zone: &str) -> bool {
        self.tasks_allowed(job, zone) > 0
    }

    /// How many more tasks of the job its zone rules allow there.
    pub fn tasks_allowed(&self, job: &Job, zone: &str) -> u32 {
        let is_elsewhere = |(other, tasks): (&String, &u32)| *tasks > 0 && other != zone;
        let bound_elsewhere = job.spec.one_zone && self.0.iter().any(is_elsewhere);
        if bound_elsewhere || !job.spec.allows_zone(zone) {
            return 0;
        }
        job.spec.zone_most().saturating_sub(self.get(zone))
    }
}

/// Whether the job may ever use this machine, its present room and the other tasks aside.
pub fn is_eligible(job: &Job, machine: &Machine) -> bool {
    job.spec.allows_type(&machine.machine_type)
        && job.spec.allows_zone(&machine.zone)
        && (!machine.spot || job.spec.spot)
}

/// The part of a machine's score that stays the same for every further task of the job put there. Smaller is better;
/// the fields count in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score {
    /// An ordinary machine for a job that may use spot machines, while there is work that may not.
    pub takes_from_fixed_work: bool,
    /// Image fetches that a task waits for; see [`Machine::image_fetches`].
    pub image_fetches: i64,
    /// Reasons to take the machine last.
    pub penalty: i64,
}

impl Score {
    /// `has_fixed_work`: whether some job may not use spot machines.
    pub fn of(job: &Job, machine: &Machine, has_fixed_work: bool) -> Self {
        let is_dearer = job.spec.spot && !machine.spot;
        Score {
            takes_from_fixed_work: is_dearer && has_fixed_work,
            image_fetches: machine.image_fetches(&job.spec.image),
            penalty: i64::from(machine.lifecycle.consolidation_target) + i64::from(is_dearer),
        }
    }

    /// Whether the image would be fetched beside another one.
    pub fn shares_fetch(&self) -> bool {
        self.image_fetches > 1
    }
}

/// Best-fit bin packing: what a task of the job would leave of the room. The fullest machines are filled first, so
/// that others empty. A GPU counts as much as a thousand processors.
pub fn remainder(job: &Job, room: &Resources) -> i64 {
    let left = room.minus(&job.spec.resource_request);
    left.gpus * 1000 + left.cpus
}

#[cfg(test)]
#[path = "scoring_tests.rs"]
pub(super) mod tests;
