//! The elastic pass of the paper (figures 2 and 3) with the changes of `docs/design.md`. Owns the rounds of
//! decisions: which job gets what of the free capacity, and which tasks are preempted.
//!
//! Jobs are taken by aged priority, earlier first. One that waits starts at the smaller of its
//! maximum width and the free slots, if that reaches its minimum. Otherwise lower jobs outside the
//! rescale gap are shrunk, lowest first and never below their minimum, and only if together they
//! free the newcomer's minimum; that room counts once the workers confirm.
//!
//! `priority` orders the jobs, `capacity` counts the room, `candidates` finds machines, `admission` starts tasks and
//! `preemption` stops others for them.

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

/// A round under way.
pub(in crate::scheduler) struct Round {
    /// What its decisions have left.
    pub capacity: FreeCapacity,
    /// The decision steps that it has taken.
    pub steps: usize,
    /// The decision steps that it may take.
    budget: usize,
}

impl Round {
    fn is_out_of_budget(&self) -> bool {
        self.steps >= self.budget
    }
}

impl Scheduler {
    /// One round within its budget of decision steps. The next round goes on at the job that this one did not reach.
    pub(in crate::scheduler) fn round(&mut self) {
        self.update_mean_job_work();
        let order = self.round_order();
        self.note_unreconciled();
        let mut round = self.begin_round(&order);
        self.reserve_for_moves(&mut round.capacity);
        self.place_moved_replicas(&mut round.capacity);
        self.regular_pass(&order, &mut round);
        self.leftover_pass(order, &mut round);
        self.steps += round.steps as u64;
        self.rounds.end(self.now, limits::round_pause(round.steps, self.config.cpu_share));
    }

    /// The look at every machine is the fixed price of a round; the budget is for the jobs.
    fn begin_round(&self, order: &[JobId]) -> Round {
        let mut steps = 0;
        let capacity = self.free_capacity(order, &mut steps);
        let steps_for_jobs = self.config.round_steps.max(limits::MIN_ROUND_JOBS * self.machines.len());
        Round { capacity, steps, budget: steps + steps_for_jobs }
    }

    /// The paper's figures 2 and 3 for each job, from where the last round stopped.
    fn regular_pass(&mut self, order: &[JobId], round: &mut Round) {
        let resume_at = self.rounds.resume_at.take();
        let start = resume_at.and_then(|resume_at| order.iter().position(|job_id| *job_id == resume_at));
        for job_id in &order[start.unwrap_or(0)..] {
            if round.is_out_of_budget() {
                self.rounds.resume_at = Some(*job_id);
                debug!(job = %job_id, "round out of budget, goes on here");
                break;
            }
            round.steps += 1;
            self.consider(*job_id, Pass::Regular, round);
        }
    }

    /// Exception 1 of `docs/design.md`: what no job outside the rescale gap takes goes to those inside it.
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

    /// Notes why a job is pending, for operators.
    pub(in crate::scheduler) fn wait(&mut self, job_id: JobId, reason: PendingReason) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if job.pending_reason != Some(reason) {
            debug!(job = %job_id, why = reason.as_str(), waiting = job.progress.pending.len(), "waits");
            job.pending_reason = Some(reason);
        }
    }
}

#[cfg(test)]
mod tests;
