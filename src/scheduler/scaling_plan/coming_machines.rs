//! Machines that are not there yet, as a plan fills them. They are all alike but for their offer and the room left on
//! them, so they are counted in groups.

use crate::scheduler::autoscaler::MachineKind;
use crate::scheduler::model::{Job, Resources};
use crate::scheduler::scoring::TasksByZone;

/// Whether the plan has put a task on a machine. Those in use are filled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Load {
    /// It has.
    InUse,
    /// It has not.
    Empty,
}

/// Alike machines.
#[derive(Debug)]
struct Group {
    offer: MachineKind,
    available: Resources,
    load: Load,
    count: u32,
}

impl Group {
    fn fits(&self, job: &Job) -> bool {
        job.spec.resource_request.fits_into(&self.available)
            && job.spec.allows_type(&self.offer.machine_type)
            && (!self.offer.spot || job.spec.allows_spot)
    }
}

/// All machines that are not there yet.
#[derive(Debug, Default)]
pub(super) struct ComingMachines(Vec<Group>);

/// Pending tasks of a job that have no place in the plan yet.
pub(super) struct Demand<'a> {
    /// The job.
    pub job: &'a Job,
    /// The job's tasks by zone, those in the plan included.
    pub zones: TasksByZone,
    /// Number of the tasks.
    pub tasks: u32,
}

impl Demand<'_> {
    /// Resources of each task.
    pub(super) fn request(&self) -> &Resources {
        &self.job.spec.resource_request
    }

    /// How many of the tasks may go to machines in the zone that have room for `most`.
    pub(super) fn tasks_for(&self, zone: &str, most: u32) -> u32 {
        self.tasks.min(most).min(self.zones.tasks_allowed(self.job, zone))
    }

    /// So many tasks have a place in the zone.
    pub(super) fn place(&mut self, zone: &str, tasks: u32) {
        self.zones.add_many(zone, tasks);
        self.tasks -= tasks;
    }
}

/// How many tasks with this request fit into the room.
pub(super) fn tasks_that_fit(request: &Resources, room: &Resources) -> u32 {
    u32::try_from(request.count_in(room)).unwrap_or(u32::MAX)
}

impl ComingMachines {
    /// Number of groups, empty ones included: what a look at all of them costs in decision steps.
    pub(super) fn groups(&self) -> usize {
        self.0.len()
    }

    /// Adds machines with this much room; without effect if there is none.
    pub(super) fn add(&mut self, offer: &MachineKind, available: Resources, load: Load, count: u32) {
        if count == 0 || available.milli_gpus <= 0 && available.milli_cpus <= 0 {
            return;
        }
        let is_alike =
            |group: &&mut Group| group.available == available && group.load == load && group.offer == *offer;
        match self.0.iter_mut().find(is_alike) {
            Some(group) => group.count += count,
            None => self.0.push(Group { offer: offer.clone(), available, load, count }),
        }
    }

    /// Puts as much of the demand as fits on these machines: those in use first, and of them the ones with least room.
    pub(super) fn fill(&mut self, demand: &mut Demand<'_>) {
        self.0.retain(|group| group.count > 0);
        let mut fitting: Vec<usize> =
            (0..self.0.len()).filter(|index| self.0[*index].fits(demand.job)).collect();
        fitting.sort_by_key(|index| (self.0[*index].load, self.0[*index].available.milli_gpus));
        for index in fitting {
            if demand.tasks == 0 {
                break;
            }
            self.fill_group(index, demand);
        }
    }

    /// Fills the machines of one group one after the other.
    fn fill_group(&mut self, index: usize, demand: &mut Demand<'_>) {
        let group = &self.0[index];
        let per_machine = tasks_that_fit(demand.request(), &group.available);
        let tasks = demand.tasks_for(&group.offer.zone, per_machine.saturating_mul(group.count));
        if tasks == 0 {
            return;
        }
        let (offer, available) = (group.offer.clone(), group.available);
        let (full, rest) = (tasks / per_machine, tasks % per_machine);
        self.0[index].count -= full + u32::from(rest > 0);
        let left_by = |tasks: u32| available.minus(&demand.request().times(tasks.into()));
        self.add(&offer, left_by(per_machine), Load::InUse, full);
        if rest > 0 {
            self.add(&offer, left_by(rest), Load::InUse, 1);
        }
        demand.place(&offer.zone, tasks);
    }

    /// Places for critical services on the ordinary ones in a zone.
    pub(super) fn critical_places(&self, zone: &str, place: &Resources) -> i64 {
        let ordinary = self.0.iter().filter(|group| !group.offer.spot && group.offer.zone == *zone);
        ordinary.map(|group| place.count_in(&group.available) * i64::from(group.count)).sum()
    }
}

#[cfg(test)]
#[path = "coming_machines_tests.rs"]
mod tests;
