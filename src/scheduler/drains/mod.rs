//! Planned draining: the leader carries out what operators ask for, in steps that keep every team's disruption within
//! its budget. `dockpier_drain` decides; here its decisions meet the rules that the scheduler keeps anyway.
//!
//! A state of a machine is stored before anything is done on the strength of it, and a stop's estimate is stored in
//! its team's ledger before the stop is told. So a new leader goes on where the last one stopped, and no budget
//! begins anew with it. Where draining is turned off, or nothing is drained, no decision differs.

mod disruption;
mod eviction;
mod replacement;
mod reservations;
mod step;
mod store;
mod summary;

pub use store::{DrainKey, DrainValue, LoadedDrains};

use super::model::TaskId;
use super::Scheduler;
use crate::limits;
use dockpier_drain::budget::Budget;
use dockpier_drain::ledger::{Allowance, DisruptionId, Ledger};
use dockpier_drain::progress::{MachineDrainState, Progress};
use dockpier_drain::request::{DesiredState, DrainId, StoredRequest};
use dockpier_drain::status::{DrainState, Summary, Wait};
use std::collections::{BTreeMap, BTreeSet};

/// A value that only the leader writes, and how far its writing is.
#[derive(Debug, Default)]
struct PendingWrite {
    /// It has changed since it was last sent to the state service.
    dirty: bool,
    /// A write is under way.
    sent: bool,
}

impl PendingWrite {
    /// The state service has what the scheduler has.
    fn is_stored(&self) -> bool {
        !self.dirty && !self.sent
    }
}

/// A drain as the leader knows it.
#[derive(Debug)]
struct Drain {
    stored: StoredRequest,
    progress: Progress,
    /// For each part of the progress.
    writing: Vec<PendingWrite>,
    /// Its machines are determined.
    resolved: bool,
    summary: Option<Summary>,
    summary_writing: PendingWrite,
    /// When the summary was last sent.
    summary_at: u64,
    /// When this leader first saw it, and how many machines were done then: its pace.
    seen: u64,
    done_then: usize,
    /// What kept its machines back in the last round.
    waits: Vec<Wait>,
    /// The cloud refused a replacement: not asked again before.
    refused_until: u64,
}

impl Drain {
    fn goes_on(&self) -> bool {
        self.resolved && self.stored.desired_state == DesiredState::Run && !self.progress.is_finished()
    }

    fn state(&self) -> DrainState {
        match self.stored.desired_state {
            _ if self.resolved && self.progress.is_finished() => DrainState::Finished,
            DesiredState::Run => DrainState::Running,
            DesiredState::Pause => DrainState::Paused,
            DesiredState::Cancel => DrainState::Cancelled,
        }
    }

    /// Takes a machine on; what has changed is to be stored.
    fn advance(&mut self, machine: &str, next: MachineDrainState) -> bool {
        let Some(chunk) = self.progress.advance(machine, next) else { return false };
        self.writing[chunk].dirty = true;
        true
    }

    fn under_way(&self) -> usize {
        self.progress.machines().filter(|(_, state)| state.under_way()).count()
    }

    fn wait(&mut self, wait: Wait) {
        if !self.waits.contains(&wait) {
            self.waits.push(wait);
        }
    }
}

/// A stop whose estimate is being stored.
#[derive(Debug, Clone)]
struct PendingStop {
    disruption: DisruptionId,
    drain: DrainId,
    task: TaskId,
    machine: String,
    /// The place of a replica that moves.
    to: Option<String>,
    grace_s: f64,
}

#[derive(Debug, Default)]
struct TeamDisruption {
    ledger: Ledger,
    writing: PendingWrite,
    /// When it was last sent.
    sent_at: u64,
    /// Stops that wait for the next write, and for the one under way.
    pending: Vec<PendingStop>,
    in_write: Vec<PendingStop>,
    /// Up to when the record of an earlier leader tells everything, in milliseconds of the time of day.
    as_of: Option<u64>,
}

/// A replica on its way to another machine: its place is kept.
#[derive(Debug, Clone)]
struct Move {
    to: String,
    since: u64,
}

/// A task whose disruption is not settled.
#[derive(Debug, Clone)]
struct OpenDisruption {
    team: String,
    id: DisruptionId,
}

/// Everything that the leader knows of drains.
#[derive(Debug, Default)]
pub struct Drains {
    loaded: bool,
    due: u64,
    drains: BTreeMap<DrainId, Drain>,
    teams: BTreeMap<String, TeamDisruption>,
    /// Machines that take nothing new.
    cordoned: BTreeSet<String>,
    /// Replacements whose machines are not empty yet, and those machines.
    replacing: BTreeMap<String, String>,
    /// Machines to be drained of which nothing has happened yet: the last choice for what moves.
    targeted: BTreeSet<String>,
    /// Machines that some drain has begun with and not ended.
    started: BTreeSet<String>,
    /// Rental requests for replacements.
    renting: BTreeMap<u64, (DrainId, String)>,
    moves: BTreeMap<TaskId, Move>,
    disrupted: BTreeMap<TaskId, OpenDisruption>,
    /// Replicas that served in the last round.
    serving: BTreeSet<TaskId>,
    /// What earlier leaders' records do not tell has been counted.
    taken_over: bool,
    /// Rounds so far; the drains take turns by it.
    rounds: usize,
    /// The time of day less the steady clock, in milliseconds.
    day_offset: Option<i64>,
}

