//! Cold start: a leader that inherits work says, task by task, what the stored state and the workers' reports come to,
//! before it orders anything in place of what it can't see. `dockpier_reconcile` has the verdicts.
//!
//! What may start follows from the start rule as ever: an inherited task only once every machine that may hold it has
//! reported or is provably gone. That is when its verdict is "missing", which the tests hold against each other. What
//! the phase adds: unknown tasks are kept until the store was read after they were reported, missing tasks are ordered
//! at a pace, and operators see what is known, what is waited for and until when. Off unless the operators' file
//! turns it on.

use super::messages::{Effect, StoredJob};
use super::model::*;
use super::Scheduler;
use crate::limits;
use dockpier_reconcile::{Counts, Fact, GoneBy, JobFact, MachineFact, Reconciliation};
use dockpier_reconcile::{ReportNumber, Reported, ReportedState, TaskKey, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// How far the phase is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not all machines are accounted for.
    Reconciling,
    /// All are; missing tasks are being ordered.
    Restarting,
    /// Every missing task has been ordered, or is not wanted any more.
    Ended,
}

/// Machines of earlier leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineCounts {
    /// Heard by this leader.
    pub heard: usize,
    /// Provably gone.
    pub gone: usize,
    /// Neither.
    pub unheard: usize,
}

/// What operators are told of the phase. `docs/schemas/cold-start.schema.json` is its published form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdStartReport {
    /// How far it is.
    pub phase: Phase,
    /// The leader's token.
    pub token: u64,
    /// When the leader had loaded the stored state, in milliseconds of the time of day.
    pub began_ms: u64,
    /// When this was written, in milliseconds of the time of day.
    pub updated_ms: u64,
    /// Milliseconds until every machine was accounted for.
    pub reconciled_after_ms: Option<u64>,
    /// Milliseconds until the last missing task was ordered.
    pub ended_after_ms: Option<u64>,
    /// Machines that earlier leaders may have started tasks on.
    pub machines: MachineCounts,
    /// Tasks by verdict; from the moment of reconciliation on as they were then.
    pub verdicts: Counts,
    /// Orders issued for inherited tasks.
    pub orders: u64,
    /// Inherited missing tasks without an order.
    pub not_ordered: usize,
    /// What the phase waits for, and until when at the latest, in milliseconds of the time of day.
    pub waits_for: String,
    /// When the last lease that may run is over.
    pub until_ms: Option<u64>,
    /// Some of the machines that are not accounted for.
    pub unheard: Vec<String>,
    /// Some of the tasks whose job the store does not show.
    pub unknown_tasks: Vec<String>,
}

/// What a reading of the store showed of a job that reports name and this leader does not know.
#[derive(Debug, Clone)]
pub enum JobReading {
    /// It is live.
    Live(Box<StoredJob>),
    /// It is there, and can't be read.
    Unreadable,
    /// It is not there.
    Absent,
    /// The store did not answer.
    Failed,
}

/// The phase as the leader keeps it.
#[derive(Debug, Default)]
pub struct ColdStart {
    /// When the stored state was loaded; `None`: there is no phase.
    began: Option<u64>,
    reconciled: Option<u64>,
    ended: Option<u64>,
    due: u64,
    /// Machines of earlier leaders that the cloud has confirmed as gone.
    gone: BTreeSet<String>,
    inherited: BTreeSet<String>,
    /// When unknown jobs were last asked about, and those whose record can't be read.
    asked: BTreeMap<JobId, u64>,
    unreadable: BTreeSet<JobId>,
    /// Inherited tasks that were missing at reconciliation and have no order yet.
    missing: BTreeSet<TaskId>,
    verdicts: Counts,
    /// Inherited tasks ordered in the phase, and how many orders there were.
    ordered: BTreeSet<TaskId>,
    orders: u64,
    /// Orders that the pace allows now.
    allowed: f64,
    refilled: u64,
    report: Option<ColdStartReport>,
    written: bool,
    writing: bool,
}

impl ColdStart {
    /// Whether inherited tasks are ordered at a pace now.
    fn paces(&self) -> bool {
        self.began.is_some() && self.ended.is_none()
    }
}

