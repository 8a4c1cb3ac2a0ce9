//! Protects the headroom of critical services while `candidates` assigns the tasks of other jobs.

use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, Machine, Priority, Resources};
use std::collections::BTreeMap;

/// Limits how many of the critical places one job may use up. [`Machine::has_critical_places`] says which
/// machines have any.
pub(super) struct HeadroomGuard {
    /// Resources of one critical place. None: the job may use all of them, because it is critical or because
    /// there are no critical jobs.
    critical_place: Option<Resources>,
    /// By zone, the number of critical places beyond the headroom. Negative if the headroom is not free.
    spare: BTreeMap<String, i64>,
}

impl HeadroomGuard {
    pub(super) fn new(job: &Job, capacity: &FreeCapacity) -> Self {
        let critical_place = capacity.critical_place_size.filter(|_| job.spec.priority != Priority::Critical);
        let mut spare = BTreeMap::new();
        if critical_place.is_some() {
            spare.clone_from(&capacity.critical_places_by_zone);
            spare.values_mut().for_each(|places| *places -= capacity.headroom_per_zone);
        }
        HeadroomGuard { critical_place, spare }
    }

    /// Whether a task with this request may use the machine, whose free resources are `available`: it must
    /// leave the headroom of the machine's zone intact or use up no critical place.
    pub(super) fn allows(&self, machine: &Machine, available: &Resources, request: &Resources) -> bool {
        if self.critical_place.is_none() || !machine.has_critical_places() {
            return true;
        }
        let lost = self.critical_places_lost(available, request);
        lost <= 0 || lost <= self.spare.get(&machine.zone).copied().unwrap_or(0)
    }

    /// Records that a task with this request is assigned to the machine, whose free resources were
    /// `available` before.
    pub(super) fn take(&mut self, machine: &Machine, available: &Resources, request: &Resources) {
        if !machine.has_critical_places() {
            return;
        }
        let lost = self.critical_places_lost(available, request);
        if let Some(spare) = self.spare.get_mut(&machine.zone) {
            *spare -= lost;
        }
    }

    /// How many critical places a task with this request uses up on a machine with `available` free
    /// resources.
    fn critical_places_lost(&self, available: &Resources, request: &Resources) -> i64 {
        let count_lost =
            |place: Resources| place.count_in(available) - place.count_in(&available.minus(request));
        self.critical_place.map_or(0, count_lost)
    }
}

#[cfg(test)]
#[path = "headroom_guard_tests.rs"]
mod tests;
