//! What operators see: the queue with the reason each job waits, the machines, recent decisions, and
//! the use of machines per team and job.

use super::model::*;
use super::Core;
use crate::limits;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
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

#[derive(Debug, Serialize)]
pub struct Overview {
    pub jobs: Vec<JobLine>,
    pub machines: Vec<MachineLine>,
    pub decisions: Vec<String>,
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

impl Core {
    /// Keeps a decision for the overview; the log has it too.
    pub(super) fn decided(&mut self, decision: String) {
        let seconds = (self.now - self.started) / limits::SECOND;
        self.ledger.decisions.push_back(format!("{seconds} s into token {}: {decision}", self.config.token));
        if self.ledger.decisions.len() > limits::DECISIONS_KEPT {
            self.ledger.decisions.pop_front();
        }
    }

    pub fn overview(&self) -> Overview {
        let jobs = self.jobs.values().take(limits::OVERVIEW_LINES).map(|j| JobLine {
            job: j.spec.job_id.to_string(),
            class: j.spec.class.clone(),
            team: j.spec.team.clone(),
            priority: format!("{:?}", j.spec.priority).to_lowercase(),
            placed: j.places.len(),
            waiting: j.waiting.len(),
            done: j.done.len(),
            waits_for: if j.waiting.is_empty() { "" } else { j.waits_for },
        });
        let machines = self.machines.values().take(limits::OVERVIEW_LINES).map(|m| MachineLine {
            machine: m.name.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            phase: format!("{:?}", m.phase).to_lowercase(),
            tasks: m.tasks.len(),
            leaving: m.draining || m.deleting || m.recall_at.is_some(),
        });
        Overview {
            jobs: jobs.collect(),
            machines: machines.collect(),
            decisions: self.ledger.decisions.iter().cloned().collect(),
        }
    }

    /// Adds up what runs, and writes it to the log now and then: the sum of all `usage` lines of all
    /// nodes is what each job and team has used, changes of leader included.
    pub(super) fn account(&mut self) {
        let since = self.now.saturating_sub(self.ledger.counted.max(self.started));
        self.ledger.counted = self.now;
        let running = self.machines.values().flat_map(|m| m.tasks.iter().map(move |(id, t)| (m, id, t)));
        for (machine, id, task) in running.filter(|(_, _, t)| t.status == TaskStatus::Running) {
            let Some(job) = self.jobs.get(&id.job_id) else { continue };
            let key = (job.spec.team.clone(), job.spec.class.clone(), id.job_id);
            let used = self.ledger.uses.entry(key).or_default();
            used.cpus += i128::from(task.needs.cpus) * i128::from(since);
            used.gpus += i128::from(task.needs.gpus) * i128::from(since);
            if machine.spot {
                used.spot_gpus += i128::from(task.needs.gpus) * i128::from(since);
            }
        }
        if self.now >= self.ledger.written + limits::USAGE_EVERY {
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
