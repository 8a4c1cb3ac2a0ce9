//! Quota of teams: what their tasks use, their limits and their guarantees (section "Teams" of `docs/design.md`).
//! Owns the count of use in a round.

use super::model::{Job, JobId, Machine, Resources};
use super::Scheduler;
use crate::settings::Team;
use std::collections::BTreeMap;

/// What the tasks of each team use, counted once for a round of decisions and kept up to date in it.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// By team: everything that is, or may be, on a machine.
    used: BTreeMap<String, Resources>,
    /// By team: the part of it that was asked to stop.
    stopping: BTreeMap<String, Resources>,
    /// What may run besides, for any of the teams: machines of an earlier leader that have not sent a heartbeat, and
    /// machines with tasks of jobs that are not known here. None: no bound is known.
    unaccounted: Option<Resources>,
}

impl TeamUsage {
    /// A task of the team was placed.
    pub fn add(&mut self, team: &str, request: &Resources) {
        add_to(&mut self.used, team, request);
    }

    /// A task of the team was asked to stop.
    pub fn stop(&mut self, team: &str, request: &Resources) {
        add_to(&mut self.stopping, team, request);
    }

    /// The machine may be full of tasks of any team.
    fn add_unaccounted(&mut self, machine: &Machine) {
        // The capacity is not known before the machine's type is.
        let capacity = Some(machine.capacity).filter(|capacity| *capacity != Resources::default());
        self.unaccounted = self.unaccounted.zip(capacity).map(|(sum, capacity)| sum.plus(&capacity));
    }

    fn used_by(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// What the team uses once every stop under way is confirmed.
    fn used_after_stops(&self, team: &str) -> Resources {
        let stopping = self.stopping.get(team).copied().unwrap_or_default();
        self.used_by(team).minus(&stopping)
    }
}

fn add_to(usage: &mut BTreeMap<String, Resources>, team: &str, request: &Resources) {
    match usage.get_mut(team) {
        Some(used) => *used = used.plus(request),
        None => {
            usage.insert(team.to_string(), *request);
        }
    }
}

/// An amount of a team's limit; 0 is none.
fn limit_or_unlimited(limit: f64) -> f64 {
    if limit > 0.0 {
        limit
    } else {
        f64::from(u32::MAX)
    }
}

impl Scheduler {
    fn team(&self, name: &str) -> Option<&Team> {
        self.config.teams.iter().find(|team| team.name == name)
    }

    /// Counts what every team uses now: a look at every task, so once a round and not once a job, and not at all
    /// where no team has a guarantee or a limit.
    pub(super) fn team_usage(&self) -> TeamUsage {
        let has_quota =
            |team: &Team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max].iter().any(|n| *n > 0.0);
        if !self.config.teams.iter().any(has_quota) {
            return TeamUsage::default();
        }
        let mut usage = TeamUsage { unaccounted: Some(Resources::default()), ..TeamUsage::default() };
        // Tasks of one job follow one another, so that its team is looked up once.
        let mut last: Option<(JobId, &str)> = None;
        for machine in self.machines.values() {
            if self.may_hold_unknown_tasks(machine) {
                usage.add_unaccounted(machine);
            }
            for (id, task) in &machine.tasks {
                let team = match last {
                    Some((job_id, team)) if job_id == id.job_id => Some(team),
                    Some(_) | None => self.jobs.get(&id.job_id).map(|job| job.spec.team.as_str()),
                };
                let Some(team) = team else { continue };
                last = Some((id.job_id, team));
                usage.add(team, &task.resource_request);
                if task.stopping.is_some() {
                    usage.stop(team, &task.resource_request);
                }
            }
        }
        usage
    }

    /// A machine of an earlier leader's that has sent no heartbeat here may be full of any team's tasks, and so may
    /// one that reports tasks of jobs that are over and unknown here. Each counts in full against every team: only to
    /// wait until all had reported kept every team of a fleet without work behind one machine that had died.
    fn may_hold_unknown_tasks(&self, machine: &Machine) -> bool {
        let is_unreconciled = !self.reconciled && machine.inherited && !machine.reconciled;
        is_unreconciled || machine.reported.has_unknown()
    }

    /// How many more tasks of the job its team's limit allows.
    pub(super) fn tasks_within_limit(&self, job: &Job, usage: &TeamUsage) -> u32 {
        let Some(team) = self.team(&job.spec.team) else { return 0 };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return u32::MAX;
        }
        // Before the records are loaded it is not known which machines there are.
        let Some(unaccounted) = usage.unaccounted.filter(|_| self.loaded) else { return 0 };
        let (cpus, gpus) = (limit_or_unlimited(team.cpus_max), limit_or_unlimited(team.gpus_max));
        let limit = Resources { memory: i64::MAX / 2, ..Resources::offered(cpus, gpus, 0.0) };
        let left = limit.minus(&usage.used_by(&team.name)).minus(&unaccounted);
        job.spec.resource_request.count_in(&left).clamp(0, i64::from(u32::MAX)) as u32
    }

    /// Whether what the team uses after the stops under way, and `more`, fit its guarantee; a guarantee of 0 is none.
    pub(super) fn within_guarantee(&self, team: &str, more: &Resources, usage: &TeamUsage) -> bool {
        let Some(team) = self.team(team) else { return false };
        if team.cpus <= 0.0 && team.gpus <= 0.0 {
            return false;
        }
        let used = usage.used_after_stops(&team.name).plus(more);
        let guaranteed = Resources::offered(team.cpus, team.gpus, 0.0);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
