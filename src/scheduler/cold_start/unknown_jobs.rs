//! Jobs that heartbeats name and this leader does not know: the store is read again, and their tasks are adopted or
//! stopped.

use crate::limits;
use crate::scheduler::messages::{Effect, StoredJob};
use crate::scheduler::model::{JobId, Machine, ReportedTask, TaskAttempt};
use crate::scheduler::Scheduler;
use crate::time::{as_seconds, Timestamp};
use std::collections::BTreeSet;
use tracing::info;

/// What a read of the store showed of a job.
#[derive(Debug, Clone)]
pub enum JobReading {
    /// It is live.
    Live(Box<StoredJob>),
    /// It has a record that can't be read.
    Unreadable,
    /// It has no record.
    Absent,
    /// The store did not answer.
    Failed,
}

impl Scheduler {
    /// Asks for reads of unknown jobs, a few at once, and of each again after a while.
    pub(super) fn read_unknown_jobs(&mut self) {
        let unknown = self.machines.values().flat_map(|machine| machine.unplaced_tasks.unverified.keys());
        let unknown: BTreeSet<JobId> = unknown.map(|attempt| attempt.task.job_id).collect();
        self.cold_start.last_read_at.retain(|job_id, _| unknown.contains(job_id));
        let (now, last_read_at) = (self.now, &self.cold_start.last_read_at);
        let is_due = |job_id: &JobId| {
            last_read_at.get(job_id).is_none_or(|at| now >= *at + limits::COLD_START_RETRY_INTERVAL)
        };
        let due: Vec<JobId> = unknown.into_iter().filter(is_due).take(limits::MAX_COLD_START_READS).collect();
        for job_id in due {
            self.cold_start.last_read_at.insert(job_id, now);
            self.effects.push(Effect::ReadJob { job_id });
        }
    }

    /// A read of the store that was sent at `sent_at`.
    pub(in crate::scheduler) fn handle_job_read(
        &mut self,
        job_id: JobId,
        sent_at: Timestamp,
        reading: JobReading,
    ) {
        match reading {
            JobReading::Failed => {}
            JobReading::Unreadable => {
                self.cold_start.unreadable.insert(job_id);
            }
            JobReading::Live(stored) => {
                self.add_job(*stored, true);
                self.adopt_unverified_tasks(job_id);
            }
            JobReading::Absent => self.stop_unverified_tasks(job_id, sent_at),
        }
    }

    /// The job is live: its tasks are placed where the newest heartbeats list them. Left to the next heartbeats, they
    /// would be started a second time in between.
    fn adopt_unverified_tasks(&mut self, job_id: JobId) {
        let lists_job = |machine: &&Machine| {
            machine.unplaced_tasks.unverified.keys().any(|attempt| attempt.task.job_id == job_id)
        };
        let listing: Vec<(String, Vec<ReportedTask>)> = self
            .machines
            .values()
            .filter(lists_job)
            .map(|machine| (machine.name.clone(), machine.heartbeats.reported_tasks.clone()))
            .collect();
        for (name, listed) in listing {
            self.apply_task_list(&name, &listed);
        }
    }

    /// The job had no record when the store was read after its tasks were reported: it has ended, and they are stopped.
    fn stop_unverified_tasks(&mut self, job_id: JobId, sent_at: Timestamp) {
        let now = self.now;
        let mut stopped = Vec::new();
        for machine in self.machines.values_mut() {
            let orphaned: Vec<TaskAttempt> = machine
                .unplaced_tasks
                .unverified
                .iter()
                .filter(|(attempt, reported_at)| attempt.task.job_id == job_id && **reported_at < sent_at)
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in orphaned {
                let reported_at = machine.unplaced_tasks.unverified.remove(&attempt).unwrap_or(now);
                let seconds = as_seconds(now.since(reported_at));
                info!(task = %attempt.task, machine = machine.name, seconds, "orphaned task stopped");
                machine.unplaced_tasks.orphaned.insert(attempt);
                stopped.push(machine.name.clone());
            }
        }
        for name in stopped {
            self.autoscaler.machines_with_direct_stops.insert(name.clone());
            self.request_relay(&name);
        }
    }
}
