//! Preemption for a job that cannot start, the shrink of figure 2 of the paper. `admission` calls it. It
//! decides whether tasks of other jobs are stopped for the job (the newcomer), and requests the stops.

use super::candidates::{PlacementRequest, SharedFetch};
use super::capacity::FreeCapacity;
use super::victims::{Protection, Victim, VictimSearch};
use super::Round;
use crate::scheduler::model::{Job, JobId, Kind, PendingReason, Priority, Resources};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use tracing::debug;

/// Outcome of preemption for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(super) enum Preemption {
    /// Enough resources for the job are being freed.
    UnderWay,
    /// Preemption could not free enough resources; no task is stopped.
    Impossible,
}

/// Tasks to stop, and the machines that the newcomer uses afterwards.
struct PreemptionPlan {
    victims: Vec<Victim>,
    /// Names of the machines, one for each task of the newcomer.
    targets: Vec<String>,
}

impl Scheduler {
    /// Figure 2: stops tasks of other jobs if that frees slots for `missing` tasks of the job: the jobs in
    /// the order of `preemption_order`, and in each job the newest task first. Stops nothing and reserves
    /// slots if there are enough without preemption: free ones, those that stops under way will free, and
    /// those on machines that are fetching another image.
    pub(super) fn try_preempt_for(&mut self, job_id: JobId, missing: u32, round: &mut Round) -> Preemption {
        let Some(job) = self.jobs.get(&job_id) else { return Preemption::Impossible };
        let request = job.spec.resource_request;
        let after_stops = round.capacity.after_stops(&self.machines);
        let newcomer = PlacementRequest { job, tasks: missing, shared_fetch: SharedFetch::Allow };
        let machines_after_stops = self.find_machines(newcomer, &after_stops, &mut round.steps);
        if machines_after_stops.len() as u32 >= missing {
            round.capacity.take_on_each(&machines_after_stops, &self.machines, &request);
            self.set_pending_reason(job_id, PendingReason::RoomNotFreeYet);
            return Preemption::UnderWay;
        }
        if !self.may_preempt_any(job, &round.capacity) {
            let reason = self.reason_without_room(job, &after_stops, PendingReason::NothingToPreempt);
            self.set_pending_reason(job_id, reason);
            return Preemption::Impossible;
        }
        let order = round.capacity.preemption_order.get_or_insert_with(|| self.preemption_order()).clone();
        let Some(plan) = self.plan_preemption(newcomer, &order, &after_stops, &mut round.steps) else {
            let reason = self.reason_without_room(job, &after_stops, PendingReason::PreemptionInsufficient);
            self.set_pending_reason(job_id, reason);
            return Preemption::Impossible;
        };
        round.capacity.take_on_each(&plan.targets, &self.machines, &request);
        self.request_victim_stops(job_id, plan, &mut round.capacity);
        self.set_pending_reason(job_id, PendingReason::PreemptionUnderWay);
        Preemption::UnderWay
    }

    /// Why there is no room for the job: `otherwise`, unless machines that its failures have closed to it have
    /// room.
    fn reason_without_room(
        &self,
        job: &Job,
        capacity: &FreeCapacity,
        otherwise: PendingReason,
    ) -> PendingReason {
        let is_closed_with_room = |name: &String| {
            let available = capacity.available.get(name);
            available.is_some_and(|available| job.spec.resource_request.fits_into(available))
                && job.avoids(name, self.now)
        };
        if job.failure_history.machines.keys().any(is_closed_with_room) {
            PendingReason::ClosedAfterFailure
        } else {
            otherwise
        }
    }

    /// Whether any task may be preempted for the job; checked before the search for victims.
    fn may_preempt_any(&self, job: &Job, capacity: &FreeCapacity) -> bool {
        capacity.lowest_preemptible.is_some_and(|lowest| lowest < job.spec.priority)
            || self.within_guarantee(&job.spec.team, &job.spec.resource_request, &capacity.team_usage)
    }

