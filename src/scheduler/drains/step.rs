//! The next step: which machines are replaced or cordoned now. `dockpier_drain::plan` chooses among the candidates.

use super::reservations::ReservedCapacity;
use crate::limits;
use crate::scheduler::model::{Job, Kind, Machine, MachineState, Resources};
use crate::scheduler::Scheduler;
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::plan::{self, Amounts, Candidate, Expected, Limits, Refusal, ZoneRoom};
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use std::collections::{BTreeMap, BTreeSet};
use tracing::debug;

/// A machine that may be begun with. Those with fewest tasks come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WaitingMachine {
    tasks: usize,
    name: String,
}

impl Scheduler {
    /// Begins with as many machines as the budgets, the zones and the drains allow, and notes what keeps the others
    /// back.
    pub(super) fn begin_step(&mut self) {
        let drains = self.drains.active();
        if drains.is_empty() {
            return;
        }
        let quotas = self.machines_to_begin(&drains);
        let reserved = self.reserved_capacity();
        let candidates = self.drain_candidates(&drains, &quotas, &reserved);
        if candidates.is_empty() {
            return;
        }
        let limits = Limits {
            machines: quotas.iter().sum(),
            drains: quotas,
            teams: self.allowances_beyond_cordoned(&candidates),
            zones: self.zone_room(&reserved),
        };
        let choice = plan::choose(&candidates, &limits, limits::DRAIN_SOLVER_TIMEOUT_S);
        debug!(chosen = choice.chosen.len(), candidates = candidates.len(), method = ?choice.method, "drain step");
        for index in &choice.chosen {
            self.begin_machine(&drains[candidates[*index].drain], &candidates[*index].machine);
        }
        let is_refused = |index: &usize| !choice.chosen.contains(index);
        for (at, candidate) in candidates.iter().enumerate().filter(|(index, _)| is_refused(index)) {
            let wait = plan::refusal(candidate, &limits).map_or(Wait::StepFull, wait_for);
            debug!(machine = candidate.machine, at, %wait, "not in this step");
            self.drains.add_wait(&drains[candidate.drain], wait);
        }
    }

    /// How many machines each drain may begin with now. What all drains may have under way is shared evenly; what
    /// does not divide goes round, so that a drain that can't use its part keeps no other out.
    fn machines_to_begin(&self, drains: &[DrainId]) -> Vec<usize> {
        let all = self.config.operator.draining.machines_at_once as usize;
        let under_way: Vec<usize> =
            drains.iter().map(|id| self.drains.drains[id].machines_under_way()).collect();
        let left = all.saturating_sub(under_way.iter().sum());
        let (each, rest) = (left / drains.len(), left % drains.len());
        let turn = self.drains.rounds % drains.len();
        let share = |index: usize| each + usize::from((index + drains.len() - turn) % drains.len() < rest);
        let own_limit = |index: usize| {
            let drain = &self.drains.drains[&drains[index]];
            let machines = drain.progress.machines().count();
            drain.stored.request.at_once(machines).saturating_sub(under_way[index])
        };
        (0..drains.len()).map(|index| share(index).min(own_limit(index))).collect()
    }

    /// Machines that nothing has happened to, a few more than may begin: those with fewest tasks first.
    fn drain_candidates(
        &mut self,
        drains: &[DrainId],
        quotas: &[usize],
        reserved: &ReservedCapacity,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let mut taken = self.drains.started.clone();
        for (index, id) in drains.iter().enumerate() {
            let waiting = self.waiting_machines(id);
            if quotas[index] == 0 {
                if !waiting.is_empty() {
                    self.drains.add_wait(id, Wait::StepFull);
                }
                continue;
            }
            let most = quotas[index] * limits::DRAIN_CANDIDATES_FACTOR;
            let names = self.first_to_begin(id, waiting, most, &mut taken);
            let is_replaced = self.drains.drains[id].stored.request.replace;
            let machines = names.iter().filter_map(|name| self.machines.get(name));
            candidates
                .extend(machines.map(|machine| self.drain_candidate(index, machine, is_replaced, reserved)));
        }
        candidates
    }

    fn waiting_machines(&self, id: &DrainId) -> Vec<String> {
        let machines = self.drains.drains[id].progress.machines();
        let waiting = machines.filter(|(_, state)| **state == MachineDrainState::Waiting);
        waiting.map(|(machine, _)| machine.to_string()).collect()
    }

