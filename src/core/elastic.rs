//! The elastic pass of the paper (figures 2 and 3) with the changes of DESIGN-dockpier.md.
//!
//! Jobs are taken by aged priority, earlier first. One that waits starts at the smaller of its
//! maximum width and the free slots, if that reaches its minimum. Otherwise lower jobs outside the
//! rescale gap are shrunk, lowest first and never below their minimum, and only if together they
//! free the newcomer's minimum; that room counts once the workers confirm.

use super::model::{Job, JobId, Kind, Machine, Priority, Resources, TaskId};
use super::place::{self, ZoneCount};
use super::teams::TeamUsage;
use super::Core;
use crate::limits;
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::debug;

const GAP: &str = "rescale gap";

/// Free room per machine as a round fills it, and what all jobs of the round ask for alike: worked out
/// once a round, since a look at every machine for every job does not scale.
#[derive(Clone)]
pub struct FreeCapacity {
    /// Machines with room for the smallest waiting task; the others take nobody.
    free: BTreeMap<String, Resources>,
    /// Room that stops under way will give, by machine.
    pending: BTreeMap<String, Resources>,
    /// Tasks of each job that were told to stop.
    stopping: BTreeMap<JobId, u32>,
    /// The largest shape among critical jobs and the places of it kept free in each zone.
    shape: Option<Resources>,
    kept: i64,
    /// The least important class of which an array holds anything.
    lowest: Option<Priority>,
    /// In which order jobs yield, worked out when somebody asks for it.
    yielding: Option<Arc<[JobId]>>,
    /// Some job may not use spot machines.
    fixed_work: bool,
    /// What each team uses.
    pub(super) teams: TeamUsage,
}

impl FreeCapacity {
    fn take(&mut self, machine: &Machine, needs: &Resources) {
        let free = self.free.entry(machine.name.clone()).or_insert_with(|| machine.free());
        *free = free.minus(needs);
    }

    /// Only so much of a machine's room is free to everybody.
    pub(super) fn limit(&mut self, machine: &Machine, room: Resources) {
        if let Some(free) = self.free.get_mut(&machine.name) {
            *free = room;
        }
    }

    /// The room there will be once every stop under way is confirmed.
    fn soon(&self, machines: &BTreeMap<String, Machine>) -> FreeCapacity {
        let mut soon = self.clone();
        for (name, pending) in &self.pending {
            if let Some(machine) = machines.get(name) {
                let free = soon.free.entry(name.clone()).or_insert_with(|| machine.free());
                *free = free.plus(pending);
            }
        }
        soon
    }
}

/// A machine that has room for a task, as `find` weighs it.
struct Candidate<'a> {
    /// Kind, coldness, surplus (see `place::cost`), and for gangs the wait for its report: the same for every
    /// further task put there.
    base: [i64; 3],
    emptiness: i64,
    machine: &'a Machine,
    free: Resources,
}

impl Core {
    /// Aged rank: the priority class plus the share of a class that its age has earned, in thousandths.
    /// Every job ages from its arrival: were only waiting ones to age, a newcomer would pass earlier jobs
    /// that still grow, and a job short of its width would yield after an earlier one that has all.
    ///
    /// A deadline makes a job age faster, by one class until it falls due; one that is late already leaves
    /// the room to those that can still be in time. Either rate goes by the work that is left: when more waits
    /// than can be served, first come first served makes all alike late, and the short ones are the many. A
    /// job of which nothing has begun for long ages fastest, so that the widest are not put off for ever.
    pub fn rank(&self, job: &Job) -> u64 {
        let rank = self.plain_rank(job, self.size(job));
        if job.begun() || job.spec.priority == Priority::Critical {
            return rank;
        }
        rank.max(self.aged(job, job.arrived + limits::BEGIN_AFTER, limits::BEGIN_AGING))
    }

