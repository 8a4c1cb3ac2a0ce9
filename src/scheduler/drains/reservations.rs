//! Places kept for replicas that move: a replica is stopped only once its next place is there, and nobody else gets
//! that place meanwhile.

use super::super::elastic::FreeCapacity;
use super::super::model::{JobId, Machine, Resources, TaskId};
use super::super::scoring::{self, ZoneCount};
use super::super::Scheduler;
use crate::limits;
use std::collections::BTreeMap;

/// Room on machines that is kept for replicas on their way there.
#[derive(Default)]
pub(super) struct ReservedCapacity(BTreeMap<String, Resources>);

impl ReservedCapacity {
    /// Free room beyond what is kept.
    pub(super) fn free(&self, machine: &Machine) -> Resources {
        let kept = self.0.get(&machine.name).copied().unwrap_or_default();
        machine.available().minus(&kept)
    }
}

impl Scheduler {
    /// What replicas that move, or are about to, need where they go.
    pub(super) fn kept_rooms(&self) -> ReservedCapacity {
        let mut kept: BTreeMap<String, Resources> = BTreeMap::new();
        let pending = self.drains.pending_stops().filter_map(|stop| Some((&stop.task, stop.to.as_ref()?)));
        let moves = self.drains.moves.iter().map(|(id, to)| (id, &to.to));
        for (id, to) in moves.chain(pending) {
            let Some(job) = self.jobs.get(&id.job_id) else { continue };
            let room = kept.entry(to.clone()).or_default();
            *room = room.plus(&job.spec.resource_request);
        }
        ReservedCapacity(kept)
    }

    /// Places of critical services in each zone beyond those that are reserved.
    pub(super) fn spare_places(&self, kept: &ReservedCapacity) -> BTreeMap<String, i64> {
        let Some(shape) = self.critical_place() else { return BTreeMap::new() };
        let reserved = self.headroom_per_zone();
        let mut spare: BTreeMap<String, i64> =
            self.config.zones.iter().map(|zone| (zone.clone(), -reserved)).collect();
        for machine in self.machines.values().filter(|m| !m.spot && self.is_schedulable(m)) {
            let places = shape.count_in(&kept.free(machine)).max(0);
            *spare.entry(machine.zone.clone()).or_default() += places;
        }
        spare
    }

    /// The round's free room less what is kept.
    pub(in super::super) fn reserve_for_moves(&self, capacity: &mut FreeCapacity) {
        let kept = self.kept_rooms();
        for machine in kept.0.keys().filter_map(|name| self.machines.get(name)) {
            capacity.limit(machine, kept.free(machine));
        }
    }

    /// Replicas that have ended on the machine that they leave start on the place that was kept.
    pub(in super::super) fn place_moved_replicas(&mut self, capacity: &mut FreeCapacity) {
        let patience = limits::DRAIN_MOVE_TIMEOUT;
        let moves: Vec<(TaskId, String, u64)> =
            self.drains.moves.iter().map(|(id, to)| (*id, to.to.clone(), to.since)).collect();
        for (id, to, since) in moves {
            let Some(job) = self.jobs.get(&id.job_id).filter(|job| !job.terminated) else {
                self.drains.moves.remove(&id);
                continue;
            };
            if !job.progress.pending.contains(&id.task) {
                // It has not ended yet, or has been placed already.
                if self.now >= since + patience || !self.drains.disrupted.contains_key(&id) {
                    self.drains.moves.remove(&id);
                }
                continue;
            }
            // From here on it is placed by the ordinary pass where its place is gone.
            self.drains.moves.remove(&id);
            let kept = self.kept_rooms();
            if self.may_start_on(id.job_id, &to, &kept)
                && self.tasks_within_limit(job, &capacity.team_usage) > 0
            {
                if let Some(machine) = self.machines.get(&to) {
                    capacity.limit(machine, kept.free(machine));
                }
                let attempt = self.next_attempt();
                self.assign(id.job_id, &to, attempt, capacity);
            }
        }
    }

    fn may_start_on(&self, job_id: JobId, name: &str, kept: &ReservedCapacity) -> bool {
        let Some(job) = self.jobs.get(&job_id) else { return false };
        let Some(machine) = self.machines.get(name) else { return false };
        self.is_schedulable(machine)
            && scoring::is_eligible(job, machine)
            && ZoneCount::of(job, &self.machines).allows(job, &machine.zone)
            && job.spec.resource_request.fits(&kept.free(machine))
            && job.failure_history.backoff_until <= self.now
            && (!job.inherited || self.reconciled_for(job))
    }
}
