//! What operators see: the queue with the reason each job waits, the machines, recent decisions, and
//! the use of machines per team and job.

use super::model::*;
use super::{IgnoredHeartbeats, Scheduler};
use crate::limits;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use tracing::info;

/// Use of machines by one job since it was last written to the log, in thousandths times microseconds.
#[derive(Debug, Default, Clone, Copy)]
struct Use {
    cpus: i128,
    gpus: i128,
    spot_gpus: i128,
}

#[derive(Debug, Default)]
pub struct Ledger {
    uses: BTreeMap<(String, String, JobId), Use>,
    counted: u64,
    written: u64,
    decisions: VecDeque<String>,
}

/// Where a page of the overview begins: after these names; from the beginning without them.
#[derive(Debug, Default, Clone, Deserialize)]
pub struct PageStart {
    #[serde(default)]
    pub after_job: Option<String>,
    #[serde(default)]
    pub after_machine: Option<String>,
}

/// One page of the leader's jobs and machines.
#[derive(Debug, Serialize)]
pub struct Overview {
    pub jobs: Vec<JobLine>,
    /// Jobs that follow the last one shown; ask on with `after_job`.
    pub more_jobs: usize,
    pub machines: Vec<MachineLine>,
    /// Machines that follow the last one shown; ask on with `after_machine`.
    pub more_machines: usize,
    pub decisions: Vec<String>,
    /// heartbeats of which nothing was taken in.
    #[serde(rename = "reports_ignored")]
    pub ignored_heartbeats: IgnoredHeartbeats,
}

#[derive(Debug, Serialize)]
pub struct JobLine {
    pub job: String,
    pub class: String,
    pub team: String,
    pub priority: String,
    pub placed: usize,
    pub waiting: usize,
    pub done: usize,
    pub waits_for: &'static str,
}

#[derive(Debug, Serialize)]
pub struct MachineLine {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub phase: String,
    pub tasks: usize,
    pub leaving: bool,
}

impl JobLine {
    fn of(job: &Job) -> Self {
        JobLine {
            job: job.spec.job_id.to_string(),
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            priority: format!("{:?}", job.spec.priority).to_lowercase(),
            placed: job.placements.len(),
            waiting: job.progress.pending.len(),
            done: job.progress.succeeded.len(),
            waits_for: if job.progress.pending.is_empty() {
                ""
            } else {
                job.pending_reason.map_or("", PendingReason::as_str)
            },
        }
    }
}

impl Scheduler {
    /// Keeps a decision for the overview; the log has it too.
    pub(super) fn decided(&mut self, decision: String) {
        let seconds = (self.now - self.started_at) / limits::SECOND;
        self.ledger.decisions.push_back(format!("{seconds} s into token {}: {decision}", self.config.token));
        if self.ledger.decisions.len() > limits::MAX_RECENT_DECISIONS {
            self.ledger.decisions.pop_front();
        }
    }

    /// A page of what operators see. A job that is not one to begin after starts the page anew.
    pub fn overview(&self, start: &PageStart) -> Overview {
        let after_job = start.after_job.as_deref().and_then(JobId::parse);
        let jobs = self.jobs.range((after_job.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded));
        let mut jobs = jobs.map(|(_, job)| job);
        let after_machine = start.after_machine.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let machines = self.machines.range::<str, _>((after_machine, Bound::Unbounded));
        let mut machines = machines.map(|(_, machine)| machine);
        Overview {
            jobs: jobs.by_ref().take(limits::MAX_OVERVIEW_LINES).map(JobLine::of).collect(),
            more_jobs: jobs.count(),
            machines: machines
                .by_ref()
                .take(limits::MAX_OVERVIEW_LINES)
                .map(|m| self.machine_line(m))
                .collect(),
            more_machines: machines.count(),
            decisions: self.ledger.decisions.iter().cloned().collect(),
            ignored_heartbeats: self.ignored_heartbeats,
        }
    }

    fn machine_line(&self, machine: &Machine) -> MachineLine {
        let leaving =
            machine.lifecycle.draining || machine.lifecycle.deleting || machine.lifecycle.recall_at.is_some();
        MachineLine {
            machine: machine.name.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            phase: phase_word(machine.state).to_string(),
            tasks: machine.tasks.len(),
            leaving: leaving || self.drains.is_cordoned(&machine.name),
        }
    }

    /// Adds up what runs, and writes it to the log now and then: the sum of all `usage` lines of all
    /// nodes is what each job and team has used, changes of leader included.
    pub(super) fn account(&mut self) {
        let since = self.now.saturating_sub(self.ledger.counted.max(self.started_at));
        self.ledger.counted = self.now;
        let running = self.machines.values().flat_map(|m| m.tasks.iter().map(move |(id, t)| (m, id, t)));
        for (machine, id, task) in running.filter(|(_, _, t)| t.status == TaskStatus::Running) {
            let Some(job) = self.jobs.get(&id.job_id) else { continue };
            let key = (job.spec.team.clone(), job.spec.class.clone(), id.job_id);
            let used = self.ledger.uses.entry(key).or_default();
            used.cpus += i128::from(task.resource_request.cpus) * i128::from(since);
            used.gpus += i128::from(task.resource_request.gpus) * i128::from(since);
            if machine.spot {
                used.spot_gpus += i128::from(task.resource_request.gpus) * i128::from(since);
            }
        }
        if self.now >= self.ledger.written + limits::USAGE_LOG_INTERVAL {
            self.write_usage();
        }
    }

    /// Also called when leadership ends, so that nothing is lost with it.
    pub fn write_usage(&mut self) {
        self.ledger.written = self.now;
        let hours = |n: i128| n as f64 / 1000.0 / limits::SECOND as f64 / 3600.0;
        for ((team, class, job), used) in std::mem::take(&mut self.ledger.uses) {
            info!(
                team,
                class,
                %job,
                cpu_hours = hours(used.cpus),
                gpu_hours = hours(used.gpus),
                gpu_hours_spot = hours(used.spot_gpus),
                "usage"
            );
        }
    }
}

/// The word that operators read for a machine's state.
fn phase_word(state: super::model::MachineState) -> &'static str {
    match state {
        MachineState::Pending => "expected",
        MachineState::Ready => "up",
        MachineState::Lost => "lost",
    }
}
