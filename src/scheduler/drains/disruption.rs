//! What really happens to the teams' tasks: when a replica stops serving and serves again, what a lost machine takes
//! with it. Planned stops are settled with it, losses that nobody planned count against the same budgets.

use super::super::model::{Job, Kind, Machine, Placement, TaskId, TaskStatus};
use super::super::Scheduler;
use super::OpenDisruption;
use crate::time::as_seconds;
use dockpier_drain::budget::Cost;
use std::collections::BTreeSet;

impl Scheduler {
    /// Compares who serves with who served, and settles what is over.
    pub(super) fn observe_disruption(&mut self) {
        let serving = self.serving_replicas();
        if self.reconciled && !self.drains.taken_over {
            self.drains.taken_over = true;
            self.count_what_was_missed(&serving);
        }
        let lost: Vec<TaskId> = self.drains.serving.difference(&serving).copied().collect();
        for task in lost {
            self.open_loss(task, Cost::NONE);
        }
        self.drains.serving = serving;
        self.settle_what_is_over();
    }

    fn serving_replicas(&self) -> BTreeSet<TaskId> {
        let is_service = |id: &TaskId| {
            self.jobs.get(&id.job_id).is_some_and(|job| !job.terminated && job.spec.kind == Kind::Service)
        };
        let placed = self.machines.values().flat_map(|machine| &machine.tasks);
        placed.filter(|(id, task)| runs_on(task) && is_service(id)).map(|(id, _)| *id).collect()
    }

    /// An earlier leader's records do not tell which replicas were down when it ended: those that an inherited service
    /// lacks count as down since the record of its team was written.
    fn count_what_was_missed(&mut self, serving: &BTreeSet<TaskId>) {
        let day = self.day_ms();
        let mut missed: Vec<(TaskId, Cost)> = Vec::new();
        for job in self.jobs.values().filter(|j| j.inherited && !j.terminated && j.spec.kind == Kind::Service)
        {
            let as_of = self.drains.teams.get(&job.spec.team).and_then(|team| team.as_of);
            let down_s = as_of.map_or(0.0, |as_of| day.saturating_sub(as_of) as f64 / 1_000.0);
            let tasks = (0..job.spec.tasks).map(|task| TaskId { job_id: job.spec.job_id, task });
            let down = tasks.filter(|id| !serving.contains(id));
            missed.extend(down.map(|id| (id, Cost::replica(down_s))));
        }
        for (task, cost) in missed {
            self.open_loss(task, cost);
        }
    }

    /// A task was lost without a plan, unless its planned stop is what is seen.
    fn open_loss(&mut self, task: TaskId, cost: Cost) {
        let Some(job) = self.jobs.get(&task.job_id).filter(|job| !job.terminated) else { return };
        if self.drains.disrupted.contains_key(&task) {
            return;
        }
        let (team, replica) = (job.spec.team.clone(), job.spec.kind == Kind::Service);
        let (day, budget) = (self.day_ms(), self.budget_of(&team));
        let disruption = self.drains.teams.entry(team.clone()).or_default();
        let id = disruption.ledger.lose(day, &budget, replica, cost);
        disruption.writing.dirty = true;
        self.drains.disrupted.insert(task, OpenDisruption { team, id });
    }

    /// Everything on a machine is about to be gone: what its tasks have to repeat counts.
    pub(in super::super) fn note_lost_work(&mut self, name: &str) {
        if !self.draining_on() || !self.drains.loaded {
            return;
        }
        let Some(machine) = self.machines.get(name) else { return };
        let lost: Vec<(TaskId, Cost)> = machine
            .tasks
            .iter()
            .filter_map(|(id, task)| Some((*id, self.lost_with(machine, task, self.jobs.get(&id.job_id)?)?)))
            .collect();
        for (task, cost) in lost {
            match self.drains.disrupted.get(&task).cloned() {
                // It is down already, and stays so until it serves again.
                Some(_) if cost.work_s <= 0.0 => {}
                Some(open) => {
                    self.settle(task, open, cost);
                    self.open_loss(task, Cost::NONE);
                }
                None => self.open_loss(task, cost),
            }
        }
    }

    /// What is lost with a task that runs and ends now: a replica's time since its machine was last heard, the run
    /// time that other tasks have to repeat.
    fn lost_with(&self, machine: &Machine, task: &Placement, job: &Job) -> Option<Cost> {
        if job.terminated || !matches!(task.status, TaskStatus::Running | TaskStatus::Saving) {
            return None;
        }
        if job.spec.kind == Kind::Service {
            let silent = self.now.since(machine.heartbeats.last_at.max(self.started_at));
            return Some(Cost::replica(as_seconds(silent)));
        }
        let (ran_s, saved_every) = (self.ran_s(task), job.spec.checkpoint_s);
        Some(Cost::work(if saved_every > 0.0 { ran_s.min(saved_every) } else { ran_s }))
    }

    /// For how long the task has run, as far as this leader knows.
    pub(super) fn ran_s(&self, task: &Placement) -> f64 {
        let since = task.running_since.unwrap_or(task.placed_at);
        as_seconds(self.now.since(since))
    }

    /// Disruptions end where the task runs again, is done, or is not wanted any more.
    fn settle_what_is_over(&mut self) {
        let over: Vec<(TaskId, OpenDisruption)> = self
            .drains
            .disrupted
            .iter()
            .filter(|(id, _)| !self.is_disrupted(id))
            .map(|(id, open)| (*id, open.clone()))
            .collect();
        for (task, open) in over {
            self.settle(task, open, Cost::NONE);
        }
    }

    fn is_disrupted(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job_id).filter(|job| !job.terminated) else { return false };
        if job.progress.succeeded.contains(&id.task) || id.task >= job.spec.tasks {
            return false;
        }
        let places = job.placements.get(&id.task).into_iter().flatten();
        let mut on = places.filter_map(|name| self.machines.get(name)?.tasks.get(id));
        !on.any(runs_on)
    }

    fn settle(&mut self, task: TaskId, open: OpenDisruption, work: Cost) {
        let day = self.day_ms();
        if let Some(disruption) = self.drains.teams.get_mut(&open.team) {
            disruption.ledger.settle(open.id, day, work);
            disruption.writing.dirty = true;
        }
        self.drains.disrupted.remove(&task);
    }
}

/// It runs, and nobody has told it to stop.
pub(super) fn runs_on(task: &Placement) -> bool {
    task.status == TaskStatus::Running && task.stopping.is_none()
}

impl Machine {
    /// Nothing is on it, and nothing of it has to be taken over first.
    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && !self.reported.has_unknown() && self.reported.exited.is_empty()
    }
}
