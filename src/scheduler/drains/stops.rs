//! Stops for drains: the estimate of each is reserved in its team's ledger and stored, then the stop is requested.

use super::eviction::Cordoned;
use super::reservations::ReservedPlace;
use crate::scheduler::model::{Job, Kind, TaskId};
use crate::scheduler::Scheduler;
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::DisruptionId;
use dockpier_drain::request::{DesiredState, DrainId};
use tracing::info;

/// A stop that a team's budget allows.
pub(super) struct PlannedStop {
    /// The task.
    pub task: TaskId,
    /// Its team, whose budget the stop takes from.
    pub team: String,
    /// The machine that a replica moves to.
    pub destination: Option<String>,
    /// What it is expected to take of the budget, with all tasks that stop with it.
    pub cost: Cost,
    /// Seconds to save.
    pub grace_s: f64,
}

/// A stop whose estimate is being stored.
#[derive(Debug, Clone)]
pub(super) struct PendingStop {
    /// The reservation in the team's ledger.
    pub disruption: DisruptionId,
    /// The drain.
    pub drain: DrainId,
    /// The task.
    pub task: TaskId,
    /// The machine that the task leaves.
    pub machine: String,
    /// The machine that a replica moves to.
    pub destination: Option<String>,
    /// Seconds to save.
    pub grace_s: f64,
}

/// A task whose disruption is not settled.
#[derive(Debug, Clone)]
pub(super) struct OpenDisruption {
    /// The team of the task.
    pub team: String,
    /// The disruption in the team's ledger.
    pub id: DisruptionId,
}

impl Scheduler {
    /// Whether a stop of the task for a drain is being prepared.
    pub(super) fn is_stop_pending(&self, id: TaskId) -> bool {
        self.drains.pending_stops().any(|stop| stop.task == id)
    }

    /// Reserves the estimate; the stop follows when that is stored.
    pub(super) fn reserve_stop(&mut self, cordoned: &Cordoned, stop: PlannedStop) {
        let Some(job) = self.jobs.get(&stop.task.job_id) else { return };
        let (kind, size) = (job.spec.kind, job.spec.tasks);
        let (day, budget) = (self.day_ms(), self.budget_of(&stop.team));
        // A gang's tasks are stopped together, and each is disrupted.
        let tasks = match kind {
            Kind::Gang => (0..size).map(|task| TaskId { task, ..stop.task }).collect(),
            Kind::Array | Kind::Service => vec![stop.task],
        };
        let each = Cost { replica_s: stop.cost.replica_s, work_s: stop.cost.work_s / tasks.len() as f64 };
        let disruption = self.drains.teams.entry(stop.team).or_default();
        disruption.record.mark_changed();
        for task in tasks {
            let id = disruption.ledger.reserve(day, &budget, kind == Kind::Service, each);
            disruption.pending.push(PendingStop {
                disruption: id,
                drain: cordoned.drain.clone(),
                task,
                machine: cordoned.machine.clone(),
                destination: stop.destination.clone(),
                grace_s: stop.grace_s,
            });
        }
    }

    /// The estimates of these stops are stored: they are requested, unless things have changed meanwhile.
    pub(super) fn request_stops(&mut self, team: &str, stops: Vec<PendingStop>) {
        for stop in stops {
            if self.is_still_wanted(&stop) {
                self.request_drain_stop(team, stop);
            } else if let Some(disruption) = self.drains.teams.get_mut(team) {
                disruption.ledger.release(stop.disruption);
                disruption.record.mark_changed();
            }
        }
    }

    fn is_still_wanted(&self, stop: &PendingStop) -> bool {
        let drain = self.drains.drains.get(&stop.drain);
        let is_running = drain.is_some_and(|drain| drain.stored.desired_state == DesiredState::Run);
        let job = self.jobs.get(&stop.task.job_id).filter(|job| is_running && !job.terminated);
        let Some(job) = job else { return false };
        if self.drains.disrupted.contains_key(&stop.task) {
            return false;
        }
        match job.spec.kind {
            // Another task of the gang may just have been asked to stop.
            Kind::Gang => self.is_gang_stoppable(job) || self.is_stopping(job),
            Kind::Array | Kind::Service => self.is_task_stoppable(job, stop),
        }
    }

    /// Whether every task of the gang runs and can be asked to stop at once.
    pub(super) fn is_gang_stoppable(&self, job: &Job) -> bool {
        job.progress.pending.is_empty()
            && self.is_reachable_everywhere(job)
            && self.placements_of(job).all(|(_, _, placement)| placement.is_running())
    }

    fn is_stopping(&self, job: &Job) -> bool {
        self.placements_of(job).any(|(_, _, placement)| placement.stopping.is_some())
    }

    /// Whether the task still runs on the cordoned machine, and the place that it moves to is still there.
    fn is_task_stoppable(&self, job: &Job, stop: &PendingStop) -> bool {
        let Some(machine) = self.machines.get(&stop.machine) else { return false };
        let Some(placement) = machine.tasks.get(&stop.task) else { return false };
        let reserved = self.reserved_capacity();
        let has_destination = stop.destination.as_ref().is_none_or(|name| {
            self.machines.get(name).is_some_and(|machine| {
                self.is_schedulable(machine)
                    && job.spec.resource_request.fits_into(&reserved.available_on(machine))
            })
        });
        placement.is_undisturbed() && self.drains.is_cordoned(&stop.machine) && has_destination
    }

    fn request_drain_stop(&mut self, team: &str, stop: PendingStop) {
        info!(drain = %stop.drain, task = %stop.task, machine = stop.machine, to = stop.destination, "stopped to drain");
        self.record_decision(format!("stop {} on {} to drain it", stop.task, stop.machine));
        let day = self.day_ms();
        if let Some(disruption) = self.drains.teams.get_mut(team) {
            disruption.ledger.told(stop.disruption, day);
        }
        let open = OpenDisruption { team: team.to_string(), id: stop.disruption };
        self.drains.disrupted.insert(stop.task, open);
        if let Some(machine) = stop.destination {
            self.drains.moves.insert(stop.task, ReservedPlace { machine, since: self.now });
        }
        let Some(job) = self.jobs.get(&stop.task.job_id) else { return };
        match job.spec.kind {
            Kind::Gang => self.stop_gang(stop.task.job_id),
            Kind::Array | Kind::Service => self.request_stop(&stop.machine, stop.task, stop.grace_s),
        }
    }
}
