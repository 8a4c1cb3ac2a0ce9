//! Gangs: tasks that run together or not at all. They find one another by their attempt number, wait for one
//! another, start together and end together; the operators' page on gangs (`docs/design.md`) has the details.

use super::elastic::{FreeCapacity, PlacementRequest, SharedFetch};
use super::model::{Job, JobId, Kind, Machine, PendingReason, StopRequest, TaskStatus};
use super::Scheduler;
use crate::limits;
use std::collections::BTreeSet;

/// How far a gang is, by what is known of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// None of its tasks is anywhere.
    Nowhere,
    /// All are placed under one attempt.
    Whole,
    /// Some are placed and wait for the rest, which may join them under the same attempt.
    Waiting {
        /// The attempt that the rest may join.
        attempt: u64,
    },
    /// A task is gone since it ran, or was told to stop, or gave up waiting: the attempt is over, and the next
    /// one begins when each of its tasks is provably gone.
    Broken,
}

impl Scheduler {
    /// Rebuilt from the tasks themselves, so that a new leader that has heard all machines knows as much.
    pub fn stage(&self, job: &Job) -> Stage {
        let mut attempts = BTreeSet::new();
        let mut broken = false;
        for (_, _, task) in self.placements_of(job) {
            attempts.insert(task.attempt);
            let runs = matches!(task.status, TaskStatus::Running | TaskStatus::Saving);
            let part = (job.placements.len() as u32) < job.spec.tasks;
            broken |= task.stopping.is_some() || runs && part || task.attempt <= job.gang.ended_attempt;
        }
        match attempts.first() {
            None => Stage::Nowhere,
            Some(_) if broken || attempts.len() > 1 => Stage::Broken,
            Some(_) if job.placements.len() as u32 == job.spec.tasks => Stage::Whole,
            Some(attempt) => Stage::Waiting { attempt: *attempt },
        }
    }

    /// A gang of which something is placed and something waits.
    pub fn repair_gang(&mut self, job_id: JobId, capacity: &mut FreeCapacity, steps: &mut usize) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        match self.stage(job) {
            Stage::Waiting { attempt } => {
                let now = self.now;
                let missing = job.progress.pending.len() as u32;
                let may = self.tasks_within_limit(job, &capacity.team_usage) >= missing;
                let request = PlacementRequest { job, tasks: missing, shared_fetch: SharedFetch::Allow };
                let found = if may { self.find_machines(request, capacity, steps) } else { Vec::new() };
                if found.len() as u32 == missing {
                    for machine in found {
                        self.assign(job_id, &machine, attempt, capacity);
                    }
                    // The next task that it loses has its own time.
                    if let Some(job) = self.jobs.get_mut(&job_id) {
                        job.gang.incomplete_since = None;
                    }
                    return;
                }
                // Its places must not idle until the workers give up by themselves.
                let patience = limits::gang_completion_timeout(self.config.workers.gang_wait_s);
                let Some(job) = self.jobs.get_mut(&job_id) else { return };
                let since = *job.gang.incomplete_since.get_or_insert(now);
                if now < since + patience {
                    return self.wait(job_id, PendingReason::NoSlotForRestOfGang);
                }
                job.gang.incomplete_since = None;
                self.stop_all(job_id);
                self.wait(job_id, PendingReason::GangIncomplete);
            }
            // What is left of it would only find out by itself, up to `gang_peer_s` later. Tasks that were told to
            // save are left to it: the first that has saved keeps the progress of all.
            Stage::Broken => {
                let saves = |stop: StopRequest| stop.grace_s > 0.0 && !stop.is_overdue(self.now);
                let saving = self.placements_of(job).any(|(_, _, t)| t.stopping.is_some_and(saves));
                if !saving {
                    self.stop_all(job_id);
                }
                self.wait(job_id, PendingReason::LastAttemptNotEnded);
            }
            Stage::Nowhere | Stage::Whole => {}
        }
    }

    /// A machine is about to go. Its gangs save together or not at all: every machine is told at once, with the
    /// time to save and to wait for the others; told one after the other, or one alone, the save would fail.
    pub fn stop_gang(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id).filter(|j| j.spec.kind == Kind::Gang) else { return };
        let grace = if self.can_be_told_at_once(job) {
            job.spec.save_s + self.config.workers.gang_peer_s
        } else {
            0.0
        };
        let places: Vec<_> =
            self.placements_of(job).map(|(id, machine, _)| (id, machine.to_string())).collect();
        for (id, machine) in places {
            self.stop(&machine, id, grace);
        }
    }

    /// Every machine that holds a task of the job is heard, and hears us.
    pub(super) fn can_be_told_at_once(&self, job: &Job) -> bool {
        let silent = limits::silence_timeout(self.config.workers.report_s);
        self.placements_of(job).all(|(_, name, _)| {
            self.machines.get(name).is_some_and(|m| {
                self.now < m.heartbeats.last_at + silent && m.commands.unacknowledged_heartbeats == 0
            })
        })
    }

    /// In how many seconds the machine's next heartbeat is due, by which a start reaches it. A leaseholder tells of what it
    /// answered up to `SHARD_HEARTBEAT_INTERVAL` later: a machine that seems due within that may well have just reported, and
    /// comes an interval later. Where heartbeats are hardly rarer than that there is nothing to tell them apart by.
    pub fn heartbeat_due_s(&self, machine: &Machine) -> i64 {
        let heartbeat_interval = limits::micros(self.config.workers.report_s);
        if heartbeat_interval <= 2 * limits::SHARD_HEARTBEAT_INTERVAL {
            return 0;
        }
        let due = (machine.heartbeats.last_at + heartbeat_interval).saturating_sub(self.now);
        let missed = machine.route.cached_by_leaseholder && due < limits::SHARD_HEARTBEAT_INTERVAL;
        ((due + if missed { heartbeat_interval } else { 0 }) / limits::SECOND) as i64
    }
}
