//! Teams: what their tasks use, their limits and their guarantees.

use super::model::{Job, JobId, Machine, Resources};
use super::Scheduler;
use crate::settings::Team;
use std::collections::BTreeMap;

/// What the tasks of each team use, worked out once for a round of decisions and kept up to date in it.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// By team: everything that is, or may be, on a machine.
    used: BTreeMap<String, Resources>,
    /// By team: the part of it that was told to stop.
    stopping: BTreeMap<String, Resources>,
    /// What may run besides, for any of the teams: machines of an earlier leader that have not reported, and
    /// machines with tasks of jobs that are not known here. `None`: no bound is known.
    unaccounted: Option<Resources>,
}

impl TeamUsage {
    /// A task of the team was placed.
    pub fn add(&mut self, team: &str, needs: &Resources) {
        add_to(&mut self.used, team, needs);
    }

    /// A task of the team was told to stop.
    pub fn stop(&mut self, team: &str, needs: &Resources) {
        add_to(&mut self.stopping, team, needs);
    }

    fn of(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// What the team uses once every stop under way is confirmed.
    fn staying(&self, team: &str) -> Resources {
        let stopping = self.stopping.get(team).copied().unwrap_or_default();
        self.of(team).minus(&stopping)
    }
}

fn add_to(usage: &mut BTreeMap<String, Resources>, team: &str, needs: &Resources) {
    match usage.get_mut(team) {
        Some(used) => *used = used.plus(needs),
        None => {
            usage.insert(team.to_string(), *needs);
        }
    }
}

impl Scheduler {
    fn team(&self, name: &str) -> Option<&Team> {
        self.config.teams.iter().find(|team| team.name == name)
    }

    pub(super) fn team_limited(&self, name: &str) -> bool {
        self.team(name).is_some_and(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0)
    }

    /// Counts what every team uses now: a look at every task, so once a round and not once a job, and not at all
    /// where no team has a guarantee or a limit.
    pub(super) fn team_usage(&self) -> TeamUsage {
        let counts =
            |team: &Team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max].iter().any(|n| *n > 0.0);
        if !self.config.teams.iter().any(counts) {
            return TeamUsage::default();
        }
        let mut usage = TeamUsage { unaccounted: Some(Resources::default()), ..TeamUsage::default() };
        let mut last: Option<(JobId, &str)> = None;
        for machine in self.machines.values() {
            if self.may_hold_unknown_tasks(machine) {
                let whole = Some(machine.capacity).filter(|has| *has != Resources::default());
                usage.unaccounted = usage.unaccounted.zip(whole).map(|(sum, whole)| sum.plus(&whole));
            }
            for (id, task) in &machine.tasks {
                let team = match last {
                    Some((job, team)) if job == id.job_id => Some(team),
                    _ => self.jobs.get(&id.job_id).map(|job| job.spec.team.as_str()),
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

    /// A machine of an earlier leader's that has not reported here may be full of anybody's tasks, and so may one
    /// that reports tasks of jobs that are over and unknown here. Each counts in full against every team: only
    /// to wait until all had reported kept every team of a fleet without work behind one machine that had died.
    fn may_hold_unknown_tasks(&self, machine: &Machine) -> bool {
        let unreconciled = !self.reconciled && machine.inherited && !machine.reconciled;
        unreconciled || machine.reported.has_unknown()
    }

    /// How many more tasks of the job its team's limit allows.
    pub(super) fn tasks_within_limit(&self, job: &Job, usage: &TeamUsage) -> u32 {
        let Some(team) = self.team(&job.spec.team) else { return 0 };
        if !self.team_limited(&team.name) {
            return u32::MAX;
        }
        // Before the records are loaded nobody knows which machines there are.
        let Some(unaccounted) = usage.unaccounted.filter(|_| self.loaded) else { return 0 };
        let most = |limit: f64| if limit > 0.0 { limit } else { f64::from(u32::MAX) };
        let limit = Resources {
            memory: i64::MAX / 2,
            ..Resources::offered(most(team.cpus_max), most(team.gpus_max), 0.0)
        };
        let room = limit.minus(&usage.of(&team.name)).minus(&unaccounted);
        job.spec.resource_request.count_in(&room).clamp(0, i64::from(u32::MAX)) as u32
    }

    /// Whether the team's use that stays and `more` fit its guarantee; a guarantee of 0 is none.
    pub(super) fn within_guarantee(&self, name: &str, more: &Resources, usage: &TeamUsage) -> bool {
        let Some(team) = self.team(name) else { return false };
        if team.cpus <= 0.0 && team.gpus <= 0.0 {
            return false;
        }
        let used = usage.staying(name).plus(more);
        let guaranteed = Resources::offered(team.cpus, team.gpus, 0.0);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
