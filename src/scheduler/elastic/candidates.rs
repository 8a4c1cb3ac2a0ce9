//! Machines for the tasks of a job, the best ones first.

use super::capacity::FreeCapacity;
use crate::scheduler::model::{Job, Kind, Machine, Priority, Resources};
use crate::scheduler::scoring::{self, ZoneCount};
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;

/// A machine that has room for a task, as `candidates` weighs it.
struct Candidate<'a> {
    /// Kind, coldness, surplus (see `scoring::cost`), and for gangs the wait for its heartbeat: the same for every
    /// further task put there.
    base: [i64; 3],
    emptiness: i64,
    machine: &'a Machine,
    free: Resources,
}

impl Scheduler {
    /// Machines for up to `want` tasks of the job, the best ones first; an entry per task. A machine
    /// that is best stays best until it is full, since each task only makes it fuller; so the candidates
    /// are weighed once, and the zones are compared by their best ones. `now`: only places where its image
    /// is, or can be fetched at once.
    pub fn find(
        &self,
        job: &Job,
        want: u32,
        now: bool,
        capacity: &FreeCapacity,
        steps: &mut usize,
    ) -> Vec<String> {
        let mut zones = ZoneCount::of(job, &self.machines);
        let pinned = if job.spec.one_zone && job.placements.is_empty() {
            match self.best_zone(job, capacity) {
                Some(zone) => Some(zone),
                None => return Vec::new(),
            }
        } else {
            None
        };
        let needs = &job.spec.resource_request;
        let mut reserve = self.reserve_room(capacity, job);
        let mut by_zone: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        let names = self.names_to_weigh(job, want, &capacity.alike, steps).unwrap_or_else(|| {
            *steps += capacity.free.len();
            capacity.free.keys().map(String::as_str).collect()
        });
        for name in names {
            let Some(free) = capacity.free.get(name).filter(|free| needs.fits(free)) else { continue };
            let Some(machine) = self.machines.get(name) else { continue };
            // One under suspicion has nowhere else to go.
            let failed_here = !job.is_suspected() && job.failure_history.machines.contains(name);
            if !scoring::allowed(job, machine)
                || failed_here
                || machine.lifecycle.consolidation_target && job.spec.spot
                || job.spec.priority != Priority::Critical && self.drains.is_kept(name)
                || machine.health.quarantined_until > self.now && job.spec.kind != Kind::Service
                || pinned.as_ref().is_some_and(|z| *z != machine.zone)
            {
                continue;
            }
            let (mut base, emptiness) = scoring::cost(job, machine, free, capacity.fixed_work);
            // It would have to leave again.
            base[2] += i64::from(self.drains.is_targeted(name));
            // All of a gang wait for the last of them: machines whose next heartbeat is due come first.
            if job.spec.kind == Kind::Gang {
                base[2] += 2 * self.heartbeat_due_s(machine);
            }
            // Images that are fetched at the same time share the rate: one after the other, the first is
            // there sooner and the last no later.
            if now && base[1] > 1 {
                continue;
            }
            let candidate = Candidate { base, emptiness, machine, free: *free };
            by_zone.entry(&machine.zone).or_default().push(candidate);
        }
        for candidates in by_zone.values_mut() {
            *steps += candidates.len();
            // The best one last, where it is taken from.
            candidates.sort_unstable_by(|a, b| {
                (b.base, b.emptiness, &b.machine.name).cmp(&(a.base, a.emptiness, &a.machine.name))
            });
        }
        let critical = job.spec.priority == Priority::Critical;
        let mut found = Vec::new();
        while (found.len() as u32) < want {
            *steps += 1;
            let open = by_zone.iter().filter(|(zone, _)| zones.allows(job, zone));
            let best = open
                .filter_map(|(zone, candidates)| candidates.last().map(|c| (*zone, c)))
                .min_by_key(|(zone, c)| {
                    let here = if critical { i64::from(zones.get(zone)) } else { 0 };
                    (c.base, here, c.emptiness, &c.machine.name)
                })
                .map(|(zone, _)| zone);
            let Some(candidates) = best.and_then(|zone| by_zone.get_mut(zone)) else { break };
            let Some(best) = candidates.last_mut() else { break };
            if !reserve.spares(best.machine, &best.free, needs) {
                candidates.pop();
                continue;
            }
            reserve.take(best.machine, &best.free, needs);
            zones.add(&best.machine.zone);
            found.push(best.machine.name.clone());
            best.free = best.free.minus(needs);
            best.emptiness = scoring::emptiness(job, &best.free);
            if !needs.fits(&best.free) {
                candidates.pop();
            }
        }
        found
    }