impl Scheduler {
    /// Whether tasks of unknown jobs are kept until the store was read after they were reported.
    pub(super) fn keeps_unknown_tasks(&self) -> bool {
        self.config.operator.cold_start.enabled
    }

    /// The stored state is loaded: the phase begins.
    pub(super) fn begin_cold_start(&mut self) {
        if !self.config.operator.cold_start.enabled {
            return;
        }
        let inherited = self.machines.values().filter(|machine| machine.inherited);
        let inherited: BTreeSet<String> = inherited.map(|machine| machine.name.clone()).collect();
        let work = self.jobs.values().any(|job| job.inherited);
        if inherited.is_empty() && !work {
            return;
        }
        let now = self.now;
        self.cold_start = ColdStart { began: Some(now), refilled: now, inherited, ..ColdStart::default() };
    }

    /// The cloud has confirmed that the machine is gone.
    pub(super) fn note_machine_gone(&mut self, name: &str) {
        if self.cold_start.inherited.contains(name) {
            self.cold_start.gone.insert(name.to_string());
        }
    }

    /// How many tasks of an inherited job may be ordered now; of a gang all or none.
    pub(super) fn paced(&mut self, job: &JobId, want: u32) -> u32 {
        let Some(job) = self.jobs.get(job).filter(|job| job.inherited && self.cold_start.paces()) else {
            return want;
        };
        let gang = job.spec.kind == Kind::Gang;
        let pace = self.config.operator.cold_start.pace;
        let passed = self.now.saturating_sub(self.cold_start.refilled) as f64 / limits::SECOND as f64;
        self.cold_start.refilled = self.now;
        let burst = pace.max(1.0);
        self.cold_start.allowed = (self.cold_start.allowed + passed * pace).min(burst);
        let allowed = self.cold_start.allowed;
        match gang {
            // One that is larger than what is ever allowed at once goes when that is there, and others wait after it.
            true if allowed >= f64::from(want).min(burst) => want,
            true => 0,
            false => want.min(allowed.max(0.0) as u32),
        }
    }

    /// A task is about to be ordered.
    pub(super) fn note_order(&mut self, id: TaskId) {
        let inherited = self.jobs.get(&id.job_id).is_some_and(|job| job.inherited);
        if inherited && self.cold_start.paces() {
            self.cold_start.orders += 1;
            self.cold_start.ordered.insert(id);
            self.cold_start.allowed -= 1.0;
            self.cold_start.missing.remove(&id);
        }
    }

    /// A look at the phase, once in a while.
    pub(super) fn cold_start_round(&mut self) {
        if self.cold_start.began.is_none() || self.now < self.cold_start.due {
            return;
        }
        self.cold_start.due = self.now + limits::COLD_START_INTERVAL;
        self.ask_about_unknown_jobs();
        if self.cold_start.ended.is_none() {
            self.advance_cold_start();
        }
        self.write_cold_start();
    }

    /// Every machine is accounted for: the verdicts of this moment count, before anything is ordered on them.
    pub(super) fn note_all_accounted_for(&mut self) {
        if self.cold_start.began.is_none() {
            return;
        }
        let mut counts = Counts::default();
        for (key, (verdict, _)) in self.reconciliation().verdicts() {
            // A job that may use only machines which are accounted for need not wait for the others.
            let ordered = self.cold_start.ordered.contains(&task_id(key));
            counts.add(if ordered { Verdict::Missing } else { verdict });
            if verdict == Verdict::Missing && !ordered {
                self.cold_start.missing.insert(task_id(key));
            }
        }
        self.cold_start.verdicts = counts;
        self.cold_start.reconciled = Some(self.now);
        self.cold_start.due = self.now;
        info!(verdicts = ?self.cold_start.verdicts, "cold start: every machine accounted for");
    }

    fn advance_cold_start(&mut self) {
        if self.cold_start.reconciled.is_none() {
            self.cold_start.verdicts = self.reconciliation().counts();
        }
        let wanted = |jobs: &BTreeMap<JobId, Job>, id: &TaskId| {
            jobs.get(&id.job_id).is_some_and(|job| !job.terminated && job.progress.pending.contains(&id.task))
        };
        let jobs = &self.jobs;
        self.cold_start.missing.retain(|id| wanted(jobs, id));
        if self.cold_start.reconciled.is_some() && self.cold_start.missing.is_empty() {
            self.cold_start.ended = Some(self.now);
            info!(orders = self.cold_start.orders, "cold start: ended");
        }
    }

