//! What happened on the workers, by their own records.

use dockpier::scheduler::model::{JobId, Kind, TaskId};
use dockpier::scheduler::Scheduler;
use dockpier::time::{as_seconds, from_seconds, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a replica that had served did not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disruption {
    /// The replica.
    pub task: TaskId,
    /// From when.
    pub from: Timestamp,
    /// Until when; `None`: it still does not.
    pub until: Option<Timestamp>,
}

/// A task that runs on a worker that is up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningTask<'a> {
    /// The task.
    pub(crate) id: TaskId,
    /// The worker's zone.
    pub(crate) zone: &'a str,
}

/// What the records need to know of a job, also after it has ended.
#[derive(Debug, Clone, Copy)]
struct JobFacts {
    service: bool,
    runs_s: f64,
}

/// The records of all workers.
#[derive(Debug, Default)]
pub struct History {
    /// Where each task runs now.
    running: BTreeMap<TaskId, BTreeSet<String>>,
    /// Tasks that were on two machines at once.
    pub ran_twice: BTreeSet<TaskId>,
    /// Start commands, by task and attempt.
    pub start_commands: BTreeMap<(TaskId, u64), usize>,
    /// Starts of each task.
    pub starts: BTreeMap<TaskId, usize>,
    /// Time for which replicas did not serve, by job.
    pub disruptions: Vec<Disruption>,
    /// Tasks of arrays and gangs that ended without saving or finishing, with the seconds that they had run.
    pub lost_work: Vec<(TaskId, f64)>,
    /// Tasks that finished.
    pub finished: BTreeSet<TaskId>,
    /// Machines given back or deleted.
    pub returned: BTreeSet<String>,
    /// The fewest replicas that each service had running in each zone, once it had all.
    pub fewest: BTreeMap<(JobId, String), usize>,
    jobs: BTreeMap<JobId, JobFacts>,
    /// When each task last started.
    since: BTreeMap<TaskId, Timestamp>,
    /// Tasks that have saved a checkpoint since they started.
    saved: BTreeSet<TaskId>,
    /// Services that had all replicas running at some time.
    complete: BTreeSet<JobId>,
}

impl History {
    pub(crate) fn started(&mut self, now: Timestamp, id: TaskId, machine: &str) {
        let on = self.running.entry(id).or_default();
        on.insert(machine.to_string());
        if on.len() > 1 {
            self.ran_twice.insert(id);
        }
        self.since.insert(id, now);
        self.saved.remove(&id);
        *self.starts.entry(id).or_default() += 1;
        let open = self.disruptions.iter_mut().find(|d| d.task == id && d.until.is_none());
        if let Some(disruption) = open {
            disruption.until = Some(now);
        }
    }

    pub(crate) fn record_start_command(&mut self, id: TaskId, attempt: u64) {
        *self.start_commands.entry((id, attempt)).or_default() += 1;
    }

    pub(crate) fn saved(&mut self, id: TaskId) {
        self.saved.insert(id);
    }

    pub(crate) fn finished(&mut self, id: TaskId, machine: &str) {
        self.finished.insert(id);
        self.leave(id, machine);
    }

    /// A task ended without finishing.
    pub(crate) fn ended(&mut self, now: Timestamp, id: TaskId, machine: &str) {
        if !self.leave(id, machine) {
            return;
        }
        let Some(facts) = self.jobs.get(&id.job_id).copied() else { return };
        if facts.service {
            self.disruptions.push(Disruption { task: id, from: now, until: None });
        } else if !self.saved.remove(&id) {
            let ran = now.since(self.since.get(&id).copied().unwrap_or(now));
            self.lost_work.push((id, as_seconds(ran)));
        }
    }

    fn leave(&mut self, id: TaskId, machine: &str) -> bool {
        self.running.get_mut(&id).is_some_and(|on| on.remove(machine))
    }

