//! A worker that sends heartbeats to one of several controllers: its tasks, its agent epoch and its lease.

use crate::SECOND;
use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::model::{ExitReason, Heartbeat, ReportedTask, TaskId, TaskStatus};
use dockpier::scheduler::TaskCommand;
use std::collections::BTreeMap;

/// Time in which an image is fetched.
const FETCH: u64 = 2 * SECOND;
/// The same where the fetch is stuck.
const FETCH_STUCK: u64 = 70 * SECOND;
/// By so much some tasks end late.
const STOP_LATE: u64 = 7 * SECOND;

/// A task on a worker.
struct Task {
    attempt: u64,
    status: TaskStatus,
    /// When it goes on to the next state by itself.
    until: u64,
}

/// What the cloud tells instances apart by.
#[derive(Clone)]
pub struct InstanceKind {
    /// The machine type's name.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// It is a spot instance.
    pub spot: bool,
}

/// A worker on its machine.
pub struct Worker {
    /// Its machine's name.
    pub name: String,
    /// What kind of instance the machine is.
    pub instance: InstanceKind,
    /// The controller that it sends heartbeats to.
    pub node: usize,
    /// When its next heartbeat is due, in microseconds.
    pub heartbeat_due: u64,
    /// It neither sends heartbeats nor takes commands until then.
    pub silent_until: u64,
    /// The highest fencing token that it has been answered with.
    pub token: FencingToken,
    /// Its agent epoch.
    pub agent_epoch: u64,
    sequence: u64,
    answered_at: u64,
    tasks: BTreeMap<TaskId, Task>,
    notice_at: Option<u64>,
}

impl Worker {
    /// A worker that comes up at `up_at`.
    pub fn new(name: String, instance: InstanceKind, node: usize, up_at: u64) -> Self {
        Worker {
            name,
            instance,
            node,
            heartbeat_due: up_at,
            silent_until: up_at,
            token: FencingToken::NONE,
            agent_epoch: 1,
            sequence: 0,
            answered_at: up_at,
            tasks: BTreeMap::new(),
            notice_at: None,
        }
    }

    /// The cloud announces that it takes the machine then.
    pub fn notice(&mut self, at: u64) {
        self.notice_at = Some(at);
    }

    /// Whether the cloud has taken the machine.
    pub fn is_taken(&self, now: u64) -> bool {
        self.notice_at.is_some_and(|at| now >= at)
    }

    /// Whether a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: u64) -> bool {
        now >= self.heartbeat_due.max(self.silent_until)
    }

    /// Its next heartbeat.
    pub fn heartbeat(&mut self, now: u64) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter();
        let tasks = tasks.map(|(id, t)| ReportedTask { id: *id, attempt: t.attempt, status: t.status });
        Heartbeat {
            machine: self.name.clone(),
            address: String::new(),
            machine_type: self.instance.machine_type.clone(),
            zone: self.instance.zone.clone(),
            spot: self.instance.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self.notice_at.map(|at| at.saturating_sub(now) as f64 / SECOND as f64),
            tasks: tasks.collect(),
        }
    }

    /// Time passes: tasks go on, and all end with the lease.
    pub fn work(&mut self, now: u64, lease: u64, runs: impl Fn(TaskId) -> u64) {
        if now < self.silent_until {
            return;
        }
        if now > self.answered_at + lease {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.answered_at = now;
        }
        for (id, task) in self.tasks.iter_mut().filter(|(_, task)| now >= task.until) {
            (task.status, task.until) = match task.status {
                TaskStatus::Fetching => (TaskStatus::Running, now.saturating_add(runs(*id))),
                TaskStatus::Running => (TaskStatus::Exited(end_of(*id, task.attempt)), u64::MAX),
                TaskStatus::Saving => (TaskStatus::Exited(ExitReason::Stopped), u64::MAX),
                TaskStatus::Exited(reason) => (TaskStatus::Exited(reason), u64::MAX),
            };
        }
    }

    /// A heartbeat was answered.
    pub fn answered(&mut self, now: u64, token: FencingToken, commands: &[TaskCommand]) {
        if now < self.silent_until || token < self.token {
            return;
        }
        (self.token, self.answered_at) = (token, now);
        commands.iter().for_each(|command| self.take(now, command));
    }

    /// Commands that came straight from the leader. Returns whether it takes them.
    pub fn take_direct(&mut self, now: u64, agent_epoch: u64, commands: &[TaskCommand]) -> bool {
        let takes = now >= self.silent_until && agent_epoch == self.agent_epoch;
        if takes {
            commands.iter().for_each(|command| self.take(now, command));
        }
        takes
    }

    fn take(&mut self, now: u64, command: &TaskCommand) {
        match command {
            TaskCommand::Start { id, attempt } => {
                let fetch = if draw_of(*id, *attempt) % 17 == 5 { FETCH_STUCK } else { FETCH };
                let task = Task { attempt: *attempt, status: TaskStatus::Fetching, until: now + fetch };
                self.tasks.entry(*id).or_insert(task);
            }
            TaskCommand::Stop { id, attempt, grace_s } => {
                let Some(task) = self.tasks.get_mut(id).filter(|task| task.attempt == *attempt) else {
                    return;
                };
                if let TaskStatus::Fetching | TaskStatus::Running = task.status {
                    let late = if draw_of(*id, *attempt) % 11 == 3 { STOP_LATE } else { 0 };
                    let saves = (*grace_s / 2.0 * SECOND as f64) as u64 + late;
                    (task.status, task.until) = (TaskStatus::Saving, now + saves);
                }
            }
            TaskCommand::Forget { id, attempt } => {
                if self.tasks.get(id).is_some_and(|task| task.attempt == *attempt) {
                    self.tasks.remove(id);
                }
            }
        }
    }
}

/// A number that a task's attempt always has.
fn draw_of(id: TaskId, attempt: u64) -> u64 {
    id.job_id.0 * 31 + u64::from(id.task) * 7 + attempt * 13
}

/// How a task ends: some jobs fail again and again, and of the others a task every now and then.
fn end_of(id: TaskId, attempt: u64) -> ExitReason {
    if id.job_id.0 % 5 == 2 && attempt % 7 != 0 {
        return ExitReason::Error;
    }
    match draw_of(id, attempt) % 23 {
        0 => ExitReason::Error,
        1 => ExitReason::NoRoom,
        2 => ExitReason::Busy,
        _ => ExitReason::Done,
    }
}
