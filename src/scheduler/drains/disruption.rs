//! Disruption of the teams' tasks as it happens: when a replica stops serving and serves again, what a lost machine
//! takes with it. Planned stops are settled with it; losses without a plan count against the same budgets.

use super::stops::OpenDisruption;
use crate::scheduler::model::{Job, Kind, Machine, Placement, TaskId, TaskStatus};
use crate::scheduler::Scheduler;
use crate::time::as_seconds;
use dockpier_drain::budget::Cost;
use std::collections::BTreeSet;

impl Scheduler {
    /// Compares which replicas serve with those that served, and settles what has ended.
    pub(super) fn record_disruption(&mut self) {
        let serving = self.serving_replicas();
        if self.all_accounted_for && !self.drains.missed_disruption_counted {
            self.drains.missed_disruption_counted = true;
            self.count_missed_disruption(&serving);
        }
        let lost: Vec<TaskId> = self.drains.serving.difference(&serving).copied().collect();
        for task in lost {
            self.open_disruption(task, Cost::NONE);
        }
        self.drains.serving = serving;
        self.settle_ended_disruptions();
    }

    fn serving_replicas(&self) -> BTreeSet<TaskId> {
        let is_replica = |id: &TaskId| {
            self.jobs.get(&id.job_id).is_some_and(|job| !job.terminated && job.spec.kind == Kind::Service)
        };
        let placed = self.machines.values().flat_map(|machine| &machine.tasks);
        placed
            .filter(|(id, placement)| placement.is_undisturbed() && is_replica(id))
            .map(|(id, _)| *id)
            .collect()
    }

    /// An earlier leader's records do not tell which replicas were down when it ended: those that an inherited
    /// service lacks count as down since the record of its team was written.
    fn count_missed_disruption(&mut self, serving: &BTreeSet<TaskId>) {
        let day = self.day_ms();
        let mut missed: Vec<(TaskId, Cost)> = Vec::new();
        let is_inherited_service =
            |job: &&Job| job.inherited && !job.terminated && job.spec.kind == Kind::Service;
        for job in self.jobs.values().filter(is_inherited_service) {
            let as_of = self.drains.teams.get(&job.spec.team).and_then(|team| team.as_of);
            let down_s = as_of.map_or(0.0, |as_of| day.saturating_sub(as_of) as f64 / 1_000.0);
            let tasks = (0..job.spec.tasks).map(|task| TaskId { job_id: job.spec.job_id, task });
            let down = tasks.filter(|id| !serving.contains(id));
            missed.extend(down.map(|id| (id, Cost::replica(down_s))));
        }
        for (task, cost) in missed {
            self.open_disruption(task, cost);
        }
    }

    /// A task was lost without a plan, unless its planned stop is what is seen.
    fn open_disruption(&mut self, task: TaskId, cost: Cost) {
        let Some(job) = self.jobs.get(&task.job_id).filter(|job| !job.terminated) else { return };
        if self.drains.disrupted.contains_key(&task) {
            return;
        }
        let (team, is_replica) = (job.spec.team.clone(), job.spec.kind == Kind::Service);
        let (day, budget) = (self.day_ms(), self.budget_of(&team));
        let disruption = self.drains.teams.entry(team.clone()).or_default();
        let id = disruption.ledger.lose(day, &budget, is_replica, cost);
        disruption.record.mark_changed();
        self.drains.disrupted.insert(task, OpenDisruption { team, id });
    }

    /// All tasks on a machine are about to be removed: what they have to repeat counts.
    pub(in crate::scheduler) fn record_lost_work(&mut self, name: &str) {
        if !self.is_draining_enabled() || !self.drains.loaded {
            return;
        }
        let Some(machine) = self.machines.get(name) else { return };
        let cost_of = |id: &TaskId, placement: &Placement| {
            let job = self.jobs.get(&id.job_id)?;
            Some((*id, self.cost_of_loss(machine, placement, job)?))
        };
        let lost: Vec<(TaskId, Cost)> =
            machine.tasks.iter().filter_map(|(id, placement)| cost_of(id, placement)).collect();
        for (task, cost) in lost {
            match self.drains.disrupted.get(&task).cloned() {
                // It is down already, and stays so until it serves again.
                Some(_) if cost.work_s <= 0.0 => {}
                Some(open) => {
                    self.settle(task, open, cost);
                    self.open_disruption(task, Cost::NONE);
                }
                None => self.open_disruption(task, cost),
            }
        }
    }

    /// What is lost with a task that runs and ends now: a replica's time since the last heartbeat of its machine, the
    /// run time that other tasks have to repeat.
    fn cost_of_loss(&self, machine: &Machine, placement: &Placement, job: &Job) -> Option<Cost> {
        if job.terminated || !matches!(placement.status, TaskStatus::Running | TaskStatus::Saving) {
            return None;
        }
        if job.spec.kind == Kind::Service {
            let silent = self.now.since(machine.heartbeats.last_at.max(self.loaded_at));
            return Some(Cost::replica(as_seconds(silent)));
        }
        let (ran_s, checkpoint_s) = (self.ran_s(placement), job.spec.checkpoint_interval_s);
        Some(Cost::work(if checkpoint_s > 0.0 { ran_s.min(checkpoint_s) } else { ran_s }))
    }

    /// For how long the task has run, in seconds, as far as this leader knows.
    pub(super) fn ran_s(&self, placement: &Placement) -> f64 {
        let since = placement.running_since.unwrap_or(placement.placed_at);
        as_seconds(self.now.since(since))
    }

    /// A disruption ends where the task runs again, has succeeded, or is not wanted any more.
    fn settle_ended_disruptions(&mut self) {
        let ended: Vec<(TaskId, OpenDisruption)> = self
            .drains
            .disrupted
            .iter()
            .filter(|(id, _)| !self.is_disrupted(id))
            .map(|(id, open)| (*id, open.clone()))
            .collect();
        for (task, open) in ended {
            self.settle(task, open, Cost::NONE);
        }
    }

    fn is_disrupted(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job_id).filter(|job| !job.terminated) else { return false };
        if job.progress.succeeded.contains(&id.task) || id.task >= job.spec.tasks {
            return false;
        }
        let machines = job.placements.get(&id.task).into_iter().flatten();
        let mut placements = machines.filter_map(|name| self.machines.get(name)?.tasks.get(id));
        !placements.any(Placement::is_undisturbed)
    }

    fn settle(&mut self, task: TaskId, open: OpenDisruption, work: Cost) {
        let day = self.day_ms();
        if let Some(disruption) = self.drains.teams.get_mut(&open.team) {
            disruption.ledger.settle(open.id, day, work);
            disruption.record.mark_changed();
        }
        self.drains.disrupted.remove(&task);
    }
}
