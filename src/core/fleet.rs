//! What to rent, keep, drain and return. Renting follows the queue.

use super::model::*;
use super::place::ZoneCount;
use super::{Core, Effect, ListedMachine, Outcome};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// One kind of machine that the cloud may have: type, zone, spot or not.
pub type Offer = (String, String, bool);

#[derive(Debug, Default)]
pub struct Fleet {
    due: u64,
    requests: u64,
    /// Requests without an answer yet, and how many machines each asks for.
    pub renting: BTreeMap<u64, (Offer, u32)>,
    /// Offers refused: when to ask again, and the pause after that.
    refused: BTreeMap<Offer, (u64, u64)>,
    /// Machines with stops to send directly.
    pub direct: BTreeSet<String>,
    /// Listed machines that a later list no longer shows: since when.
    missing: BTreeMap<String, u64>,
    /// When a replica was last moved.
    pub moved: u64,
    /// Machines that are provably gone; names are never used again.
    pub gone: BTreeSet<String>,
    /// A plan that its budget did not suffice for; the next round goes on with it.
    plan: Option<Plan>,
}

impl Fleet {
    pub fn new(now: u64) -> Self {
        Fleet { due: now, ..Fleet::default() }
    }
}

/// A machine that is not there yet, as the plan fills it.
#[derive(Debug)]
struct Planned {
    offer: Offer,
    room: Resources,
    used: bool,
}

/// The queue packed into what is coming and, beyond that, into new machines.
#[derive(Debug)]
struct Plan {
    queue: std::vec::IntoIter<Uid>,
    planned: Vec<Planned>,
    /// How many machines of each offer are coming or wanted.
    count: BTreeMap<Offer, usize>,
    wanted: BTreeMap<Offer, u32>,
}

impl Core {
    pub fn fleet_round(&mut self) {
        if self.now < self.fleet.due {
            return;
        }
        if self.fleet.plan.is_none() {
            self.account();
            self.delete_lost();
            // Before the machines of the last leader are known, every one of them would look missing.
            if self.settled && !self.types.is_empty() {
                self.mark_surplus();
                self.move_replicas();
                self.begin_plan();
            }
        }
        let complete = self.go_on_planning();
        self.fleet.due = self.now + if complete { limits::FLEET_ROUND } else { limits::FLEET_REST };
    }