    fn plain_rank(&self, job: &Job, size: f64) -> u64 {
        if job.spec.priority == Priority::Critical {
            return Priority::Critical as u64 * 1000;
        }
        let age = self.now.saturating_sub(job.arrived);
        let aging = limits::micros(self.config.operator.aging_s);
        let due = job.spec.deadline_s.map(limits::micros).filter(|due| *due > 0 && age <= *due);
        let aging = due.map_or(aging, |due| aging.min(due)) as f64 * size;
        self.aged(job, job.arrived, (aging as u64).max(1))
    }

    /// How much work is left of a job, as a multiple of what a job brings on average now.
    fn size(&self, job: &Job) -> f64 {
        if self.typical_work <= 0.0 {
            return 1.0;
        }
        let size = job.work(job.unfinished()) / self.typical_work;
        size.clamp(1.0 / limits::SIZE_RANGE, limits::SIZE_RANGE)
    }

    fn note_typical_work(&mut self) {
        let elastic = self.jobs.values().filter(|j| !j.over && j.spec.kind != Kind::Service);
        let works: Vec<f64> = elastic.map(|j| j.work(j.spec.tasks)).collect();
        self.typical_work = works.iter().sum::<f64>() / works.len().max(1) as f64;
    }

    /// The rank of a job that gains a class in `aging` from `since` on; age never lifts anybody above
    /// critical services.
    fn aged(&self, job: &Job, since: u64, aging: u64) -> u64 {
        let age = self.now.saturating_sub(since);
        (job.spec.priority as u64 * 1000 + age * 1000 / aging).min(Priority::Critical as u64 * 1000 - 1)
    }

    fn in_gap(&self, job: &Job) -> bool {
        job.rescaled > 0 && self.now < job.rescaled + limits::micros(self.config.operator.rescale_gap_s)
    }

    /// The order in which jobs yield: lowest class with its age first, the latest first on ties. The work that
    /// is left does not count here: it would make the long jobs feed everybody else.
    fn yielding(&self) -> Arc<[JobId]> {
        let running = self.jobs.values().filter(|j| !j.over && !j.places.is_empty());
        let mut order: Vec<_> = running
            .map(|j| (self.plain_rank(j, 1.0), std::cmp::Reverse((j.arrived, j.version)), j.spec.job_id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, job_id)| job_id).collect()
    }

