//! Chooses the zone of a job whose tasks must all run in one zone. Called by `candidates` before it filters
//! machines.

use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, Kind, Machine};
use crate::scheduler::Scheduler;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The zones that the next tasks of a job may use.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ZoneChoice {
    /// Every zone that the job's zone rules allow.
    Any,
    /// Only the zone of this name.
    Only(String),
    /// No zone: the job needs one zone for all its tasks, and no machine that it may use has room for any.
    NoZone,
}

impl ZoneChoice {
    pub(super) fn allows(&self, zone: &str) -> bool {
        match self {
            ZoneChoice::Any => true,
            ZoneChoice::Only(chosen) => chosen == zone,
            ZoneChoice::NoZone => false,
        }
    }
}

/// How long a task would wait until it starts. Smaller is better; the fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartDelay {
    /// Whether the machine may be faulty (see [`Scheduler::may_fail_on`]): the start is likely to be repeated.
    may_fail: bool,
    /// See [`Machine::image_fetches`].
    image_fetches: i64,
    /// Seconds until the machine's next heartbeat.
    heartbeat_due_s: i64,
}

impl StartDelay {
    const ZERO: StartDelay = StartDelay { may_fail: false, image_fetches: 0, heartbeat_due_s: 0 };
    const NEVER: StartDelay =
        StartDelay { may_fail: true, image_fetches: i64::MAX, heartbeat_due_s: i64::MAX };
}

/// Free slots for tasks of the job on one machine. Those where tasks start earliest sort first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slots {
    delay: StartDelay,
    count: i64,
}

/// How suitable a zone is for all tasks of a job. Larger is better; the fields are compared in order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneScore {
    /// For a gang: the delay until its last task would start. None for other jobs.
    last_start: Option<Reverse<StartDelay>>,
    /// Number of free slots in the zone on machines that are not likely to be faulty.
    sound_slots: i64,
    /// Number of free slots in the zone.
    slots: i64,
}

impl Scheduler {
    /// The zones for the next tasks of the job: `Any` unless the job needs one zone and no task of it is
    /// placed. Once a task is placed, the zone rules keep further tasks in its zone.
    pub(super) fn choose_zone(&self, job: &Job, capacity: &FreeCapacity) -> ZoneChoice {
        if !job.spec.one_zone || !job.placements.is_empty() {
            return ZoneChoice::Any;
        }
        match self.best_zone_for_all_tasks(job, capacity) {
            Some(zone) => ZoneChoice::Only(zone),
            None => ZoneChoice::NoZone,
        }
    }

    /// The zone with most slots; for a gang, the zone where its last task would start earliest.
    fn best_zone_for_all_tasks(&self, job: &Job, capacity: &FreeCapacity) -> Option<String> {
        let tasks = i64::from(job.spec.tasks);
        let mut zones: BTreeMap<&str, Vec<Slots>> = BTreeMap::new();
        for (name, available) in &capacity.available {
            let machine = self.machines.get(name).filter(|machine| self.passes_filter(job, machine));
            let Some(machine) = machine else { continue };
            let count = job.spec.resource_request.count_in(available).min(tasks);
            if count > 0 {
                let delay = self.start_delay(job, machine);
                zones.entry(&machine.zone).or_default().push(Slots { delay, count });
            }
        }
        let scored = zones.into_iter().map(|(zone, slots)| (zone_score(job, slots), zone));
        scored.max().map(|(_, zone)| zone.to_string())
    }

    /// Whether the machine may be faulty: it is to be replaced, or tasks of the job have failed on it.
    fn may_fail_on(job: &Job, machine: &Machine) -> bool {
        machine.lifecycle.to_be_replaced || job.failure_history.has_failed_on(&machine.name)
    }

    /// How long a task of the job would wait on the machine. The durations are zero unless the job is a gang,
    /// as only gangs are compared by them.
    fn start_delay(&self, job: &Job, machine: &Machine) -> StartDelay {
        let may_fail = Self::may_fail_on(job, machine);
        match job.spec.kind {
            Kind::Gang => StartDelay {
                may_fail,
                image_fetches: machine.image_fetches(&job.spec.image),
                heartbeat_due_s: self.heartbeat_due_s(machine),
            },
            Kind::Array | Kind::Service => StartDelay { may_fail, ..StartDelay::ZERO },
        }
    }
}

fn zone_score(job: &Job, mut slots: Vec<Slots>) -> ZoneScore {
    slots.sort_unstable();
    let total = slots.iter().map(|slots| slots.count).sum();
    let sound = slots.iter().filter(|slots| !slots.delay.may_fail);
    let sound_slots = sound.map(|slots| slots.count).sum();
    let mut unplaced_tasks = i64::from(job.spec.tasks);
    let last = slots.iter().find(|slots| {
        unplaced_tasks -= slots.count;
        unplaced_tasks <= 0
    });
    let last_start = last.map_or(StartDelay::NEVER, |slots| slots.delay);
    let is_gang = job.spec.kind == Kind::Gang;
    ZoneScore { last_start: is_gang.then_some(Reverse(last_start)), sound_slots, slots: total }
}

#[cfg(test)]
#[path = "zone_choice_tests.rs"]
mod tests;
