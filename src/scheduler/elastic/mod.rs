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

impl Scheduler {
    /// One round within its budget of decision steps. The next round goes on at the job that this one did not reach.
    pub fn round(&mut self) {
        self.update_mean_job_work();
        let order = self.round_order();
        let mut steps = 0;
        self.note_unreconciled();
        let mut capacity = self.free_capacity(&order, &mut steps);
        self.reserve_for_moves(&mut capacity);
        self.place_moved_replicas(&mut capacity);
        // The look at every machine is the fixed price of a round; the budget is for the jobs.
        let budget = steps + self.config.round_steps.max(limits::MIN_ROUND_JOBS * self.machines.len());
        self.regular_pass(&order, budget, &mut capacity, &mut steps);
        self.leftover_pass(order, budget, &mut capacity, &mut steps);
        self.steps += steps as u64;
        self.rounds.end(self.now, limits::round_pause(steps, self.config.cpu_share));
    }

    /// The paper's figures 2 and 3 for each job, from where the last round stopped.
    fn regular_pass(
        &mut self,
        order: &[JobId],
        budget: usize,
        capacity: &mut FreeCapacity,
        steps: &mut usize,
    ) {
        let resume_at = self.rounds.resume_at.take();
        let start = resume_at.and_then(|resume_at| order.iter().position(|job_id| *job_id == resume_at));
        for job_id in &order[start.unwrap_or(0)..] {
            if *steps >= budget {
                self.rounds.resume_at = Some(*job_id);
                debug!(job = %job_id, "round out of budget, goes on here");
                break;
            }
            *steps += 1;
            self.consider(*job_id, Pass::Regular, capacity, steps);
        }
    }

    /// Exception 1 of `docs/design.md`: what no job outside the rescale gap takes goes to those inside it.
    fn leftover_pass(
        &mut self,
        order: Vec<JobId>,
        budget: usize,
        capacity: &mut FreeCapacity,
        steps: &mut usize,
    ) {
        for job_id in order {
            let waits_in_gap = self.jobs.get(&job_id).is_some_and(|job| {
                job.pending_reason == Some(PendingReason::RescaleGap) && !job.progress.pending.is_empty()
            });
            if waits_in_gap && *steps < budget && !capacity.available.is_empty() {
                self.consider(job_id, Pass::Leftover, capacity, steps);
            }
        }
    }

    /// Notes why a job is pending, for operators.
    pub fn wait(&mut self, job_id: JobId, reason: PendingReason) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        if job.pending_reason != Some(reason) {
            debug!(job = %job_id, why = reason.as_str(), waiting = job.progress.pending.len(), "waits");
            job.pending_reason = Some(reason);
        }
    }
}

#[cfg(test)]
mod tests;
