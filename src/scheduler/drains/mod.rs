//! Planned draining: the leader carries out what operators ask for, in steps that keep every team's disruption within
//! its budget. `dockpier_drain` decides; here its decisions meet the rules that the scheduler keeps anyway. Owns the
//! drains, the teams' disruption ledgers, and which machines are cordoned.
//!
//! A state of a machine is stored before anything is done on the strength of it, and a stop's estimate is stored in
//! its team's ledger before the stop is requested. So a new leader goes on where the last one stopped, and no budget
//! begins anew with it. Where draining is turned off, or nothing is drained, no decision differs.
//!
//! Each round: `disruption` records what happened to tasks, `replacement` rents machines, `eviction` empties cordoned
//! ones, `step` begins with further ones, `store` writes what has changed.

mod destination;
mod disruption;
mod drain;
mod eviction;
mod replacement;
mod reservations;
mod step;
mod stops;
mod store;
mod summary;

pub use store::{DrainKey, DrainValue, LoadedDrains};

use super::model::TaskId;
use super::Scheduler;
use crate::limits;
use crate::time::Timestamp;
use dockpier_drain::budget::Budget;
use dockpier_drain::ledger::{Allowance, Ledger};
use dockpier_drain::progress::{MachineDrainState, Progress};
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use drain::{Drain, WriteState};
use reservations::ReservedPlace;
use std::collections::{BTreeMap, BTreeSet};
use stops::{OpenDisruption, PendingStop};

/// What a team's tasks lose to drains and failures.
#[derive(Debug, Default)]
struct TeamDisruption {
    ledger: Ledger,
    record: WriteState,
    /// When the record was last sent.
    sent_at: Timestamp,
    /// Stops whose estimates the next write stores.
    pending: Vec<PendingStop>,
    /// Stops whose estimates the write under way stores.
    in_write: Vec<PendingStop>,
    /// Up to when the record of an earlier leader is complete, in milliseconds of the time of day.
    as_of: Option<u64>,
}

/// A machine that some drain wants to replace.
#[derive(Debug)]
struct ReplacementFor {
    drain: DrainId,
    machine: String,
}

/// Everything that the leader knows of drains.
#[derive(Debug, Default)]
pub struct Drains {
    loaded: bool,
    /// When the next round is due.
    due: Timestamp,
    drains: BTreeMap<DrainId, Drain>,
    teams: BTreeMap<String, TeamDisruption>,
    /// Machines that take nothing new.
    cordoned: BTreeSet<String>,
    /// Replacements whose machines are not empty yet, and those machines.
    replacements: BTreeMap<String, String>,
    /// Machines to be drained of which nothing has happened yet: the last choice for what moves.
    targeted: BTreeSet<String>,
    /// Machines that some drain has begun with and not ended.
    started: BTreeSet<String>,
    /// Rental requests for replacements, by number.
    renting: BTreeMap<u64, ReplacementFor>,
    /// Places reserved for replicas that move.
    moves: BTreeMap<TaskId, ReservedPlace>,
    /// Tasks whose disruption is not settled.
    disrupted: BTreeMap<TaskId, OpenDisruption>,
    /// Replicas that served in the last round.
    serving: BTreeSet<TaskId>,
    /// Whether the disruption that earlier leaders' records lack has been counted.
    missed_disruption_counted: bool,
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

    /// Whether the machine takes nothing new.
    pub fn is_cordoned(&self, machine: &str) -> bool {
        self.cordoned.contains(machine)
    }

    /// Whether the machine keeps its room for what moves off the one that it replaces, critical jobs aside.
    pub fn is_replacement(&self, machine: &str) -> bool {
        self.replacements.contains_key(machine)
    }

    /// Whether the machine will be drained: a task put there would have to leave again.
    pub fn is_targeted(&self, machine: &str) -> bool {
        self.targeted.contains(machine)
    }

