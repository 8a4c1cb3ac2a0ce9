//! Equivalence classes of machines with room, so that a job need not look at each of thousands.
//!
//! Of machines that differ in nothing but their names and images the first ones by name are taken first. So a job for
//! so many tasks never uses more than so many of a class: of those with its image, and of those without. Machines
//! that change within a round, or that fetch an image, are in no class and evaluated one by one.

use crate::scheduler::model::{Job, Kind, Machine, Resources, TaskStatus};
use crate::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Position of a machine type among the types that the cloud offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TypeIndex(usize);

/// Position of a zone in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneIndex(usize);

/// What two machines must share to be equivalent for every job that has failed on neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EquivalenceClass {
    machine_type: TypeIndex,
    zone: ZoneIndex,
    is_spot: bool,
    is_consolidation_target: bool,
    is_quarantined: bool,
    is_replacement: bool,
    is_drain_target: bool,
    available: Resources,
}

/// Up to so many machines with a job's image are evaluated one by one.
const MAX_LISTED_WARM_MACHINES: usize = 64;

/// The classes of a round, and the machines that are in none.
#[derive(Clone, Default)]
pub(super) struct EquivalenceClasses {
    /// The members of each class in the order of their names. Those that are in `unclassified` by now do not count.
    members: Arc<BTreeMap<EquivalenceClass, Vec<String>>>,
    unclassified: BTreeSet<String>,
}

impl EquivalenceClasses {
    /// The machine's room has changed: it is evaluated by itself from now on.
    pub(super) fn remove(&mut self, machine: &str) {
        if !self.unclassified.contains(machine) {
            self.unclassified.insert(machine.to_string());
        }
    }
}

/// Builds the classes of a round from its machines.
pub(super) struct ClassBuilder<'a> {
    scheduler: &'a Scheduler,
    types: BTreeMap<&'a str, TypeIndex>,
    zones: BTreeMap<&'a str, ZoneIndex>,
    members: BTreeMap<EquivalenceClass, Vec<String>>,
    unclassified: BTreeSet<String>,
}

impl<'a> ClassBuilder<'a> {
    pub(super) fn new(scheduler: &'a Scheduler) -> Self {
        let types = scheduler.types.keys().enumerate();
        let zones = scheduler.config.zones.iter().enumerate();
        ClassBuilder {
            scheduler,
            types: types.map(|(index, name)| (name.as_str(), TypeIndex(index))).collect(),
            zones: zones.map(|(index, name)| (name.as_str(), ZoneIndex(index))).collect(),
            members: BTreeMap::new(),
            unclassified: BTreeSet::new(),
        }
    }

    /// Machines must be added in the order of their names.
    pub(super) fn add(&mut self, machine: &Machine, available: Resources) {
        match self.class_of(machine, available) {
            Some(class) => self.members.entry(class).or_default().push(machine.name.clone()),
            None => {
                self.unclassified.insert(machine.name.clone());
            }
        }
    }

    /// None: the machine is fetching an image, or its type or zone is not known.
    fn class_of(&self, machine: &Machine, available: Resources) -> Option<EquivalenceClass> {
        if machine.tasks.values().any(|task| task.status == TaskStatus::Fetching) {
            return None;
        }
        Some(EquivalenceClass {
            machine_type: *self.types.get(machine.machine_type.as_str())?,
            zone: *self.zones.get(machine.zone.as_str())?,
            is_spot: machine.spot,
            is_consolidation_target: machine.lifecycle.consolidation_target,
            is_quarantined: machine.health.quarantined_until > self.scheduler.now,
            is_replacement: self.scheduler.drains.is_replacement(&machine.name),
            is_drain_target: self.scheduler.drains.is_targeted(&machine.name),
            available,
        })
    }

    pub(super) fn build(self) -> EquivalenceClasses {
        EquivalenceClasses { members: Arc::new(self.members), unclassified: self.unclassified }
    }
}

/// Machines that have a job's image.
#[derive(Clone, Copy)]
struct WarmMachines<'a>(Option<&'a BTreeSet<String>>);

impl<'a> WarmMachines<'a> {
    /// They are so few that each is evaluated.
    fn are_listed(&self) -> bool {
        self.0.is_none_or(|names| names.len() <= MAX_LISTED_WARM_MACHINES)
    }

    fn contains(&self, machine: &str) -> bool {
        self.0.is_some_and(|names| names.contains(machine))
    }

    fn names(&self) -> impl Iterator<Item = &'a str> {
        self.0.into_iter().flatten().map(String::as_str)
    }
}

impl Scheduler {
    /// Names among which the best machines for `tasks` tasks of the job are; None: every machine has to be evaluated.
    /// Adds the names looked at to `steps`.
    pub(super) fn names_to_evaluate<'a>(
        &'a self,
        job: &Job,
        tasks: u32,
        classes: &'a EquivalenceClasses,
        steps: &mut usize,
    ) -> Option<BTreeSet<&'a str>> {
        // The score of a machine for a gang depends on when its next heartbeat is due.
        if job.spec.kind == Kind::Gang || !job.failure_history.machines.is_empty() {
            return None;
        }
        let warm = WarmMachines(self.machines_by_image.get(&job.spec.image));
        let mut names: BTreeSet<&str> = classes.unclassified.iter().map(String::as_str).collect();
        if warm.are_listed() {
            names.extend(warm.names());
        }
        for (class, members) in classes.members.iter() {
            if job.spec.resource_request.fits(&class.available) {
                *steps += classes.first_members(members, tasks, warm, &mut names);
            }
        }
        *steps += names.len();
        Some(names)
    }
}

impl EquivalenceClasses {
    /// Adds the first `tasks` members without the image, and as many with it unless those are listed anyway. Returns
    /// how many members it has looked at.
    fn first_members<'a>(
        &self,
        members: &'a [String],
        tasks: u32,
        warm: WarmMachines<'_>,
        names: &mut BTreeSet<&'a str>,
    ) -> usize {
        let mut warm_left = if warm.are_listed() { 0 } else { tasks };
        let mut cold_left = tasks;
        for (index, name) in members.iter().enumerate() {
            let left = if warm.contains(name) { &mut warm_left } else { &mut cold_left };
            if *left > 0 && !self.unclassified.contains(name) {
                *left -= 1;
                names.insert(name);
            }
            // Within a class those with the image come before all others.
            let is_enough = if warm.are_listed() { cold_left == 0 } else { warm_left == 0 };
            if is_enough {
                return index + 1;
            }
        }
        members.len()
    }
}
