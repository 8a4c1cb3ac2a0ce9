//! Machines with room grouped by what makes them alike to a job, so that it need not look at each of thousands.
//!
//! Of machines that differ in nothing but their names and images the first ones by name are taken first, so that a job
//! for so many tasks never uses more than so many of a group: those with its image, and those without. What changes
//! within a round, or is fetching, is looked at one by one.

use crate::scheduler::model::{Job, Kind, Machine, Resources, TaskStatus};
use crate::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What two machines must share to be alike to every job that has failed on neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    machine_type: usize,
    zone: usize,
    spot: bool,
    surplus: bool,
    slow: bool,
    drain_kept: bool,
    drain_targeted: bool,
    room: Resources,
}

/// Up to so many machines with an image are looked at one by one.
const FEW: usize = 64;

/// The groups of a round, and the machines that are in none.
#[derive(Clone, Default)]
pub(super) struct AlikeMachines {
    /// Names in their order. A name that is single by now counts no more.
    groups: Arc<BTreeMap<Group, Vec<String>>>,
    single: BTreeSet<String>,
}

impl AlikeMachines {
    /// The machine's room has changed: it is looked at by itself from now on.
    pub(super) fn set_apart(&mut self, machine: &str) {
        if !self.single.contains(machine) {
            self.single.insert(machine.to_string());
        }
    }
}

/// Groups machines as they are found.
pub(super) struct Grouping<'a> {
    scheduler: &'a Scheduler,
    types: BTreeMap<&'a str, usize>,
    zones: BTreeMap<&'a str, usize>,
    groups: BTreeMap<Group, Vec<String>>,
    single: BTreeSet<String>,
}

impl<'a> Grouping<'a> {
    pub(super) fn new(scheduler: &'a Scheduler) -> Self {
        Grouping {
            scheduler,
            types: scheduler.types.keys().enumerate().map(|(at, name)| (name.as_str(), at)).collect(),
            zones: scheduler.config.zones.iter().enumerate().map(|(at, name)| (name.as_str(), at)).collect(),
            groups: BTreeMap::new(),
            single: BTreeSet::new(),
        }
    }

    /// Machines come in the order of their names.
    pub(super) fn add(&mut self, machine: &Machine, room: Resources) {
        let fetching = machine.tasks.values().any(|task| task.status == TaskStatus::Fetching);
        let known = self.types.get(machine.machine_type.as_str()).zip(self.zones.get(machine.zone.as_str()));
        let Some((machine_type, zone)) = known.filter(|_| !fetching) else {
            self.single.insert(machine.name.clone());
            return;
        };
        let group = Group {
            machine_type: *machine_type,
            zone: *zone,
            spot: machine.spot,
            surplus: machine.lifecycle.consolidation_target,
            slow: machine.health.quarantined_until > self.scheduler.now,
            drain_kept: self.scheduler.drains.is_kept(&machine.name),
            drain_targeted: self.scheduler.drains.is_targeted(&machine.name),
            room,
        };
        self.groups.entry(group).or_default().push(machine.name.clone());
    }

    pub(super) fn finish(self) -> AlikeMachines {
        AlikeMachines { groups: Arc::new(self.groups), single: self.single }
    }
}

impl Scheduler {
    /// Names among which the best machines for `want` tasks of the job are; `None`: only a look at each tells. Adds
    /// the names looked at.
    pub(super) fn names_to_weigh<'a>(
        &'a self,
        job: &Job,
        want: u32,
        alike: &'a AlikeMachines,
        steps: &mut usize,
    ) -> Option<BTreeSet<&'a str>> {
        // A gang goes by when each machine reports next.
        if job.spec.kind == Kind::Gang || !job.failure_history.machines.is_empty() {
            return None;
        }
        let warm = self.machines_by_image.get(&job.spec.image);
        let few = warm.is_none_or(|warm| warm.len() <= FEW);
        let mut names: BTreeSet<&str> = alike.single.iter().map(String::as_str).collect();
        if few {
            names.extend(warm.into_iter().flatten().map(String::as_str));
        }
        for (group, members) in alike.groups.iter() {
            if !job.spec.resource_request.fits(&group.room) {
                continue;
            }
            let (mut with_image, mut without) = (if few { 0 } else { want }, want);
            for name in members {
                *steps += 1;
                let has_image = warm.is_some_and(|warm| warm.contains(name));
                let left = if has_image { &mut with_image } else { &mut without };
                if *left > 0 && !alike.single.contains(name) {
                    *left -= 1;
                    names.insert(name);
                }
                // Within a group those with the image come before all others.
                let enough = if few { without == 0 } else { with_image == 0 };
                if enough {
                    break;
                }
            }
        }
        *steps += names.len();
        Some(names)
    }
}
