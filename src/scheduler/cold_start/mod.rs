//! Cold start: a leader that inherits work reconciles the stored state with the workers' heartbeats, task by task, before
//! it starts replacements. `dockpier_reconcile` has the verdicts.
//!
//! Whether an inherited task may start follows from the start rule at all times: only once every machine that may hold
//! it has reported or is proved to be gone. That is when its verdict is "missing"; the tests compare the two. The phase
//! adds: tasks of unknown jobs are kept until the store was read after they were reported, missing tasks are started at
//! a pace, and operators see what is known, what is waited for and until when. It is off unless the operators' file
//! enables it.
//!
//! This module owns the state of the phase and its steps; `evidence` collects what the verdicts rest on, `unknown_jobs`
//! reads jobs that heartbeats name, and `report` is what operators see. Called by the scheduler's step.

mod evidence;
mod report;
mod unknown_jobs;

pub use report::{ColdStartReport, MachineCounts, Phase};
pub use unknown_jobs::JobReading;

use super::model::{Job, JobId, Kind, TaskId};
use super::Scheduler;
use crate::limits;
use crate::time::Timestamp;
use crate::token_bucket::TokenBucket;
use dockpier_reconcile::{Counts, Verdict};
use evidence::task_id;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// The state of the phase.
#[derive(Debug, Default)]
pub struct ColdStart {
    /// When the stored state was loaded; `None`: there is no phase.
    started_at: Option<Timestamp>,
    /// When every inherited machine was accounted for.
    reconciled_at: Option<Timestamp>,
    /// When the last missing task had been started.
    ended_at: Option<Timestamp>,
    next_check_at: Timestamp,
    /// Machines that earlier leaders may have started tasks on.
    inherited: BTreeSet<String>,
    /// Inherited machines that the cloud has confirmed as deleted.
    deleted: BTreeSet<String>,
    /// When unknown jobs were last read.
    last_read_at: BTreeMap<JobId, Timestamp>,
    /// Jobs whose record can't be read.
    unreadable: BTreeSet<JobId>,
    /// Inherited tasks that were missing at reconciliation and have not been started.
    missing: BTreeSet<TaskId>,
    /// Of all tasks; from the moment of reconciliation on as they were then.
    verdicts: Counts,
    /// Inherited tasks that were started in the phase.
    started: BTreeSet<TaskId>,
    /// How often inherited tasks were started: the same task may be started again.
    starts: u64,
    /// Starts of inherited tasks that are allowed now.
    start_pace: TokenBucket,
    report: ReportState,
}

/// The report as it was last made, and the state of its write.
#[derive(Debug, Default)]
struct ReportState {
    latest: Option<ColdStartReport>,
    /// The latest report was written, or its write is under way.
    written: bool,
    write_in_flight: bool,
}

impl ColdStart {
    /// Whether starts of inherited tasks are paced now.
    fn is_pacing(&self) -> bool {
        self.started_at.is_some() && self.ended_at.is_none()
    }
}

impl Scheduler {
    /// Whether the operator has enabled the cold start. If so, tasks of unknown jobs are kept until the state
    /// service has been read after they were reported.
    pub(in crate::scheduler) fn cold_start_enabled(&self) -> bool {
        self.config.operator.cold_start.enabled
    }

    /// Begins the phase, if the stored state that was just loaded holds machines or work of earlier leaders.
    pub(in crate::scheduler) fn begin_cold_start(&mut self) {
        if !self.config.operator.cold_start.enabled {
            return;
        }
        let inherited = self.machines.values().filter(|machine| machine.inherited);
        let inherited: BTreeSet<String> = inherited.map(|machine| machine.name.clone()).collect();
        let has_work = self.jobs.values().any(|job| job.inherited);
        if inherited.is_empty() && !has_work {
            return;
        }
        let pace = self.config.operator.cold_start.pace;
        let start_pace = TokenBucket::empty(pace, pace.max(1.0), self.now);
        self.cold_start =
            ColdStart { started_at: Some(self.now), inherited, start_pace, ..ColdStart::default() };
    }

