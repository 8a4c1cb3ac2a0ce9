//! Gang scheduling: tasks that run together or not at all. They find one another by their attempt number, wait for
//! one another, start together and end together. Owns the stage of a gang and what each stage calls for; the section
//! "Gangs" of `docs/design.md` has the rules.

use super::elastic::{PlacementRequest, Round, SharedFetch};
use super::model::{Job, JobId, Kind, Machine, PendingReason, StopRequest, TaskStatus};
use super::Scheduler;
use crate::limits;
use crate::time::from_seconds;
use std::collections::BTreeSet;

/// How far a gang is, by what is known of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangStage {
    /// None of its tasks is on any machine.
    Unplaced,
    /// All are placed under one attempt.
    Complete,
    /// Some are placed and wait for the rest.
    Incomplete {
        /// The attempt that the rest may join.
        attempt: u64,
    },
    /// A task has terminated after it ran, or was asked to stop, or gave up waiting: the attempt has ended, and the
    /// next one begins when each of its tasks has provably terminated.
    Ended,
}

impl Scheduler {
    /// Derived from the tasks themselves, so that a new leader that has a heartbeat of every machine knows as much.
    fn gang_stage(&self, job: &Job) -> GangStage {
        let mut attempts = BTreeSet::new();
        let placed = job.placements.len() as u32;
        let mut has_ended = false;
        for (_, _, task) in self.placements_of(job) {
            attempts.insert(task.attempt);
            let has_run = matches!(task.status, TaskStatus::Running | TaskStatus::Saving);
            has_ended |= task.stopping.is_some()
                || has_run && placed < job.spec.tasks
                || task.attempt <= job.gang.ended_attempt;
        }
        match attempts.first() {
            None => GangStage::Unplaced,
            Some(_) if has_ended || attempts.len() > 1 => GangStage::Ended,
            Some(_) if placed == job.spec.tasks => GangStage::Complete,
            Some(attempt) => GangStage::Incomplete { attempt: *attempt },
        }
    }

    /// Goes on with a gang of which some tasks are placed and some are pending.
    pub(super) fn repair_gang(&mut self, job_id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        match self.gang_stage(job) {
            GangStage::Incomplete { attempt } => self.complete_gang(job_id, attempt, round),
            GangStage::Ended => self.end_gang_attempt(job_id),
            GangStage::Unplaced | GangStage::Complete => {}
        }
    }

    /// Places all missing tasks, or none. A gang that finds no room for them in time is stopped, so that its places
    /// do not idle until the workers give up by themselves.
    fn complete_gang(&mut self, job_id: JobId, attempt: u64, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let missing = job.progress.pending.len() as u32;
        let request = PlacementRequest { job, tasks: missing, shared_fetch: SharedFetch::Allow };
        let is_within_limit = self.tasks_within_limit(job, &round.capacity.team_usage) >= missing;
        let found = if is_within_limit {
            self.find_machines(request, &round.capacity, &mut round.steps)
        } else {
            Vec::new()
        };
        if found.len() as u32 != missing {
            return self.await_room_for_gang(job_id);
        }
        for machine in found {
            self.assign(job_id, &machine, attempt, &mut round.capacity);
        }
        // The next task that it loses has a time of its own.
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.gang.incomplete_since = None;
        }
    }

    fn await_room_for_gang(&mut self, job_id: JobId) {
        let now = self.now;
        let timeout = limits::gang_completion_timeout(self.config.workers.gang_wait_s);
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let since = *job.gang.incomplete_since.get_or_insert(now);
        if now < since + timeout {
            return self.wait(job_id, PendingReason::NoSlotForRestOfGang);
        }
        job.gang.incomplete_since = None;
        self.stop_all(job_id);
        self.wait(job_id, PendingReason::GangIncomplete);
    }

    /// The remaining tasks would only notice by themselves, up to `gang_peer_s` later. Tasks that were asked to save
    /// are left to it: the first that has saved keeps the progress of all.
    fn end_gang_attempt(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let may_save = |stop: StopRequest| stop.grace_s > 0.0 && !stop.is_overdue(self.now);
        let is_saving = self.placements_of(job).any(|(_, _, task)| task.stopping.is_some_and(may_save));
        if !is_saving {
            self.stop_all(job_id);
        }
        self.wait(job_id, PendingReason::LastAttemptNotEnded);
    }

    /// A machine of the gang is about to go. A gang saves together or not at all: every machine is asked at once,
    /// with the time to save and to wait for the others. Asked one after the other, or one alone, the save would
    /// fail.
    pub(super) fn stop_gang(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id).filter(|job| job.spec.kind == Kind::Gang) else { return };
        let grace_s = if self.is_reachable_everywhere(job) {
            job.spec.save_s + self.config.workers.gang_peer_s
        } else {
            0.0
        };
        self.stop_all_within(job_id, grace_s);
    }

    /// Whether every machine that holds a task of the job is reachable in both directions.
    pub(super) fn is_reachable_everywhere(&self, job: &Job) -> bool {
        let silence_timeout = limits::silence_timeout(self.config.workers.report_s);
        let is_reachable = |machine: &Machine| {
            self.now < machine.heartbeats.last_at + silence_timeout
                && machine.commands.unacknowledged_heartbeats == 0
        };
        self.placements_of(job).all(|(_, name, _)| self.machines.get(name).is_some_and(is_reachable))
    }

    /// In how many seconds the machine's next heartbeat is due, whose response bears a start. A leaseholder passes on
    /// which heartbeats it responded to up to `SHARD_HEARTBEAT_INTERVAL` later: a machine that seems due within that
    /// may just have sent one, and its next comes an interval later. Where heartbeats are hardly rarer than that,
    /// machines cannot be told apart by it.
    pub(super) fn heartbeat_due_s(&self, machine: &Machine) -> i64 {
        let heartbeat_interval = from_seconds(self.config.workers.report_s);
        if heartbeat_interval <= 2 * limits::SHARD_HEARTBEAT_INTERVAL {
            return 0;
        }
        let due_in = (machine.heartbeats.last_at + heartbeat_interval).since(self.now);
        let is_missed = machine.route.cached_by_leaseholder && due_in < limits::SHARD_HEARTBEAT_INTERVAL;
        let due_in = if is_missed { due_in + heartbeat_interval } else { due_in };
        due_in.as_secs() as i64
    }
}
