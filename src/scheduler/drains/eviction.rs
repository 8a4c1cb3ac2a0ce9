//! Emptying cordoned machines: which of their tasks are stopped now, and where replicas go.

use super::super::model::{Job, Kind, Machine, MachineState, TaskId, TaskStatus};
use super::super::scoring::{self, ZoneCount};
use super::super::Scheduler;
use super::disruption::runs_on;
use super::reservations::ReservedCapacity;
use super::{Move, OpenDisruption, PendingStop};
use crate::limits;
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::{DesiredState, DrainId};
use dockpier_drain::status::Wait;
use dockpier_drain::stops::{advise, Advice, TaskKind, TaskView};
use std::collections::BTreeMap;
use tracing::info;

/// What a round of emptying has left: each team's allowance, and looks for places, each of which costs a look at every
/// machine.
struct EvictionAllowance {
    teams: BTreeMap<String, Allowance>,
    looks: usize,
    kept: ReservedCapacity,
    spare: BTreeMap<String, i64>,
}

/// A cordoned machine of a drain that goes on.
struct Cordoned {
    drain: DrainId,
    machine: String,
    late: bool,
}

impl Scheduler {
    /// Goes on with every cordoned machine whose state is stored.
    pub(super) fn empty_machines(&mut self) {
        let cordoned_machines = self.cordoned_machines();
        if cordoned_machines.is_empty() {
            return;
        }
        let kept = self.kept_rooms();
        let spare = self.spare_places(&kept);
        let mut left = EvictionAllowance {
            teams: BTreeMap::new(),
            looks: limits::MAX_DRAIN_PLACEMENT_SEARCHES,
            kept,
            spare,
        };
        for cordoned in cordoned_machines {
            let Some(machine) = self.machines.get(&cordoned.machine) else {
                self.note_vanished(&cordoned);
                continue;
            };
            if machine.is_empty() {
                self.return_drained(&cordoned.machine);
            } else if !self.leaves_by_itself(machine) {
                self.empty_machine(&cordoned, &mut left);
            }
        }
    }

    fn cordoned_machines(&self) -> Vec<Cordoned> {
        let mut found = Vec::new();
        for id in self.drains_going_on() {
            let drain = &self.drains.drains[&id];
            let deadline = drain.stored.request.deadline;
            let late = deadline.is_some_and(|deadline| self.day_ms() as f64 > deadline * 1_000.0);
            for (at, chunk) in drain.progress.chunks().iter().enumerate() {
                // Nothing is done on the strength of a state that a new leader would not find.
                if !drain.writing[at].is_stored() {
                    continue;
                }
                let cordoned =
                    chunk.machines.iter().filter(|e| matches!(e.state, MachineDrainState::Cordoned { .. }));
                found.extend(cordoned.map(|e| Cordoned {
                    drain: id.clone(),
                    machine: e.machine.clone(),
                    late,
                }));
            }
        }
        found
    }

    /// Spot notices, faults and silence have faster ways of their own: a drain gives way to them.
    fn leaves_by_itself(&self, machine: &Machine) -> bool {
        let silent =
            self.now >= machine.heartbeats.last_at + limits::silence_timeout(self.config.workers.report_s);
        machine.lifecycle.deleting
            || machine.lifecycle.recall_at.is_some()
            || machine.state != MachineState::Ready
            || silent
    }

    fn return_drained(&mut self, name: &str) {
        if self.machines.get(name).is_some_and(|machine| !machine.lifecycle.deleting) {
            self.delete(vec![name.to_string()], "drained");
        }
    }

    /// A cordoned machine is not there any more: given back by this leader or the last one, or lost.
    fn note_vanished(&mut self, cordoned: &Cordoned) {
        let Some(drain) = self.drains.drains.get_mut(&cordoned.drain) else { return };
        let Some(state) = drain.progress.state(&cordoned.machine) else { return };
        let replacement = state.replacement().map(str::to_string);
        info!(drain = %cordoned.drain, machine = cordoned.machine, "drained machine is gone");
        drain.advance(&cordoned.machine, MachineDrainState::Returned { replacement });
    }

    fn empty_machine(&mut self, cordoned: &Cordoned, left: &mut EvictionAllowance) {
        let Some(machine) = self.machines.get(&cordoned.machine) else { return };
        let tasks: Vec<TaskId> = machine.tasks.keys().copied().collect();
        let mut finishing = 0;
        for id in tasks {
            match self.advise_task(cordoned, id, left) {
                None => {}
                Some((Advice::LetFinish, _, _)) => finishing += 1,
                Some((Advice::Wait(wait), _, _)) => self.drain_waits(&cordoned.drain, wait),
                Some((Advice::Stop { cost, grace_s, tasks }, team, to)) => {
                    if let Some(allowance) = left.teams.get_mut(&team) {
                        *allowance = allowance.less(tasks, cost);
                    }
                    self.reserve_stop(cordoned, id, &team, to, cost, grace_s);
                    // The place is taken.
                    left.kept = self.kept_rooms();
                }
            }
        }
        if finishing > 0 {
            self.drain_waits(&cordoned.drain, Wait::Finishing { tasks: finishing });
        }
    }