    /// A user cancelled the job: it is not missed any more.
    pub(crate) fn forget_job(&mut self, job_id: JobId) {
        self.jobs.remove(&job_id);
        self.complete.remove(&job_id);
        self.disruptions.retain(|d| d.task.job_id != job_id || d.until.is_some());
    }

    /// When a task that begins now is through.
    pub(crate) fn runs_until(&self, now: Timestamp, id: TaskId) -> Timestamp {
        match self.jobs.get(&id.job_id) {
            Some(facts) if !facts.service => now + from_seconds(facts.runs_s),
            _ => Timestamp::MAX,
        }
    }

    /// Looks at every running task: learns of new jobs, and keeps the fewest replicas of each complete service.
    pub(crate) fn observe<'a>(
        &mut self,
        scheduler: &Scheduler,
        running_tasks: impl Iterator<Item = RunningTask<'a>>,
    ) {
        for job in scheduler.jobs.values() {
            let service = job.spec.kind == Kind::Service;
            let facts = JobFacts { service, runs_s: job.spec.estimate_s };
            self.jobs.entry(job.spec.job_id).or_insert(facts);
        }
        let mut by_zone: BTreeMap<(JobId, String), usize> = BTreeMap::new();
        let mut all: BTreeMap<JobId, u32> = BTreeMap::new();
        for RunningTask { id, zone } in running_tasks {
            if self.jobs.get(&id.job_id).is_some_and(|facts| facts.service) {
                *by_zone.entry((id.job_id, zone.to_string())).or_default() += 1;
                *all.entry(id.job_id).or_default() += 1;
            }
        }
        for (job_id, running) in all {
            if scheduler.jobs.get(&job_id).is_some_and(|job| job.spec.tasks == running) {
                self.complete.insert(job_id);
            }
        }
        self.note_fewest(&scheduler.config.zones, &by_zone);
    }

    /// Lowers each complete service's fewest replicas of a zone to those that run there.
    fn note_fewest(&mut self, zones: &[String], running: &BTreeMap<(JobId, String), usize>) {
        for job_id in &self.complete {
            for zone in zones {
                let key = (*job_id, zone.clone());
                let here = running.get(&key).copied().unwrap_or(0);
                let fewest = self.fewest.entry(key).or_insert(here);
                *fewest = (*fewest).min(here);
            }
        }
    }

    /// Tasks that run now.
    pub fn running_tasks(&self) -> usize {
        self.running.values().filter(|on| !on.is_empty()).count()
    }

    /// Start commands so far.
    pub fn ordered(&self) -> usize {
        self.start_commands.values().sum()
    }

    /// Replicas that serve now.
    pub fn running_now(&self) -> usize {
        let services =
            self.running.iter().filter(|(id, _)| self.jobs.get(&id.job_id).is_some_and(|f| f.service));
        services.filter(|(_, on)| !on.is_empty()).count()
    }

    /// Seconds for which replicas of these jobs did not serve, within the last `window_s`.
    pub fn replica_s(&self, now: Timestamp, window_s: f64, of: impl Fn(JobId) -> bool) -> f64 {
        let begins = now - from_seconds(window_s);
        let own = self.disruptions.iter().filter(|d| of(d.task.job_id));
        let lasted = own.map(|d| d.until.unwrap_or(now).min(now).since(d.from.max(begins)));
        as_seconds(lasted.sum())
    }

    /// The most replicas of these jobs that did not serve at the same time.
    pub fn most_at_once(&self, now: Timestamp, of: impl Fn(JobId) -> bool) -> usize {
        let own: Vec<&Disruption> = self.disruptions.iter().filter(|d| of(d.task.job_id)).collect();
        let down = |at: Timestamp| {
            own.iter()
                .filter(|d| d.from <= at && d.until.unwrap_or(now + Duration::from_micros(1)) > at)
                .count()
        };
        own.iter().map(|d| down(d.from)).max().unwrap_or(0)
    }
}
