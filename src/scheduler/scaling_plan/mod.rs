//! Scale out: the queue and the headroom are packed into machines that are coming and, beyond that, into new ones.
//! Owns the plan of what to rent. Its cost follows the queue, not the number of machines under way; see
//! `coming_machines`.

mod coming_machines;

use super::autoscaler::{MachineKind, Rental};
use super::model::{Job, JobId, Machine, MachineState, Resources};
use super::quota::TeamUsage;
use super::scoring::TasksByZone;
use super::{Effect, Scheduler};
use crate::limits;
use crate::time::from_seconds;
use coming_machines::{tasks_that_fit, ComingMachines, Demand, Load};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// A plan of scaling out: the queue is placed on machines that are not there yet.
#[derive(Debug)]
pub struct ScalingPlan {
    /// Jobs that are not planned yet.
    queue: std::vec::IntoIter<JobId>,
    coming: ComingMachines,
    /// How many machines of each offer are coming or to be rented.
    counts: BTreeMap<MachineKind, u32>,
    /// How many machines of each offer are to be rented.
    wanted: BTreeMap<MachineKind, u32>,
    team_usage: TeamUsage,
}

/// An offer and its present price per hour.
struct PricedOffer {
    price: f64,
    offer: MachineKind,
}

/// A ready machine with places for critical services. Those that cost least to keep come first: those that run
/// something anyway, then those with fewest places.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct HeadroomMachine<'a> {
    is_empty: bool,
    places: i64,
    name: &'a str,
}

impl Scheduler {
    /// Begins a plan. Machines in an unreachable zone, booting or not, are of no use until it is back, so that none
    /// is counted on or rented there.
    pub(super) fn begin_plan(&mut self) {
        let counts = self.coming_counts();
        let mut coming = ComingMachines::default();
        for (offer, count) in &counts {
            let is_reachable = !self.failure_detector.zone_unreachable(&offer.zone);
            let machine_type = self.machine_types.get(&offer.machine_type).filter(|_| is_reachable);
            if let Some(machine_type) = machine_type {
                coming.add(offer, machine_type.capacity, Load::Empty, *count);
            }
        }
        self.autoscaler.plan = Some(ScalingPlan {
            queue: self.planning_order().into_iter(),
            coming,
            counts,
            wanted: BTreeMap::new(),
            team_usage: self.team_usage(),
        });
    }

    /// Jobs with pending tasks that may start, highest aged rank first.
    fn planning_order(&self) -> Vec<JobId> {
        let pending = self.jobs.values().filter(|job| !job.terminated && !job.progress.pending.is_empty());
        let mut queue: Vec<&Job> =
            pending.filter(|job| job.failure_history.backoff_until <= self.now).collect();
        queue.sort_by_key(|job| (Reverse(self.rank(job)), job.submitted_at, job.spec.job_id));
        queue.into_iter().map(|job| job.spec.job_id).collect()
    }

    /// Machines that boot or are being rented. Replacements for drained machines are not counted on.
    fn coming_counts(&self) -> BTreeMap<MachineKind, u32> {
        let mut counts = BTreeMap::new();
        let is_booting = |machine: &&Machine| {
            machine.state == MachineState::Pending
                && !machine.lifecycle.deleting
                && !self.drains.is_replacement(&machine.name)
        };
        for machine in self.machines.values().filter(is_booting) {
            *counts.entry(MachineKind::of(machine)).or_default() += 1;
        }
        for rental in self.autoscaler.renting.values() {
            *counts.entry(rental.offer.clone()).or_default() += rental.count;
        }
        counts
    }

    /// Goes on within a budget of decision steps; rents and deletes machines when all jobs are planned. Returns
    /// whether they are.
    pub(super) fn continue_plan(&mut self) -> bool {
        let Some(mut plan) = self.autoscaler.plan.take() else { return true };
        let mut steps = 0;
        while steps < self.config.max_round_steps {
            let Some(job_id) = plan.queue.next() else {
                self.decision_steps += steps as u64;
                self.carry_out_plan(plan);
                return true;
            };
            if let Some(job) = self.jobs.get(&job_id).filter(|job| !job.terminated) {
                self.plan_job(job, &mut plan, &mut steps);
            }
        }
        self.decision_steps += steps as u64;
        self.autoscaler.plan = Some(plan);
        false
    }

