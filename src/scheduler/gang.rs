//! Gang scheduling: the tasks of a gang run together or not at all. They find each other by their attempt
//! number, wait for each other, start together and end together. `elastic` calls this module to complete or
//! end a partly placed gang, and drains and recalls of machines call it to stop one. The rules are in the
//! section "Gangs" of `docs/design.md`.

use super::elastic::{PlacementRequest, Round, SharedFetch};
use super::model::{Job, JobId, Kind, Machine, PendingReason, StopRequest, TaskStatus};
use super::Scheduler;
use crate::limits;
use crate::time::from_seconds;
use std::collections::BTreeSet;

/// The stage of a gang, derived from its placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangStage {
    /// No task is placed.
    Unplaced,
    /// All tasks are placed under one attempt.
    Complete,
    /// Some tasks are placed under one attempt and wait for the others.
    Incomplete {
        /// The attempt that the missing tasks may join.
        attempt: u64,
    },
    /// The attempt has ended: a task was asked to stop, a task is missing although another runs or saves, the
    /// attempt is recorded as ended in `last_ended_attempt` because a task of it exited as stopped (for
    /// example, it gave up waiting for the others), or tasks of several attempts are placed. The next attempt
    /// begins when every placed task has provably terminated.
    Ended,
}

impl Scheduler {
    /// Derives the stage from the placements and from `last_ended_attempt`. The stage itself is not stored:
    /// a new leader derives it once it has a heartbeat from every machine.
    fn gang_stage(&self, job: &Job) -> GangStage {
        let mut attempts = BTreeSet::new();
        let placed = job.placements.len() as u32;
        let mut has_ended = false;
        for (_, _, task) in self.placements_of(job) {
            attempts.insert(task.attempt);
            let is_running = matches!(task.status, TaskStatus::Running | TaskStatus::Saving);
            has_ended |= task.stopping.is_some()
                || is_running && placed < job.spec.tasks
                || task.attempt <= job.gang.last_ended_attempt;
        }
        match attempts.first() {
            None => GangStage::Unplaced,
            Some(_) if has_ended || attempts.len() > 1 => GangStage::Ended,
            Some(_) if placed == job.spec.tasks => GangStage::Complete,
            Some(attempt) => GangStage::Incomplete { attempt: *attempt },
        }
    }

    /// Completes or ends a gang of which some tasks are placed and some are pending.
    pub(super) fn repair_gang(&mut self, job_id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        match self.gang_stage(job) {
            GangStage::Incomplete { attempt } => self.complete_gang(job_id, attempt, round),
            GangStage::Ended => self.end_gang_attempt(job_id),
            GangStage::Unplaced | GangStage::Complete => {}
        }
    }

    /// Places all missing tasks, or none. A gang that finds no room for them within `gang_completion_timeout`
    /// is stopped, so that its places do not stay idle until the workers give up.
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
        // If the gang loses another task, the timeout starts anew.
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.gang.incomplete_since = None;
        }
    }

    /// Leaves the missing tasks pending, or stops the gang if it has been incomplete for too long.
    fn await_room_for_gang(&mut self, job_id: JobId) {
        let now = self.now;
        let timeout = limits::gang_completion_timeout(self.config.workers.gang_wait_s);
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let since = *job.gang.incomplete_since.get_or_insert(now);
        if now < since + timeout {
            return self.set_pending_reason(job_id, PendingReason::NoSlotForRestOfGang);
        }
        job.gang.incomplete_since = None;
        self.stop_all_tasks(job_id);
        self.set_pending_reason(job_id, PendingReason::GangIncomplete);
    }

    /// Stops the remaining tasks of an attempt that has ended. Otherwise they would notice only up to
    /// `gang_peer_s` later that the others are gone. While any of them has a grace period to save a
    /// checkpoint, none is stopped: the first checkpoint preserves the progress of the whole gang.
    fn end_gang_attempt(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let may_save = |stop: StopRequest| stop.grace_s > 0.0 && !stop.is_overdue(self.now);
        let is_saving = self.placements_of(job).any(|(_, _, task)| task.stopping.is_some_and(may_save));
        if !is_saving {
            self.stop_all_tasks(job_id);
        }
        self.set_pending_reason(job_id, PendingReason::LastAttemptNotEnded);
    }

    /// Stops a gang because one of its machines is about to leave. A gang saves a checkpoint together or not
    /// at all, so all tasks are asked at once, with a grace period for saving and for waiting for each other.
    /// Requests to one task alone, or to one after the other, would make the save fail. If some machine is
    /// unreachable, the tasks are stopped without a grace period. Does nothing for other kinds of jobs.
    pub(super) fn stop_gang(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id).filter(|job| job.spec.kind == Kind::Gang) else { return };
        let grace_s = if self.is_reachable_everywhere(job) {
            job.spec.checkpoint_save_s + self.config.workers.gang_peer_s
        } else {
            0.0
        };
        self.stop_all_within(job_id, grace_s);
    }

    /// Whether every machine with a task of the job is reachable in both directions: it has sent a heartbeat
    /// recently and acknowledged the responses.
    pub(super) fn is_reachable_everywhere(&self, job: &Job) -> bool {
        let silence_timeout = limits::silence_timeout(self.config.workers.report_s);
        let is_reachable = |machine: &Machine| {
            self.now < machine.heartbeats.last_at + silence_timeout
                && machine.commands.responses_without_effect == 0
        };
        self.placements_of(job).all(|(_, name, _)| self.machines.get(name).is_some_and(is_reachable))
    }

    /// Seconds, rounded down, until the machine's next heartbeat is due; a start is sent in the response to
    /// it. A leaseholder, a node that responds to heartbeats without the leader, reports them up to
    /// `SHARD_HEARTBEAT_INTERVAL` late, so the last heartbeat may have been sent earlier than `last_at` by as
    /// much. A machine that seems due within that time may already have sent its heartbeat; its next one is
    /// then taken to be due one heartbeat interval later. Returns 0 if the heartbeat interval is at most
    /// twice `SHARD_HEARTBEAT_INTERVAL`: the due times of machines then differ too little to prefer any.
    pub(super) fn heartbeat_due_s(&self, machine: &Machine) -> i64 {
        let heartbeat_interval = from_seconds(self.config.workers.report_s);
        if heartbeat_interval <= 2 * limits::SHARD_HEARTBEAT_INTERVAL {
            return 0;
        }
        let due_in = (machine.heartbeats.last_at + heartbeat_interval).since(self.now);
        let may_have_been_sent =
            machine.route.leaseholder_may_respond && due_in < limits::SHARD_HEARTBEAT_INTERVAL;
        let due_in = if may_have_been_sent { due_in + heartbeat_interval } else { due_in };
        due_in.as_secs() as i64
    }
}
