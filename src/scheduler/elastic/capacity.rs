//! Free capacity of a round: the room that its placements and stops leave, and what all its jobs have in common.

use super::equivalence_class::{ClassBuilder, EquivalenceClasses};
use crate::scheduler::model::{Job, JobId, Kind, Machine, Priority, Resources};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Room on each machine as a round fills it, and what all jobs of the round have in common. Determined once a round,
/// since a look at every machine for every job does not scale.
#[derive(Clone)]
pub struct FreeCapacity {
    /// Room on the machines that can take the smallest waiting task; the others take none.
    pub(super) available: BTreeMap<String, Resources>,
    /// The same machines by equivalence class.
    pub(super) classes: EquivalenceClasses,
    /// Places for the largest critical task on the ordinary ones of these machines, by zone.
    pub(super) critical_places: BTreeMap<String, i64>,
    /// Room that stops under way will free, by machine.
    pub(super) freed_by_stops: BTreeMap<String, Resources>,
    /// Number of tasks of each job that were asked to stop.
    pub(super) stopping_tasks: BTreeMap<JobId, u32>,
    /// What a place for a critical task must hold. None: there are no critical jobs.
    pub(super) critical_place: Option<Resources>,
    /// Places that are kept free in each zone for critical services.
    pub(super) headroom_per_zone: i64,
    /// The lowest priority of an array of which something is placed.
    pub(super) lowest_preemptible: Option<Priority>,
    /// The order in which jobs are preempted, determined when it is first asked for.
    pub(super) preemption_order: Option<Arc<[JobId]>>,
    /// Whether some job may not use spot machines.
    pub(super) has_fixed_work: bool,
    /// What each team uses.
    pub(in crate::scheduler) team_usage: TeamUsage,
}

impl FreeCapacity {
    /// A task with this request is placed on the machine.
    pub(super) fn take(&mut self, machine: &Machine, request: &Resources) {
        let available = self.available_on(machine).minus(request);
        self.set(machine, available);
    }

    /// Room on each of these machines is set aside for a task with this request, so that no later job of the round
    /// takes it.
    pub(super) fn take_on_each(
        &mut self,
        names: &[String],
        machines: &BTreeMap<String, Machine>,
        request: &Resources,
    ) {
        for machine in names.iter().filter_map(|name| machines.get(name)) {
            self.take(machine, request);
        }
    }

    /// A stop will free this room on the machine.
    pub(super) fn release(&mut self, machine: &Machine, room: &Resources) {
        let available = self.available_on(machine).plus(room);
        self.set(machine, available);
    }

    /// Only so much of the machine's room is open to every job.
    pub(in crate::scheduler) fn limit(&mut self, machine: &Machine, room: Resources) {
        if self.available.contains_key(&machine.name) {
            self.set(machine, room);
        }
    }

    fn available_on(&self, machine: &Machine) -> Resources {
        self.available.get(&machine.name).copied().unwrap_or_else(|| machine.available())
    }

    fn set(&mut self, machine: &Machine, available: Resources) {
        let before = self.available.insert(machine.name.clone(), available);
        self.classes.remove(&machine.name);
        self.count_critical_places(machine, before, available);
    }

    fn count_critical_places(&mut self, machine: &Machine, before: Option<Resources>, now: Resources) {
        let Some(place) = self.critical_place.filter(|_| !machine.spot) else { return };
        let more = place.count_in(&now) - before.map_or(0, |before| place.count_in(&before));
        match self.critical_places.get_mut(&machine.zone) {
            Some(places) => *places += more,
            None => {
                self.critical_places.insert(machine.zone.clone(), more);
            }
        }
    }

    /// The capacity there will be once every stop under way is confirmed.
    pub(super) fn after_stops(&self, machines: &BTreeMap<String, Machine>) -> FreeCapacity {
        let mut after = self.clone();
        for (name, freed) in &self.freed_by_stops {
            if let Some(machine) = machines.get(name) {
                after.release(machine, freed);
            }
        }
        after
    }

    /// Number of tasks of the job that were asked to stop.
    pub(super) fn stopping(&self, job_id: JobId) -> u32 {
        self.stopping_tasks.get(&job_id).copied().unwrap_or(0)
    }
}

impl Scheduler {
    /// The machines with room for any of these jobs, and what the jobs have in common.
    pub(super) fn free_capacity(&self, order: &[JobId], steps: &mut usize) -> FreeCapacity {
        let waiting = self.jobs_of(order).filter(|job| !job.progress.pending.is_empty());
        let smallest = waiting.map(|job| job.spec.resource_request).reduce(|a, b| a.least(&b));
        let mut capacity = self.capacity_without_machines(order);
        let mut classes = ClassBuilder::new(self);
        for machine in self.machines.values() {
            *steps += 1;
            for (id, task) in &machine.tasks {
                if task.stopping.is_some() {
                    *capacity.stopping_tasks.entry(id.job_id).or_default() += 1;
                }
            }
            if !self.is_schedulable(machine) {
                continue;
            }
            let available = machine.available();
            if smallest.is_some_and(|smallest| smallest.fits(&available)) {
                capacity.available.insert(machine.name.clone(), available);
                capacity.count_critical_places(machine, None, available);
                classes.add(machine, available);
            }
            let freed = machine.available_soon(self.now).minus(&available);
            if freed != Resources::default() {
                capacity.freed_by_stops.insert(machine.name.clone(), freed);
            }
        }
        capacity.classes = classes.build();
        capacity
    }

    fn capacity_without_machines(&self, order: &[JobId]) -> FreeCapacity {
        let preemptible =
            self.jobs_of(order).filter(|job| job.spec.kind == Kind::Array && !job.placements.is_empty());
        FreeCapacity {
            available: BTreeMap::new(),
            classes: EquivalenceClasses::default(),
            critical_places: BTreeMap::new(),
            freed_by_stops: BTreeMap::new(),
            stopping_tasks: BTreeMap::new(),
            critical_place: self.critical_place(),
            headroom_per_zone: self.headroom_per_zone(),
            lowest_preemptible: preemptible.map(|job| job.spec.priority).min(),
            preemption_order: None,
            has_fixed_work: self.jobs.values().any(|job| !job.terminated && !job.spec.spot),
            team_usage: self.team_usage(),
        }
    }

    fn jobs_of<'a>(&'a self, order: &'a [JobId]) -> impl Iterator<Item = &'a Job> {
        order.iter().filter_map(|job_id| self.jobs.get(job_id))
    }
}
