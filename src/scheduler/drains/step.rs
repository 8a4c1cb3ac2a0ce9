//! The next step: which machines are replaced or cordoned now.

use super::super::model::{Job, Kind, Machine, MachineState, Resources};
use super::super::Scheduler;
use super::disruption::runs_on;
use super::reservations::ReservedCapacity;
use crate::limits;
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::plan::{self, Amounts, Candidate, Expected, Limits, Refusal, ZoneRoom};
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use std::collections::BTreeMap;
use tracing::debug;

impl Scheduler {
    pub(super) fn take_step(&mut self) {
        let drains = self.drains_going_on();
        if drains.is_empty() {
            return;
        }
        let caps = self.caps(&drains);
        let kept = self.kept_rooms();
        let candidates = self.candidates(&drains, &caps, &kept);
        if candidates.is_empty() {
            return;
        }
        let limits = Limits {
            machines: caps.iter().sum(),
            drains: caps,
            teams: self.allowances_beyond_cordoned(&candidates),
            zones: self.zone_room(&kept),
        };
        let choice = plan::choose(&candidates, &limits, limits::DRAIN_SOLVER_TIMEOUT_S);
        debug!(chosen = choice.chosen.len(), candidates = candidates.len(), method = ?choice.method, "drain step");
        for at in &choice.chosen {
            self.begin_machine(&drains[candidates[*at].drain], &candidates[*at].machine);
        }
        for (at, candidate) in candidates.iter().enumerate().filter(|(at, _)| !choice.chosen.contains(at)) {
            let wait = match plan::refusal(candidate, &limits) {
                Some(refusal) => wait_for(refusal),
                None => Wait::StepFull,
            };
            debug!(machine = candidate.machine, at, %wait, "not in this step");
            self.drain_waits(&drains[candidate.drain], wait);
        }
    }

    /// How many machines each drain may begin with now. What all drains may have under way is shared evenly; what
    /// does not divide goes round, so that a drain that can't use its part keeps no other out.
    fn caps(&self, drains: &[DrainId]) -> Vec<usize> {
        let all = self.config.operator.draining.machines_at_once as usize;
        let under_way: Vec<usize> = drains.iter().map(|id| self.drains.drains[id].under_way()).collect();
        let left = all.saturating_sub(under_way.iter().sum());
        let (each, rest) = (left / drains.len(), left % drains.len());
        let turn = self.drains.rounds % drains.len();
        let share = |at: usize| each + usize::from((at + drains.len() - turn) % drains.len() < rest);
        let own = |at: usize| {
            let drain = &self.drains.drains[&drains[at]];
            let machines = drain.progress.machines().count();
            drain.stored.request.at_once(machines).saturating_sub(under_way[at])
        };
        (0..drains.len()).map(|at| share(at).min(own(at))).collect()
    }

    /// Machines that nothing has happened to, a few more than may begin: those with least on them first.
    fn candidates(&mut self, drains: &[DrainId], caps: &[usize], kept: &ReservedCapacity) -> Vec<Candidate> {
        let mut all = Vec::new();
        let mut taken = self.drains.started.clone();
        for (at, id) in drains.iter().enumerate() {
            let waiting: Vec<String> = self.drains.drains[id]
                .progress
                .machines()
                .filter(|(_, state)| **state == MachineDrainState::Waiting)
                .map(|(machine, _)| machine.to_string())
                .collect();
            if caps[at] == 0 {
                if !waiting.is_empty() {
                    self.drain_waits(id, Wait::StepFull);
                }
                continue;
            }
            let replace = self.drains.drains[id].stored.request.replace;
            let here = self.machines_to_begin(id, waiting).into_iter();
            let here: Vec<String> = here
                .filter(|name| taken.insert(name.clone()))
                .take(caps[at] * limits::MAX_DRAIN_CANDIDATES)
                .collect();
            let machines = here.iter().filter_map(|name| self.machines.get(name));
            all.extend(machines.map(|machine| self.candidate(at, machine, replace, kept)));
        }
        all
    }

    /// Of the machines that wait, those that may begin, with least on them first. What is gone is noted.
    fn machines_to_begin(&mut self, id: &DrainId, waiting: Vec<String>) -> Vec<String> {
        let mut here: Vec<(usize, String)> = Vec::new();
        for name in waiting {
            let Some(machine) = self.machines.get(&name) else {
                if let Some(drain) = self.drains.drains.get_mut(id) {
                    drain.advance(&name, MachineDrainState::Gone);
                }
                continue;
            };
            // It is on its way out already.
            let leaving = machine.lifecycle.deleting
                || machine.lifecycle.recall_at.is_some()
                || machine.state != MachineState::Ready;
            if !leaving {
                here.push((machine.tasks.len(), name));
            }
        }
        here.sort();
        here.into_iter().map(|(_, name)| name).collect()
    }

