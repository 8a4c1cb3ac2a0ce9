//! Selects machines for the tasks of a job in three steps: filter, score, assign. Called by `admission`,
//! `preemption`, `victims` and the scheduling of gangs; it changes no state, and the callers decide what to
//! do with the machines.
//!
//! The best machine of a zone remains the best until it is full, since each task only makes it fuller, and
//! the fullest machines are preferred (`scoring::best_fit_remainder`). So machines are filtered and scored
//! once, and for each task only the best machines of the zones are compared.

use super::capacity::FreeCapacity;
use super::headroom_guard::HeadroomGuard;
use super::zone_choice::ZoneChoice;
use crate::scheduler::model::{Job, Kind, Machine, Priority, Resources};
use crate::scheduler::scoring::{self, Score, TasksByZone};
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;

/// Whether a task may go to a machine where its image would be fetched at the same time as another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::scheduler) enum SharedFetch {
    /// It may not: simultaneous fetches share the machine's fetch rate. Fetched one after the other, the
    /// first image arrives earlier and the last one no later (exception 6 of `docs/design.md`).
    Avoid,
    /// It may.
    Allow,
}

/// A request for machines for the tasks of one job.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a Job,
    /// Maximum number of tasks to find machines for.
    pub tasks: u32,
    /// Whether image fetches may share a machine's fetch rate.
    pub shared_fetch: SharedFetch,
}

/// A machine that has passed the filter, and its score.
struct Candidate<'a> {
    score: Score,
    /// Resources left after one more task; smaller is a better fit. See [`scoring::best_fit_remainder`].
    remainder: i64,
    machine: &'a Machine,
    available: Resources,
}

impl Scheduler {
    /// Names of machines for the tasks of the request, best first, with one entry per task: a machine that
    /// takes several tasks is listed several times. The entries are the free slots of figure 2 of the
    /// paper. Adds the decision steps taken to `steps`.
    pub(in crate::scheduler) fn find_machines(
        &self,
        request: PlacementRequest<'_>,
        capacity: &FreeCapacity,
        steps: &mut usize,
    ) -> Vec<String> {
        let zone_choice = self.choose_zone(request.job, capacity);
        if zone_choice == ZoneChoice::NoZone {
            return Vec::new();
        }
        let by_zone = self.filter_and_score(request, &zone_choice, capacity, steps);
        let mut pool = CandidatePool {
            job: request.job,
            by_zone,
            tasks_by_zone: TasksByZone::of(request.job, &self.machines),
            headroom: HeadroomGuard::new(request.job, capacity),
        };
        pool.sort(steps);
        pool.choose_machines(request.tasks, steps)
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
            let Some(available) = available.filter(|room| job.spec.resource_request.fits_into(room)) else {
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
            let remainder = scoring::best_fit_remainder(job, available);
            let candidate = Candidate { score, remainder, machine, available: *available };
            by_zone.entry(&machine.zone).or_default().push(candidate);
        }
        by_zone
    }

    /// Filter: whether the job may use the machine now, regardless of the machine's free resources. A
    /// machine that consolidation empties is closed to jobs that may use spot machines (exception 3 of
    /// `docs/design.md`). A machine that replaces one under drain is reserved for critical jobs and the
    /// tasks that move off the drained machine. A quarantined machine takes services only.
    pub(super) fn passes_filter(&self, job: &Job, machine: &Machine) -> bool {
        scoring::is_eligible(job, machine)
            && !job.avoids(&machine.name, self.now)
            && !(machine.lifecycle.to_be_emptied && job.spec.allows_spot)
            && (job.spec.priority == Priority::Critical || !self.drains.is_replacement(&machine.name))
            && (job.spec.kind == Kind::Service || machine.health.quarantined_until <= self.now)
    }

    /// Score: the part that is the same for every further task of the job on the machine.
    fn score(&self, job: &Job, machine: &Machine, capacity: &FreeCapacity) -> Score {
        let mut score = Score::of(job, machine, capacity.has_non_spot_work);
        // A task placed on a machine that will be drained would have to move again.
        score.penalty += i64::from(self.drains.is_targeted(&machine.name));
        // All tasks of a gang wait for the last one to start, and starts are sent in responses to heartbeats:
        // prefer machines whose next heartbeat is due soon. With the factor 2, one second until then
        // outweighs any one of the other reasons in the penalty.
        if job.spec.kind == Kind::Gang {
            score.penalty += 2 * self.heartbeat_due_s(machine);
        }
        score
    }
}

/// The candidates for the tasks of a job, updated with each task that is assigned.
struct CandidatePool<'a> {
    job: &'a Job,
    /// The candidates of each zone. After `sort` the best one is last, so that it can be popped.
    by_zone: BTreeMap<&'a str, Vec<Candidate<'a>>>,
    tasks_by_zone: TasksByZone,
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

    /// Assign: each task goes to the best candidate of the best zone, until no zone has a candidate. Returns
    /// the names of the machines, one per task.
    fn choose_machines(mut self, tasks: u32, steps: &mut usize) -> Vec<String> {
        let request = &self.job.spec.resource_request;
        let mut assigned = Vec::new();
        while (assigned.len() as u32) < tasks {
            *steps += 1;
            let best_zone = self.best_zone_for_next_task();
            let Some(candidates) = best_zone.and_then(|zone| self.by_zone.get_mut(zone)) else { break };
            let Some(best) = candidates.last_mut() else { break };
            if !self.headroom.allows(best.machine, &best.available, request) {
                candidates.pop();
                continue;
            }
            self.headroom.take(best.machine, &best.available, request);
            self.tasks_by_zone.add(&best.machine.zone);
            assigned.push(best.machine.name.clone());
            best.available = best.available.minus(request);
            best.remainder = scoring::best_fit_remainder(self.job, &best.available);
            if !request.fits_into(&best.available) {
                candidates.pop();
            }
        }
        assigned
    }

    /// The zone with the best candidate, among the zones where the job's zone rules allow another task.
    /// Between equal scores, critical jobs prefer the zone with fewest of their tasks.
    fn best_zone_for_next_task(&self) -> Option<&'a str> {
        let spreads = self.job.spec.priority == Priority::Critical;
        let allowed_zones = self.by_zone.iter().filter(|(zone, _)| self.tasks_by_zone.allows(self.job, zone));
        allowed_zones
            .filter_map(|(zone, candidates)| candidates.last().map(|best| (*zone, best)))
            .min_by_key(|(zone, best)| {
                let tasks_in_zone = if spreads { self.tasks_by_zone.get(zone) } else { 0 };
                (best.score, tasks_in_zone, best.remainder, &best.machine.name)
            })
            .map(|(zone, _)| zone)
    }
}