    /// What is to be done with a task, whose team's budget counts, and the place that it would move to; `None`: it is
    /// being taken care of.
    fn advise_task(
        &self,
        cordoned: &Cordoned,
        id: TaskId,
        left: &mut EvictionAllowance,
    ) -> Option<(Advice, String, Option<String>)> {
        let machine = self.machines.get(&cordoned.machine)?;
        let task = machine.tasks.get(&id)?;
        let job = self.jobs.get(&id.job_id)?;
        let team = job.spec.team.clone();
        if task.stopping.is_some() || self.is_pending(id) {
            return Some((Advice::Wait(Wait::Stopping { job: id.job_id.to_string() }), team, None));
        }
        let allowance = *left.teams.entry(team.clone()).or_insert_with(|| self.allowance_of(&team));
        // Looking for a place costs a look at every machine: only while a stop could follow.
        let look = job.spec.kind == Kind::Service && allowance.tasks > 0;
        if look && left.looks == 0 {
            return None;
        }
        left.looks -= usize::from(look);
        let place = if look { self.place_to_move_to(job, machine, left) } else { None };
        let (move_s, to) = place.unzip();
        let ran_s = self.ran_s(task);
        let view = TaskView {
            job: id.job_id.to_string(),
            team: team.clone(),
            kind: match job.spec.kind {
                Kind::Service => TaskKind::Replica,
                Kind::Array => TaskKind::Array,
                Kind::Gang => TaskKind::Gang,
            },
            runs: task.status == TaskStatus::Running,
            ran_s,
            remaining_s: remaining_s(job.spec.estimate_s, ran_s),
            checkpoint_s: job.spec.checkpoint_s,
            save_s: job.spec.save_s,
            move_s: if look { move_s } else { Some(self.down_s(job, None)) },
            job_whole: job.spec.kind == Kind::Service && self.is_whole(job),
            gang_tasks: job.spec.tasks,
            gang_reachable: job.spec.kind == Kind::Gang && self.gang_is_reachable(job),
            late: cordoned.late,
        };
        Some((advise(&view, &allowance), team, to))
    }

    fn is_pending(&self, id: TaskId) -> bool {
        self.drains.pending_stops().any(|stop| stop.task == id)
    }

    /// All tasks of the job run, none is on its way, and no stop of one is being prepared.
    fn is_whole(&self, job: &Job) -> bool {
        let same = |id: &TaskId| id.job_id == job.spec.job_id;
        let moving = self.drains.moves.keys().any(same) || self.drains.disrupted.keys().any(same);
        job.progress.pending.is_empty()
            && !moving
            && !self.drains.pending_stops().any(|stop| same(&stop.task))
            && self.placements_of(job).all(|(_, _, task)| runs_on(task))
    }