impl Drains {
    /// Stops whose estimates are not stored yet.
    fn pending_stops(&self) -> impl Iterator<Item = &PendingStop> {
        self.teams.values().flat_map(|team| team.pending.iter().chain(&team.in_write))
    }

    /// Takes nothing new.
    pub fn is_cordoned(&self, machine: &str) -> bool {
        self.cordoned.contains(machine)
    }

    /// Keeps its room for what moves off the machine that it replaces, critical jobs aside.
    pub fn is_replacement(&self, machine: &str) -> bool {
        self.replacing.contains_key(machine)
    }

    /// Will be drained: a task put there would have to leave again.
    pub fn is_targeted(&self, machine: &str) -> bool {
        self.targeted.contains(machine)
    }
}

impl Scheduler {
    fn draining_on(&self) -> bool {
        self.config.operator.draining.enabled
    }

    /// The controller tells the time of day, by which deadlines and windows count.
    pub fn time_of_day(&mut self, now: u64, day_ms: u64) {
        self.drains.day_offset = Some(day_ms as i64 - (now / 1_000) as i64);
    }

    /// The time of day in milliseconds, as of this step.
    pub(super) fn day_ms(&self) -> u64 {
        let offset = self.drains.day_offset.unwrap_or(0);
        ((self.now / 1_000) as i64 + offset).max(0) as u64
    }

    fn budget_of(&self, team: &str) -> Budget {
        self.config.operator.draining.budgets.of(team)
    }

    fn allowance_of(&self, team: &str) -> Allowance {
        let budget = self.budget_of(team);
        match self.drains.teams.get(team) {
            Some(disruption) => disruption.ledger.allowance(self.day_ms(), &budget),
            None => Ledger::default().allowance(self.day_ms(), &budget),
        }
    }

    /// One look at all drains: what happened, what may be done now, what is to be stored.
    pub(super) fn drain_round(&mut self) {
        let ready = self.draining_on() && self.drains.loaded && self.drains.day_offset.is_some();
        if !ready || self.now < self.drains.due {
            return;
        }
        self.drains.due = self.now + limits::DRAIN_INTERVAL;
        self.drains.rounds += 1;
        self.observe_disruption();
        for drain in self.drains.drains.values_mut() {
            drain.waits.clear();
        }
        self.resolve_drains();
        self.mark_drained_machines();
        match self.why_no_step() {
            Some(why) => self.all_wait(why),
            None => {
                self.advance_replacements();
                self.empty_machines();
                self.take_step();
                self.mark_drained_machines();
            }
        }
        self.write_drains();
    }

    /// What keeps every drain from going on. What was told goes on all the same.
    fn why_no_step(&self) -> Option<Wait> {
        if !self.reconciled {
            return Some(Wait::Reconciling);
        }
        let mut zones = self.config.zones.iter();
        let unreachable = zones.find(|zone| self.failure_detector.zone_unreachable(zone));
        unreachable.map(|zone| Wait::ZoneUnreachable { zone: zone.clone() })
    }

    fn all_wait(&mut self, why: Wait) {
        let going_on = self.drains.drains.values_mut().filter(|drain| drain.goes_on() || !drain.resolved);
        going_on.for_each(|drain| drain.wait(why.clone()));
    }

    /// Determines the machines of drains that are new, once all machines are known.
    fn resolve_drains(&mut self) {
        if !self.reconciled {
            return;
        }
        let value_most = self.config.value_most;
        for drain in self.drains.drains.values_mut().filter(|drain| !drain.resolved) {
            let request = &drain.stored.request;
            let covered =
                self.machines.values().filter(|m| request.covers(&m.name, &m.machine_type, &m.zone));
            drain.progress = Progress::of(covered.map(|m| m.name.clone()), value_most);
            drain.writing =
                drain.progress.chunks().iter().map(|_| PendingWrite { dirty: true, sent: false }).collect();
            drain.resolved = true;
        }
    }

    /// Cordons, keeps replacements and notes what is still to come, as the states of the drains say.
    fn mark_drained_machines(&mut self) {
        let drains = &mut self.drains;
        drains.cordoned.clear();
        drains.replacing.clear();
        drains.targeted.clear();
        drains.started.clear();
        for drain in drains.drains.values().filter(|drain| drain.stored.desired_state != DesiredState::Cancel)
        {
            for (machine, state) in drain.progress.machines() {
                match state {
                    MachineDrainState::Waiting => {
                        drains.targeted.insert(machine.to_string());
                    }
                    MachineDrainState::Cordoned { .. } => {
                        drains.cordoned.insert(machine.to_string());
                    }
                    _ => {}
                }
                if state.under_way() {
                    drains.started.insert(machine.to_string());
                }
                if let Some(replacement) = state.replacement().filter(|_| state.under_way()) {
                    drains.replacing.insert(replacement.to_string(), machine.to_string());
                }
            }
        }
        // One that another drain has begun with is no longer to come.
        drains.targeted.retain(|machine| !drains.started.contains(machine));
    }

    /// Drains that go on, in the order in which they were accepted.
    fn drains_going_on(&self) -> Vec<DrainId> {
        let going_on = self.drains.drains.iter().filter(|(_, drain)| drain.goes_on());
        let mut order: Vec<_> = going_on.map(|(id, drain)| (drain.stored.accepted, id.clone())).collect();
        order.sort();
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn drain_waits(&mut self, id: &DrainId, wait: Wait) {
        if let Some(drain) = self.drains.drains.get_mut(id) {
            drain.wait(wait);
        }
    }
}
