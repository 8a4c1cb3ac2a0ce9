//! What to rent: the queue and the reserve packed into what is coming and, beyond that, into new machines.
//! Machines that are not there yet are all alike but for their offer and the room left on them, so the plan
//! counts them in groups: its cost follows the queue, not the number of machines under way.

use super::autoscaler::Offer;
use super::model::*;
use super::quota::TeamUsage;
use super::scoring::ZoneCount;
use super::{Effect, Scheduler};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Machines that are not there yet, as the plan fills them: alike ones counted together.
#[derive(Debug)]
struct Group {
    offer: Offer,
    room: Resources,
    used: bool,
    count: u32,
}

/// A plan of scaling out: the queue is placed on machines that are not there yet.
#[derive(Debug)]
pub struct Plan {
    queue: std::vec::IntoIter<JobId>,
    coming: Vec<Group>,
    /// How many machines of each offer are coming or wanted.
    count: BTreeMap<Offer, u32>,
    wanted: BTreeMap<Offer, u32>,
    teams: TeamUsage,
}

impl Plan {
    fn add(&mut self, offer: &Offer, room: Resources, used: bool, count: u32) {
        if count == 0 || room.gpus <= 0 && room.cpus <= 0 {
            return;
        }
        let alike = |g: &&mut Group| g.room == room && g.used == used && g.offer == *offer;
        match self.coming.iter_mut().find(alike) {
            Some(group) => group.count += count,
            None => self.coming.push(Group { offer: offer.clone(), room, used, count }),
        }
    }

    /// Puts up to `left` tasks on machines of one group; returns how many found room there.
    fn fill(&mut self, at: usize, job: &Job, zones: &mut ZoneCount, left: u32) -> u32 {
        let group = &self.coming[at];
        let needs = &job.spec.resource_request;
        let each = u32::try_from(needs.count_in(&group.room)).unwrap_or(u32::MAX);
        let all = each.saturating_mul(group.count);
        let tasks = left.min(all).min(zones.tasks_allowed(job, &group.offer.1));
        if tasks == 0 {
            return 0;
        }
        let (offer, room) = (group.offer.clone(), group.room);
        let (full, rest) = (tasks / each, tasks % each);
        self.coming[at].count -= full + u32::from(rest > 0);
        let left_on = |n: u32| room.minus(&needs.times(n.into()));
        self.add(&offer, left_on(each), true, full);
        if rest > 0 {
            self.add(&offer, left_on(rest), true, 1);
        }
        zones.add_many(&offer.1, tasks);
        tasks
    }
}

impl Scheduler {
    /// Takes up the plan. Machines in an unreachable zone, booting or not, help nobody until it is back, so that none
    /// is counted on or rented there.
    pub fn begin_plan(&mut self) {
        let queue = self.jobs.values().filter(|j| !j.terminated && !j.progress.pending.is_empty());
        let mut queue: Vec<&Job> = queue.filter(|j| j.failure_history.backoff_until <= self.now).collect();
        queue.sort_by_key(|j| (std::cmp::Reverse(self.rank(j)), j.submitted_at, j.spec.job_id));
        let queue: Vec<JobId> = queue.into_iter().map(|j| j.spec.job_id).collect();
        let mut plan = Plan {
            queue: queue.into_iter(),
            coming: Vec::new(),
            count: BTreeMap::new(),
            wanted: BTreeMap::new(),
            teams: self.team_usage(),
        };
        let booting =
            self.machines.values().filter(|m| m.state == MachineState::Pending && !m.lifecycle.deleting);
        let booting = booting.filter(|m| !self.drains.is_replacement(&m.name));
        for machine in booting {
            let offer = (machine.machine_type.clone(), machine.zone.clone(), machine.spot);
            *plan.count.entry(offer).or_default() += 1;
        }
        for (offer, n) in self.fleet.renting.values() {
            *plan.count.entry(offer.clone()).or_default() += n;
        }
        for (offer, n) in plan.count.clone() {
            if let Some(machine_type) =
                self.types.get(&offer.0).filter(|_| !self.failure_detector.zone_unreachable(&offer.1))
            {
                plan.add(&offer, machine_type.capacity, false, n);
            }
        }
        self.fleet.plan = Some(plan);
    }

    /// Goes on within a budget; rents and returns machines when the queue is through. Returns whether it is.
    pub fn go_on_planning(&mut self) -> bool {
        let Some(mut plan) = self.fleet.plan.take() else { return true };
        let mut steps = 0;
        while steps < self.config.round_steps {
            let Some(job_id) = plan.queue.next() else {
                self.steps += steps as u64;
                self.carry_out_plan(plan);
                return true;
            };
            if let Some(job) = self.jobs.get(&job_id).filter(|j| !j.terminated) {
                self.plan_job(job, &mut plan, &mut steps);
            }
        }
        self.steps += steps as u64;
        self.fleet.plan = Some(plan);
        false
    }

    fn carry_out_plan(&mut self, mut plan: Plan) {
        let kept = self.plan_reserve(&mut plan);
        for (offer, mut count) in plan.wanted {
            // A request names at most so many, and all that are missing are missing now.
            while count > 0 && self.fleet.renting.len() < self.config.rentals_at_once {
                let part = count.min(limits::MAX_MACHINES_PER_RENTAL);
                count -= part;
                self.rent(&offer, part);
            }
        }
        self.return_idle(&kept);
    }

