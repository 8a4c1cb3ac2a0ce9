//! The search for victims, the tasks to preempt (figure 2): of which jobs, which tasks and how many.
//! `preemption` calls it and stops the victims.

use super::candidates::PlacementRequest;
use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, JobId, TaskId};
use crate::scheduler::scoring;
use crate::scheduler::Scheduler;
use crate::time::Timestamp;

/// Protection of running jobs from preemption. Jobs that are not critical always respect `GapAndMinimum`; for
/// critical jobs the weaker ones are tried as well (exception 4 of `docs/design.md`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Protection {
    /// Jobs inside their rescale gap are not shrunk, others not below their minimum width: the paper's rule.
    GapAndMinimum,
    /// Jobs are not shrunk below their minimum width.
    Minimum,
    /// Jobs may lose all their tasks.
    None,
}

/// A task to preempt, and its machine.
pub(super) struct Victim {
    /// Name of the machine.
    pub machine: String,
    /// The task.
    pub task: TaskId,
}

/// A task that may be preempted. Ordered by age: the newest is the greatest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptibleTask<'a> {
    placed_at: Timestamp,
    task: TaskId,
    machine: &'a str,
}

/// Whether the victims found so far free enough resources for the newcomer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
enum Room {
    Enough,
    NotEnough,
}

/// A search for victims whose stops free enough resources for a newcomer.
pub(super) struct VictimSearch<'a> {
    scheduler: &'a Scheduler,
    newcomer: PlacementRequest<'a>,
    protection: Protection,
    /// The free capacity after the victims found so far have ended.
    capacity: FreeCapacity,
    victims: Vec<Victim>,
}

impl<'a> VictimSearch<'a> {
    /// `capacity` is the free capacity after the stops under way.
    pub(super) fn new(
        scheduler: &'a Scheduler,
        newcomer: PlacementRequest<'a>,
        protection: Protection,
        capacity: FreeCapacity,
    ) -> Self {
        VictimSearch { scheduler, newcomer, protection, capacity, victims: Vec::new() }
    }

    /// Chooses victims from the jobs in this order, the newest task of each first, until there is room for
    /// the newcomer. Returns the victims and the free capacity after they have ended, even if it is not
    /// enough. Adds the decision steps taken to `steps`.
    pub(super) fn run(mut self, order: &[JobId], steps: &mut usize) -> (Vec<Victim>, FreeCapacity) {
        for job in order.iter().filter_map(|job_id| self.scheduler.jobs.get(job_id)) {
            *steps += 1;
            if job.placements.is_empty() || self.is_protected_by_gap(job) {
                continue;
            }
            match self.shrink(job, steps) {
                Room::Enough => break,
                Room::NotEnough => {}
            }
        }
        (self.victims, self.capacity)
    }

    fn is_protected_by_gap(&self, job: &Job) -> bool {
        match self.protection {
            Protection::GapAndMinimum => self.scheduler.is_in_rescale_gap(job),
            Protection::Minimum | Protection::None => false,
        }
    }

    /// The number of tasks that this search leaves to the job.
    fn width_to_keep(&self, job: &Job) -> u32 {
        match self.protection {
            Protection::GapAndMinimum | Protection::Minimum => job.minimum_width(),
            Protection::None => 0,
        }
    }

    /// Chooses victims among the tasks of one job, the newest first.
    fn shrink(&mut self, job: &Job, steps: &mut usize) -> Room {
        let scheduler = self.scheduler;
        let width_to_keep = self.width_to_keep(job);
        let mut preemptible = tasks_not_stopping(scheduler, job);
        // `may_preempt` is checked for each task, since each stop reduces the usage of the job's team, which
        // may bring it within its guarantee.
        while preemptible.len() as u32 > width_to_keep
            && scheduler.may_preempt(self.newcomer.job, job, &self.capacity.team_usage)
        {
            let Some(task) = preemptible.pop() else { break };
            *steps += 1;
            if !self.add_victim(job, &task) {
                continue;
            }
            let found = scheduler.find_machines(self.newcomer, &self.capacity, steps);
            if found.len() as u32 >= self.newcomer.tasks {
                return Room::Enough;
            }
        }
        Room::NotEnough
    }

    /// Makes the task a victim if the newcomer may use its machine; a stop elsewhere would not help the
    /// newcomer. Returns whether the task became a victim.
    fn add_victim(&mut self, job: &Job, candidate: &PreemptibleTask<'_>) -> bool {
        let machine = self.scheduler.machines.get(candidate.machine);
        let machine = machine.filter(|machine| self.scheduler.is_schedulable(machine));
        let Some(machine) = machine.filter(|machine| scoring::is_eligible(self.newcomer.job, machine)) else {
            return false;
        };
        self.capacity.release(machine, &job.spec.resource_request);
        self.capacity.team_usage.add_stop(&job.spec.team, &job.spec.resource_request);
        self.victims.push(Victim { machine: candidate.machine.to_string(), task: candidate.task });
        true
    }
}

/// The tasks of the job that were not asked to stop, the newest last.
fn tasks_not_stopping<'a>(scheduler: &'a Scheduler, job: &'a Job) -> Vec<PreemptibleTask<'a>> {
    let mut tasks: Vec<_> = scheduler
        .placements_of(job)
        .filter(|(_, _, placement)| placement.stopping.is_none())
        .map(|(task, machine, placement)| PreemptibleTask { placed_at: placement.placed_at, task, machine })
        .collect();
    tasks.sort();
    tasks
}