    /// The zone with most places for a job whose tasks must share one; for a gang the one where the last of its
    /// tasks starts first.
    fn best_zone(&self, job: &Job, capacity: &FreeCapacity) -> Option<String> {
        let mut zones: BTreeMap<&str, Vec<(i64, i64, i64)>> = BTreeMap::new();
        let tasks = i64::from(job.spec.tasks);
        let gang = job.spec.kind == Kind::Gang;
        for (name, free) in &capacity.free {
            if let Some(machine) = self.machines.get(name).filter(|m| scoring::allowed(job, m)) {
                let places = job.spec.resource_request.count_in(free).min(tasks);
                if places > 0 {
                    let due = if gang { self.heartbeat_due_s(machine) } else { 0 };
                    let cold = if gang { machine.image_fetches(&job.spec.image) } else { 0 };
                    zones.entry(&machine.zone).or_default().push((cold, due, places));
                }
            }
        }
        let weigh = |places: &mut Vec<(i64, i64, i64)>| {
            places.sort_unstable();
            let all: i64 = places.iter().map(|(.., n)| n).sum();
            let mut left = tasks;
            let last = places.iter().find(|(.., n)| {
                left -= n;
                left <= 0
            });
            let (cold, due) = last.map_or((i64::MAX, i64::MAX), |(cold, due, _)| (*cold, *due));
            (gang.then_some((std::cmp::Reverse(cold), std::cmp::Reverse(due))), all)
        };
        let weighed = zones.into_iter().map(|(zone, mut places)| (weigh(&mut places), zone));
        weighed.max().map(|(_, zone)| zone.to_string())
    }

    /// Room held back in each zone for critical services, against everyone else's tasks.
    fn reserve_room(&self, capacity: &FreeCapacity, job: &Job) -> Reserve {
        let mut reserve = Reserve { shape: None, spare: BTreeMap::new() };
        let Some(shape) = capacity.shape else { return reserve };
        if job.spec.priority == Priority::Critical {
            return reserve;
        }
        reserve.spare.clone_from(&capacity.critical_places);
        reserve.spare.values_mut().for_each(|n| *n -= capacity.kept);
        reserve.shape = Some(shape);
        reserve
    }
}

struct Reserve {
    shape: Option<Resources>,
    /// Critical places in each zone beyond the reserve.
    spare: BTreeMap<String, i64>,
}

impl Reserve {
    fn cost(&self, free: &Resources, needs: &Resources) -> i64 {
        self.shape.map_or(0, |s| s.count_in(free) - s.count_in(&free.minus(needs)))
    }

    fn spares(&self, machine: &Machine, free: &Resources, needs: &Resources) -> bool {
        if self.shape.is_none() || machine.spot {
            return true;
        }
        let cost = self.cost(free, needs);
        cost <= 0 || cost <= self.spare.get(&machine.zone).copied().unwrap_or(0)
    }

    fn take(&mut self, machine: &Machine, free: &Resources, needs: &Resources) {
        let cost = self.cost(free, needs);
        if let (false, Some(spare)) = (machine.spot, self.spare.get_mut(&machine.zone)) {
            *spare -= cost;
        }
    }
}
