//! Graceful eviction: which tasks of cordoned machines are stopped now. Machines that are empty are deleted.

use super::destination::{Destination, MoveCapacity};
use super::stops::PlannedStop;
use crate::limits;
use crate::scheduler::autoscaler::DeletionReason;
use crate::scheduler::model::{Job, Kind, Machine, MachineState, Placement, TaskId, TaskStatus};
use crate::scheduler::Scheduler;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use dockpier_drain::stops::{advise, Advice, TaskKind, TaskView};
use std::collections::BTreeMap;
use tracing::info;

/// What a round of eviction has left.
struct EvictionBudget {
    /// Each team's allowance, once it was asked for.
    teams: BTreeMap<String, Allowance>,
    /// Searches for a place, each of which costs a look at every machine.
    searches_left: usize,
    capacity: MoveCapacity,
}

/// A cordoned machine of a drain that goes on.
pub(super) struct Cordoned {
    /// The drain.
    pub drain: DrainId,
    /// Name of the machine.
    pub machine: String,
    /// Whether the drain's deadline has passed.
    is_late: bool,
}

/// What is to be done with a task, and whose budget counts.
struct TaskAdvice {
    advice: Advice,
    team: String,
    /// The machine that a replica would move to.
    destination: Option<String>,
}

impl Scheduler {
    /// Goes on with every cordoned machine whose state is stored.
    pub(super) fn evict_from_cordoned_machines(&mut self) {
        let cordoned_machines = self.cordoned_machines();
        if cordoned_machines.is_empty() {
            return;
        }
        let reserved = self.reserved_capacity();
        let spare_places = self.spare_critical_places(&reserved);
        let mut budget = EvictionBudget {
            teams: BTreeMap::new(),
            searches_left: limits::MAX_DRAIN_PLACEMENT_SEARCHES,
            capacity: MoveCapacity { reserved, spare_places },
        };
        for cordoned in cordoned_machines {
            let Some(machine) = self.machines.get(&cordoned.machine) else {
                self.note_vanished(&cordoned);
                continue;
            };
            if machine.is_empty() {
                self.delete_drained(&cordoned.machine);
            } else if !self.leaves_by_itself(machine) {
                self.evict_tasks(&cordoned, &mut budget);
            }
        }
    }

    fn cordoned_machines(&self) -> Vec<Cordoned> {
        let mut found = Vec::new();
        for id in self.drains.active() {
            let drain = &self.drains.drains[&id];
            let deadline = drain.stored.request.deadline;
            let is_late = deadline.is_some_and(|deadline| self.day_ms() as f64 > deadline * 1_000.0);
            // Nothing is done on the strength of a state that a new leader would not find.
            let chunks = drain.progress.chunks().iter().zip(&drain.chunk_writes);
            for (chunk, _) in chunks.filter(|(_, write)| write.is_stored()) {
                let is_cordoned =
                    |state: &MachineDrainState| matches!(state, MachineDrainState::Cordoned { .. });
                let cordoned = chunk.machines.iter().filter(|entry| is_cordoned(&entry.state));
                found.extend(cordoned.map(|entry| Cordoned {
                    drain: id.clone(),
                    machine: entry.machine.clone(),
                    is_late,
                }));
            }
        }
        found
    }

    /// Spot notices, faults and silence have faster ways of their own: a drain gives way to them.
    fn leaves_by_itself(&self, machine: &Machine) -> bool {
        let silence_timeout = limits::silence_timeout(self.config.workers.report_s);
        machine.lifecycle.deleting
            || machine.lifecycle.recall_at.is_some()
            || machine.state != MachineState::Ready
            || self.now >= machine.heartbeats.last_at + silence_timeout
    }

    fn delete_drained(&mut self, name: &str) {
        if self.machines.get(name).is_some_and(|machine| !machine.lifecycle.deleting) {
            self.delete(vec![name.to_string()], DeletionReason::Drained);
        }
    }

    /// A cordoned machine is not there any more: deleted by this leader or the last one, or lost.
    fn note_vanished(&mut self, cordoned: &Cordoned) {
        let Some(drain) = self.drains.drains.get_mut(&cordoned.drain) else { return };
        let Some(state) = drain.progress.state(&cordoned.machine) else { return };
        let replacement = state.replacement().map(str::to_string);
        info!(drain = %cordoned.drain, machine = cordoned.machine, "drained machine is gone");
        drain.advance(&cordoned.machine, MachineDrainState::Returned { replacement });
    }