    /// What is known, as the verdicts need it.
    pub fn reconciliation(&self) -> Reconciliation {
        let mut all = Reconciliation::default();
        for name in &self.cold_start.gone {
            all.learn(Fact::Machine(name.clone(), MachineFact::Gone(GoneBy::CloudWord)));
        }
        for machine in self.machines.values() {
            all.learn(Fact::Machine(machine.name.clone(), machine_fact(machine)));
        }
        for job in self.jobs.values().filter(|job| !job.terminated && job.inherited) {
            let finished = job.progress.succeeded.difference(&job.progress.unrecorded).copied().collect();
            let fact = JobFact::Live { tasks: job.spec.tasks, finished };
            all.learn(Fact::Job(job.spec.job_id.0, fact));
        }
        for job_id in &self.cold_start.unreadable {
            all.learn(Fact::Job(job_id.0, JobFact::Unreadable));
        }
        all
    }

    /// Jobs that reports name and nobody knows: the store is asked, again and again while there are any.
    fn ask_about_unknown_jobs(&mut self) {
        let unknown = self.machines.values().flat_map(|machine| machine.reported.unverified.keys());
        let unknown: BTreeSet<JobId> = unknown.map(|unknown| unknown.task.job_id).collect();
        self.cold_start.asked.retain(|job_id, _| unknown.contains(job_id));
        let (now, asked) = (self.now, &self.cold_start.asked);
        let due = |job_id: &JobId| {
            asked.get(job_id).is_none_or(|at| now >= *at + limits::COLD_START_RETRY_INTERVAL)
        };
        let due: Vec<JobId> = unknown.into_iter().filter(due).take(limits::MAX_COLD_START_READS).collect();
        for job_id in due {
            self.cold_start.asked.insert(job_id, now);
            self.effects.push(Effect::ReadJob { job_id });
        }
    }

    /// The store has answered; the reading left at `sent`.
    pub(super) fn job_read(&mut self, job_id: JobId, sent: u64, reading: JobReading) {
        match reading {
            JobReading::Failed => {}
            JobReading::Unreadable => {
                self.cold_start.unreadable.insert(job_id);
            }
            JobReading::Live(stored) => {
                self.add_job(*stored, true);
                self.adopt_unknown(job_id);
            }
            JobReading::Absent => self.stop_unknown(job_id, sent),
        }
    }

    /// The job is known after all: its tasks are where the newest reports list them. Left to the next reports, they
    /// were ordered a second time in between.
    fn adopt_unknown(&mut self, job_id: JobId) {
        let lists = |machine: &&Machine| {
            machine.reported.unverified.keys().any(|unknown| unknown.task.job_id == job_id)
        };
        let listing: Vec<(String, Vec<ReportedTask>)> = self
            .machines
            .values()
            .filter(lists)
            .map(|machine| (machine.name.clone(), machine.heartbeats.reported_tasks.clone()))
            .collect();
        for (name, listed) in listing {
            self.apply_task_list(&name, &listed);
        }
    }

    /// The job was not there when the store was read after its tasks were reported: it is over, and they end.
    fn stop_unknown(&mut self, job_id: JobId, sent: u64) {
        let now = self.now;
        let mut stopped = Vec::new();
        for machine in self.machines.values_mut() {
            let over: Vec<TaskAttempt> = machine
                .reported
                .unverified
                .iter()
                .filter(|(unknown, seen)| unknown.task.job_id == job_id && **seen < sent)
                .map(|(key, _)| *key)
                .collect();
            for key in over {
                let seen = machine.reported.unverified.remove(&key).unwrap_or(now);
                let seconds = (now - seen) as f64 / limits::SECOND as f64;
                info!(task = %key.task, machine = machine.name, seconds, "orphaned task stopped");
                machine.reported.orphaned.insert(key);
                stopped.push(machine.name.clone());
            }
        }
        for name in stopped {
            self.fleet.direct.insert(name.clone());
            self.request_wake(&name);
        }
    }

