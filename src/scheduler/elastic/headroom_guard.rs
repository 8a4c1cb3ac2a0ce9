//! Headroom of critical services, guarded against the tasks of all other jobs while they are assigned.

use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, Machine, Priority, Resources};
use std::collections::BTreeMap;

/// What the tasks of one job may take of the places for critical services. Spot machines are no such places.
pub(super) struct HeadroomGuard {
    /// Resources of a place. None: nothing is guarded against this job.
    place: Option<Resources>,
    /// Places in each zone beyond the headroom.
    spare: BTreeMap<String, i64>,
}

impl HeadroomGuard {
    pub(super) fn new(job: &Job, capacity: &FreeCapacity) -> Self {
        let place = capacity.critical_place.filter(|_| job.spec.priority != Priority::Critical);
        let mut spare = BTreeMap::new();
        if place.is_some() {
            spare.clone_from(&capacity.critical_places);
            spare.values_mut().for_each(|places| *places -= capacity.headroom_per_zone);
        }
        HeadroomGuard { place, spare }
    }

    /// Whether a task with this request leaves the headroom of the machine's zone.
    pub(super) fn allows(&self, machine: &Machine, available: &Resources, request: &Resources) -> bool {
        if self.place.is_none() || machine.spot {
            return true;
        }
        let lost = self.places_lost(available, request);
        lost <= 0 || lost <= self.spare.get(&machine.zone).copied().unwrap_or(0)
    }

    /// A task with this request takes its room on the machine.
    pub(super) fn take(&mut self, machine: &Machine, available: &Resources, request: &Resources) {
        if machine.spot {
            return;
        }
        let lost = self.places_lost(available, request);
        if let Some(spare) = self.spare.get_mut(&machine.zone) {
            *spare -= lost;
        }
    }

    fn places_lost(&self, available: &Resources, request: &Resources) -> i64 {
        let lost_of =
            |place: Resources| place.count_in(available) - place.count_in(&available.minus(request));
        self.place.map_or(0, lost_of)
    }
}

#[cfg(test)]
#[path = "headroom_guard_tests.rs"]
mod tests;
