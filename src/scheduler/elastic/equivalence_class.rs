//! Equivalence classes of machines with free resources, so that a job evaluates few of thousands of machines.
//! Built once per round by `capacity`; `candidates` uses them to choose the machines to evaluate.
//!
//! For jobs that use classes, the machines of one class differ only in their names and images. Gangs and jobs
//! with failures do not use classes, since other properties of machines matter to them too. The machines of
//! a class are used in the order of their names, so a job with n tasks uses at most n machines of a class
//! that have its image and n that do not. Machines that change during the round, or that are fetching an
//! image, are in no class and are evaluated individually.

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

/// What the machines of one class have in common. Not part of it: their images, past failures of a job on
/// them, and when their next heartbeats are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EquivalenceClass {
    machine_type: TypeIndex,
    zone: ZoneIndex,
    is_spot: bool,
    is_to_be_emptied: bool,
    is_quarantined: bool,
    is_to_be_replaced: bool,
    is_replacement: bool,
    will_be_drained: bool,
    available: Resources,
}

/// Warm machines (those that have a job's image) are all evaluated individually if there are at most this
/// many.
const MAX_INDIVIDUAL_WARM_MACHINES: usize = 64;

/// The equivalence classes of a round, and the machines that belong to none.
#[derive(Clone, Default)]
pub(super) struct EquivalenceClasses {
    /// Names of the members of each class, sorted. Names that are also in `unclassified` are ignored.
    members: Arc<BTreeMap<EquivalenceClass, Vec<String>>>,
    unclassified: BTreeSet<String>,
}

impl EquivalenceClasses {
    /// Removes a machine whose free resources have changed from its class: it is evaluated individually from
    /// now on.
    pub(super) fn remove(&mut self, machine: &str) {
        if !self.unclassified.contains(machine) {
            self.unclassified.insert(machine.to_string());
        }
    }
}

/// Builds the equivalence classes of a round.
pub(super) struct ClassBuilder<'a> {
    scheduler: &'a Scheduler,
    types: BTreeMap<&'a str, TypeIndex>,
    zones: BTreeMap<&'a str, ZoneIndex>,
    members: BTreeMap<EquivalenceClass, Vec<String>>,
    unclassified: BTreeSet<String>,
}

impl<'a> ClassBuilder<'a> {
    pub(super) fn new(scheduler: &'a Scheduler) -> Self {
        let types = scheduler.machine_types.keys().enumerate();
        let zones = scheduler.config.zones.iter().enumerate();
        ClassBuilder {
            scheduler,
            types: types.map(|(index, name)| (name.as_str(), TypeIndex(index))).collect(),
            zones: zones.map(|(index, name)| (name.as_str(), ZoneIndex(index))).collect(),
            members: BTreeMap::new(),
            unclassified: BTreeSet::new(),
        }
    }

    /// Adds a machine. Machines must be added in the order of their names.
    pub(super) fn add(&mut self, machine: &Machine, available: Resources) {
        match self.class_of(machine, available) {
            Some(class) => self.members.entry(class).or_default().push(machine.name.clone()),
            None => {
                self.unclassified.insert(machine.name.clone());
            }
        }
    }

    /// The class of a machine. None if it is fetching an image, or if its type or zone is unknown.
    fn class_of(&self, machine: &Machine, available: Resources) -> Option<EquivalenceClass> {
        if machine.tasks.values().any(|task| task.status == TaskStatus::Fetching) {
            return None;
        }
        Some(EquivalenceClass {
            machine_type: *self.types.get(machine.machine_type.as_str())?,
            zone: *self.zones.get(machine.zone.as_str())?,
            is_spot: machine.spot,
            is_to_be_emptied: machine.lifecycle.to_be_emptied,
            is_quarantined: machine.health.quarantined_until > self.scheduler.now,
            is_to_be_replaced: machine.lifecycle.to_be_replaced,
            is_replacement: self.scheduler.drains.is_replacement(&machine.name),
            will_be_drained: self.scheduler.drains.is_targeted(&machine.name),
            available,
        })
    }

    pub(super) fn build(self) -> EquivalenceClasses {
        EquivalenceClasses { members: Arc::new(self.members), unclassified: self.unclassified }
    }
}

/// Names of the machines that have a job's image. None: no machine has it.
#[derive(Clone, Copy)]
struct WarmMachines<'a>(Option<&'a BTreeSet<String>>);

impl<'a> WarmMachines<'a> {
    /// Whether they are few enough to be evaluated individually.
    fn are_all_evaluated(&self) -> bool {
        self.0.is_none_or(|names| names.len() <= MAX_INDIVIDUAL_WARM_MACHINES)
    }

    fn contains(&self, machine: &str) -> bool {
        self.0.is_some_and(|names| names.contains(machine))
    }

    fn names(&self) -> impl Iterator<Item = &'a str> {
        self.0.into_iter().flatten().map(String::as_str)
    }
}

impl Scheduler {
    /// Names of the machines to evaluate, which include the best machines for `tasks` tasks of the job. None:
    /// every machine has to be evaluated. Adds the number of names examined to `steps`.
    pub(super) fn names_to_evaluate<'a>(
        &'a self,
        job: &Job,
        tasks: u32,
        classes: &'a EquivalenceClasses,
        steps: &mut usize,
    ) -> Option<BTreeSet<&'a str>> {
        // Classes leave out two properties: when a machine's next heartbeat is due, which matters to gangs,
        // and whether the job has failed on it.
        if job.spec.kind == Kind::Gang || !job.failure_history.machines.is_empty() {
            return None;
        }
        let warm = WarmMachines(self.machines_by_image.get(&job.spec.image));
        let mut names: BTreeSet<&str> = classes.unclassified.iter().map(String::as_str).collect();
        if warm.are_all_evaluated() {
            names.extend(warm.names());
        }
        for (class, members) in classes.members.iter() {
            if job.spec.resource_request.fits_into(&class.available) {
                *steps += classes.add_first_members(members, tasks, warm, &mut names);
            }
        }
        *steps += names.len();
        Some(names)
    }
}

impl EquivalenceClasses {
    /// Adds to `names` the first `tasks` members without the image and, unless all machines with the image
    /// are evaluated anyway, the first `tasks` members with it. Returns the number of members examined.
    fn add_first_members<'a>(
        &self,
        members: &'a [String],
        tasks: u32,
        warm: WarmMachines<'_>,
        names: &mut BTreeSet<&'a str>,
    ) -> usize {
        let mut with_image_remaining = if warm.are_all_evaluated() { 0 } else { tasks };
        let mut without_image_remaining = tasks;
        for (index, name) in members.iter().enumerate() {
            let remaining =
                if warm.contains(name) { &mut with_image_remaining } else { &mut without_image_remaining };
            if *remaining > 0 && !self.unclassified.contains(name) {
                *remaining -= 1;
                names.insert(name);
            }
            // If all machines with the image are evaluated anyway, `tasks` members without it are enough.
            // Otherwise `tasks` members with it are, since those without it are worse within a class.
            let is_enough = if warm.are_all_evaluated() {
                without_image_remaining == 0
            } else {
                with_image_remaining == 0
            };
            if is_enough {
                return index + 1;
            }
        }
        members.len()
    }
}
