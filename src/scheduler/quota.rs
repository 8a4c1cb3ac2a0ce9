//! Quotas of teams: the resources that their tasks use, checked against their limits and guarantees (section
//! "Teams" of `docs/design.md`). Called by `elastic`, gang scheduling, drains and the scaling plan.

use super::model::{Job, JobId, Machine, Resources};
use super::Scheduler;
use crate::settings::Team;
use std::collections::BTreeMap;

/// Resources used by the tasks of each team, counted once per round of decisions (and once per scaling plan)
/// and updated during it.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// By team, the resources of all its tasks that are, or may be, on a machine.
    used: BTreeMap<String, Resources>,
    /// By team, the part of `used` whose tasks were asked to stop.
    stopping: BTreeMap<String, Resources>,
    /// Upper bound of the resources that unknown tasks of any team may use: the capacity of the machines of
    /// an earlier leader that have not sent a heartbeat, and of machines with tasks of jobs unknown to this
    /// leader. None: the capacity of one of them is unknown, or no team has a quota.
    unknown_usage_bound: Option<Resources>,
}

impl TeamUsage {
    /// Records that a task of the team was placed.
    pub fn add(&mut self, team: &str, request: &Resources) {
        add_to(&mut self.used, team, request);
    }

    /// Records that a task of the team was asked to stop.
    pub fn add_stop(&mut self, team: &str, request: &Resources) {
        add_to(&mut self.stopping, team, request);
    }

    /// Counts the whole capacity of the machine as possibly used by unknown tasks, of any team.
    fn add_machine_with_unknown_tasks(&mut self, machine: &Machine) {
        // The capacity is zero until the machine's type is known.
        let capacity = Some(machine.capacity).filter(|capacity| *capacity != Resources::default());
        self.unknown_usage_bound =
            self.unknown_usage_bound.zip(capacity).map(|(sum, capacity)| sum.plus(&capacity));
    }

    fn used_by(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Resources that the team uses after all stops under way are confirmed.
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

/// The limit of a team for one resource. A setting of 0 means no limit: returns a value beyond any use.
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

    /// Counts the resources that each team uses now. This examines every task, so it is done once per round
    /// rather than once per job, and skipped if no team has a guarantee or a limit.
    pub(super) fn team_usage(&self) -> TeamUsage {
        let has_quota =
            |team: &Team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max].iter().any(|n| *n > 0.0);
        if !self.config.teams.iter().any(has_quota) {
            return TeamUsage::default();
        }
        let mut usage = TeamUsage { unknown_usage_bound: Some(Resources::default()), ..TeamUsage::default() };
        // The tasks of a machine are sorted by job, so the team of the last job is kept to avoid repeated
        // lookups.
        let mut last_team: Option<(JobId, &str)> = None;
        for machine in self.machines.values() {
            if Self::counts_in_full(machine) {
                usage.add_machine_with_unknown_tasks(machine);
            }
            for (id, task) in &machine.tasks {
                let team = match last_team {
                    Some((job_id, team)) if job_id == id.job_id => Some(team),
                    Some(_) | None => self.jobs.get(&id.job_id).map(|job| job.spec.team.as_str()),
                };
                let Some(team) = team else { continue };
                last_team = Some((id.job_id, team));
                usage.add(team, &task.resource_request);
                if task.stopping.is_some() {
                    usage.add_stop(team, &task.resource_request);
                }
            }
        }
        usage
    }

    /// Whether the machine may be full of tasks that are unknown to this leader: a machine of an earlier
    /// leader whose tasks this leader does not know yet (see [`Machine::accounted_for`]), or a machine that
    /// reports tasks of unknown jobs. Such a machine counts in full against the limit of every team. Refusing
    /// all starts until every machine has reported instead would let a single dead machine stop every team
    /// that has a limit.
    fn counts_in_full(machine: &Machine) -> bool {
        machine.may_hold_unknown_tasks() || machine.unplaced_tasks.has_tasks_of_unknown_jobs()
    }

    /// How many more tasks of the job its team's limit allows. 0 if the team is unknown, or if it has a limit
    /// and its use cannot be bounded yet.
    pub(super) fn tasks_within_limit(&self, job: &Job, usage: &TeamUsage) -> u32 {
        let Some(team) = self.team(&job.spec.team) else { return 0 };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return u32::MAX;
        }
        // Until the records are loaded, the set of machines is unknown.
        let Some(unknown_usage_bound) = usage.unknown_usage_bound.filter(|_| self.loaded) else {
            return 0;
        };
        let (cpus, gpus) = (limit_or_unlimited(team.cpus_max), limit_or_unlimited(team.gpus_max));
        let limit = Resources { memory_mb: i64::MAX / 2, ..Resources::rounded_down(cpus, gpus, 0.0) };
        let remaining = limit.minus(&usage.used_by(&team.name)).minus(&unknown_usage_bound);
        job.spec.resource_request.count_in(&remaining).clamp(0, i64::from(u32::MAX)) as u32
    }

    /// Whether the resources that the team uses after the stops under way, plus `additional`, are within its
    /// guarantee. A team whose guaranteed amounts are all 0 has no guarantee.
    pub(super) fn within_guarantee(&self, team: &str, additional: &Resources, usage: &TeamUsage) -> bool {
        let Some(team) = self.team(team) else { return false };
        if team.cpus <= 0.0 && team.gpus <= 0.0 {
            return false;
        }
        let used = usage.used_after_stops(&team.name).plus(additional);
        let guaranteed = Resources::rounded_down(team.cpus, team.gpus, 0.0);
        used.milli_cpus <= guaranteed.milli_cpus && used.milli_gpus <= guaranteed.milli_gpus
    }
}