    /// The cloud has confirmed that the machine is deleted.
    pub(in crate::scheduler) fn note_machine_gone(&mut self, name: &str) {
        if self.cold_start.inherited.contains(name) {
            self.cold_start.deleted.insert(name.to_string());
        }
    }

    /// How many of `wanted` tasks of a job may be started now; of a gang all or none.
    pub(in crate::scheduler) fn tasks_allowed_by_start_pace(&mut self, job: &JobId, wanted: u32) -> u32 {
        let Some(job) = self.jobs.get(job).filter(|job| job.inherited && self.cold_start.is_pacing()) else {
            return wanted;
        };
        let is_gang = job.spec.kind == Kind::Gang;
        let pace = &mut self.cold_start.start_pace;
        pace.refill(self.now);
        if !is_gang {
            return wanted.min(pace.available().max(0.0) as u32);
        }
        // A gang larger than the capacity starts when the pace is full; later starts wait until the debt is paid.
        if pace.may_take_allowing_debt(f64::from(wanted)) {
            wanted
        } else {
            0
        }
    }

    /// A task is about to be started.
    pub(in crate::scheduler) fn count_start_for_cold_start_pace(&mut self, id: TaskId) {
        let inherited = self.jobs.get(&id.job_id).is_some_and(|job| job.inherited);
        if inherited && self.cold_start.is_pacing() {
            self.cold_start.starts += 1;
            self.cold_start.started.insert(id);
            self.cold_start.start_pace.spend(1.0);
            self.cold_start.missing.remove(&id);
        }
    }

    /// Does what is due in the phase; returns at once between two checks.
    pub(in crate::scheduler) fn cold_start_round(&mut self) {
        if self.cold_start.started_at.is_none() || self.now < self.cold_start.next_check_at {
            return;
        }
        self.cold_start.next_check_at = self.now + limits::COLD_START_INTERVAL;
        self.read_unknown_jobs();
        if self.cold_start.ended_at.is_none() {
            self.advance_cold_start();
        }
        self.write_cold_start();
    }

    /// Every machine is accounted for: the verdicts of this moment are kept, before any task is started on them.
    pub(in crate::scheduler) fn record_cold_start_verdicts(&mut self) {
        if self.cold_start.started_at.is_none() {
            return;
        }
        let mut counts = Counts::default();
        for (key, (verdict, _)) in self.reconciliation().verdicts() {
            // A job that may use only machines which are accounted for need not wait for the others, so its tasks may
            // have been started already.
            let started = self.cold_start.started.contains(&task_id(key));
            counts.add(if started { Verdict::Missing } else { verdict });
            if verdict == Verdict::Missing && !started {
                self.cold_start.missing.insert(task_id(key));
            }
        }
        self.cold_start.verdicts = counts;
        self.cold_start.reconciled_at = Some(self.now);
        self.cold_start.next_check_at = self.now;
        info!(verdicts = ?self.cold_start.verdicts, "cold start: every machine accounted for");
    }

    /// Updates the verdicts until reconciliation, and ends the phase once no missing task is left to start.
    fn advance_cold_start(&mut self) {
        if self.cold_start.reconciled_at.is_none() {
            self.cold_start.verdicts = self.reconciliation().counts();
        }
        let is_wanted = |jobs: &BTreeMap<JobId, Job>, id: &TaskId| {
            jobs.get(&id.job_id).is_some_and(|job| !job.terminated && job.progress.pending.contains(&id.task))
        };
        let jobs = &self.jobs;
        self.cold_start.missing.retain(|id| is_wanted(jobs, id));
        if self.cold_start.reconciled_at.is_some() && self.cold_start.missing.is_empty() {
            self.cold_start.ended_at = Some(self.now);
            info!(orders = self.cold_start.starts, "cold start: ended");
        }
    }
}