    /// The victims to stop for the newcomer and the machines that it then uses. None: stopping every task
    /// that may be preempted would not free enough.
    fn plan_preemption(
        &self,
        newcomer: PlacementRequest<'_>,
        order: &[JobId],
        after_stops: &FreeCapacity,
        steps: &mut usize,
    ) -> Option<PreemptionPlan> {
        // Exception 4 of `docs/design.md`: for a critical job, protection is lifted in stages. Otherwise many
        // jobs of lower priority at their minimum of one task each would block it until a new machine has
        // booted.
        let stages: &[Protection] = match newcomer.job.spec.priority {
            Priority::Critical => &[Protection::GapAndMinimum, Protection::Minimum, Protection::None],
            Priority::Low | Priority::Normal | Priority::High => &[Protection::GapAndMinimum],
        };
        stages.iter().find_map(|protection| {
            let search = VictimSearch::new(self, newcomer, *protection, after_stops.clone());
            let (mut victims, capacity) = search.run(order, steps);
            let targets = self.find_machines(newcomer, &capacity, steps);
            if (targets.len() as u32) < newcomer.tasks {
                return None;
            }
            // Stops on machines that the newcomer does not use would serve no purpose.
            victims.retain(|victim| targets.contains(&victim.machine));
            Some(PreemptionPlan { victims, targets })
        })
    }

    /// Requests the stops of the victims, which begins the rescale gap of their jobs. Their resources are
    /// free once the workers confirm the stops (paper, 3.1).
    fn request_victim_stops(&mut self, newcomer: JobId, plan: PreemptionPlan, capacity: &mut FreeCapacity) {
        let now = self.now;
        for Victim { machine, task } in plan.victims {
            debug!(task = %task, machine, preempting_job = %newcomer, "preempting task");
            self.record_decision(format!("stop {task} on {machine} for {newcomer}"));
            let grace_s = self.jobs.get(&task.job_id).map_or(0.0, |job| job.spec.checkpoint_save_s);
            if let Some(job) = self.jobs.get_mut(&task.job_id) {
                job.width_state.last_resized_at = now;
                job.width_state.granted_width =
                    job.width_state.granted_width.saturating_sub(1).max(job.minimum_width());
                let request = &job.spec.resource_request;
                let freed = capacity.freed_by_stops.entry(machine.clone()).or_default();
                *freed = freed.plus(request);
                capacity.team_usage.add_stop(&job.spec.team, request);
                *capacity.stopping_tasks.entry(task.job_id).or_default() += 1;
            }
            self.request_stop(&machine, task, grace_s);
        }
    }

    /// PROTOCOL, Preemption: a job may preempt an array of lower priority. A job within its team's guarantee
    /// may also preempt an array of another team that uses more than its own guarantee.
    pub(super) fn may_preempt(&self, job: &Job, victim: &Job, usage: &TeamUsage) -> bool {
        if victim.spec.job_id == job.spec.job_id || victim.spec.kind != Kind::Array {
            return false;
        }
        let is_higher = job.spec.priority > victim.spec.priority;
        if job.spec.team == victim.spec.team {
            return is_higher;
        }
        let is_guaranteed = self.within_guarantee(&job.spec.team, &job.spec.resource_request, usage);
        let victim_is_guaranteed = self.within_guarantee(&victim.spec.team, &Resources::default(), usage);
        // Without this protection, two teams would preempt each other in a loop: team A, within its
        // guarantee, preempts team B; then a job of B that has a higher priority but exceeds B's guarantee
        // preempts A. Critical jobs may ignore the protection: they are not preempted, so no loop can arise.
        let is_protected = victim_is_guaranteed && !is_guaranteed && job.spec.priority != Priority::Critical;
        is_guaranteed && !victim_is_guaranteed || is_higher && !is_protected
    }
}
