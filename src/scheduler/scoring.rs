//! Choosing a machine for one task. Slots are places that fit the task, not a plain number.

use super::model::{Job, Machine, Priority, Resources};
use std::collections::BTreeMap;

/// How the tasks of one job lie over the zones, every place where one may be included.
#[derive(Debug, Clone, Default)]
pub struct ZoneCount(BTreeMap<String, u32>);

impl ZoneCount {
    /// Counts the placements of a job; empty where zones make no difference to it.
    pub fn of(job: &Job, machines: &BTreeMap<String, Machine>) -> Self {
        let mut count = ZoneCount::default();
        // A job to which zones make no difference need not be counted.
        if !job.spec.spread && !job.spec.one_zone && job.spec.priority != Priority::Critical {
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
        if let Some(n) = self.0.get_mut(zone) {
            *n = n.saturating_sub(1);
        }
    }

    /// Tasks in the zone.
    pub fn get(&self, zone: &str) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Whether the zone rules of the job allow one more task there.
    pub fn allows(&self, job: &Job, zone: &str) -> bool {
        self.room(job, zone) > 0
    }

    /// How many more tasks of the job its zone rules allow there.
    pub fn room(&self, job: &Job, zone: &str) -> u32 {
        let elsewhere = job.spec.one_zone && self.0.iter().any(|(other, n)| *n > 0 && other != zone);
        if elsewhere || !job.spec.allows_zone(zone) {
            return 0;
        }
        job.spec.zone_most().saturating_sub(self.get(zone))
    }
}

/// Whether the job may ever use this machine, its present room and the other tasks aside.
pub fn allowed(job: &Job, machine: &Machine) -> bool {
    job.spec.allows_type(&machine.machine_type)
        && job.spec.allows_zone(&machine.zone)
        && (!machine.spot || job.spec.spot)
}

/// Smaller is better. Work that may use spot machines leaves the ordinary ones to those that may
/// not, where there are any (`fixed_work`); a warm image saves the fetch; full machines are filled first so that
/// others empty. The first part stays the same for every further task of the job that is put there.
pub fn cost(job: &Job, machine: &Machine, room: &Resources, fixed_work: bool) -> ([i64; 3], i64) {
    let dearer = job.spec.spot && !machine.spot;
    let kind = i64::from(dearer && fixed_work);
    let cold = machine.image_fetches(&job.spec.image);
    let last_resort = i64::from(machine.lifecycle.consolidation_target) + i64::from(dearer);
    ([kind, cold, last_resort], emptiness(job, room))
}

/// What a task would leave of the room.
pub fn emptiness(job: &Job, room: &Resources) -> i64 {
    let left = room.minus(&job.spec.resource_request);
    left.gpus * 1000 + left.cpus
}
