//! What operators see: the queue with the reason why each job waits, the machines, and recent decisions.
//!
//! Pure views of the state, made for `/overview`. The words and field names here are read by operators and their tools.

use super::model::{Job, JobId, Machine, MachineState, PendingReason, Priority};
use super::{IgnoredHeartbeats, Scheduler};
use crate::limits;
use serde::{Deserialize, Serialize};
use std::ops::Bound;

/// Where a page of the overview begins: after these names, or from the beginning without them.
#[derive(Debug, Default, Clone, Deserialize)]
pub struct PageStart {
    /// Id of the last job of the page before.
    #[serde(default)]
    pub after_job: Option<String>,
    /// Name of the last machine of the page before.
    #[serde(default)]
    pub after_machine: Option<String>,
}

/// One page of the leader's jobs and machines.
#[derive(Debug, Serialize)]
pub struct Overview {
    /// Jobs, by id.
    pub jobs: Vec<JobLine>,
    /// Number of jobs after the last one shown; ask on with `after_job`.
    pub more_jobs: usize,
    /// Machines, by name.
    pub machines: Vec<MachineLine>,
    /// Number of machines after the last one shown; ask on with `after_machine`.
    pub more_machines: usize,
    /// Recent decisions, the oldest first.
    pub decisions: Vec<String>,
    /// Heartbeats of which nothing was taken in.
    #[serde(rename = "reports_ignored")]
    pub ignored_heartbeats: IgnoredHeartbeats,
}

/// A job in the overview.
#[derive(Debug, Serialize)]
pub struct JobLine {
    /// Its id.
    pub job: String,
    /// The class of jobs that it belongs to.
    pub class: String,
    /// Its team.
    pub team: String,
    /// Its priority.
    pub priority: String,
    /// Number of tasks that are placed.
    pub placed: usize,
    /// Number of tasks that wait for a place.
    pub waiting: usize,
    /// Number of tasks that have succeeded.
    pub done: usize,
    /// Why tasks wait; empty if none do.
    pub waits_for: &'static str,
}

/// A machine in the overview.
#[derive(Debug, Serialize)]
pub struct MachineLine {
    /// Its name.
    pub machine: String,
    /// Name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its state.
    pub phase: String,
    /// Number of tasks that it holds, or may hold.
    pub tasks: usize,
    /// Whether nothing new is placed on it, since it is drained, recalled or deleted.
    pub leaving: bool,
}

impl JobLine {
    fn of(job: &Job) -> Self {
        let reason = job.pending_reason.filter(|_| !job.progress.pending.is_empty());
        JobLine {
            job: job.spec.job_id.to_string(),
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            priority: priority_word(job.spec.priority).to_string(),
            placed: job.placements.len(),
            waiting: job.progress.pending.len(),
            done: job.progress.succeeded.len(),
            waits_for: reason.map_or("", PendingReason::as_str),
        }
    }
}

/// The word that operators read for a job's priority.
fn priority_word(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Critical => "critical",
    }
}

/// The word that operators read for a machine's state.
fn state_word(state: MachineState) -> &'static str {
    match state {
        MachineState::Pending => "expected",
        MachineState::Ready => "up",
        MachineState::Lost => "lost",
    }
}

impl Scheduler {
    /// Keeps a decision for the overview; the log has it too.
    pub(super) fn record_decision(&mut self, decision: String) {
        let seconds = self.now.since(self.loaded_at).as_secs();
        let line = format!("{seconds} s into token {}: {decision}", self.config.token);
        self.recent_decisions.push_back(line);
        if self.recent_decisions.len() > limits::MAX_RECENT_DECISIONS {
            self.recent_decisions.pop_front();
        }
    }

    /// A page of what operators see. An `after_job` that is not a job id starts the page from the beginning.
    pub fn overview(&self, start: &PageStart) -> Overview {
        let after_job = start.after_job.as_deref().and_then(JobId::parse);
        let after_job = after_job.map_or(Bound::Unbounded, Bound::Excluded);
        let mut jobs = self.jobs.range((after_job, Bound::Unbounded)).map(|(_, job)| job);
        let after_machine = start.after_machine.as_deref().map_or(Bound::Unbounded, Bound::Excluded);
        let machines = self.machines.range::<str, _>((after_machine, Bound::Unbounded));
        let mut machines = machines.map(|(_, machine)| machine);
        Overview {
            jobs: jobs.by_ref().take(limits::MAX_OVERVIEW_LINES).map(JobLine::of).collect(),
            more_jobs: jobs.count(),
            machines: machines
                .by_ref()
                .take(limits::MAX_OVERVIEW_LINES)
                .map(|machine| self.machine_line(machine))
                .collect(),
            more_machines: machines.count(),
            decisions: self.recent_decisions.iter().cloned().collect(),
            ignored_heartbeats: self.ignored_heartbeats,
        }
    }

    fn machine_line(&self, machine: &Machine) -> MachineLine {
        MachineLine {
            machine: machine.name.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            phase: state_word(machine.state).to_string(),
            tasks: machine.tasks.len(),
            leaving: machine.lifecycle.is_leaving()
                || machine.lifecycle.to_be_replaced
                || self.drains.is_cordoned(&machine.name),
        }
    }
}

#[cfg(test)]
#[path = "overview_tests.rs"]
mod tests;
