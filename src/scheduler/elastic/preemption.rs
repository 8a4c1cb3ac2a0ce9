//! Preemption for a job that cannot start: the paper's shrink (figure 2). Decides whether tasks of other jobs stop
//! for it, and asks them to.

use super::candidates::{PlacementRequest, SharedFetch};
use super::capacity::FreeCapacity;
use super::victims::{Protection, Victim, VictimSearch};
use super::Round;
use crate::scheduler::model::{Job, JobId, Kind, PendingReason, Priority, Resources};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::Scheduler;
use tracing::debug;

/// What preemption does for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub(super) enum Preemption {
    /// Room for it is being made.
    UnderWay,
    /// It could not make enough room, so it stops nothing.
    Impossible,
}

/// Tasks to stop, and the machines that the newcomer then uses.
struct PreemptionPlan {
    victims: Vec<Victim>,
    /// Names of machines, one for each task.
    targets: Vec<String>,
}

impl Scheduler {
    /// Figure 2: stops the newest tasks of lower jobs, lowest first, if together that frees `missing` slots. Room of
    /// stops under way counts as found, so that no two preemptions are made for it; so does room whose machine is
    /// fetching an image for another job.
    pub(super) fn preempt_for(&mut self, job_id: JobId, missing: u32, round: &mut Round) -> Preemption {
        let Some(job) = self.jobs.get(&job_id) else { return Preemption::Impossible };
        let request = job.spec.resource_request;
        let after_stops = round.capacity.after_stops(&self.machines);
        let newcomer = PlacementRequest { job, tasks: missing, shared_fetch: SharedFetch::Allow };
        let coming = self.find_machines(newcomer, &after_stops, &mut round.steps);
        if coming.len() as u32 >= missing {
            round.capacity.take_on_each(&coming, &self.machines, &request);
            self.wait(job_id, PendingReason::StopsOrFetchUnderWay);
            return Preemption::UnderWay;
        }
        if !self.may_preempt_any(job, &round.capacity) {
            self.wait(job_id, PendingReason::NothingToPreempt);
            return Preemption::Impossible;
        }
        let order = round.capacity.preemption_order.get_or_insert_with(|| self.preemption_order()).clone();
        let Some(plan) = self.plan_preemption(newcomer, &order, &after_stops, &mut round.steps) else {
            self.wait(job_id, PendingReason::PreemptionInsufficient);
            return Preemption::Impossible;
        };
        round.capacity.take_on_each(&plan.targets, &self.machines, &request);
        self.preempt(job_id, plan, &mut round.capacity);
        self.wait(job_id, PendingReason::StopsUnderWay);
        Preemption::UnderWay
    }

    /// Whether the job may preempt at all, before victims are looked for.
    fn may_preempt_any(&self, job: &Job, capacity: &FreeCapacity) -> bool {
        capacity.lowest_preemptible.is_some_and(|lowest| lowest < job.spec.priority)
            || self.within_guarantee(&job.spec.team, &job.spec.resource_request, &capacity.team_usage)
    }

    /// Victims that make room for the newcomer, and where; None: all that may be preempted are not enough.
    fn plan_preemption(
        &self,
        newcomer: PlacementRequest<'_>,
        order: &[JobId],
        after_stops: &FreeCapacity,
        steps: &mut usize,
    ) -> Option<PreemptionPlan> {
        // Exception 4 of `docs/design.md`: a critical job that cannot start goes on where the design stops. A swarm
        // of lower jobs pinned at one task each would otherwise keep it out until a machine has booted.
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
            // Stops on machines that the newcomer does not use in the end would be for nothing.
            victims.retain(|victim| targets.contains(&victim.machine));
            Some(PreemptionPlan { victims, targets })
        })
    }

    /// Asks the victims to stop: a rescaling event of their jobs. The room counts once the workers confirm (paper,
    /// 3.1).
    fn preempt(&mut self, newcomer: JobId, plan: PreemptionPlan, capacity: &mut FreeCapacity) {
        let now = self.now;
        for Victim { machine, task } in plan.victims {
            debug!(task = %task, machine, newcomer = %newcomer, "shrink");
            self.decided(format!("stop {task} on {machine} for {newcomer}"));
            let grace_s = self.jobs.get(&task.job_id).map_or(0.0, |job| job.spec.save_s);
            if let Some(job) = self.jobs.get_mut(&task.job_id) {
                job.elasticity.last_resized_at = now;
                job.elasticity.width = job.elasticity.width.saturating_sub(1).max(job.minimum());
                let request = &job.spec.resource_request;
                let freed = capacity.freed_by_stops.entry(machine.clone()).or_default();
                *freed = freed.plus(request);
                capacity.team_usage.stop(&job.spec.team, request);
                *capacity.stopping_tasks.entry(task.job_id).or_default() += 1;
            }
            self.stop(&machine, task, grace_s);
        }
    }

    /// PROTOCOL, Preemption: higher over lower priority; or a team inside its guarantee over what
    /// another team runs beyond its own.
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
        // Without the protection borrowed capacity went back and forth: what a team got back within its guarantee was
        // stopped again for a job of a higher class that its own team's guarantee did not cover. Critical jobs are
        // beyond that: they are not preempted, so nothing goes back and forth.
        let is_protected = victim_is_guaranteed && !is_guaranteed && job.spec.priority != Priority::Critical;
        is_guaranteed && !victim_is_guaranteed || is_higher && !is_protected
    }
}