    fn candidate(
        &self,
        drain: usize,
        machine: &Machine,
        replace: bool,
        kept: &ReservedCapacity,
    ) -> Candidate {
        let shape =
            self.critical_place().filter(|_| !machine.spot && !replace && self.is_schedulable(machine));
        let replicas = self.replicas_on(machine);
        let moves = replicas.iter().fold(Resources::default(), |sum, needs| sum.plus(needs));
        Candidate {
            drain,
            machine: machine.name.clone(),
            zone: machine.zone.clone(),
            // A replacement takes what moves.
            moves: if replace { Amounts::default() } else { amounts(&moves) },
            places: shape.map_or(0, |shape| shape.count_in(&kept.free(machine)).max(0)),
            teams: self.expected(machine),
        }
    }

    fn replicas_on(&self, machine: &Machine) -> Vec<Resources> {
        let jobs = machine.tasks.keys().filter_map(|id| self.jobs.get(&id.job_id));
        jobs.filter(|job| job.spec.kind == Kind::Service && !job.terminated)
            .map(|job| job.spec.resource_request)
            .collect()
    }

    /// What emptying the machine takes of each team: its replicas are down for a while, one after the other. Elastic
    /// tasks save or are let finish.
    fn expected(&self, machine: &Machine) -> BTreeMap<String, Expected> {
        let mut teams: BTreeMap<String, Expected> = BTreeMap::new();
        for (id, task) in &machine.tasks {
            let service = |job: &&Job| job.spec.kind == Kind::Service && !job.terminated;
            let Some(job) = self.jobs.get(&id.job_id).filter(service) else { continue };
            if runs_on(task) {
                let expected = teams.entry(job.spec.team.clone()).or_default();
                expected.together = 1;
                expected.cost = expected.cost.plus(Cost::replica(self.down_s(job, None)));
            }
        }
        teams
    }

    /// What the teams have left once the machines that are cordoned are empty.
    fn allowances_beyond_cordoned(&self, candidates: &[Candidate]) -> BTreeMap<String, Allowance> {
        let mut teams = BTreeMap::new();
        for team in candidates.iter().flat_map(|candidate| candidate.teams.keys()) {
            teams.entry(team.clone()).or_insert_with(|| self.allowance_of(team));
        }
        for machine in self.drains.started.iter().filter_map(|name| self.machines.get(name)) {
            for (team, expected) in self.expected(machine) {
                if let Some(left) = teams.get_mut(&team) {
                    left.cost = left.cost.less(expected.cost);
                }
            }
        }
        // The tasks of a team are stopped one after the other: being busy now keeps no machine out of a step.
        for (team, left) in &mut teams {
            left.tasks = self.budget_of(team).tasks;
        }
        teams
    }

    /// Room for what moves on machines that stay, and places that can be spared.
    fn zone_room(&self, kept: &ReservedCapacity) -> BTreeMap<String, ZoneRoom> {
        let mut spare = self.spare_places(kept);
        let mut zones: BTreeMap<String, ZoneRoom> = BTreeMap::new();
        for zone in &self.config.zones {
            let spare_places = spare.remove(zone).unwrap_or(0);
            zones.insert(zone.clone(), ZoneRoom { free: Amounts::default(), spare_places });
        }
        for machine in
            self.machines.values().filter(|m| self.is_schedulable(m) && !self.drains.is_replacement(&m.name))
        {
            let Some(zone) = zones.get_mut(&machine.zone) else { continue };
            let free = amounts(&kept.free(machine));
            zone.free.cpus += free.cpus.max(0);
            zone.free.gpus += free.gpus.max(0);
            zone.free.memory += free.memory.max(0);
        }
        zones
    }

    fn begin_machine(&mut self, id: &DrainId, machine: &str) {
        let Some(drain) = self.drains.drains.get_mut(id) else { return };
        let next = match drain.stored.request.replace {
            true => MachineDrainState::Replacing { attempt: 1, machine: None },
            false => MachineDrainState::Cordoned { replacement: None },
        };
        drain.advance(machine, next);
    }
}

fn amounts(resources: &Resources) -> Amounts {
    Amounts { cpus: resources.cpus, gpus: resources.gpus, memory: resources.memory }
}

fn wait_for(refusal: Refusal) -> Wait {
    match refusal {
        Refusal::Budget { team, needs, left } => {
            Wait::Budget { team, tasks: needs.together, cost: needs.cost, left }
        }
        Refusal::NoRoom { zone } => Wait::NoRoom { zone },
        Refusal::ReservedPlaces { zone, needs, left } => Wait::ReservedPlaces { zone, needs, left },
    }
}
