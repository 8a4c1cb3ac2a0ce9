//! Free capacity as a round fills it, and what all jobs of the round ask for alike.

use super::equivalence_class::{AlikeMachines, Grouping};
use crate::scheduler::model::{JobId, Kind, Machine, Priority, Resources};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Free room per machine as a round fills it, and what all jobs of the round ask for alike: worked out
/// once a round, since a look at every machine for every job does not scale.
#[derive(Clone)]
pub struct FreeCapacity {
    /// Machines with room for the smallest waiting task; the others take nobody.
    pub(super) free: BTreeMap<String, Resources>,
    /// The same machines, grouped.
    pub(super) alike: AlikeMachines,
    /// Places of the largest critical shape on the ordinary ones of these machines, by zone.
    pub(super) critical_places: BTreeMap<String, i64>,
    /// Room that stops under way will give, by machine.
    pub(super) pending: BTreeMap<String, Resources>,
    /// Tasks of each job that were told to stop.
    pub(super) stopping: BTreeMap<JobId, u32>,
    /// The largest shape among critical jobs and the places of it kept free in each zone.
    pub(super) shape: Option<Resources>,
    pub(super) kept: i64,
    /// The least important class of which an array holds anything.
    pub(super) lowest: Option<Priority>,
    /// In which order jobs yield, worked out when somebody asks for it.
    pub(super) yielding: Option<Arc<[JobId]>>,
    /// Some job may not use spot machines.
    pub(super) fixed_work: bool,
    /// What each team uses.
    pub(in crate::scheduler) teams: TeamUsage,
}

impl FreeCapacity {
    pub(super) fn take(&mut self, machine: &Machine, needs: &Resources) {
        let free = self.free_on(machine).minus(needs);
        self.set(machine, free);
    }

    /// A stop will give room on the machine.
    pub(super) fn give(&mut self, machine: &Machine, room: &Resources) {
        let free = self.free_on(machine).plus(room);
        self.set(machine, free);
    }

    /// Only so much of a machine's room is free to everybody.
    pub(in crate::scheduler) fn limit(&mut self, machine: &Machine, room: Resources) {
        if self.free.contains_key(&machine.name) {
            self.set(machine, room);
        }
    }

    fn free_on(&self, machine: &Machine) -> Resources {
        self.free.get(&machine.name).copied().unwrap_or_else(|| machine.available())
    }

    fn set(&mut self, machine: &Machine, free: Resources) {
        let before = self.free.insert(machine.name.clone(), free);
        self.alike.set_apart(&machine.name);
        self.count_places(machine, before, free);
    }

    fn count_places(&mut self, machine: &Machine, before: Option<Resources>, free: Resources) {
        let Some(shape) = self.shape.filter(|_| !machine.spot) else { return };
        let more = shape.count_in(&free) - before.map_or(0, |before| shape.count_in(&before));
        match self.critical_places.get_mut(&machine.zone) {
            Some(places) => *places += more,
            None => {
                self.critical_places.insert(machine.zone.clone(), more);
            }
        }
    }

    /// The room there will be once every stop under way is confirmed.
    pub(super) fn soon(&self, machines: &BTreeMap<String, Machine>) -> FreeCapacity {
        let mut soon = self.clone();
        for (name, pending) in &self.pending {
            if let Some(machine) = machines.get(name) {
                soon.give(machine, pending);
            }
        }
        soon
    }
}

impl Scheduler {
    /// What the jobs of a round have in common, and the machines with room for any of them.
    pub(super) fn capacity(&mut self, order: &[JobId], steps: &mut usize) -> FreeCapacity {
        self.note_unreconciled();
        let jobs = || order.iter().filter_map(|job_id| self.jobs.get(job_id));
        let least = jobs()
            .filter(|j| !j.progress.pending.is_empty())
            .map(|j| j.spec.resource_request)
            .reduce(|a, b| a.least(&b));
        let mut capacity = FreeCapacity {
            free: BTreeMap::new(),
            alike: AlikeMachines::default(),
            critical_places: BTreeMap::new(),
            pending: BTreeMap::new(),
            stopping: BTreeMap::new(),
            shape: self.critical_shape(),
            kept: self.reserve_places(),
            lowest: jobs()
                .filter(|j| j.spec.kind == Kind::Array && !j.placements.is_empty())
                .map(|j| j.spec.priority)
                .min(),
            yielding: None,
            fixed_work: self.jobs.values().any(|j| !j.terminated && !j.spec.spot),
            teams: self.team_usage(),
        };
        let mut grouping = Grouping::new(self);
        for machine in self.machines.values() {
            *steps += 1;
            for (id, task) in &machine.tasks {
                if task.stopping.is_some() {
                    *capacity.stopping.entry(id.job_id).or_default() += 1;
                }
            }
            if !self.is_schedulable(machine) {
                continue;
            }
            let free = machine.available();
            if least.is_some_and(|least| least.fits(&free)) {
                capacity.free.insert(machine.name.clone(), free);
                capacity.count_places(machine, None, free);
                grouping.add(machine, free);
            }
            let pending = machine.available_soon(self.now).minus(&free);
            if pending != Resources::default() {
                capacity.pending.insert(machine.name.clone(), pending);
            }
        }
        capacity.alike = grouping.finish();
        capacity
    }
}
