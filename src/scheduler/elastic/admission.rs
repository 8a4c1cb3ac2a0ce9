//! Admission and growth of one job: how many of its tasks may start now, and their placement.

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
    /// Every job by its priority.
    Regular,
    /// Jobs inside their rescale gap take what is left. They preempt nothing.
    Leftover,
}

/// What is left to do for a job after its tasks were placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
enum Admission {
    /// Nothing in this round.
    Settled,
    /// It found less room than it needs.
    ShortOfRoom,
}

impl Scheduler {
    /// Whether the job's width changed less than a rescale gap ago (paper, 3.2.1).
    pub(super) fn is_in_rescale_gap(&self, job: &Job) -> bool {
        let gap = from_seconds(self.config.operator.rescale_gap_s);
        let last_resized_at = job.elasticity.last_resized_at;
        last_resized_at > Timestamp::ZERO && self.now < last_resized_at + gap
    }

    /// Starts what can start of the job (figure 2, and figure 3 for one that runs), and preempts where it may.
    pub(super) fn consider(&mut self, job_id: JobId, pass: Pass, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id).filter(|job| !job.progress.pending.is_empty()) else { return };
        if let Some(reason) = self.reason_not_to_start(job) {
            return self.wait(job_id, reason);
        }
        // A gang of which something is placed is completed or ended; it does not grow.
        if job.spec.kind == Kind::Gang && !job.placements.is_empty() {
            return self.repair_gang(job_id, round);
        }
        let tasks = match self.tasks_to_start(job_id, pass, &round.capacity.team_usage) {
            Ok(tasks) => tasks,
            Err(reason) => return self.wait(job_id, reason),
        };
        match (self.admit(job_id, tasks, round), pass) {
            (Admission::Settled, _) | (Admission::ShortOfRoom, Pass::Leftover) => {}
            (Admission::ShortOfRoom, Pass::Regular) => self.preempt_for_minimum(job_id, round),
        }
    }

    /// What keeps every task of the job from starting, whatever room there is.
    fn reason_not_to_start(&self, job: &Job) -> Option<PendingReason> {
        if job.failure_history.backoff_until > self.now {
            return Some(PendingReason::TasksFailed);
        }
        // A task of an earlier leader's may be on a machine that has sent no heartbeat yet, if it is one that the job
        // may use at all.
        if job.inherited && !self.reconciled_for(job) {
            return Some(PendingReason::UnreconciledMachines);
        }
        None
    }

    /// How many tasks of the job may start now by its width, its team's quota and the pace of a cold start; an error:
    /// none, and why.
    fn tasks_to_start(
        &mut self,
        job_id: JobId,
        pass: Pass,
        team_usage: &TeamUsage,
    ) -> Result<u32, PendingReason> {
        let Some(job) = self.jobs.get(&job_id) else { return Err(PendingReason::RescaleGap) };
        let (placed, fewest) = (job.placements.len() as u32, job.admission());
        let missing = self.missing_tasks(job, pass);
        if missing == 0 {
            return Err(PendingReason::RescaleGap);
        }
        let allowed = missing.min(self.tasks_within_limit(job, team_usage));
        let allowed = if self.is_hurried(job, pass) { allowed.min(job.minimum()) } else { allowed };
        let tasks = self.paced(&job_id, allowed);
        if tasks == 0 && allowed > 0 {
            return Err(PendingReason::ColdStartPace);
        }
        // A gang of which only a part fits within its team's limit would start in part, be stopped as incomplete, and
        // keep others out with it, again and again.
        if tasks == 0 || placed + tasks < fewest {
            return Err(PendingReason::TeamLimit);
        }
        Ok(tasks)
    }

    /// How many pending tasks the job may start by its width (figure 3). Width that it has lost is restored without
    /// regard to the rescale gap; growth beyond it waits for the gap to pass.
    fn missing_tasks(&self, job: &Job, pass: Pass) -> u32 {
        let placed = job.placements.len() as u32;
        let may_grow = placed == 0 || pass == Pass::Leftover || !self.is_in_rescale_gap(job);
        let target = if may_grow { job.unfinished() } else { job.elasticity.width.max(job.minimum()) };
        target.saturating_sub(placed).min(job.progress.pending.len() as u32)
    }

    /// Exception 5 of `docs/design.md`: a job that owes its place to the wait for its first task gets its minimum by
    /// that. More comes by its regular rank.
    fn is_hurried(&self, job: &Job, pass: Pass) -> bool {
        pass == Pass::Regular
            && job.spec.kind == Kind::Array
            && self.rank(job) > self.regular_rank(job, self.relative_size(job))
    }

    /// Places up to `tasks` tasks of the job, if there is room for the fewest that it starts with (figure 2).
    fn admit(&mut self, job_id: JobId, tasks: u32, round: &mut Round) -> Admission {
        let Some(job) = self.jobs.get(&job_id) else { return Admission::Settled };
        let placed = job.placements.len() as u32;
        let fewest = job.admission().min(placed + tasks);
        let request = PlacementRequest { job, tasks, shared_fetch: self.shared_fetch(job) };
        let found = self.find_machines(request, &round.capacity, &mut round.steps);
        if found.is_empty() || placed + (found.len() as u32) < fewest {
            return Admission::ShortOfRoom;
        }
        let running = placed.saturating_sub(round.capacity.stopping(job_id));
        self.widen(job_id, running + found.len() as u32);
        let attempt = self.next_attempt();
        for machine in found {
            self.assign(job_id, &machine, attempt, &mut round.capacity);
        }
        self.admission_after_placement(job_id)
    }

    /// Exception 6 of `docs/design.md`: a fetch is shared only after a while.
    fn shared_fetch(&self, job: &Job) -> SharedFetch {
        let waits_since = job.submitted_at.max(job.elasticity.last_resized_at);
        if self.now < waits_since + limits::FETCH_TIMEOUT {
            SharedFetch::Avoid
        } else {
            SharedFetch::Allow
        }
    }

    /// A rescaling event, if the job was narrower: its rescale gap begins.
    fn widen(&mut self, job_id: JobId, width: u32) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&job_id).filter(|job| width > job.elasticity.width) {
            job.elasticity.width = width;
            job.elasticity.last_resized_at = now;
        }
    }

    /// Exception 2 of `docs/design.md`: the replicas of a service that are left may preempt. Other jobs have what
    /// they start with.
    fn admission_after_placement(&mut self, job_id: JobId) -> Admission {
        let Some(job) = self.jobs.get(&job_id).filter(|job| !job.progress.pending.is_empty()) else {
            return Admission::Settled;
        };
        let kind = job.spec.kind;
        self.wait(job_id, PendingReason::NoFurtherFreeSlot);
        match kind {
            Kind::Service => Admission::ShortOfRoom,
            Kind::Array | Kind::Gang => Admission::Settled,
        }
    }

    /// Preempts lower tasks for what the job lacks of its minimum width (figure 2), for a service also for one
    /// replica alone (exception 2 of `docs/design.md`).
    fn preempt_for_minimum(&mut self, job_id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let placed = job.placements.len() as u32;
        let missing = job.minimum().saturating_sub(placed).max(1).min(job.progress.pending.len() as u32);
        let is_service = job.spec.kind == Kind::Service;
        match self.preempt_for(job_id, missing, round) {
            Preemption::UnderWay => {}
            // Each replica serves by itself.
            Preemption::Impossible if is_service && missing > 1 => {
                let _second_attempt = self.preempt_for(job_id, 1, round);
            }
            Preemption::Impossible => {}
        }
    }

    /// Reserves a slot on the machine for the job's next pending task.
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
