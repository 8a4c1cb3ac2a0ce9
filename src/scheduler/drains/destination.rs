//! Where a replica goes that leaves a cordoned machine, and for how long it would be down.

use super::reservations::ReservedCapacity;
use crate::limits;
use crate::scheduler::model::{Job, Machine, Resources};
use crate::scheduler::scoring::{self, TasksByZone};
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;

/// A place that a replica may move to.
pub(super) struct Destination {
    /// Name of the machine.
    pub machine: String,
    /// Estimate of how long the replica is down, in seconds.
    pub down_s: f64,
}

/// Room that a replica may take where it goes.
pub(super) struct MoveCapacity {
    /// Room that is reserved for other replicas.
    pub reserved: ReservedCapacity,
    /// Places for critical services in each zone beyond the headroom.
    pub spare_places: BTreeMap<String, i64>,
}

/// How good a destination is. Smaller is better; the fields count in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DestinationScore<'a> {
    job_has_failed_there: bool,
    is_drain_target: bool,
    is_other_replacement: bool,
    lacks_image: bool,
    is_not_own_replacement: bool,
    remainder: i64,
    name: &'a str,
}

impl Scheduler {
    /// For how long a replica is down that is stopped and started on this machine, in seconds; None: on one without
    /// its image. The stop and the start each wait for a heartbeat, the fetch takes its time, give or take.
    pub(super) fn down_s(&self, job: &Job, on: Option<&Machine>) -> f64 {
        let heartbeats_s = 2.0 * 1.25 * self.config.workers.report_s + limits::MOVE_MARGIN_S;
        let is_warm = on.is_some_and(|machine| machine.image_cache.images.contains(&job.spec.image));
        if is_warm {
            return heartbeats_s;
        }
        let is_possible = |type_name: &str| on.is_none_or(|machine| machine.machine_type == type_name);
        let types = self.machine_types.values().filter(|machine_type| is_possible(&machine_type.name));
        let rate = types.map(|machine_type| machine_type.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        let fetch_s = if rate.is_finite() && rate > 0.0 {
            limits::FETCH_TIME_FACTOR * job.spec.image_gb / rate
        } else {
            limits::DEFAULT_FETCH_S
        };
        heartbeats_s + fetch_s
    }

    /// Filter and score: the best machine for a replica that leaves another one.
    pub(super) fn find_destination(
        &self,
        job: &Job,
        from: &Machine,
        capacity: &MoveCapacity,
    ) -> Option<Destination> {
        let mut zones = TasksByZone::of(job, &self.machines);
        zones.remove(&from.zone);
        let critical_place = self.critical_place();
        let passes_filter = |machine: &&Machine| {
            let available = capacity.reserved.available_on(machine);
            self.is_schedulable(machine)
                && scoring::is_eligible(job, machine)
                && zones.allows(job, &machine.zone)
                && job.spec.resource_request.fits_into(&available)
                && !job.avoids(&machine.name, self.now)
                && self.leaves_headroom(job, machine, &available, critical_place, &capacity.spare_places)
        };
        let candidates = self.machines.values().filter(passes_filter);
        let best = candidates
            .min_by_key(|machine| self.destination_score(job, from, machine, &capacity.reserved))?;
        Some(Destination { machine: best.name.clone(), down_s: self.down_s(job, Some(best)) })
    }

    /// Whether the zone can spare the places for critical services that the replica takes. A replacement brings the
    /// places of the machine that it stands for.
    fn leaves_headroom(
        &self,
        job: &Job,
        machine: &Machine,
        available: &Resources,
        critical_place: Option<Resources>,
        spare_places: &BTreeMap<String, i64>,
    ) -> bool {
        if machine.spot || self.drains.is_replacement(&machine.name) {
            return true;
        }
        let left = available.minus(&job.spec.resource_request);
        let lost = critical_place.map_or(0, |place| place.count_in(available) - place.count_in(&left));
        lost == 0 || lost <= spare_places.get(&machine.zone).copied().unwrap_or(0)
    }

    fn destination_score<'a>(
        &self,
        job: &Job,
        from: &Machine,
        machine: &'a Machine,
        reserved: &ReservedCapacity,
    ) -> DestinationScore<'a> {
        let replaced = self.drains.replacements.get(&machine.name);
        let is_own_replacement = replaced.is_some_and(|replaced| *replaced == from.name);
        DestinationScore {
            job_has_failed_there: job.failure_history.has_failed_on(&machine.name),
            is_drain_target: self.drains.is_targeted(&machine.name),
            is_other_replacement: replaced.is_some() && !is_own_replacement,
            lacks_image: !machine.image_cache.images.contains(&job.spec.image),
            is_not_own_replacement: !is_own_replacement,
            remainder: scoring::best_fit_remainder(job, &reserved.available_on(machine)),
            name: &machine.name,
        }
    }
}
