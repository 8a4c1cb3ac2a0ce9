//! Admission and growth of one job: determines how many of its tasks may start now and places them. The
//! passes of a round call `Scheduler::consider` for each job.

use super::candidates::{PlacementRequest, SharedFetch};
use super::capacity::FreeCapacity;
use super::preemption::Preemption;
use super::Round;
use crate::limits;
use crate::scheduler::model::{Job, JobId, Kind, PendingReason, TaskId};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use crate::time::{from_seconds, Timestamp};

/// The two passes of a round over the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pass {
    /// Considers every job in the order of priority.
    Regular,
    /// Gives the remaining capacity to jobs inside their rescale gap, without preemption.
    Leftover,
}

/// Outcome of placing a job's tasks: whether preemption is to be tried next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
enum Admission {
    /// Nothing more to do for the job in this round.
    Settled,
    /// Too few tasks were placed; in the regular pass, preemption is tried next.
    ShortOfRoom,
}

impl Scheduler {
    /// Whether the job's width changed less than a rescale gap ago (paper, 3.2.1).
    pub(super) fn is_in_rescale_gap(&self, job: &Job) -> bool {
        let gap = from_seconds(self.config.operator.rescale_gap_s);
        let last_resized_at = job.width_state.last_resized_at;
        last_resized_at > Timestamp::ZERO && self.now < last_resized_at + gap
    }