    /// The order of a round: highest aged priority first, earlier first on ties.
    fn order(&self) -> Vec<JobId> {
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|j| !j.over && (!j.waiting.is_empty() || !j.places.is_empty()))
            .map(|j| (std::cmp::Reverse(self.rank(j)), j.arrived, j.version, j.spec.job_id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, _, job_id)| job_id).collect()
    }

    /// What the jobs of a round have in common, and the machines with room for any of them.
    fn capacity(&mut self, order: &[JobId], steps: &mut usize) -> FreeCapacity {
        self.note_unreconciled();
        let jobs = || order.iter().filter_map(|job_id| self.jobs.get(job_id));
        let least = jobs().filter(|j| !j.waiting.is_empty()).map(|j| j.spec.needs).reduce(|a, b| a.least(&b));
        let mut capacity = FreeCapacity {
            free: BTreeMap::new(),
            pending: BTreeMap::new(),
            stopping: BTreeMap::new(),
            shape: self.critical_shape(),
            kept: self.reserve_places(),
            lowest: jobs()
                .filter(|j| j.spec.kind == Kind::Array && !j.places.is_empty())
                .map(|j| j.spec.priority)
                .min(),
            yielding: None,
            fixed_work: self.jobs.values().any(|j| !j.over && !j.spec.spot),
            teams: self.team_usage(),
        };
        for machine in self.machines.values() {
            *steps += 1;
            for (id, task) in &machine.tasks {
                if task.stopping.is_some() {
                    *capacity.stopping.entry(id.job_id).or_default() += 1;
                }
            }
            if !self.usable(machine) {
                continue;
            }
            let free = machine.free();
            if least.is_some_and(|least| least.fits(&free)) {
                capacity.free.insert(machine.name.clone(), free);
            }
            let pending = machine.free_soon(self.now).minus(&free);
            if pending != Resources::default() {
                capacity.pending.insert(machine.name.clone(), pending);
            }
        }
        capacity
    }

    /// One round within its budget of decision steps. What it could not reach is taken up by the next round.
    pub fn round(&mut self) {
        self.note_typical_work();
        let order = self.order();
        let mut steps = 0;
        let mut capacity = self.capacity(&order, &mut steps);
        self.keep_places(&mut capacity);
        self.place_moved(&mut capacity);
        // The look at every machine is the fixed price of a round; the budget is for the jobs.
        let jobs = limits::ROUND_JOBS * self.machines.len();
        let budget = steps + self.config.round_steps.max(jobs);
        let start = self.cursor.and_then(|job_id| order.iter().position(|u| *u == job_id)).unwrap_or(0);
        self.cursor = None;
        for job_id in &order[start..] {
            if steps >= budget {
                self.cursor = Some(*job_id);
                debug!(job = %job_id, "round out of budget, goes on here");
                break;
            }
            steps += 1;
            self.consider(*job_id, false, &mut capacity, &mut steps);
        }
        // Room that no job outside the gap takes would lie idle: it goes to those inside.
        for job_id in order {
            let in_gap = self.jobs.get(&job_id).is_some_and(|j| j.waits_for == GAP && !j.waiting.is_empty());
            if in_gap && steps < budget && !capacity.free.is_empty() {
                self.consider(job_id, true, &mut capacity, &mut steps);
            }
        }
        self.steps += steps as u64;
        let idle = if self.cursor.is_some() { 0 } else { limits::ROUND_IDLE };
        let rest = limits::round_rest(steps, self.config.cpu_share);
        self.round_from = self.now + rest;
        self.round_due = self.now + rest.max(idle);
    }

    pub fn wait(&mut self, job_id: JobId, why: &'static str) {
        if let Some(job) = self.jobs.get_mut(&job_id) {
            if job.waits_for != why {
                debug!(job = %job_id, why, waiting = job.waiting.len(), "waits");
                job.waits_for = why;
            }
        }
    }

    fn consider(&mut self, job_id: JobId, leftover: bool, capacity: &mut FreeCapacity, steps: &mut usize) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        if job.waiting.is_empty() {
            return;
        }
        if job.paused_until > self.now {
            return self.wait(job_id, "its tasks failed");
        }
        // A task of an earlier leader's may be on a machine that has not reported yet, if it is one that
        // the job may use at all.
        if job.inherited && !self.reconciled_for(job) {
            return self.wait(job_id, "machines of the last leader have not reported");
        }
        let held = job.places.len() as u32;
        // A gang starts only whole.
        if job.spec.kind == Kind::Gang && held > 0 {
            return self.mend_gang(job_id, capacity, steps);
        }
        let running = held.saturating_sub(capacity.stopping.get(&job_id).copied().unwrap_or(0));
        let fresh = held == 0;
        // Width is kept without regard to the gap; growth beyond it waits for the gap to pass.
        let target = if fresh || leftover || !self.in_gap(job) {
            job.unfinished()
        } else {
            job.width.max(job.minimum())
        };
        let want = target.saturating_sub(held).min(job.waiting.len() as u32);
        if want == 0 {
            return self.wait(job_id, GAP);
        }
        let want = want.min(self.team_room(job, &capacity.teams));
        // What only its wait for a beginning has earned is a beginning; more comes by its plain rank.
        let hurried = !leftover
            && job.spec.kind == Kind::Array
            && self.rank(job) > self.plain_rank(job, self.size(job));
        let want = if hurried { want.min(job.minimum()) } else { want };
        // A gang within whose team's limit only a part of it fits would start in part, be stopped as
        // incomplete, and keep others out with it, again and again.
        if want == 0 || held + want < job.admission() {
            return self.wait(job_id, "team limit");
        }
        let patient = self.now < job.arrived.max(job.rescaled) + limits::FETCH_PATIENCE;
        let found = self.find(job, want, patient, capacity, steps);
        if !found.is_empty() && held + found.len() as u32 >= job.admission().min(held + want) {
            if found.len() as u32 + running > job.width {
                let now = self.now;
                if let Some(job) = self.jobs.get_mut(&job_id) {
                    job.width = found.len() as u32 + running;
                    job.rescaled = now;
                }
            }
            let attempt = self.next_attempt();
            for machine in found {
                self.assign(job_id, &machine, attempt, capacity);
            }
            if self.jobs.get(&job_id).is_none_or(|j| j.waiting.is_empty()) {
                return;
            }
            self.wait(job_id, "no further free slot");
            if self.jobs.get(&job_id).is_some_and(|j| j.spec.kind != Kind::Service) {
                return;
            }
        }
        if leftover {
            return;
        }
        let Some(job) = self.jobs.get(&job_id) else { return };
        let held = job.places.len() as u32;
        let missing = job.minimum().saturating_sub(held).max(1).min(job.waiting.len() as u32);
        let service = job.spec.kind == Kind::Service;
        if !self.shrink_for(job_id, missing, capacity, steps) && service && missing > 1 {
            // Its replicas serve each by itself: one is better than none.
            self.shrink_for(job_id, 1, capacity, steps);
        }
    }

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
        *steps += capacity.free.len();
        let mut zones = ZoneCount::of(job, &self.machines);
        let pinned = if job.spec.one_zone && job.places.is_empty() {
            match self.best_zone(job, capacity) {
                Some(zone) => Some(zone),
                None => return Vec::new(),
            }
        } else {
            None
        };
        let needs = &job.spec.needs;
        let mut reserve = self.reserve_room(capacity, job);
        let mut by_zone: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for (name, free) in &capacity.free {
            let Some(machine) = self.machines.get(name).filter(|_| needs.fits(free)) else { continue };
            // One under suspicion has nowhere else to go.
            let failed_here = !job.is_suspected() && job.failed_on.contains(name);
            if !place::allowed(job, machine)
                || failed_here
                || machine.surplus && job.spec.spot
                || job.spec.priority != Priority::Critical && self.drains.is_kept(name)
                || machine.slow_until > self.now && job.spec.kind != Kind::Service
                || pinned.as_ref().is_some_and(|z| *z != machine.zone)
            {
                continue;
            }
            let (mut base, emptiness) = place::cost(job, machine, free, capacity.fixed_work);
            // It would have to leave again.
            base[2] += i64::from(self.drains.is_targeted(name));
            // All of a gang wait for the last of them: machines whose next report is due come first.
            if job.spec.kind == Kind::Gang {
                base[2] += 2 * self.report_due_s(machine);
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
            best.emptiness = place::emptiness(job, &best.free);
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
            if let Some(machine) = self.machines.get(name).filter(|m| place::allowed(job, m)) {
                let places = job.spec.needs.count_in(free).min(tasks);
                if places > 0 {
                    let due = if gang { self.report_due_s(machine) } else { 0 };
                    let cold = if gang { machine.fetches(&job.spec.image) } else { 0 };
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

    /// Stops the newest tasks of lower jobs, lowest first, if together that frees `missing` slots.
    /// Returns whether that room is under way.
    fn shrink_for(
        &mut self,
        job_id: JobId,
        missing: u32,
        capacity: &mut FreeCapacity,
        steps: &mut usize,
    ) -> bool {
        let Some(job) = self.jobs.get(&job_id) else { return false };
        let needs = job.spec.needs;
        // Room that stops under way will free counts as found, so that nobody shrinks twice for it.
        let soon = capacity.soon(&self.machines);
        // So does room whose machine is fetching for somebody else.
        let coming = self.find(job, missing, false, &soon, steps);
        if coming.len() as u32 >= missing {
            // Hold the room for this job: nobody later in the round may take it.
            coming.iter().filter_map(|m| self.machines.get(m)).for_each(|m| capacity.take(m, &needs));
            self.wait(job_id, "stops or a fetch under way");
            return true;
        }
        let may_any = capacity.lowest.is_some_and(|lowest| lowest < job.spec.priority)
            || self.within_guarantee(&job.spec.team, &needs, &capacity.teams);
        if !may_any {
            self.wait(job_id, "no free slot, and nobody below it runs");
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
            self.wait(job_id, "no free slot, and lower jobs cannot yield its minimum");
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
                victim.rescaled = now;
                victim.width = victim.width.saturating_sub(1).max(victim.minimum());
                let freed = capacity.pending.entry(machine.clone()).or_default();
                *freed = freed.plus(&victim.spec.needs);
                capacity.teams.stop(&victim.spec.team, &victim.spec.needs);
                *capacity.stopping.entry(id.job_id).or_default() += 1;
            }
            self.stop(&machine, id, grace);
        }
        self.wait(job_id, "stops under way");
        true
    }

    /// Tasks of lower jobs to stop, lowest job first and its newest task first, until `missing` places
    /// are found. `gap`, `minimum`: whether the rescale gap and the victims' minimum protect them.
    fn victims(
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
            if victim.places.is_empty() || gap && self.in_gap(victim) {
                continue;
            }
            let mut running: Vec<_> = self
                .placed(victim)
                .filter(|(_, _, t)| t.stopping.is_none())
                .map(|(id, name, t)| (t.since, id, name))
                .collect();
            running.sort();
            let floor = if minimum { victim.minimum() } else { 0 };
            // Each stop brings the victim's team nearer to its guarantee.
            while running.len() as u32 > floor && self.may_preempt(job, victim, &soon.teams) {
                let Some((_, id, name)) = running.pop() else { break };
                *steps += 1;
                let Some(machine) = self.machines.get(name).filter(|m| self.usable(m)) else { continue };
                // A stop that cannot help the newcomer would be for nothing.
                if !place::allowed(job, machine) {
                    continue;
                }
                let free = soon.free.entry(name.to_string()).or_insert_with(|| machine.free());
                *free = free.plus(&victim.spec.needs);
                soon.teams.stop(&victim.spec.team, &victim.spec.needs);
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
    fn may_preempt(&self, job: &Job, victim: &Job, teams: &TeamUsage) -> bool {
        if victim.spec.job_id == job.spec.job_id || victim.spec.kind != Kind::Array {
            return false;
        }
        let higher = job.spec.priority > victim.spec.priority;
        if job.spec.team == victim.spec.team {
            return higher;
        }
        let guaranteed = self.within_guarantee(&job.spec.team, &job.spec.needs, teams);
        let victim_guaranteed = self.within_guarantee(&victim.spec.team, &Resources::default(), teams);
        // Without the second condition borrowed capacity went back and forth: what a team got back within its
        // guarantee was stopped again for a job of a higher class that its own team's guarantee did not cover.
        // Critical jobs are beyond that: nobody stops them, so nothing goes back and forth.
        let protected = victim_guaranteed && !guaranteed && job.spec.priority != Priority::Critical;
        guaranteed && !victim_guaranteed || higher && !protected
    }

    pub fn assign(&mut self, job_id: JobId, machine: &str, attempt: u64, capacity: &mut FreeCapacity) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let Some(task) = job.waiting.pop_first() else { return };
        job.places.entry(task).or_default().push(machine.into());
        let (needs, image) = (job.spec.needs, job.spec.image.clone());
        capacity.teams.add(&job.spec.team, &needs);
        if let Some(machine) = self.machines.get(machine) {
            capacity.take(machine, &needs);
        }
        self.place_on(machine, TaskId { job_id, task }, needs, image, attempt);
    }

    /// Room held back in each zone for critical services, against everyone else's tasks.
    fn reserve_room(&self, capacity: &FreeCapacity, job: &Job) -> Reserve {
        let mut reserve = Reserve { shape: None, spare: BTreeMap::new() };
        let Some(shape) = capacity.shape else { return reserve };
        if job.spec.priority == Priority::Critical {
            return reserve;
        }
        for (name, free) in &capacity.free {
            if let Some(machine) = self.machines.get(name).filter(|m| !m.spot) {
                *reserve.spare.entry(machine.zone.clone()).or_default() += shape.count_in(free);
            }
        }
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
