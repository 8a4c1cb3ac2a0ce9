//! Free capacity during a round: the resources available on each machine, and values that are the same for
//! all jobs of the round. Created once per round by `Scheduler::begin_round`; placements and stops update it.

use super::equivalence_class::{ClassBuilder, EquivalenceClasses};
use crate::scheduler::model::{Job, JobId, Kind, Machine, Priority, Resources};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Free resources of each machine as the round places tasks, and values that are the same for all its jobs.
/// Computed once per round, since examining every machine for every job does not scale.
#[derive(Clone)]
pub struct FreeCapacity {
    /// Free resources by machine name, for machines that can hold the smallest waiting request (of each
    /// resource the least amount that a waiting job requests). No waiting task fits on the others.
    pub(super) available: BTreeMap<String, Resources>,
    /// The machines of `available` by equivalence class.
    pub(super) classes: EquivalenceClasses,
    /// By zone, the number of critical places on the machines of `available` (see
    /// [`Machine::has_critical_places`]).
    pub(super) critical_places_by_zone: BTreeMap<String, i64>,
    /// By machine name, the resources that stops under way, except overdue ones, will free.
    pub(super) freed_by_stops: BTreeMap<String, Resources>,
    /// By job, the number of its tasks that were asked to stop.
    pub(super) stopping_tasks: BTreeMap<JobId, u32>,
    /// Resources of one critical place, room for a task of any critical job. None: there are no critical
    /// jobs.
    pub(super) critical_place_size: Option<Resources>,
    /// Number of critical places kept free in each zone for critical services.
    pub(super) headroom_per_zone: i64,
    /// The lowest priority among arrays with placed tasks. None: there are no such arrays.
    pub(super) lowest_preemptible: Option<Priority>,
    /// The order in which jobs are preempted. None until it is first needed in the round.
    pub(super) preemption_order: Option<Arc<[JobId]>>,
    /// Whether some job may not use spot machines.
    pub(super) has_non_spot_work: bool,
    /// Resources used by each team.
    pub(in crate::scheduler) team_usage: TeamUsage,
}

impl FreeCapacity {
    /// Records that a task with this request is placed on the machine.
    pub(super) fn take(&mut self, machine: &Machine, request: &Resources) {
        let available = self.available_on(machine).minus(request);
        self.set(machine, available);
    }

    /// Sets resources aside on each listed machine for a task with this request, so that no later job of the
    /// round takes them. A name that is listed several times counts for as many tasks.
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

    /// Adds resources that a stop on the machine frees.
    pub(super) fn release(&mut self, machine: &Machine, room: &Resources) {
        let available = self.available_on(machine).plus(room);
        self.set(machine, available);
    }

    /// Makes only `room` of the machine's resources available to jobs; the rest is reserved for moves.
    pub(in crate::scheduler) fn limit_available(&mut self, machine: &Machine, room: Resources) {
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

    /// Updates `critical_places_by_zone` for a machine whose free resources change from `before` to `after`.
    /// A `before` of None: the machine was not counted yet.
    fn count_critical_places(&mut self, machine: &Machine, before: Option<Resources>, after: Resources) {
        let Some(place) = self.critical_place_size.filter(|_| machine.has_critical_places()) else { return };
        let change = place.count_in(&after) - before.map_or(0, |before| place.count_in(&before));
        match self.critical_places_by_zone.get_mut(&machine.zone) {
            Some(places) => *places += change,
            None => {
                self.critical_places_by_zone.insert(machine.zone.clone(), change);
            }
        }
    }

    /// The free capacity after all stops under way, except overdue ones, are confirmed.
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
    pub(super) fn stopping_task_count(&self, job_id: JobId) -> u32 {
        self.stopping_tasks.get(&job_id).copied().unwrap_or(0)
    }
}

impl Scheduler {
    /// The free capacity for the jobs of `order`, which are all jobs of the round. Adds one step per machine
    /// to `steps`.
    pub(super) fn free_capacity(&self, order: &[JobId], steps: &mut usize) -> FreeCapacity {
        let waiting = self.jobs_of(order).filter(|job| !job.progress.pending.is_empty());
        let smallest = waiting.map(|job| job.spec.resource_request).reduce(|a, b| a.component_minimum(&b));
        let mut capacity = self.capacity_without_machines(order);
        let mut classes = ClassBuilder::new(self);
        for machine in self.machines.values() {
            *steps += 1;
            for (id, task) in &machine.tasks {
                if task.stopping.is_some() {
                    *capacity.stopping_tasks.entry(id.job_id).or_default() += 1;
                }
            }
            if !self.is_schedulable_as_last_choice(machine) {
                continue;
            }
            let available = machine.available();
            if smallest.is_some_and(|smallest| smallest.fits_into(&available)) {
                capacity.available.insert(machine.name.clone(), available);
                capacity.count_critical_places(machine, None, available);
                classes.add(machine, available);
            }
            let freed = machine.available_after_stops(self.now).minus(&available);
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
            critical_places_by_zone: BTreeMap::new(),
            freed_by_stops: BTreeMap::new(),
            stopping_tasks: BTreeMap::new(),
            critical_place_size: self.critical_place(),
            headroom_per_zone: self.headroom_per_zone(),
            lowest_preemptible: preemptible.map(|job| job.spec.priority).min(),
            preemption_order: None,
            has_non_spot_work: self.jobs.values().any(|job| !job.terminated && !job.spec.allows_spot),
            team_usage: self.team_usage(),
        }
    }

    fn jobs_of<'a>(&'a self, order: &'a [JobId]) -> impl Iterator<Item = &'a Job> {
        order.iter().filter_map(|job_id| self.jobs.get(job_id))
    }
}