    fn evict_tasks(&mut self, cordoned: &Cordoned, budget: &mut EvictionBudget) {
        let Some(machine) = self.machines.get(&cordoned.machine) else { return };
        let tasks: Vec<TaskId> = machine.tasks.keys().copied().collect();
        let mut finishing = 0;
        for task in tasks {
            let Some(TaskAdvice { advice, team, destination }) = self.advise_task(cordoned, task, budget)
            else {
                continue;
            };
            match advice {
                Advice::LetFinish => finishing += 1,
                Advice::Wait(wait) => self.drains.add_wait(&cordoned.drain, wait),
                Advice::Stop { cost, grace_s, tasks } => {
                    if let Some(allowance) = budget.teams.get_mut(&team) {
                        *allowance = allowance.less(tasks, cost);
                    }
                    self.reserve_stop(cordoned, PlannedStop { task, team, destination, cost, grace_s });
                    // The place is taken.
                    budget.capacity.reserved = self.reserved_capacity();
                }
            }
        }
        if finishing > 0 {
            self.drains.add_wait(&cordoned.drain, Wait::Finishing { tasks: finishing });
        }
    }

    /// None: the task is gone, or the round has no search for a place left.
    fn advise_task(
        &self,
        cordoned: &Cordoned,
        id: TaskId,
        budget: &mut EvictionBudget,
    ) -> Option<TaskAdvice> {
        let machine = self.machines.get(&cordoned.machine)?;
        let placement = machine.tasks.get(&id)?;
        let job = self.jobs.get(&id.job_id)?;
        let team = job.spec.team.clone();
        if placement.stopping.is_some() || self.is_stop_pending(id) {
            let advice = Advice::Wait(Wait::Stopping { job: id.job_id.to_string() });
            return Some(TaskAdvice { advice, team, destination: None });
        }
        let allowance = *budget.teams.entry(team.clone()).or_insert_with(|| self.allowance_of(&team));
        // A search is made only while a stop could follow.
        let needs_place = job.spec.kind == Kind::Service && allowance.tasks > 0;
        let destination = if needs_place {
            budget.searches_left = budget.searches_left.checked_sub(1)?;
            self.find_destination(job, machine, &budget.capacity)
        } else {
            None
        };
        let move_s = match &destination {
            Some(Destination { down_s, .. }) => Some(*down_s),
            None if needs_place => None,
            None => Some(self.down_s(job, None)),
        };
        let advice = advise(&self.task_view(job, placement, move_s, cordoned), &allowance);
        Some(TaskAdvice { advice, team, destination: destination.map(|destination| destination.machine) })
    }

    /// What the advice depends on. `move_s`: how long a replica would be down, in seconds; None: it has no place.
    fn task_view(
        &self,
        job: &Job,
        placement: &Placement,
        move_s: Option<f64>,
        cordoned: &Cordoned,
    ) -> TaskView {
        let ran_s = self.ran_s(placement);
        TaskView {
            job: job.spec.job_id.to_string(),
            team: job.spec.team.clone(),
            kind: match job.spec.kind {
                Kind::Service => TaskKind::Replica,
                Kind::Array => TaskKind::Array,
                Kind::Gang => TaskKind::Gang,
            },
            runs: placement.is_running(),
            ran_s,
            remaining_s: remaining_s(job.spec.estimate_s, ran_s),
            checkpoint_s: job.spec.checkpoint_interval_s,
            save_s: job.spec.checkpoint_save_s,
            move_s,
            job_whole: job.spec.kind == Kind::Service && self.runs_completely(job),
            gang_tasks: job.spec.tasks,
            gang_reachable: job.spec.kind == Kind::Gang && self.is_gang_stoppable(job),
            late: cordoned.is_late,
        }
    }

    /// Whether all tasks of the job run, none is on its way, and no stop of one is being prepared.
    fn runs_completely(&self, job: &Job) -> bool {
        let is_of_job = |id: &TaskId| id.job_id == job.spec.job_id;
        let is_moving = self.drains.moves.keys().any(is_of_job);
        let is_disrupted = self.drains.disrupted.keys().any(is_of_job);
        job.progress.pending.is_empty()
            && !is_moving
            && !is_disrupted
            && !self.drains.pending_stops().any(|stop| is_of_job(&stop.task))
            && self.placements_of(job).all(|(_, _, placement)| placement.is_undisturbed())
    }
}

impl Placement {
    /// Whether its worker last reported it running.
    pub(super) fn is_running(&self) -> bool {
        self.status == TaskStatus::Running
    }

    /// Whether it runs and was not asked to stop.
    pub(super) fn is_undisturbed(&self) -> bool {
        self.is_running() && self.stopping.is_none()
    }
}

impl Machine {
    /// Whether nothing is on it, and it holds no result or task that has to be dealt with first.
    fn is_empty(&self) -> bool {
        self.tasks.is_empty()
            && !self.unplaced_tasks.has_tasks_of_unknown_jobs()
            && self.unplaced_tasks.exited.is_empty()
    }
}

/// How long a task runs on by its owner's estimate, in seconds. One that has run for longer may do so for long: half
/// as long again.
fn remaining_s(estimate_s: f64, ran_s: f64) -> f64 {
    if ran_s < estimate_s {
        estimate_s - ran_s
    } else {
        ran_s / 2.0
    }
}