    /// Up to `most` of the waiting machines that may begin and that no other drain has taken.
    fn first_to_begin(
        &mut self,
        id: &DrainId,
        waiting: Vec<String>,
        most: usize,
        taken: &mut BTreeSet<String>,
    ) -> Vec<String> {
        let ready = self.ready_to_begin(id, waiting).into_iter();
        ready.map(|machine| machine.name).filter(|name| taken.insert(name.clone())).take(most).collect()
    }

    /// Of the waiting machines those that may begin, in order. Those that are gone are noted.
    fn ready_to_begin(&mut self, id: &DrainId, waiting: Vec<String>) -> Vec<WaitingMachine> {
        let mut ready: Vec<WaitingMachine> = Vec::new();
        for name in waiting {
            let Some(machine) = self.machines.get(&name) else {
                self.drains.advance(id, &name, MachineDrainState::Gone);
                continue;
            };
            let is_leaving = machine.lifecycle.deleting
                || machine.lifecycle.recall_at.is_some()
                || machine.state != MachineState::Ready;
            if !is_leaving {
                ready.push(WaitingMachine { tasks: machine.tasks.len(), name });
            }
        }
        ready.sort();
        ready
    }

    /// What draining the machine takes. A replacement takes what moves, and brings the places for critical services.
    fn drain_candidate(
        &self,
        drain: usize,
        machine: &Machine,
        is_replaced: bool,
        reserved: &ReservedCapacity,
    ) -> Candidate {
        let counts_places = !machine.spot && !is_replaced && self.is_schedulable(machine);
        let place = self.critical_place().filter(|_| counts_places);
        let moves = if is_replaced { Amounts::default() } else { amounts(&self.replica_requests(machine)) };
        Candidate {
            drain,
            machine: machine.name.clone(),
            zone: machine.zone.clone(),
            moves,
            places: place.map_or(0, |place| place.count_in(&reserved.available_on(machine)).max(0)),
            teams: self.expected_disruption(machine),
        }
    }

    /// What the replicas on the machine request together.
    fn replica_requests(&self, machine: &Machine) -> Resources {
        let jobs = machine.tasks.keys().filter_map(|id| self.jobs.get(&id.job_id));
        jobs.filter(|job| is_live_service(job))
            .fold(Resources::default(), |sum, job| sum.plus(&job.spec.resource_request))
    }

    /// What emptying the machine takes of each team: its replicas are down for a while, one after the other. Elastic
    /// tasks save or are let finish.
    fn expected_disruption(&self, machine: &Machine) -> BTreeMap<String, Expected> {
        let mut teams: BTreeMap<String, Expected> = BTreeMap::new();
        for (id, placement) in &machine.tasks {
            let Some(job) = self.jobs.get(&id.job_id).filter(|job| is_live_service(job)) else { continue };
            if placement.is_undisturbed() {
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
            for (team, expected) in self.expected_disruption(machine) {
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

    /// Room for what moves on machines that stay, and places for critical services that can be spared.
    fn zone_room(&self, reserved: &ReservedCapacity) -> BTreeMap<String, ZoneRoom> {
        let mut spare = self.spare_critical_places(reserved);
        let mut zones: BTreeMap<String, ZoneRoom> = BTreeMap::new();
        for zone in &self.config.zones {
            let spare_places = spare.remove(zone).unwrap_or(0);
            zones.insert(zone.clone(), ZoneRoom { free: Amounts::default(), spare_places });
        }
        let stays =
            |machine: &&Machine| self.is_schedulable(machine) && !self.drains.is_replacement(&machine.name);
        for machine in self.machines.values().filter(stays) {
            let Some(zone) = zones.get_mut(&machine.zone) else { continue };
            let available = amounts(&reserved.available_on(machine));
            zone.free.cpus += available.cpus.max(0);
            zone.free.gpus += available.gpus.max(0);
            zone.free.memory += available.memory.max(0);
        }
        zones
    }

    fn begin_machine(&mut self, id: &DrainId, machine: &str) {
        let Some(drain) = self.drains.drains.get_mut(id) else { return };
        let next = if drain.stored.request.replace {
            MachineDrainState::Replacing { attempt: 1, machine: None }
        } else {
            MachineDrainState::Cordoned { replacement: None }
        };
        drain.advance(machine, next);
    }
}

fn is_live_service(job: &Job) -> bool {
    job.spec.kind == Kind::Service && !job.terminated
}

fn amounts(resources: &Resources) -> Amounts {
    Amounts { cpus: resources.milli_cpus, gpus: resources.milli_gpus, memory: resources.memory_mb }
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