    fn write_cold_start(&mut self) {
        let report = self.cold_start_report();
        let same = self
            .cold_start
            .report
            .as_ref()
            .is_some_and(|old| ColdStartReport { updated_ms: old.updated_ms, ..report.clone() } == *old);
        if !same {
            self.cold_start.report = Some(report.clone());
            self.cold_start.written = false;
        }
        if self.cold_start.written || self.cold_start.writing || !self.writes.take_allowing_debt(1.0) {
            return;
        }
        (self.cold_start.written, self.cold_start.writing) = (true, true);
        self.effects.push(Effect::WriteColdStart(Box::new(report)));
    }

    /// The state service has answered the writing of the report.
    pub(super) fn cold_start_written(&mut self, done: bool) {
        self.cold_start.writing = false;
        self.cold_start.written &= done;
    }

    fn cold_start_report(&self) -> ColdStartReport {
        let cold_start = &self.cold_start;
        let began = cold_start.began.unwrap_or(self.now);
        let after = |at: Option<u64>| at.map(|at| (at - began) / 1_000);
        let day = |at: u64| (self.day_ms() + at / 1_000).saturating_sub(self.now / 1_000);
        let unheard = |name: &&String| {
            self.machines.get(*name).is_some_and(|m| machine_fact(m) == MachineFact::Unheard)
        };
        let open: Vec<&String> = cold_start.inherited.iter().filter(unheard).collect();
        let lost = |name: &&String| {
            self.machines.get(*name).is_none_or(|m| m.state == super::model::MachineState::Lost)
        };
        let gone = cold_start.inherited.iter().filter(lost).count();
        let phase = match (cold_start.reconciled, cold_start.ended) {
            (_, Some(_)) => Phase::Ended,
            (Some(_), None) => Phase::Restarting,
            (None, None) => Phase::Reconciling,
        };
        let lease = limits::worker_lease(self.config.workers.lease_s);
        let until = self.unrecorded_renewals_until() + lease;
        let waits_for = match phase {
            Phase::Reconciling => "machines that have not reported".to_string(),
            Phase::Restarting => "places and the pace for missing tasks".to_string(),
            Phase::Ended => String::new(),
        };
        let unknown = self.machines.values().flat_map(|machine| machine.reported.unverified.keys());
        ColdStartReport {
            phase,
            token: self.config.token,
            began_ms: day(began),
            updated_ms: self.day_ms(),
            reconciled_after_ms: after(cold_start.reconciled),
            ended_after_ms: after(cold_start.ended),
            machines: MachineCounts {
                heard: cold_start.inherited.len() - open.len() - gone,
                gone,
                unheard: open.len(),
            },
            verdicts: cold_start.verdicts,
            orders: cold_start.orders,
            not_ordered: cold_start.missing.len(),
            waits_for,
            until_ms: (phase == Phase::Reconciling).then(|| day(until)),
            unheard: open.into_iter().take(limits::MAX_COLD_START_NAMES).cloned().collect(),
            unknown_tasks: unknown
                .take(limits::MAX_COLD_START_NAMES)
                .map(|unknown| unknown.task.to_string())
                .collect(),
        }
    }
}

fn task_id(key: TaskKey) -> TaskId {
    TaskId { job_id: JobId(key.job), task: key.task }
}

/// What this leader knows of a machine.
fn machine_fact(machine: &Machine) -> MachineFact {
    if machine.state == super::model::MachineState::Lost {
        return MachineFact::Gone(GoneBy::LeaseOver);
    }
    if !machine.reconciled {
        // One that no earlier leader knew has nothing of theirs.
        return match machine.inherited {
            true => MachineFact::Unheard,
            false => MachineFact::Heard { number: ReportNumber(0, 0), at: 0, tasks: Vec::new() },
        };
    }
    let reported = |task: &ReportedTask| Reported {
        task: TaskKey { job: task.id.job_id.0, task: task.id.task },
        attempt: task.attempt,
        state: match task.status {
            TaskStatus::Exited(ExitReason::Done) => ReportedState::Done,
            TaskStatus::Exited(_) => ReportedState::Ended,
            _ => ReportedState::Alive,
        },
    };
    MachineFact::Heard {
        number: ReportNumber(machine.heartbeats.newest.agent_epoch, machine.heartbeats.newest.sequence),
        at: machine.heartbeats.last_at,
        tasks: machine.heartbeats.reported_tasks.iter().map(reported).collect(),
    }
}
