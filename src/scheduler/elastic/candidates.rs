//! Machines for the tasks of a job: filter, score, assign.
//!
//! It only names machines. Whether the job may start is decided in `admission`, and placements are reserved there.
//!
//! A machine that is best stays best until it is full, since each task only makes it fuller. So machines are filtered
//! and scored once, and the zones are compared by their best ones for each task.

use super::capacity::FreeCapacity;
use super::headroom_guard::HeadroomGuard;
use super::zone_choice::ZoneChoice;
use crate::scheduler::model::{Job, Kind, Machine, Priority, Resources};
use crate::scheduler::scoring::{self, Score, ZoneCount};
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;

/// Whether a task may go where its image would be fetched beside another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::scheduler) enum SharedFetch {
    /// Images that are fetched at the same time share the rate: fetched one after the other, the first is there
    /// sooner and the last no later (exception 6 of `docs/design.md`).
    Avoid,
    /// A fetch may be shared.
    Allow,
}

/// What machines are looked for.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a Job,
    /// The most of its tasks that get a machine.
    pub tasks: u32,
    /// Whether a fetch may be shared.
    pub shared_fetch: SharedFetch,
}

/// A machine that has passed the filter, with its score.
struct Candidate<'a> {
    score: Score,
    /// Best fit: what a further task would leave; see [`scoring::remainder`].
    remainder: i64,
    machine: &'a Machine,
    available: Resources,
}

impl Scheduler {
    /// Names of machines for the tasks of the request, the best first; one entry for each task that found room. What
    /// figure 2 of the paper counts as free slots are places that fit a task here.
    pub(in crate::scheduler) fn find_machines(
        &self,
        request: PlacementRequest<'_>,
        capacity: &FreeCapacity,
        steps: &mut usize,
    ) -> Vec<String> {
        let zone_choice = self.choose_zone(request.job, capacity);
        if zone_choice == ZoneChoice::Nowhere {
            return Vec::new();
        }
        let by_zone = self.filter_and_score(request, &zone_choice, capacity, steps);
        let mut pool = CandidatePool {
            job: request.job,
            by_zone,
            zones: ZoneCount::of(request.job, &self.machines),
            headroom: HeadroomGuard::new(request.job, capacity),
        };
        pool.sort(steps);
        pool.assign(request.tasks, steps)
    }

    fn filter_and_score<'a>(
        &'a self,
        request: PlacementRequest<'_>,
        zone_choice: &ZoneChoice,
        capacity: &'a FreeCapacity,
        steps: &mut usize,
    ) -> BTreeMap<&'a str, Vec<Candidate<'a>>> {
        let job = request.job;
        let names =
            self.names_to_evaluate(job, request.tasks, &capacity.classes, steps).unwrap_or_else(|| {
                *steps += capacity.available.len();
                capacity.available.keys().map(String::as_str).collect()
            });
        let mut by_zone: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for name in names {
            let available = capacity.available.get(name);
            let Some(available) = available.filter(|room| job.spec.resource_request.fits(room)) else {
                continue;
            };
            let Some(machine) = self.machines.get(name) else { continue };
            if !self.passes_filter(job, machine) || !zone_choice.allows(&machine.zone) {
                continue;
            }
            let score = self.score(job, machine, capacity);
            if request.shared_fetch == SharedFetch::Avoid && score.shares_fetch() {
                continue;
            }
            let remainder = scoring::remainder(job, available);
            let candidate = Candidate { score, remainder, machine, available: *available };
            by_zone.entry(&machine.zone).or_default().push(candidate);
        }
        by_zone
    }

    /// Filter: whether the job may use the machine now, its room aside. A consolidation target is closed to work that
    /// may use spot machines (exception 3 of `docs/design.md`), a replacement keeps its room for what moves off the
    /// machine that it stands for, and a quarantined machine takes services only.
    fn passes_filter(&self, job: &Job, machine: &Machine) -> bool {
        // A job under suspicion would have nowhere else to go.
        let failed_here = !job.is_suspected() && job.failure_history.machines.contains(&machine.name);
        scoring::is_eligible(job, machine)
            && !failed_here
            && !(machine.lifecycle.consolidation_target && job.spec.spot)
            && (job.spec.priority == Priority::Critical || !self.drains.is_replacement(&machine.name))
            && (job.spec.kind == Kind::Service || machine.health.quarantined_until <= self.now)
    }

    /// Score: the part of it that stays the same for every further task of the job on the machine.
    fn score(&self, job: &Job, machine: &Machine, capacity: &FreeCapacity) -> Score {
        let mut score = Score::of(job, machine, capacity.has_fixed_work);
        // A task on a machine that will be drained would have to leave again.
        score.penalty += i64::from(self.drains.is_targeted(&machine.name));
        // All tasks of a gang wait for the last one: machines whose next heartbeat is due come first.
        if job.spec.kind == Kind::Gang {
            score.penalty += 2 * self.heartbeat_due_s(machine);
        }
        score
    }
}

/// The candidates for the tasks of a job, and what the tasks assigned so far leave.
struct CandidatePool<'a> {
    job: &'a Job,
    /// The candidates of each zone; once sorted, the best one is the last, where it is taken from.
    by_zone: BTreeMap<&'a str, Vec<Candidate<'a>>>,
    zones: ZoneCount,
    headroom: HeadroomGuard,
}

impl<'a> CandidatePool<'a> {
    fn sort(&mut self, steps: &mut usize) {
        for candidates in self.by_zone.values_mut() {
            *steps += candidates.len();
            candidates.sort_unstable_by(|a, b| {
                (b.score, b.remainder, &b.machine.name).cmp(&(a.score, a.remainder, &a.machine.name))
            });
        }
    }

    /// Assign: each task goes to the best candidate of the best zone, until no zone has one.
    fn assign(mut self, tasks: u32, steps: &mut usize) -> Vec<String> {
        let request = &self.job.spec.resource_request;
        let mut assigned = Vec::new();
        while (assigned.len() as u32) < tasks {
            *steps += 1;
            let best_zone = self.best_zone();
            let Some(candidates) = best_zone.and_then(|zone| self.by_zone.get_mut(zone)) else { break };
            let Some(best) = candidates.last_mut() else { break };
            if !self.headroom.allows(best.machine, &best.available, request) {
                candidates.pop();
                continue;
            }
            self.headroom.take(best.machine, &best.available, request);
            self.zones.add(&best.machine.zone);
            assigned.push(best.machine.name.clone());
            best.available = best.available.minus(request);
            best.remainder = scoring::remainder(self.job, &best.available);
            if !request.fits(&best.available) {
                candidates.pop();
            }
        }
        assigned
    }

    /// The zone with the best candidate, among those where the job's zone rules allow a further task. Critical jobs
    /// spread over the zones where the scores are equal.
    fn best_zone(&self) -> Option<&'a str> {
        let spreads = self.job.spec.priority == Priority::Critical;
        let open = self.by_zone.iter().filter(|(zone, _)| self.zones.allows(self.job, zone));
        open.filter_map(|(zone, candidates)| candidates.last().map(|best| (*zone, best)))
            .min_by_key(|(zone, best)| {
                let tasks_there = if spreads { self.zones.get(zone) } else { 0 };
                (best.score, tasks_there, best.remainder, &best.machine.name)
            })
            .map(|(zone, _)| zone)
    }
}