    fn rent(&mut self, offer: &Offer, count: u32) {
        self.fleet.requests += 1;
        let request = self.fleet.requests;
        info!(request, machine_type = offer.0, zone = offer.1, spot = offer.2, count, "rent");
        let kind = if offer.2 { "spot" } else { "ordinary" };
        self.decided(format!("rent {count} {kind} {} in {}", offer.0, offer.1));
        self.fleet.renting.insert(request, (offer.clone(), count));
        let (machine_type, zone, spot) = offer.clone();
        self.effects.push(Effect::Rent { request, name: None, machine_type, zone, spot, count });
    }

    fn offers(
        &self,
        job_type: impl Fn(&str) -> bool,
        zone: impl Fn(&str) -> bool,
        spot: bool,
    ) -> Vec<(f64, Offer)> {
        let mut offers = Vec::new();
        for t in self.types.values().filter(|t| job_type(&t.name)) {
            for z in t.zones.iter().filter(|z| zone(z) && !self.failure_detector.zone_unreachable(z)) {
                if let (true, Some(price)) = (spot, t.spot_price) {
                    offers.push((price, (t.name.clone(), z.clone(), true)));
                }
                offers.push((t.price, (t.name.clone(), z.clone(), false)));
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        offers
    }

    fn plan_job(&self, job: &Job, plan: &mut Plan, steps: &mut usize) {
        let needs = &job.spec.resource_request;
        let mut zones = ZoneCount::of(job, &self.machines);
        let most = self.tasks_within_limit(job, &plan.teams);
        let mut left = (job.progress.pending.len() as u32).min(most);
        // What is coming, machines in use and with the least room first.
        *steps += 1 + plan.coming.len();
        plan.coming.retain(|g| g.count > 0);
        let fits = |g: &Group| {
            needs.fits(&g.room) && job.spec.allows_type(&g.offer.0) && (!g.offer.2 || job.spec.spot)
        };
        let mut fitting: Vec<usize> = (0..plan.coming.len()).filter(|at| fits(&plan.coming[*at])).collect();
        fitting.sort_by_key(|at| (!plan.coming[*at].used, plan.coming[*at].room.gpus));
        for at in fitting {
            if left == 0 {
                break;
            }
            left -= plan.fill(at, job, &mut zones, left);
        }
        if left == 0 {
            return;
        }
        let patient = self.now < job.submitted_at + limits::micros(self.config.operator.spot_patience_s);
        let mut offers = self.offers(|t| job.spec.allows_type(t), |_| true, job.spec.spot);
        offers.retain(|(_, o)| {
            let fits = self.types.get(&o.0).is_some_and(|t| needs.fits(&t.capacity));
            fits && !(job.spec.spot && !o.2 && patient) && !self.refused(o)
        });
        while left > 0 {
            *steps += offers.len();
            // Equal prices: the zone with fewer of the job's tasks, then the one with fewer machines.
            let load = |o: &Offer| plan.count.get(o).copied().unwrap_or(0);
            let open = offers.iter().filter(|(_, o)| zones.tasks_allowed(job, &o.1) > 0);
            let best = open.min_by(|a, b| {
                a.0.total_cmp(&b.0)
                    .then_with(|| (zones.get(&a.1 .1), load(&a.1)).cmp(&(zones.get(&b.1 .1), load(&b.1))))
            });
            let Some((_, offer)) = best else { return };
            let Some(t) = self.types.get(&offer.0) else { return };
            // One task at a time would be fairer to the zones, but a machine that is paid for is filled.
            let each = u32::try_from(needs.count_in(&t.capacity)).unwrap_or(u32::MAX);
            let tasks = left.min(each).min(zones.tasks_allowed(job, &offer.1));
            zones.add_many(&offer.1, tasks);
            left -= tasks;
            *plan.wanted.entry(offer.clone()).or_default() += 1;
            *plan.count.entry(offer.clone()).or_default() += 1;
            plan.add(offer, t.capacity.minus(&needs.times(tasks.into())), true, 1);
        }
    }

    /// Keeps places for critical services in each zone; returns the machines they rest on.
    fn plan_reserve(&self, plan: &mut Plan) -> BTreeSet<String> {
        let mut kept = BTreeSet::new();
        let Some(shape) = self.critical_place() else { return kept };
        for zone in &self.config.zones {
            let mut open = self.headroom_per_zone();
            let mut here: Vec<(&Machine, i64)> = self
                .machines
                .values()
                .filter(|m| self.is_schedulable(m) && !m.spot && m.zone == *zone)
                .map(|m| (m, shape.count_in(&m.available())))
                .filter(|(_, n)| *n > 0)
                .collect();
            // Places on machines that run something anyway cost nothing more.
            here.sort_by_key(|(m, n)| (m.tasks.is_empty(), *n, m.name.clone()));
            for (machine, places) in here {
                if open > 0 {
                    open -= places;
                    kept.insert(machine.name.clone());
                }
            }
            let coming = plan.coming.iter().filter(|g| !g.offer.2 && g.offer.1 == *zone);
            open -= coming.map(|g| shape.count_in(&g.room) * i64::from(g.count)).sum::<i64>();
            while open > 0 {
                let offers = self.offers(|_| true, |z| z == zone, false);
                let fits = offers.into_iter().find(|(_, o)| {
                    !self.refused(o) && self.types.get(&o.0).is_some_and(|t| shape.fits(&t.capacity))
                });
                let Some((_, offer)) = fits else { break };
                let Some(t) = self.types.get(&offer.0) else { break };
                open -= shape.count_in(&t.capacity).max(1);
                *plan.wanted.entry(offer).or_default() += 1;
            }
        }
        kept
    }
}
