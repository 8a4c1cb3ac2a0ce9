//! Places reserved for replicas that move: a replica is stopped only once its next place is there, and no other task
//! gets that place meanwhile.

use crate::limits;
use crate::scheduler::elastic::FreeCapacity;
use crate::scheduler::model::{JobId, Machine, Resources, TaskId};
use crate::scheduler::scoring::{self, TasksByZone};
use crate::scheduler::Scheduler;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The place of a replica on its way to another machine.
#[derive(Debug, Clone)]
pub(super) struct ReservedPlace {
    /// Name of the machine.
    pub machine: String,
    /// When its stop was requested.
    pub since: Timestamp,
}

/// Room on machines that is reserved for replicas on their way there.
#[derive(Default)]
pub(super) struct ReservedCapacity(BTreeMap<String, Resources>);

impl ReservedCapacity {
    /// Room on the machine beyond what is reserved.
    pub(super) fn available_on(&self, machine: &Machine) -> Resources {
        let reserved = self.0.get(&machine.name).copied().unwrap_or_default();
        machine.available().minus(&reserved)
    }
}

/// How far the move of a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveStage {
    /// It has not ended on the machine that it leaves.
    Leaving,
    /// It is provably on no machine and may start on its place.
    Pending,
    /// It has been placed, is not wanted any more, or did not end in time: the place is not reserved any more.
    Ended,
}

impl Scheduler {
    /// What replicas that move, or are about to, request where they go.
    pub(super) fn reserved_capacity(&self) -> ReservedCapacity {
        let mut reserved: BTreeMap<String, Resources> = BTreeMap::new();
        let pending =
            self.drains.pending_stops().filter_map(|stop| Some((&stop.task, stop.destination.as_ref()?)));
        let moves = self.drains.moves.iter().map(|(id, place)| (id, &place.machine));
        for (id, machine) in moves.chain(pending) {
            let Some(job) = self.jobs.get(&id.job_id) else { continue };
            let room = reserved.entry(machine.clone()).or_default();
            *room = room.plus(&job.spec.resource_request);
        }
        ReservedCapacity(reserved)
    }

    /// Places for critical services in each zone beyond the headroom.
    pub(super) fn spare_critical_places(&self, reserved: &ReservedCapacity) -> BTreeMap<String, i64> {
        let Some(place) = self.critical_place() else { return BTreeMap::new() };
        let headroom = self.headroom_per_zone();
        let mut spare: BTreeMap<String, i64> =
            self.config.zones.iter().map(|zone| (zone.clone(), -headroom)).collect();
        let ordinary = self.machines.values().filter(|machine| !machine.spot && self.is_schedulable(machine));
        for machine in ordinary {
            let places = place.count_in(&reserved.available_on(machine)).max(0);
            *spare.entry(machine.zone.clone()).or_default() += places;
        }
        spare
    }

    /// Takes what is reserved out of the round's free capacity.
    pub(in crate::scheduler) fn reserve_for_moves(&self, capacity: &mut FreeCapacity) {
        let reserved = self.reserved_capacity();
        for machine in reserved.0.keys().filter_map(|name| self.machines.get(name)) {
            capacity.limit_available(machine, reserved.available_on(machine));
        }
    }

    /// Replicas that have ended on the machine that they leave start on the place reserved for them. One whose place
    /// is gone is placed by the elastic pass.
    pub(in crate::scheduler) fn place_moved_replicas(&mut self, capacity: &mut FreeCapacity) {
        let moves: Vec<(TaskId, ReservedPlace)> =
            self.drains.moves.iter().map(|(id, place)| (*id, place.clone())).collect();
        for (id, place) in moves {
            match self.move_stage(id, &place) {
                MoveStage::Leaving => {}
                MoveStage::Ended => {
                    self.drains.moves.remove(&id);
                }
                MoveStage::Pending => {
                    self.drains.moves.remove(&id);
                    self.start_moved_replica(id, &place.machine, capacity);
                }
            }
        }
    }

    fn move_stage(&self, id: TaskId, place: &ReservedPlace) -> MoveStage {
        let Some(job) = self.jobs.get(&id.job_id).filter(|job| !job.terminated) else {
            return MoveStage::Ended;
        };
        if job.progress.pending.contains(&id.task) {
            return MoveStage::Pending;
        }
        let is_overdue = self.now >= place.since + limits::DRAIN_MOVE_TIMEOUT;
        if is_overdue || !self.drains.disrupted.contains_key(&id) {
            return MoveStage::Ended;
        }
        MoveStage::Leaving
    }

    fn start_moved_replica(&mut self, id: TaskId, name: &str, capacity: &mut FreeCapacity) {
        let Some(job) = self.jobs.get(&id.job_id) else { return };
        let reserved = self.reserved_capacity();
        let is_within_limit = self.tasks_within_limit(job, &capacity.team_usage) > 0;
        if !is_within_limit || !self.may_start_on(id.job_id, name, &reserved) {
            return;
        }
        if let Some(machine) = self.machines.get(name) {
            capacity.limit_available(machine, reserved.available_on(machine));
        }
        let attempt = self.next_attempt();
        self.assign(id.job_id, name, attempt, capacity);
    }

    fn may_start_on(&self, job_id: JobId, name: &str, reserved: &ReservedCapacity) -> bool {
        let Some(job) = self.jobs.get(&job_id) else { return false };
        let Some(machine) = self.machines.get(name) else { return false };
        self.is_schedulable(machine)
            && scoring::is_eligible(job, machine)
            && TasksByZone::of(job, &self.machines).allows(job, &machine.zone)
            && job.spec.resource_request.fits_into(&reserved.available_on(machine))
            && job.failure_history.backoff_until <= self.now
            && !job.avoids(name, self.now)
            && (!job.inherited || self.job_machines_accounted_for(job))
    }
}
