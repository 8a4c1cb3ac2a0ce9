//! Places that are kept free for critical services.

use super::model::*;
use super::Scheduler;

impl Scheduler {
    /// The largest shape among critical jobs: what a reserved place must hold.
    pub(super) fn critical_shape(&self) -> Option<Resources> {
        self.largest(|j| j.spec.priority == Priority::Critical)
    }

    /// Places kept free in each zone: room for the widest critical services about, spread over zones.
    pub(super) fn reserve_places(&self) -> i64 {
        let critical = self.jobs.values().filter(|j| j.spec.priority == Priority::Critical);
        let widest = critical.map(|j| j.spec.tasks).max().unwrap_or(0);
        let zones = self.config.zones.len().max(1) as u32;
        i64::from((widest * self.config.operator.reserve_services).div_ceil(zones))
    }

    /// Room that holds a task of any of these jobs.
    pub(super) fn largest(&self, of: impl Fn(&Job) -> bool) -> Option<Resources> {
        let needs = self.jobs.values().filter(|j| of(j)).map(|j| j.spec.resource_request);
        needs.reduce(|a, b| Resources {
            cpus: a.cpus.max(b.cpus),
            gpus: a.gpus.max(b.gpus),
            memory: a.memory.max(b.memory),
        })
    }
}