    /// Derives which machines are cordoned, replacements, targeted and started from the states of the drains.
    fn update_marks(&mut self) {
        self.cordoned.clear();
        self.replacements.clear();
        self.targeted.clear();
        self.started.clear();
        let in_force = self.drains.values().filter(|drain| !drain.is_cancelled());
        for (machine, state) in in_force.flat_map(|drain| drain.progress.machines()) {
            match state {
                MachineDrainState::Waiting => {
                    self.targeted.insert(machine.to_string());
                }
                MachineDrainState::Cordoned { .. } => {
                    self.cordoned.insert(machine.to_string());
                }
                MachineDrainState::Replacing { .. }
                | MachineDrainState::Returned { .. }
                | MachineDrainState::Gone => {}
            }
            if !state.under_way() {
                continue;
            }
            self.started.insert(machine.to_string());
            if let Some(replacement) = state.replacement() {
                self.replacements.insert(replacement.to_string(), machine.to_string());
            }
        }
        // One that another drain has begun with is no longer to come.
        self.targeted.retain(|machine| !self.started.contains(machine));
    }

    /// Drains that go on, in the order in which they were accepted.
    fn active(&self) -> Vec<DrainId> {
        let active = self.drains.iter().filter(|(_, drain)| drain.is_active());
        let mut order: Vec<_> = active.map(|(id, drain)| (drain.stored.accepted, id.clone())).collect();
        order.sort();
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn add_wait(&mut self, id: &DrainId, wait: Wait) {
        if let Some(drain) = self.drains.get_mut(id) {
            drain.add_wait(wait);
        }
    }

    fn advance(&mut self, id: &DrainId, machine: &str, next: MachineDrainState) {
        if let Some(drain) = self.drains.get_mut(id) {
            drain.advance(machine, next);
        }
    }
}

impl Scheduler {
    fn is_draining_enabled(&self) -> bool {
        self.config.operator.draining.enabled
    }

    /// The controller passes the time of day in, by which deadlines and windows count.
    pub fn time_of_day(&mut self, now: Timestamp, day_ms: u64) {
        self.drains.day_offset = Some(day_ms as i64 - now.as_millis() as i64);
    }

    /// The time of day in milliseconds, as of this step.
    pub(super) fn day_ms(&self) -> u64 {
        let offset = self.drains.day_offset.unwrap_or(0);
        (self.now.as_millis() as i64 + offset).max(0) as u64
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

    /// One round over all drains: what happened, what may be done now, what is to be stored.
    pub(super) fn drain_round(&mut self) {
        let is_ready = self.is_draining_enabled() && self.drains.loaded && self.drains.day_offset.is_some();
        if !is_ready || self.now < self.drains.due {
            return;
        }
        self.drains.due = self.now + limits::DRAIN_INTERVAL;
        self.drains.rounds += 1;
        self.record_disruption();
        for drain in self.drains.drains.values_mut() {
            drain.waits.clear();
        }
        self.resolve_drains();
        self.drains.update_marks();
        match self.reason_for_no_step() {
            Some(wait) => self.let_all_wait(wait),
            None => {
                self.advance_replacements();
                self.evict_from_cordoned_machines();
                self.begin_step();
                self.drains.update_marks();
            }
        }
        self.write_drains();
    }

    /// What keeps every drain from a further step. Stops that were requested go on all the same.
    fn reason_for_no_step(&self) -> Option<Wait> {
        if !self.all_accounted_for {
            return Some(Wait::Reconciling);
        }
        let mut zones = self.config.zones.iter();
        let unreachable = zones.find(|zone| self.failure_detector.zone_unreachable(zone));
        unreachable.map(|zone| Wait::ZoneUnreachable { zone: zone.clone() })
    }

    fn let_all_wait(&mut self, wait: Wait) {
        let waiting = self.drains.drains.values_mut().filter(|drain| drain.is_active() || !drain.is_resolved);
        waiting.for_each(|drain| drain.add_wait(wait.clone()));
    }

    /// Determines the machines of drains that are new, once all machines are known.
    fn resolve_drains(&mut self) {
        if !self.all_accounted_for {
            return;
        }
        let max_value_bytes = self.config.max_value_bytes;
        for drain in self.drains.drains.values_mut().filter(|drain| !drain.is_resolved) {
            let request = &drain.stored.request;
            let covered =
                self.machines.values().filter(|m| request.covers(&m.name, &m.machine_type, &m.zone));
            drain.resolve(Progress::of(covered.map(|machine| machine.name.clone()), max_value_bytes));
        }
    }
}