    /// Starts as many pending tasks of the job as possible (figure 2; figure 3 if the job is already
    /// running). In the regular pass, preempts other jobs if there is too little room.
    pub(super) fn consider(&mut self, job_id: JobId, pass: Pass, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id).filter(|job| !job.progress.pending.is_empty()) else { return };
        if let Some(reason) = self.reason_not_to_start(job) {
            return self.set_pending_reason(job_id, reason);
        }
        // A gang that is partly placed is either completed or stopped; it does not grow.
        if job.spec.kind == Kind::Gang && !job.placements.is_empty() {
            return self.repair_gang(job_id, round);
        }
        let tasks = match self.tasks_to_start(job_id, pass, &round.capacity.team_usage) {
            Ok(tasks) => tasks,
            Err(reason) => return self.set_pending_reason(job_id, reason),
        };
        match (self.admit(job_id, tasks, round), pass) {
            (Admission::Settled, _) | (Admission::ShortOfRoom, Pass::Leftover) => {}
            (Admission::ShortOfRoom, Pass::Regular) => self.preempt_for_minimum(job_id, round),
        }
    }

    /// Why no task of the job may start now, regardless of free capacity. None: tasks may start.
    fn reason_not_to_start(&self, job: &Job) -> Option<PendingReason> {
        if job.failure_history.backoff_until > self.now {
            return Some(PendingReason::TasksFailed);
        }
        // A task that an earlier leader started may still be on a machine that has sent no heartbeat to this
        // leader. Only machines that the job may use matter.
        if job.inherited && !self.job_machines_accounted_for(job) {
            return Some(PendingReason::UnreconciledMachines);
        }
        None
    }

    /// How many tasks of the job may start now, given its width, its team's limit, the limit to the minimum
    /// width (exception 5) and, for a job inherited from an earlier leader, the rate limit on starts during a
    /// cold start (see `cold_start`). At least 1; the error is the reason why none may start.
    fn tasks_to_start(
        &mut self,
        job_id: JobId,
        pass: Pass,
        team_usage: &TeamUsage,
    ) -> Result<u32, PendingReason> {
        let Some(job) = self.jobs.get(&job_id) else { return Err(PendingReason::RescaleGap) };
        let (placed, admission_minimum) = (job.placements.len() as u32, job.admission_width());
        let allowed_by_width = self.tasks_allowed_by_width(job, pass);
        // The job has its full width. Its pending tasks would be growth, which waits for the end of the gap.
        if allowed_by_width == 0 {
            return Err(PendingReason::RescaleGap);
        }
        let allowed = allowed_by_width.min(self.tasks_within_limit(job, team_usage));
        let allowed =
            if self.is_limited_to_minimum(job, pass) { allowed.min(job.minimum_width()) } else { allowed };
        let tasks = self.tasks_allowed_by_start_pace(&job_id, allowed);
        if tasks == 0 && allowed > 0 {
            return Err(PendingReason::ColdStartPace);
        }
        // Without this check a gang that exceeds its team's limit would repeatedly be placed in part and
        // stopped as incomplete, and its places would be closed to other jobs meanwhile.
        if tasks == 0 || placed + tasks < admission_minimum {
            return Err(PendingReason::TeamLimit);
        }
        Ok(tasks)
    }

    /// How many pending tasks the job may start, given its width (figure 3). Restoring lost width ignores the
    /// rescale gap; growth beyond the width waits until the gap has passed.
    fn tasks_allowed_by_width(&self, job: &Job, pass: Pass) -> u32 {
        let placed = job.placements.len() as u32;
        let may_grow = placed == 0 || pass == Pass::Leftover || !self.is_in_rescale_gap(job);
        let target = if may_grow {
            job.unfinished_task_count()
        } else {
            job.width_state.granted_width.max(job.minimum_width())
        };
        target.saturating_sub(placed).min(job.progress.pending.len() as u32)
    }

    /// Exception 5 of `docs/design.md`: an array whose rank is raised because it has waited long for its
    /// first task starts with only its minimum width. Once started, it has its regular rank again, which
    /// decides when it grows.
    fn is_limited_to_minimum(&self, job: &Job, pass: Pass) -> bool {
        pass == Pass::Regular
            && job.spec.kind == Kind::Array
            && self.rank(job) > self.regular_rank(job, self.relative_size(job))
    }

    /// Places up to `tasks` tasks of the job, if there is room for at least its admission minimum, the fewest
    /// tasks with which it starts (see `Job::admission_width`; figure 2).
    fn admit(&mut self, job_id: JobId, tasks: u32, round: &mut Round) -> Admission {
        let Some(job) = self.jobs.get(&job_id) else { return Admission::Settled };
        let placed = job.placements.len() as u32;
        let admission_minimum = job.admission_width().min(placed + tasks);
        let request = PlacementRequest { job, tasks, shared_fetch: self.shared_fetch(job) };
        let found = self.find_machines(request, &round.capacity, &mut round.steps);
        if found.is_empty() || placed + (found.len() as u32) < admission_minimum {
            return Admission::ShortOfRoom;
        }
        let running = placed.saturating_sub(round.capacity.stopping_task_count(job_id));
        self.widen(job_id, running + found.len() as u32);
        let attempt = self.next_attempt();
        for machine in found {
            self.assign(job_id, &machine, attempt, &mut round.capacity);
        }
        self.admission_of_remaining_tasks(job_id)
    }

    /// Exception 6 of `docs/design.md`: tasks of the job may go to machines that are fetching another image,
    /// where the two fetches share the fetch rate, only after the job has waited for `SHARED_FETCH_DELAY`
    /// since its submission or its last change of width.
    fn shared_fetch(&self, job: &Job) -> SharedFetch {
        let waits_since = job.submitted_at.max(job.width_state.last_resized_at);
        if self.now < waits_since + limits::SHARED_FETCH_DELAY {
            SharedFetch::Avoid
        } else {
            SharedFetch::Allow
        }
    }

    /// Raises the job's width to `width` and begins its rescale gap. No effect if the job is at least that
    /// wide.
    fn widen(&mut self, job_id: JobId, width: u32) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&job_id).filter(|job| width > job.width_state.granted_width) {
            job.width_state.granted_width = width;
            job.width_state.last_resized_at = now;
        }
    }

    /// Sets the pending reason of the tasks that are still pending after some were placed, and returns
    /// `ShortOfRoom` if the job may preempt for them, else `Settled`. A service may preempt (exception 2 of
    /// `docs/design.md`). Other jobs have their admission minimum by now and may not.
    fn admission_of_remaining_tasks(&mut self, job_id: JobId) -> Admission {
        let Some(job) = self.jobs.get(&job_id).filter(|job| !job.progress.pending.is_empty()) else {
            return Admission::Settled;
        };
        let kind = job.spec.kind;
        self.set_pending_reason(job_id, PendingReason::NoFurtherFreeSlot);
        match kind {
            Kind::Service => Admission::ShortOfRoom,
            Kind::Array | Kind::Gang => Admission::Settled,
        }
    }

    /// Preempts tasks of other jobs for the tasks missing from the job's minimum width (figure 2). If that is
    /// impossible for a service, tries again for a single replica (exception 2 of `docs/design.md`).
    fn preempt_for_minimum(&mut self, job_id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let placed = job.placements.len() as u32;
        let missing =
            job.minimum_width().saturating_sub(placed).max(1).min(job.progress.pending.len() as u32);
        let is_service = job.spec.kind == Kind::Service;
        match self.try_preempt_for(job_id, missing, round) {
            Preemption::UnderWay => {}
            // Replicas serve independently of each other.
            Preemption::Impossible if is_service && missing > 1 => {
                let _second_attempt = self.try_preempt_for(job_id, 1, round);
            }
            Preemption::Impossible => {}
        }
    }

    /// Places the job's next pending task on the machine under `attempt`, and takes its resources from
    /// `capacity`.
    pub(in crate::scheduler) fn assign(
        &mut self,
        job_id: JobId,
        machine: &str,
        attempt: u64,
        capacity: &mut FreeCapacity,
    ) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let Some(task) = job.progress.pending.pop_first() else { return };
        job.placements.entry(task).or_default().push(machine.into());
        let (request, image) = (job.spec.resource_request, job.spec.image.clone());
        capacity.team_usage.add(&job.spec.team, &request);
        if let Some(machine) = self.machines.get(machine) {
            capacity.take(machine, &request);
        }
        self.reserve_placement(machine, TaskId { job_id, task }, request, image, attempt);
    }
}
