//! Headroom: room kept free in each zone for tasks of critical services, counted in critical places, each
//! large enough for a task of any critical job. Computes the number and the resources of these places, for
//! `elastic`, consolidation, the scaling plan and drains.

use super::model::{Job, Priority, Resources};
use super::Scheduler;

impl Scheduler {
    /// Resources of one critical place, room for a task of any critical job: the largest amount of each
    /// resource that a critical job requests. None: there are no critical jobs.
    pub(super) fn critical_place(&self) -> Option<Resources> {
        self.largest_request(|job| job.spec.priority == Priority::Critical)
    }

    /// Number of critical places kept free in each zone: enough for `reserve_services` critical services of
    /// the largest width, spread over the zones.
    pub(super) fn headroom_per_zone(&self) -> i64 {
        let critical = self.jobs.values().filter(|job| job.spec.priority == Priority::Critical);
        let widest = critical.map(|job| job.spec.tasks).max().unwrap_or(0);
        let zones = self.config.zones.len().max(1) as u32;
        i64::from((widest * self.config.operator.reserve_services).div_ceil(zones))
    }

    /// The largest amount of each resource that the jobs accepted by `includes` request. None: no job is
    /// accepted.
    pub(super) fn largest_request(&self, includes: impl Fn(&Job) -> bool) -> Option<Resources> {
        let requests = self.jobs.values().filter(|job| includes(job)).map(|job| job.spec.resource_request);
        requests.reduce(|a, b| Resources {
            milli_cpus: a.milli_cpus.max(b.milli_cpus),
            milli_gpus: a.milli_gpus.max(b.milli_gpus),
            memory_mb: a.memory_mb.max(b.memory_mb),
        })
    }
}