    fn carry_out_plan(&mut self, mut plan: ScalingPlan) {
        let kept = self.plan_headroom(&mut plan);
        for (offer, mut count) in plan.wanted {
            // A request names at most so many, and all that are missing are missing now.
            while count > 0 && self.autoscaler.renting.len() < self.config.max_concurrent_rentals {
                let part = count.min(limits::MAX_MACHINES_PER_RENTAL);
                count -= part;
                self.rent(&offer, part);
            }
        }
        self.delete_idle(&kept);
    }

    fn rent(&mut self, offer: &MachineKind, count: u32) {
        self.autoscaler.requests += 1;
        let request = self.autoscaler.requests;
        let MachineKind { machine_type, zone, spot } = offer.clone();
        info!(request, machine_type, zone, spot, count, "rent");
        let kind = if spot { "spot" } else { "ordinary" };
        self.record_decision(format!("rent {count} {kind} {machine_type} in {zone}"));
        self.autoscaler.renting.insert(request, Rental { offer: offer.clone(), count });
        self.effects.push(Effect::Rent { request, name: None, machine_type, zone, spot, count });
    }

    /// What the cloud offers in reachable zones, the cheapest first.
    fn offers(
        &self,
        allows_type: impl Fn(&str) -> bool,
        allows_zone: impl Fn(&str) -> bool,
        may_use_spot: bool,
    ) -> Vec<PricedOffer> {
        let is_open = |zone: &str| allows_zone(zone) && !self.failure_detector.zone_unreachable(zone);
        let mut offers = Vec::new();
        for machine_type in self.machine_types.values().filter(|machine_type| allows_type(&machine_type.name))
        {
            for zone in machine_type.zones.iter().filter(|zone| is_open(zone)) {
                let offer =
                    |spot| MachineKind { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                if let (true, Some(price)) = (may_use_spot, machine_type.spot_price) {
                    offers.push(PricedOffer { price, offer: offer(true) });
                }
                offers.push(PricedOffer { price: machine_type.price, offer: offer(false) });
            }
        }
        offers.sort_by(|a, b| a.price.total_cmp(&b.price).then_with(|| a.offer.cmp(&b.offer)));
        offers
    }

    /// Whether the offer could be rented now for tasks with this request.
    fn is_rentable(&self, offer: &MachineKind, request: &Resources) -> bool {
        let machine_type = self.machine_types.get(&offer.machine_type);
        machine_type.is_some_and(|machine_type| request.fits_into(&machine_type.capacity))
            && !self.is_backing_off(offer)
    }

    /// Places the pending tasks of a job, as far as its team's limit allows, on coming machines and then on new ones.
    fn plan_job(&self, job: &Job, plan: &mut ScalingPlan, steps: &mut usize) {
        let allowed = self.tasks_within_limit(job, &plan.team_usage);
        let tasks = (job.progress.pending.len() as u32).min(allowed);
        let mut demand = Demand { job, zones: TasksByZone::of(job, &self.machines), tasks };
        *steps += 1 + plan.coming.groups();
        plan.coming.fill(&mut demand);
        if demand.tasks > 0 {
            self.plan_new_machines(&mut demand, plan, steps);
        }
    }

    fn plan_new_machines(&self, demand: &mut Demand<'_>, plan: &mut ScalingPlan, steps: &mut usize) {
        let offers = self.offers_for(demand.job);
        while demand.tasks > 0 {
            *steps += offers.len();
            let Some(offer) = best_offer(&offers, demand, &plan.counts) else { return };
            let Some(machine_type) = self.machine_types.get(&offer.machine_type) else { return };
            // One task at a time would be fairer to the zones, but a machine that is paid for is filled.
            let per_machine = tasks_that_fit(demand.request(), &machine_type.capacity);
            let tasks = demand.tasks_for(&offer.zone, per_machine);
            demand.place(&offer.zone, tasks);
            *plan.wanted.entry(offer.clone()).or_default() += 1;
            *plan.counts.entry(offer.clone()).or_default() += 1;
            let left = machine_type.capacity.minus(&demand.request().times(tasks.into()));
            plan.coming.add(offer, left, Load::InUse, 1);
        }
    }

    /// Offers that may be rented for the job. One that may use spot machines waits for them for a while.
    fn offers_for(&self, job: &Job) -> Vec<PricedOffer> {
        let spot_patience = from_seconds(self.config.operator.spot_patience_s);
        let waits_for_spot = job.spec.allows_spot && self.now < job.submitted_at + spot_patience;
        let mut offers = self.offers(|name| job.spec.allows_type(name), |_| true, job.spec.allows_spot);
        offers.retain(|priced| {
            let offer = &priced.offer;
            (offer.spot || !waits_for_spot) && self.is_rentable(offer, &job.spec.resource_request)
        });
        offers
    }

    /// Keeps the headroom of each zone: on ready machines, on coming ones, and on new ones beyond that. Returns the
    /// ready machines that are kept for it.
    fn plan_headroom(&self, plan: &mut ScalingPlan) -> BTreeSet<String> {
        let mut kept = BTreeSet::new();
        let Some(place) = self.critical_place() else { return kept };
        for zone in &self.config.zones {
            let mut missing = self.headroom_per_zone();
            for machine in self.headroom_machines(zone, &place) {
                if missing > 0 {
                    missing -= machine.places;
                    kept.insert(machine.name.to_string());
                }
            }
            missing -= plan.coming.critical_places(zone, &place);
            while missing > 0 {
                let Some((offer, capacity)) = self.headroom_offer(zone, &place) else { break };
                missing -= place.count_in(&capacity).max(1);
                *plan.wanted.entry(offer).or_default() += 1;
            }
        }
        kept
    }

    /// Ready ordinary machines of the zone with places for critical services, the cheapest to keep first.
    fn headroom_machines(&self, zone: &str, place: &Resources) -> Vec<HeadroomMachine<'_>> {
        let ordinary = self
            .machines
            .values()
            .filter(|machine| self.is_schedulable(machine) && !machine.spot && machine.zone == *zone);
        let mut machines: Vec<HeadroomMachine> = ordinary
            .map(|machine| HeadroomMachine {
                is_empty: machine.tasks.is_empty(),
                places: place.count_in(&machine.available()),
                name: &machine.name,
            })
            .filter(|machine| machine.places > 0)
            .collect();
        machines.sort();
        machines
    }

    /// The cheapest ordinary machine that holds such a place, and its capacity.
    fn headroom_offer(&self, zone: &str, place: &Resources) -> Option<(MachineKind, Resources)> {
        let offers = self.offers(|_| true, |other| other == zone, false);
        let cheapest = offers.into_iter().find(|priced| self.is_rentable(&priced.offer, place))?;
        let machine_type = self.machine_types.get(&cheapest.offer.machine_type)?;
        Some((cheapest.offer, machine_type.capacity))
    }
}

/// The cheapest offer in a zone that is open to the job; of equal prices the one in the zone with fewer of its tasks,
/// then the one with fewer machines.
fn best_offer<'a>(
    offers: &'a [PricedOffer],
    demand: &Demand<'_>,
    counts: &BTreeMap<MachineKind, u32>,
) -> Option<&'a MachineKind> {
    let load = |offer: &MachineKind| (demand.zones.get(&offer.zone), counts.get(offer).copied().unwrap_or(0));
    let open = offers.iter().filter(|priced| demand.zones.allows(demand.job, &priced.offer.zone));
    let best =
        open.min_by(|a, b| a.price.total_cmp(&b.price).then_with(|| load(&a.offer).cmp(&load(&b.offer))));
    best.map(|priced| &priced.offer)
}
