//! Use of machines by teams and jobs, added up and written to the log now and then.
//!
//! The sum of all `usage` lines of all nodes is what each job and team has used, changes of leader included. Called by
//! the autoscaler, and by the controller when leadership ends.

use super::model::{JobId, TaskStatus};
use super::Scheduler;
use crate::limits;
use crate::time::{to_micros, Timestamp};
use std::collections::BTreeMap;
use tracing::info;

/// Use by one job since it was last written to the log, in thousandths times microseconds.
#[derive(Debug, Default, Clone, Copy)]
struct JobUsage {
    cpus: i128,
    gpus: i128,
    /// The part of `gpus` that was on spot machines.
    spot_gpus: i128,
}

/// Whose use it is. Ordered as the lines of the log are.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct UsageKey {
    team: String,
    class: String,
    job_id: JobId,
}

/// Use that has not been written to the log.
#[derive(Debug, Default)]
pub(super) struct UsageLedger {
    by_job: BTreeMap<UsageKey, JobUsage>,
    /// Use before then is in the ledger.
    counted_until: Timestamp,
    /// When it was last written to the log.
    written_at: Timestamp,
}

/// Hours, from thousandths times microseconds.
fn hours(amount: i128) -> f64 {
    amount as f64 / 1000.0 / 1e6 / 3600.0
}

impl Scheduler {
    /// Adds up what runs, and writes it to the log when that is due.
    pub(super) fn account(&mut self) {
        let elapsed = self.now.since(self.usage_ledger.counted_until.max(self.loaded_at));
        let elapsed = i128::from(to_micros(elapsed));
        self.usage_ledger.counted_until = self.now;
        for machine in self.machines.values() {
            let running = machine.tasks.iter().filter(|(_, task)| task.status == TaskStatus::Running);
            for (id, task) in running {
                let Some(job) = self.jobs.get(&id.job_id) else { continue };
                let (team, class) = (job.spec.team.clone(), job.spec.class.clone());
                let key = UsageKey { team, class, job_id: id.job_id };
                let usage = self.usage_ledger.by_job.entry(key).or_default();
                let gpus = i128::from(task.resource_request.milli_gpus) * elapsed;
                usage.cpus += i128::from(task.resource_request.milli_cpus) * elapsed;
                usage.gpus += gpus;
                usage.spot_gpus += if machine.spot { gpus } else { 0 };
            }
        }
        if self.now >= self.usage_ledger.written_at + limits::USAGE_LOG_INTERVAL {
            self.write_usage();
        }
    }

    /// Writes all use that is not in the log yet. Also called when leadership ends, so that none is lost.
    pub fn write_usage(&mut self) {
        self.usage_ledger.written_at = self.now;
        for (UsageKey { team, class, job_id: job }, usage) in std::mem::take(&mut self.usage_ledger.by_job) {
            info!(
                team,
                class,
                %job,
                cpu_hours = hours(usage.cpus),
                gpu_hours = hours(usage.gpus),
                gpu_hours_spot = hours(usage.spot_gpus),
                "usage"
            );
        }
    }
}