    /// For how long a replica is down that is stopped here and started on a machine, or on one without its image: the
    /// stop and the start each wait for a report, the fetch takes its time, give or take.
    pub(super) fn down_s(&self, job: &Job, on: Option<&Machine>) -> f64 {
        let reports = 2.0 * 1.25 * self.config.workers.report_s + limits::MOVE_MARGIN_S;
        let warm = on.is_some_and(|machine| machine.image_cache.images.contains(&job.spec.image));
        if warm {
            return reports;
        }
        let rates = self.types.values().filter(|t| on.is_none_or(|m| m.machine_type == t.name));
        let rate = rates.map(|t| t.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        let fetch_s = match rate.is_finite() && rate > 0.0 {
            true => limits::FETCH_TIME_FACTOR * job.spec.image_gb / rate,
            false => limits::DEFAULT_FETCH_S,
        };
        reports + fetch_s
    }

    /// The best machine for a replica that leaves another one, and for how long it would be down.
    fn place_to_move_to(&self, job: &Job, from: &Machine, left: &EvictionAllowance) -> Option<(f64, String)> {
        let mut zones = ZoneCount::of(job, &self.machines);
        zones.remove(&from.zone);
        let (kept, spare) = (&left.kept, &left.spare);
        let shape = self.critical_place();
        let fits = |machine: &&Machine| {
            let free = kept.free(machine);
            // A replacement brings the places of the machine that it stands for.
            let lost = match shape.filter(|_| !machine.spot && !self.drains.is_replacement(&machine.name)) {
                Some(shape) => {
                    shape.count_in(&free) - shape.count_in(&free.minus(&job.spec.resource_request))
                }
                None => 0,
            };
            self.is_schedulable(machine)
                && scoring::is_eligible(job, machine)
                && zones.allows(job, &machine.zone)
                && job.spec.resource_request.fits(&free)
                && !job.failure_history.machines.contains(&machine.name)
                && (lost == 0 || lost <= spare.get(&machine.zone).copied().unwrap_or(0))
        };
        let own = |machine: &Machine| {
            self.drains.replacing.get(&machine.name).is_some_and(|replaced| *replaced == from.name)
        };
        let others = |machine: &Machine| self.drains.is_replacement(&machine.name) && !own(machine);
        let best = self.machines.values().filter(fits).min_by_key(|machine| {
            let cold = !machine.image_cache.images.contains(&job.spec.image);
            let targeted = self.drains.is_targeted(&machine.name);
            let left = scoring::remainder(job, &kept.free(machine));
            (targeted, others(machine), cold, !own(machine), left, &machine.name)
        })?;
        Some((self.down_s(job, Some(best)), best.name.clone()))
    }

    fn gang_is_reachable(&self, job: &Job) -> bool {
        job.progress.pending.is_empty()
            && self.is_reachable_everywhere(job)
            && self.placements_of(job).all(|(_, _, task)| task.status == TaskStatus::Running)
    }

    /// Sets the estimate aside; the stop follows when that is stored.
    fn reserve_stop(
        &mut self,
        cordoned: &Cordoned,
        task: TaskId,
        team: &str,
        to: Option<String>,
        cost: Cost,
        grace_s: f64,
    ) {
        let Some(job) = self.jobs.get(&task.job_id) else { return };
        let (kind, tasks) = (job.spec.kind, job.spec.tasks);
        let (day, budget) = (self.day_ms(), self.budget_of(team));
        let disruption = self.drains.teams.entry(team.to_string()).or_default();
        // A gang's tasks are stopped together, and each is disrupted.
        let tasks = match kind {
            Kind::Gang => (0..tasks).map(|task_number| TaskId { task: task_number, ..task }).collect(),
            Kind::Array | Kind::Service => vec![task],
        };
        let each = Cost { replica_s: cost.replica_s, work_s: cost.work_s / tasks.len() as f64 };
        disruption.writing.dirty = true;
        for task in tasks {
            let id = disruption.ledger.reserve(day, &budget, kind == Kind::Service, each);
            disruption.pending.push(PendingStop {
                disruption: id,
                drain: cordoned.drain.clone(),
                task,
                machine: cordoned.machine.clone(),
                to: to.clone(),
                grace_s,
            });
        }
    }

    /// The estimates of these stops are stored: they are told, unless things have changed meanwhile.
    pub(super) fn tell_stops(&mut self, team: &str, stops: Vec<PendingStop>) {
        for stop in stops {
            match self.may_stop(&stop) {
                true => self.tell_stop(team, stop),
                false => {
                    if let Some(disruption) = self.drains.teams.get_mut(team) {
                        disruption.ledger.release(stop.disruption);
                        disruption.writing.dirty = true;
                    }
                }
            }
        }
    }

    fn may_stop(&self, stop: &PendingStop) -> bool {
        let wanted = self
            .drains
            .drains
            .get(&stop.drain)
            .is_some_and(|drain| drain.stored.desired_state == DesiredState::Run);
        let Some(job) = self.jobs.get(&stop.task.job_id).filter(|job| wanted && !job.terminated) else {
            return false;
        };
        if self.drains.disrupted.contains_key(&stop.task) {
            return false;
        }
        if job.spec.kind == Kind::Gang {
            return self.gang_is_reachable(job) || self.is_being_stopped(job);
        }
        let Some(machine) = self.machines.get(&stop.machine) else { return false };
        let Some(task) = machine.tasks.get(&stop.task) else { return false };
        let kept = self.kept_rooms();
        let place_is_there = stop.to.as_ref().is_none_or(|to| {
            let machine = self.machines.get(to);
            machine.is_some_and(|m| self.is_schedulable(m) && job.spec.resource_request.fits(&kept.free(m)))
        });
        runs_on(task) && self.drains.is_cordoned(&stop.machine) && place_is_there
    }

    /// Another task of the gang has just been told.
    fn is_being_stopped(&self, job: &Job) -> bool {
        self.placements_of(job).any(|(_, _, task)| task.stopping.is_some())
    }

    fn tell_stop(&mut self, team: &str, stop: PendingStop) {
        info!(drain = %stop.drain, task = %stop.task, machine = stop.machine, to = stop.to, "stopped to drain");
        self.decided(format!("stop {} on {} to drain it", stop.task, stop.machine));
        let day = self.day_ms();
        if let Some(disruption) = self.drains.teams.get_mut(team) {
            disruption.ledger.told(stop.disruption, day);
        }
        let open = OpenDisruption { team: team.to_string(), id: stop.disruption };
        self.drains.disrupted.insert(stop.task, open);
        if let Some(to) = stop.to {
            self.drains.moves.insert(stop.task, Move { to, since: self.now });
        }
        let Some(job) = self.jobs.get(&stop.task.job_id) else { return };
        match job.spec.kind {
            Kind::Gang => self.stop_gang(stop.task.job_id),
            Kind::Array | Kind::Service => self.stop(&stop.machine, stop.task, stop.grace_s),
        }
    }
}

/// How long a task runs on by its owner's estimate. One that has run for longer may do so for long: half as long
/// again.
fn remaining_s(estimate_s: f64, ran_s: f64) -> f64 {
    match ran_s < estimate_s {
        true => estimate_s - ran_s,
        false => ran_s / 2.0,
    }
}
