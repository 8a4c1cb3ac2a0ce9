//! A worker: executes task commands, and ends its tasks when its lease expires.

use crate::history::{History, RunningTask};
use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::model::{ExitReason, Heartbeat, ReportedTask, TaskId, TaskStatus};
use dockpier::scheduler::TaskCommand;
use dockpier::time::{as_seconds, from_seconds, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rate at which workers fetch images, in GB a second.
pub const FETCH_GB_PER_S: f64 = 0.5;
/// Size of every image, in GB.
const IMAGE_GB: f64 = 1.0;

/// A task on a worker.
#[derive(Debug, Clone)]
pub struct WorkerTask {
    /// The attempt under which it was started.
    pub attempt: u64,
    /// How far it is.
    pub status: TaskStatus,
    /// When it goes on to the next state by itself.
    until: Timestamp,
}

/// A machine with its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its number, by which answers find it.
    pub number: u64,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its agent epoch.
    pub agent_epoch: u64,
    /// Its tasks.
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    /// Its slots.
    pub slots: f64,
    /// It has ended with everything on it.
    pub dead: bool,
    pub(crate) hangs_until: Timestamp,
    pub(crate) taken_at: Option<Timestamp>,
    pub(crate) next_report: Timestamp,
    up_at: Timestamp,
    sequence: u64,
    token: FencingToken,
    answered_at: Timestamp,
    images: BTreeSet<u64>,
}

impl Worker {
    pub(crate) fn new(
        number: u64,
        name: &str,
        zone: &str,
        up_at: Timestamp,
        first: Timestamp,
        slots: f64,
    ) -> Self {
        Worker {
            number,
            name: name.into(),
            zone: zone.into(),
            agent_epoch: 1,
            tasks: BTreeMap::new(),
            slots,
            dead: false,
            hangs_until: Timestamp::ZERO,
            taken_at: None,
            next_report: first,
            up_at,
            sequence: 0,
            token: FencingToken(0),
            answered_at: up_at,
            images: BTreeSet::new(),
        }
    }

    /// Whether the worker is up and does what it should.
    pub fn is_well(&self, now: Timestamp) -> bool {
        !self.dead && now >= self.up_at && now >= self.hangs_until
    }

    /// Whether it has come up at all.
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.up_at
    }

    /// Tasks that run now; none on a machine that is dead or not up yet.
    pub(crate) fn running_tasks(&self, now: Timestamp) -> impl Iterator<Item = RunningTask<'_>> {
        let tasks = self.tasks.iter().filter(move |_| self.is_up(now) && !self.dead);
        tasks
            .filter(|(_, task)| task.status == TaskStatus::Running)
            .map(|(id, _)| RunningTask { id: *id, zone: &self.zone })
    }

    /// Every task ends at once: the machine is dead, or its lease has expired.
    pub(crate) fn lose_tasks(&mut self, now: Timestamp, history: &mut History) {
        let tasks = std::mem::take(&mut self.tasks);
        tasks.keys().for_each(|id| history.ended(now, *id, &self.name));
    }

    pub(crate) fn is_heartbeat_due(&self, now: Timestamp) -> bool {
        self.is_well(now) && now >= self.next_report
    }

    pub(crate) fn heartbeat(&mut self, now: Timestamp) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter();
        let tasks = tasks.map(|(id, t)| ReportedTask { id: *id, attempt: t.attempt, status: t.status });
        Heartbeat {
            machine: self.name.clone(),
            address: String::new(),
            machine_type: crate::MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            spot: false,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self.taken_at.map(|at| as_seconds(at.since(now))),
            tasks: tasks.collect(),
        }
    }

    /// Time passes: an expired lease ends all tasks, and tasks go on to their next state.
    pub(crate) fn work(&mut self, now: Timestamp, lease: Duration, history: &mut History) {
        if !self.is_well(now) {
            return;
        }
        if now > self.answered_at + lease {
            self.lose_tasks(now, history);
            self.agent_epoch += 1;
            self.answered_at = now;
        }
        let Worker { tasks, images, name, .. } = self;
        for (id, task) in tasks.iter_mut().filter(|(_, task)| now >= task.until) {
            match task.status {
                TaskStatus::Fetching => {
                    images.insert(id.job_id.0);
                    (task.status, task.until) = (TaskStatus::Running, history.runs_until(now, *id));
                    history.started(now, *id, name);
                }
                TaskStatus::Running => {
                    (task.status, task.until) = (TaskStatus::Exited(ExitReason::Done), Timestamp::MAX);
                    history.finished(*id, name);
                }
                TaskStatus::Saving => {
                    (task.status, task.until) = (TaskStatus::Exited(ExitReason::Stopped), Timestamp::MAX);
                    history.ended(now, *id, name);
                }
                TaskStatus::Exited(_) => {}
            }
        }
    }

    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        token: FencingToken,
        task_commands: &[TaskCommand],
        history: &mut History,
    ) {
        if !self.is_well(now) || token < self.token {
            return;
        }
        self.token = token;
        self.answered_at = now;
        task_commands.iter().for_each(|command| self.take(now, command, history));
    }

    /// Direct commands carry stops.
    pub(crate) fn take_direct(
        &mut self,
        now: Timestamp,
        task_commands: &[TaskCommand],
        history: &mut History,
    ) {
        if self.is_well(now) {
            let stops = task_commands.iter().filter(|command| matches!(command, TaskCommand::Stop { .. }));
            stops.for_each(|command| self.take(now, command, history));
        }
    }

    fn take(&mut self, now: Timestamp, command: &TaskCommand, history: &mut History) {
        match command {
            TaskCommand::Start { id, attempt } => {
                let fetch = match self.images.contains(&id.job_id.0) {
                    true => 0.0,
                    false => IMAGE_GB / FETCH_GB_PER_S,
                };
                history.record_start_command(*id, *attempt);
                let until = now + from_seconds(fetch);
                let task = WorkerTask { attempt: *attempt, status: TaskStatus::Fetching, until };
                self.tasks.entry(*id).or_insert(task);
            }
            TaskCommand::Stop { id, attempt, grace_s } => {
                let Some(task) = self.tasks.get_mut(id).filter(|task| task.attempt == *attempt) else {
                    return;
                };
                match task.status {
                    TaskStatus::Running if *grace_s > 0.0 => {
                        history.saved(*id);
                        let until = now + from_seconds(*grace_s / 2.0);
                        (task.status, task.until) = (TaskStatus::Saving, until);
                    }
                    TaskStatus::Running | TaskStatus::Fetching => {
                        (task.status, task.until) = (TaskStatus::Exited(ExitReason::Stopped), Timestamp::MAX);
                        history.ended(now, *id, &self.name);
                    }
                    TaskStatus::Saving | TaskStatus::Exited(_) => {}
                }
            }
            TaskCommand::Forget { id, attempt } => {
                let exited = |task: &WorkerTask| matches!(task.status, TaskStatus::Exited(_));
                if self.tasks.get(id).is_some_and(|task| task.attempt == *attempt && exited(task)) {
                    self.tasks.remove(id);
                }
            }
        }
    }
}
