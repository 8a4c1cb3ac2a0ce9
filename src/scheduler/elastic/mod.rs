//! Elastic scheduling: in rounds, allocates free capacity to jobs and preempts tasks for jobs that do not
//! fit. Follows figure 2 (a waiting job starts, preempting others if needed) and figure 3 (a running job
//! grows) of the paper "An elastic job scheduler for HPC applications on the cloud" with the exceptions of
//! `docs/design.md`. `Scheduler::step` runs a round when one is due.
//!
//! The width of a job (`granted_width`) is the target number of its tasks placed at the same time. The
//! rescale gap is the time after a change of a job's width in which the width is normally not changed again;
//! lost tasks are replaced up to the width also during the gap. The maximum width is the number of the job's
//! unfinished tasks. The minimum width is 1 for an array, all unfinished tasks for a gang, and all replicas
//! for a service. A service nevertheless starts with any number of replicas; its minimum width is the number
//! for which it may preempt others. A slot is room for one task of the job.
//!
//! Jobs are considered by aged priority, the highest first. A waiting job, the newcomer, starts with the
//! smaller of its maximum width and the number of free slots, if that is at least its minimum width.
//! Otherwise it preempts: jobs of lower priority that are outside their rescale gap are shrunk, lowest first
//! and never below their minimum width, and none is shrunk unless together they free the newcomer's minimum
//! width. Their resources are free once their workers confirm the stops.
//!
//! `priority` orders the jobs, `capacity` counts free resources, `candidates` selects machines, `admission`
//! starts tasks, and `preemption` stops tasks of other jobs.

mod admission;
mod candidates;
mod capacity;
mod equivalence_class;
mod headroom_guard;
mod preemption;
mod priority;
mod victims;
mod zone_choice;

pub(in crate::scheduler) use candidates::{PlacementRequest, SharedFetch};
pub use capacity::FreeCapacity;

use crate::limits;
use crate::scheduler::model::{JobId, PendingReason};
use crate::scheduler::Scheduler;
use admission::Pass;
use tracing::debug;

/// State of the round in progress.
pub(in crate::scheduler) struct Round {
    /// Free capacity after the decisions made so far.
    pub capacity: FreeCapacity,
    /// Decision steps taken so far: one for each job, machine or victim examined and each task assigned.
    pub steps: usize,
    /// Maximum number of decision steps.
    budget: usize,
}

impl Round {
    fn is_out_of_budget(&self) -> bool {
        self.steps >= self.budget
    }
}

impl Scheduler {
    /// Runs one round within its budget of decision steps. The next round resumes at the first job that this
    /// one did not reach.
    pub(in crate::scheduler) fn run_decision_round(&mut self) {
        self.update_mean_job_work();
        let order = self.round_order();
        self.update_unaccounted_kinds();
        let mut round = self.begin_round(&order);
        // Drains move replicas. Close the places reserved for them to other tasks, and start each replica
        // that has ended on its old machine in its reserved place.
        self.reserve_for_moves(&mut round.capacity);
        self.place_moved_replicas(&mut round.capacity);
        self.regular_pass(&order, &mut round);
        self.leftover_pass(order, &mut round);
        self.decision_steps += round.steps as u64;
        self.rounds.end(self.now, limits::round_pause(round.steps, self.config.cpu_share));
    }

    /// Determines the free capacity and the budget. The steps for examining every machine are added to the
    /// budget, so that they do not reduce the steps for jobs. The steps for jobs suffice for `MIN_ROUND_JOBS`
    /// jobs that each examine every machine.
    fn begin_round(&self, order: &[JobId]) -> Round {
        let mut steps = 0;
        let capacity = self.free_capacity(order, &mut steps);
        let steps_for_jobs = self.config.max_round_steps.max(limits::MIN_ROUND_JOBS * self.machines.len());
        Round { capacity, steps, budget: steps + steps_for_jobs }
    }

    /// Applies figures 2 and 3 of the paper to each job, starting where the last round ran out of budget.
    fn regular_pass(&mut self, order: &[JobId], round: &mut Round) {
        let resume_from = self.rounds.resume_from.take();
        let start =
            resume_from.and_then(|resume_from| order.iter().position(|job_id| *job_id == resume_from));
        for job_id in &order[start.unwrap_or(0)..] {
            if round.is_out_of_budget() {
                self.rounds.resume_from = Some(*job_id);
                debug!(job = %job_id, "scheduling round out of budget; the next round resumes at this job");
                break;
            }
            round.steps += 1;
            self.consider(*job_id, Pass::Regular, round);
        }
    }

    /// Exception 1 of `docs/design.md`: jobs inside their rescale gap get the capacity that the regular pass
    /// has left.
    fn leftover_pass(&mut self, order: Vec<JobId>, round: &mut Round) {
        for job_id in order {
            let waits_in_gap = self.jobs.get(&job_id).is_some_and(|job| {
                job.pending_reason == Some(PendingReason::RescaleGap) && !job.progress.pending.is_empty()
            });
            if waits_in_gap && !round.is_out_of_budget() && !round.capacity.available.is_empty() {
                self.consider(job_id, Pass::Leftover, round);
            }
        }
    }

    /// Records why the job has pending tasks, for the overview, and logs it if the reason has changed.
    pub(in crate::scheduler) fn set_pending_reason(&mut self, job_id: JobId, reason: PendingReason) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if job.pending_reason != Some(reason) {
            debug!(
                job = %job_id,
                reason = reason.as_str(),
                pending_tasks = job.progress.pending.len(),
                "tasks of the job are pending"
            );
            job.pending_reason = Some(reason);
        }
    }
}

#[cfg(test)]
mod tests;
