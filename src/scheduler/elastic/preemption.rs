//! Shrinking lower jobs for one that cannot start.

use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, JobId, Kind, PendingReason, Priority, Resources, TaskId};
use crate::scheduler::quota::TeamUsage;
use crate::scheduler::scoring;
use crate::scheduler::Scheduler;
use tracing::debug;

impl Scheduler {
    /// Stops the newest tasks of lower jobs, lowest first, if together that frees `missing` slots.
    /// Returns whether that room is under way.
    pub(super) fn shrink_for(
        &mut self,
        job_id: JobId,
        missing: u32,
        capacity: &mut FreeCapacity,
        steps: &mut usize,
    ) -> bool {
        let Some(job) = self.jobs.get(&job_id) else { return false };
        let needs = job.spec.resource_request;
        // Room that stops under way will free counts as found, so that nobody shrinks twice for it.
        let soon = capacity.soon(&self.machines);
        // So does room whose machine is fetching for somebody else.
        let coming = self.find(job, missing, false, &soon, steps);
        if coming.len() as u32 >= missing {
            // Hold the room for this job: nobody later in the round may take it.
            coming.iter().filter_map(|m| self.machines.get(m)).for_each(|m| capacity.take(m, &needs));
            self.wait(job_id, PendingReason::StopsOrFetchUnderWay);
            return true;
        }
        let may_any = capacity.lowest.is_some_and(|lowest| lowest < job.spec.priority)
            || self.within_guarantee(&job.spec.team, &needs, &capacity.teams);
        if !may_any {
            self.wait(job_id, PendingReason::NothingToPreempt);
            return false;
        }
        // A critical job that cannot start goes on where the design stops: jobs inside the gap yield too,
        // and then jobs below their minimum. A swarm of lower jobs pinned at one task each would
        // otherwise keep it out until a machine has booted.
        let stages: &[(bool, bool)] = match job.spec.priority {
            Priority::Critical => &[(true, true), (false, true), (false, false)],
            _ => &[(true, true)],
        };
        let order = capacity.yielding.get_or_insert_with(|| self.yielding()).clone();
        let chosen = stages.iter().find_map(|(gap, minimum)| {
            let mut soon = soon.clone();
            let stops = self.victims(job, missing, &order, &mut soon, (*gap, *minimum), steps);
            let targets = self.find(job, missing, false, &soon, steps);
            (targets.len() as u32 >= missing).then_some((stops, targets))
        });
        let Some((mut stops, targets)) = chosen else {
            self.wait(job_id, PendingReason::PreemptionInsufficient);
            return false;
        };
        // Stops on machines that the newcomer ends up not using would be for nothing.
        stops.retain(|(name, _)| targets.contains(name));
        targets.iter().filter_map(|m| self.machines.get(m)).for_each(|m| capacity.take(m, &needs));
        for (machine, id) in stops {
            debug!(task = %id, machine, newcomer = %job_id, "shrink");
            self.decided(format!("stop {id} on {machine} for {job_id}"));
            let now = self.now;
            let grace = self.jobs.get(&id.job_id).map_or(0.0, |j| j.spec.save_s);
            if let Some(victim) = self.jobs.get_mut(&id.job_id) {
                victim.elasticity.last_resized_at = now;
                victim.elasticity.width = victim.elasticity.width.saturating_sub(1).max(victim.minimum());
                let freed = capacity.pending.entry(machine.clone()).or_default();
                *freed = freed.plus(&victim.spec.resource_request);
                capacity.teams.stop(&victim.spec.team, &victim.spec.resource_request);
                *capacity.stopping.entry(id.job_id).or_default() += 1;
            }
            self.stop(&machine, id, grace);
        }
        self.wait(job_id, PendingReason::StopsUnderWay);
        true
    }

    /// Tasks of lower jobs to stop, lowest job first and its newest task first, until `missing` places
    /// are found. `gap`, `minimum`: whether the rescale gap and the victims' minimum protect them.
    pub(super) fn victims(
        &self,
        job: &Job,
        missing: u32,
        order: &[JobId],
        soon: &mut FreeCapacity,
        (gap, minimum): (bool, bool),
        steps: &mut usize,
    ) -> Vec<(String, TaskId)> {
        let mut stops = Vec::new();
        for victim in order.iter().filter_map(|v| self.jobs.get(v)) {
            *steps += 1;
            if victim.placements.is_empty() || gap && self.in_gap(victim) {
                continue;
            }
            let mut running: Vec<_> = self
                .placements_of(victim)
                .filter(|(_, _, t)| t.stopping.is_none())
                .map(|(id, name, t)| (t.placed_at, id, name))
                .collect();
            running.sort();
            let floor = if minimum { victim.minimum() } else { 0 };
            // Each stop brings the victim's team nearer to its guarantee.
            while running.len() as u32 > floor && self.may_preempt(job, victim, &soon.teams) {
                let Some((_, id, name)) = running.pop() else { break };
                *steps += 1;
                let Some(machine) = self.machines.get(name).filter(|m| self.is_schedulable(m)) else {
                    continue;
                };
                // A stop that cannot help the newcomer would be for nothing.
                if !scoring::allowed(job, machine) {
                    continue;
                }
                soon.give(machine, &victim.spec.resource_request);
                soon.teams.stop(&victim.spec.team, &victim.spec.resource_request);
                stops.push((name.to_string(), id));
                if self.find(job, missing, false, soon, steps).len() as u32 >= missing {
                    return stops;
                }
            }
        }
        stops
    }

    /// PROTOCOL, Preemption: higher over lower priority; or a team inside its guarantee over what
    /// another team runs beyond its own.
    pub(super) fn may_preempt(&self, job: &Job, victim: &Job, teams: &TeamUsage) -> bool {
        if victim.spec.job_id == job.spec.job_id || victim.spec.kind != Kind::Array {
            return false;
        }
        let higher = job.spec.priority > victim.spec.priority;
        if job.spec.team == victim.spec.team {
            return higher;
        }
        let guaranteed = self.within_guarantee(&job.spec.team, &job.spec.resource_request, teams);
        let victim_guaranteed = self.within_guarantee(&victim.spec.team, &Resources::default(), teams);
        // Without the second condition borrowed capacity went back and forth: what a team got back within its
        // guarantee was stopped again for a job of a higher class that its own team's guarantee did not cover.
        // Critical jobs are beyond that: nobody stops them, so nothing goes back and forth.
        let protected = victim_guaranteed && !guaranteed && job.spec.priority != Priority::Critical;
        guaranteed && !victim_guaranteed || higher && !protected
    }
}