    fn offers(
        &self,
        job_type: impl Fn(&str) -> bool,
        zone: impl Fn(&str) -> bool,
        spot: bool,
    ) -> Vec<(f64, Offer)> {
        let mut offers = Vec::new();
        for t in self.types.values().filter(|t| job_type(&t.name)) {
            for z in t.zones.iter().filter(|z| zone(z)) {
                if let (true, Some(price)) = (spot, t.spot_price) {
                    offers.push((price, (t.name.clone(), z.clone(), true)));
                }
                offers.push((t.price, (t.name.clone(), z.clone(), false)));
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        offers
    }

    fn refused(&self, offer: &Offer) -> bool {
        self.fleet.refused.get(offer).is_some_and(|(until, _)| self.now < *until)
    }

    fn begin_plan(&mut self) {
        let queue = self.jobs.values().filter(|j| !j.over && !j.waiting.is_empty());
        let mut queue: Vec<&Job> = queue.filter(|j| j.paused_until <= self.now).collect();
        queue.sort_by_key(|j| (std::cmp::Reverse(self.rank(j)), j.arrived, j.spec.uid));
        let queue: Vec<Uid> = queue.into_iter().map(|j| j.spec.uid).collect();
        let planned = self.coming();
        let mut count = BTreeMap::new();
        planned.iter().for_each(|p| *count.entry(p.offer.clone()).or_default() += 1);
        self.fleet.plan = Some(Plan { queue: queue.into_iter(), planned, count, wanted: BTreeMap::new() });
    }

    /// Packs the queue and the reserve into what is coming and then new machines, within a budget;
    /// rents and returns machines when that is through. Returns whether it is.
    fn go_on_planning(&mut self) -> bool {
        let Some(mut plan) = self.fleet.plan.take() else { return true };
        let mut probes = 0;
        while probes < self.config.round_probes {
            let Some(uid) = plan.queue.next() else {
                self.probes += probes as u64;
                self.carry_out_plan(plan);
                return true;
            };
            if let Some(job) = self.jobs.get(&uid).filter(|j| !j.over) {
                self.plan_job(job, &mut plan, &mut probes);
            }
        }
        self.probes += probes as u64;
        self.fleet.plan = Some(plan);
        false
    }

    fn carry_out_plan(&mut self, mut plan: Plan) {
        let kept = self.plan_reserve(&mut plan);
        for (offer, count) in plan.wanted {
            if self.fleet.renting.values().any(|(o, _)| *o == offer) {
                continue;
            }
            let count = count.min(limits::RENT_MOST);
            self.fleet.requests += 1;
            let request = self.fleet.requests;
            info!(request, machine_type = offer.0, zone = offer.1, spot = offer.2, count, "rent");
            let kind = if offer.2 { "spot" } else { "ordinary" };
            self.decided(format!("rent {count} {kind} {} in {}", offer.0, offer.1));
            self.fleet.renting.insert(request, (offer.clone(), count));
            let (machine_type, zone, spot) = offer;
            self.effects.push(Effect::Rent { request, machine_type, zone, spot, count });
        }
        self.return_idle(&kept);
    }

    fn coming(&self) -> Vec<Planned> {
        let booting = self
            .machines
            .values()
            .filter(|m| m.phase == Phase::Expected && !m.deleting)
            .map(|m| (m.machine_type.clone(), m.zone.clone(), m.spot));
        let asked = self
            .fleet
            .renting
            .values()
            .flat_map(|(offer, n)| std::iter::repeat_n(offer.clone(), *n as usize));
        booting
            .chain(asked)
            .filter_map(|offer| {
                let room = self.types.get(&offer.0)?.has;
                Some(Planned { offer, room, used: false })
            })
            .collect()
    }

    fn plan_job(&self, job: &Job, plan: &mut Plan, probes: &mut usize) {
        let needs = &job.spec.needs;
        let mut zones = ZoneCount::of(job, &self.machines);
        let limited = self.team_limited(&job.spec.team);
        let most = if limited { self.team_room(job) } else { u32::MAX };
        let mut left = (job.waiting.len() as u32).min(most);
        // What is coming, machines in use and with the least room first.
        *probes += 1 + plan.planned.len();
        let mut fitting: Vec<&mut Planned> = plan
            .planned
            .iter_mut()
            .filter(|p| {
                needs.fits(&p.room) && job.spec.allows_type(&p.offer.0) && (!p.offer.2 || job.spec.spot)
            })
            .collect();
        fitting.sort_by_key(|p| (!p.used, p.room.gpus));
        for p in fitting {
            while left > 0 && needs.fits(&p.room) && zones.allows(job, &p.offer.1) {
                p.room = p.room.minus(needs);
                p.used = true;
                zones.add(&p.offer.1);
                left -= 1;
            }
        }
        if left == 0 {
            return;
        }
        let patient = self.now < job.arrived + limits::micros(self.config.operator.spot_patience_s);
        let mut offers = self.offers(|t| job.spec.allows_type(t), |_| true, job.spec.spot);
        offers.retain(|(_, o)| {
            let fits = self.types.get(&o.0).is_some_and(|t| needs.fits(&t.has));
            fits && !(job.spec.spot && !o.2 && patient) && !self.refused(o)
        });
        while left > 0 {
            *probes += offers.len();
            // Equal prices: the zone with fewer of the job's tasks, then the one with fewer machines.
            let load = |o: &Offer| plan.count.get(o).copied().unwrap_or(0);
            let open = offers.iter().filter(|(_, o)| zones.allows(job, &o.1));
            let best = open.min_by(|a, b| {
                a.0.total_cmp(&b.0)
                    .then_with(|| (zones.get(&a.1 .1), load(&a.1)).cmp(&(zones.get(&b.1 .1), load(&b.1))))
            });
            let Some((_, offer)) = best else { return };
            let Some(t) = self.types.get(&offer.0) else { return };
            let mut room = t.has;
            // One task at a time would be fairer to the zones, but a machine that is paid for is filled.
            while left > 0 && needs.fits(&room) && zones.allows(job, &offer.1) {
                room = room.minus(needs);
                zones.add(&offer.1);
                left -= 1;
            }
            *plan.wanted.entry(offer.clone()).or_default() += 1;
            *plan.count.entry(offer.clone()).or_default() += 1;
            plan.planned.push(Planned { offer: offer.clone(), room, used: true });
        }
    }

    /// Keeps places for critical services in each zone; returns the machines they rest on.
    fn plan_reserve(&self, plan: &mut Plan) -> BTreeSet<String> {
        let mut kept = BTreeSet::new();
        let Some(shape) = self.critical_shape() else { return kept };
        for zone in &self.config.zones {
            let mut open = self.reserve_places();
            let mut here: Vec<(&Machine, i64)> = self
                .machines
                .values()
                .filter(|m| self.usable(m) && !m.spot && m.zone == *zone)
                .map(|m| (m, shape.count_in(&m.free())))
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
            for p in plan.planned.iter_mut().filter(|p| !p.offer.2 && p.offer.1 == *zone) {
                let places = shape.count_in(&p.room);
                if open > 0 && places > 0 {
                    open -= places;
                    p.used = true;
                }
            }
            while open > 0 {
                let offers = self.offers(|_| true, |z| z == zone, false);
                let fits = offers.into_iter().find(|(_, o)| {
                    !self.refused(o) && self.types.get(&o.0).is_some_and(|t| shape.fits(&t.has))
                });
                let Some((_, offer)) = fits else { break };
                let Some(t) = self.types.get(&offer.0) else { break };
                open -= shape.count_in(&t.has).max(1);
                *plan.wanted.entry(offer).or_default() += 1;
            }
        }
        kept
    }

    fn return_idle(&mut self, kept: &BTreeSet<String>) {
        let now = self.now;
        let operator = self.config.operator.clone();
        let mut back = Vec::new();
        for machine in self.machines.values_mut().filter(|m| m.phase == Phase::Up && !m.deleting) {
            if !machine.tasks.is_empty() || !machine.foreign.is_empty() {
                machine.idle_since = now;
                continue;
            }
            // A result that is not committed yet is only here.
            if !machine.exited.is_empty() {
                continue;
            }
            let wait = if machine.spot { operator.idle_spot_s } else { operator.idle_s };
            let idle = now >= machine.idle_since + limits::micros(wait) && !kept.contains(&machine.name);
            if idle || machine.draining {
                back.push(machine.name.clone());
            }
        }
        self.delete(back, "idle");
    }

    /// Machines that are lost, failed to boot, or are silent or deaf while the others are not.
    fn delete_lost(&mut self) {
        let now = self.now;
        let silent = limits::silent(self.config.workers.report_s);
        // A machine of the last leader's that does not come to this one counts too: while it may hold
        // anything, no task of an inherited job starts.
        let unsettled = |m: &&Machine| m.inherited && !m.settled && m.phase == Phase::Expected;
        let up: Vec<&Machine> = self.machines.values().filter(|m| m.phase == Phase::Up).collect();
        let missing: Vec<&Machine> = self.machines.values().filter(unsettled).collect();
        let mut back = Vec::new();
        let early = now < self.started + silent.max(limits::COMES_LATE);
        // Those that have not come have no way yet: they are judged against all that have.
        let share = limits::SILENT_SHARE * (up.len() + missing.len()) as f64;
        if !early && (missing.len() <= 2 || missing.len() as f64 <= share) {
            back.extend(missing.iter().filter(|m| !m.deleting).map(|m| m.name.clone()));
        }
        // By the way they report: many that fall silent together there have lost that way, not themselves.
        let ways: BTreeSet<Option<usize>> = up.iter().map(|m| m.via).collect();
        for way in ways {
            let here: Vec<&&Machine> = up.iter().filter(|m| m.via == way).collect();
            let patience = if self.way_lost(way, &here) {
                // Their holder may answer them for its lease, and they may hang at two nodes afterwards.
                self.config.block_lease + limits::COMES_LATE
            } else {
                silent
            };
            let quiet = |m: &&Machine| now >= m.heard + patience || m.unheard >= limits::UNHEARD_DEAF;
            let silent_now: Vec<&&Machine> = here.iter().copied().filter(|m| quiet(m)).collect();
            let share = limits::SILENT_SHARE * here.len() as f64;
            let together = silent_now.len() > 2 && silent_now.len() as f64 > share;
            if !together && !early {
                back.extend(silent_now.iter().filter(|m| !m.deleting).map(|m| m.name.clone()));
            }
        }
        for machine in self.machines.values().filter(|m| !m.deleting) {
            let never_up = machine.phase == Phase::Expected && now >= machine.boot_give_up;
            if never_up || machine.phase == Phase::Lost {
                back.push(machine.name.clone());
            }
        }
        self.delete(back, "lost, silent, deaf or never up");
    }

    /// Whether reports have stopped coming this way: the first machines to be missed would otherwise be
    /// given up one by one before the others are.
    fn way_lost(&self, way: Option<usize>, machines: &[&&Machine]) -> bool {
        let out_of_touch = way.and_then(|node| self.out_of_touch.get(&node));
        if out_of_touch.is_some_and(|last| self.now < last + limits::COMES_LATE) {
            return true;
        }
        let latest = machines.iter().map(|m| m.heard).max().unwrap_or(0);
        let many = machines.len() as u64;
        let interval = limits::micros(self.config.workers.report_s) / many.max(1);
        many > 2 && self.now >= latest + limits::WAY_SILENT + 3 * interval
    }

    fn delete(&mut self, names: Vec<String>, why: &str) {
        for chunk in names.chunks(limits::DELETE_MOST) {
            for name in chunk {
                if let Some(machine) = self.machines.get_mut(name) {
                    info!(machine = name, why, "return");
                    machine.deleting = true;
                }
                self.decided(format!("return {name}: {why}"));
            }
            self.effects.push(Effect::Delete(chunk.to_vec()));
        }
    }

    pub fn deleted(&mut self, names: Vec<String>, outcome: Outcome) {
        for name in names {
            if outcome != Outcome::Done {
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.deleting = false;
                }
                continue;
            }
            // The cloud's 200 is proof: the machine and everything on it are gone.
            self.clear_machine(&name);
            self.fleet.gone.insert(name.clone());
            self.machines.remove(&name);
            self.unrecord(&name);
        }
    }

    pub fn rented(&mut self, request: u64, machines: Option<Vec<String>>, outcome: Outcome) {
        let Some((offer, count)) = self.fleet.renting.remove(&request) else { return };
        let names = machines.unwrap_or_default();
        if outcome == Outcome::Refused || (names.len() as u32) < count {
            let (_, pause) =
                self.fleet.refused.get(&offer).copied().unwrap_or((0, limits::REFUSED_PAUSE / 2));
            let pause = (pause * 2).min(limits::REFUSED_PAUSE_MAX);
            debug!(
                machine_type = offer.0,
                zone = offer.1,
                spot = offer.2,
                pause_s = pause / limits::SECOND,
                "refused"
            );
            self.fleet.refused.insert(offer.clone(), (self.now + pause, pause));
        } else {
            self.fleet.refused.remove(&offer);
        }
        for name in names {
            let (machine_type, zone, spot) = offer.clone();
            self.machine(&super::StoredMachine {
                name,
                machine_type,
                zone,
                spot,
                address: String::new(),
                images: BTreeSet::new(),
            });
        }
    }

    pub fn listed(&mut self, list: Vec<ListedMachine>) {
        let mut shown = BTreeSet::new();
        let mut failed = Vec::new();
        for listed in list {
            shown.insert(listed.machine.name.clone());
            let name = &listed.machine.name;
            let known = self.machines.contains_key(name) || self.fleet.gone.contains(name);
            if !known && self.loaded {
                // A late rental, or one of an earlier leader's: used, or returned when idle.
                debug!(machine = listed.machine.name, "listed and not known: adopted");
                let now = self.now;
                let machine = self.machine(&listed.machine);
                let age = limits::micros(listed.age_s);
                machine.boot_give_up =
                    machine.boot_give_up.saturating_sub(age).max(now + 10 * limits::SECOND);
            }
            if listed.failed {
                failed.push(listed.machine.name);
            }
        }
        failed.retain(|n| self.machines.get(n).is_some_and(|m| !m.deleting));
        self.delete(failed, "failed");
        // The last leader had heard from it, and the list shows it no more: most likely it was taken, and
        // the cloud's word on its deletion lets the work that it may have held start at once.
        let vanished: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.inherited && !m.settled && m.phase == Phase::Expected && !m.deleting)
            .filter(|m| !shown.contains(&m.name))
            .map(|m| m.name.clone())
            .collect();
        self.delete(vanished, "held by the last leader and not listed");
        // Silent and missing from the lists for several lags: taken by the cloud.
        let lag = limits::micros(self.config.list_lag_s * 4.0) + 10 * limits::SECOND;
        let now = self.now;
        let mut gone = Vec::new();
        for machine in self.machines.values() {
            let silent = now >= machine.heard + limits::silent(self.config.workers.report_s);
            if shown.contains(&machine.name) || !silent || machine.deleting {
                self.fleet.missing.remove(&machine.name);
                continue;
            }
            let since = *self.fleet.missing.entry(machine.name.clone()).or_insert(now);
            if now >= since + lag && now >= machine.known_since + lag {
                gone.push(machine.name.clone());
            }
        }
        self.delete(gone, "not listed any more");
    }
}

impl Core {
    /// For the operators' log: how the fleet stands.
    pub fn fleet_line(&self) -> String {
        let count = |f: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| f(m)).count();
        let waiting: usize = self.jobs.values().map(|j| j.waiting.len()).sum();
        let placed: usize = self.machines.values().map(|m| m.tasks.len()).sum();
        format!(
            "ordinary {} spot {} expected {} lost {} tasks placed {} waiting {} jobs {}",
            count(&|m| m.phase == Phase::Up && !m.spot),
            count(&|m| m.phase == Phase::Up && m.spot),
            count(&|m| m.phase == Phase::Expected),
            count(&|m| m.phase == Phase::Lost),
            placed,
            waiting,
            self.jobs.len()
        )
    }

    /// Whether any machine could ever run the job: None while the types are not known.
    pub fn fits_some_type(job: &JobSpec, types: &BTreeMap<String, MachineType>) -> bool {
        types.values().any(|t| {
            job.allows_type(&t.name) && job.needs.fits(&t.has) && t.zones.iter().any(|z| job.allows_zone(z))
        })
    }
}
