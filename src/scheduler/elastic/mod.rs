//! The elastic pass of the paper (figures 2 and 3) with the changes of DESIGN-dockpier.md.
//!
//! Jobs are taken by aged priority, earlier first. One that waits starts at the smaller of its
//! maximum width and the free slots, if that reaches its minimum. Otherwise lower jobs outside the
//! rescale gap are shrunk, lowest first and never below their minimum, and only if together they
//! free the newcomer's minimum; that room counts once the workers confirm.

mod candidates;
mod capacity;
mod equivalence_class;
mod preemption;
mod priority;

use crate::time::{from_seconds, Timestamp};
pub use capacity::FreeCapacity;

use crate::limits;
use crate::scheduler::model::{Job, JobId, Kind, PendingReason, TaskId};
use crate::scheduler::Scheduler;
use tracing::debug;

impl Scheduler {
    fn in_gap(&self, job: &Job) -> bool {
        job.elasticity.last_resized_at > Timestamp::ZERO
            && self.now < job.elasticity.last_resized_at + from_seconds(self.config.operator.rescale_gap_s)
    }

    /// One round within its budget of decision steps. What it could not reach is taken up by the next round.
    pub fn round(&mut self) {
        self.note_typical_work();
        let order = self.order();
        let mut steps = 0;
        let mut capacity = self.capacity(&order, &mut steps);
        self.keep_places(&mut capacity);
        self.place_moved(&mut capacity);
        // The look at every machine is the fixed price of a round; the budget is for the jobs.
        let jobs = limits::MIN_ROUND_JOBS * self.machines.len();
        let budget = steps + self.config.round_steps.max(jobs);
        let start =
            self.rounds.resume_at.and_then(|job_id| order.iter().position(|u| *u == job_id)).unwrap_or(0);
        self.rounds.resume_at = None;
        for job_id in &order[start..] {
            if steps >= budget {
                self.rounds.resume_at = Some(*job_id);
                debug!(job = %job_id, "round out of budget, goes on here");
                break;
            }
            steps += 1;
            self.consider(*job_id, false, &mut capacity, &mut steps);
        }
        // Room that no job outside the gap takes would lie idle: it goes to those inside.
        for job_id in order {
            let in_gap = self.jobs.get(&job_id).is_some_and(|j| {
                j.pending_reason == Some(PendingReason::RescaleGap) && !j.progress.pending.is_empty()
            });
            if in_gap && steps < budget && !capacity.free.is_empty() {
                self.consider(job_id, true, &mut capacity, &mut steps);
            }
        }
        self.steps += steps as u64;
        self.rounds.end(self.now, limits::round_pause(steps, self.config.cpu_share));
    }

    /// Notes why a job is pending, for operators.
    pub fn wait(&mut self, job_id: JobId, why: PendingReason) {
        if let Some(job) = self.jobs.get_mut(&job_id) {
            if job.pending_reason != Some(why) {
                debug!(job = %job_id, why = why.as_str(), waiting = job.progress.pending.len(), "waits");
                job.pending_reason = Some(why);
            }
        }
    }

    fn consider(&mut self, job_id: JobId, leftover: bool, capacity: &mut FreeCapacity, steps: &mut usize) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        if job.progress.pending.is_empty() {
            return;
        }
        if job.failure_history.backoff_until > self.now {
            return self.wait(job_id, PendingReason::TasksFailed);
        }
        // A task of an earlier leader's may be on a machine that has not reported yet, if it is one that
        // the job may use at all.
        if job.inherited && !self.reconciled_for(job) {
            return self.wait(job_id, PendingReason::UnreconciledMachines);
        }
        let held = job.placements.len() as u32;
        // A gang starts only whole.
        if job.spec.kind == Kind::Gang && held > 0 {
            return self.repair_gang(job_id, capacity, steps);
        }
        let running = held.saturating_sub(capacity.stopping.get(&job_id).copied().unwrap_or(0));
        let fresh = held == 0;
        // Width is kept without regard to the gap; growth beyond it waits for the gap to pass.
        let target = if fresh || leftover || !self.in_gap(job) {
            job.unfinished()
        } else {
            job.elasticity.width.max(job.minimum())
        };
        let want = target.saturating_sub(held).min(job.progress.pending.len() as u32);
        if want == 0 {
            return self.wait(job_id, PendingReason::RescaleGap);
        }
        let want = want.min(self.team_room(job, &capacity.teams));
        // What only its wait for a beginning has earned is a beginning; more comes by its plain rank.
        let hurried = !leftover
            && job.spec.kind == Kind::Array
            && self.rank(job) > self.plain_rank(job, self.size(job));
        let want = if hurried { want.min(job.minimum()) } else { want };
        let may = want;
        let want = self.paced(&job_id, may);
        if want == 0 && may > 0 {
            return self.wait(job_id, PendingReason::ColdStartPace);
        }
        let Some(job) = self.jobs.get(&job_id) else { return };
        // A gang within whose team's limit only a part of it fits would start in part, be stopped as
        // incomplete, and keep others out with it, again and again.
        if want == 0 || held + want < job.admission() {
            return self.wait(job_id, PendingReason::TeamLimit);
        }
        let patient = self.now < job.submitted_at.max(job.elasticity.last_resized_at) + limits::FETCH_TIMEOUT;
        let found = self.find(job, want, patient, capacity, steps);
        if !found.is_empty() && held + found.len() as u32 >= job.admission().min(held + want) {
            if found.len() as u32 + running > job.elasticity.width {
                let now = self.now;
                if let Some(job) = self.jobs.get_mut(&job_id) {
                    job.elasticity.width = found.len() as u32 + running;
                    job.elasticity.last_resized_at = now;
                }
            }
            let attempt = self.next_attempt();
            for machine in found {
                self.assign(job_id, &machine, attempt, capacity);
            }
            if self.jobs.get(&job_id).is_none_or(|j| j.progress.pending.is_empty()) {
                return;
            }
            self.wait(job_id, PendingReason::NoFurtherFreeSlot);
            if self.jobs.get(&job_id).is_some_and(|j| j.spec.kind != Kind::Service) {
                return;
            }
        }
        if leftover {
            return;
        }
        let Some(job) = self.jobs.get(&job_id) else { return };
        let held = job.placements.len() as u32;
        let missing = job.minimum().saturating_sub(held).max(1).min(job.progress.pending.len() as u32);
        let service = job.spec.kind == Kind::Service;
        if !self.shrink_for(job_id, missing, capacity, steps) && service && missing > 1 {
            // Its replicas serve each by itself: one is better than none.
            self.shrink_for(job_id, 1, capacity, steps);
        }
    }

    /// Reserves a slot on the machine for the job's next pending task.
    pub fn assign(&mut self, job_id: JobId, machine: &str, attempt: u64, capacity: &mut FreeCapacity) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let Some(task) = job.progress.pending.pop_first() else { return };
        job.placements.entry(task).or_default().push(machine.into());
        let (needs, image) = (job.spec.resource_request, job.spec.image.clone());
        capacity.teams.add(&job.spec.team, &needs);
        if let Some(machine) = self.machines.get(machine) {
            capacity.take(machine, &needs);
        }
        self.reserve_placement(machine, TaskId { job_id, task }, needs, image, attempt);
    }
}

#[cfg(test)]
mod tests;
