//! Free capacity as a round fills it, and what all jobs of the round ask for alike.

use crate::core::model::{JobId, Kind, Machine, Priority, Resources};
use crate::core::teams::TeamUsage;
use crate::core::Core;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Free room per machine as a round fills it, and what all jobs of the round ask for alike: worked out
/// once a round, since a look at every machine for every job does not scale.
#[derive(Clone)]
pub struct FreeCapacity {
    /// Machines with room for the smallest waiting task; the others take nobody.
    pub(super) free: BTreeMap<String, Resources>,
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
    pub(in crate::core) teams: TeamUsage,
}

impl FreeCapacity {
    pub(super) fn take(&mut self, machine: &Machine, needs: &Resources) {
        let free = self.free.entry(machine.name.clone()).or_insert_with(|| machine.free());
        *free = free.minus(needs);
    }

    /// Only so much of a machine's room is free to everybody.
    pub(in crate::core) fn limit(&mut self, machine: &Machine, room: Resources) {
        if let Some(free) = self.free.get_mut(&machine.name) {
            *free = room;
        }
    }

    /// The room there will be once every stop under way is confirmed.
    pub(super) fn soon(&self, machines: &BTreeMap<String, Machine>) -> FreeCapacity {
        let mut soon = self.clone();
        for (name, pending) in &self.pending {
            if let Some(machine) = machines.get(name) {
                let free = soon.free.entry(name.clone()).or_insert_with(|| machine.free());
                *free = free.plus(pending);
            }
        }
        soon
    }
}

impl Core {
    /// What the jobs of a round have in common, and the machines with room for any of them.
    pub(super) fn capacity(&mut self, order: &[JobId], steps: &mut usize) -> FreeCapacity {
        self.note_unreconciled();
        let jobs = || order.iter().filter_map(|job_id| self.jobs.get(job_id));
        let least = jobs().filter(|j| !j.waiting.is_empty()).map(|j| j.spec.needs).reduce(|a, b| a.least(&b));
        let mut capacity = FreeCapacity {
            free: BTreeMap::new(),
            pending: BTreeMap::new(),
            stopping: BTreeMap::new(),
            shape: self.critical_shape(),
            kept: self.reserve_places(),
            lowest: jobs()
                .filter(|j| j.spec.kind == Kind::Array && !j.places.is_empty())
                .map(|j| j.spec.priority)
                .min(),
            yielding: None,
            fixed_work: self.jobs.values().any(|j| !j.over && !j.spec.spot),
            teams: self.team_usage(),
        };
        for machine in self.machines.values() {
            *steps += 1;
            for (id, task) in &machine.tasks {
                if task.stopping.is_some() {
                    *capacity.stopping.entry(id.job_id).or_default() += 1;
                }
            }
            if !self.usable(machine) {
                continue;
            }
            let free = machine.free();
            if least.is_some_and(|least| least.fits(&free)) {
                capacity.free.insert(machine.name.clone(), free);
            }
            let pending = machine.free_soon(self.now).minus(&free);
            if pending != Resources::default() {
                capacity.pending.insert(machine.name.clone(), pending);
            }
        }
        capacity
    }
}
