//! Headroom: places that are kept free for critical services. Owns how many there are and what each must hold.

use super::model::{Job, Priority, Resources};
use super::Scheduler;

impl Scheduler {
    /// What a place for a critical task must hold: the most that one of them requests. None: there are no critical
    /// jobs.
    pub(super) fn critical_place(&self) -> Option<Resources> {
        self.largest_request(|job| job.spec.priority == Priority::Critical)
    }

    /// Places kept free in each zone: enough for the widest critical services, spread over the zones.
    pub(super) fn headroom_per_zone(&self) -> i64 {
        let critical = self.jobs.values().filter(|job| job.spec.priority == Priority::Critical);
        let widest = critical.map(|job| job.spec.tasks).max().unwrap_or(0);
        let zones = self.config.zones.len().max(1) as u32;
        i64::from((widest * self.config.operator.reserve_services).div_ceil(zones))
    }

    /// Room that holds a task of any of the jobs that `includes` accepts.
    pub(super) fn largest_request(&self, includes: impl Fn(&Job) -> bool) -> Option<Resources> {
        let requests = self.jobs.values().filter(|job| includes(job)).map(|job| job.spec.resource_request);
        requests.reduce(|a, b| Resources {
            cpus: a.cpus.max(b.cpus),
            gpus: a.gpus.max(b.gpus),
            memory: a.memory.max(b.memory),
        })
    }
}
