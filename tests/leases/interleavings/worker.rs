//! The model of a worker: its tasks, its lease, and the heartbeat whose answer it waits for.

use super::{LEASE, REPORT};
use crate::stand_ins::heartbeat;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{ExitReason, Heartbeat, TaskId, TaskStatus};
use dockpier::scheduler::TaskCommand;
use dockpier::time::Timestamp;
use std::collections::BTreeMap;

/// The watched worker, which knows when its lease really ends.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) sequence: u64,
    pub(super) token: FencingToken,
    pub(super) tasks: BTreeMap<TaskId, (u64, TaskStatus)>,
    /// Sequence and time of the heartbeat that it waits for.
    pub(super) waits: Option<(u64, Timestamp)>,
    pub(super) report_due: Timestamp,
    pub(super) lease_until: Timestamp,
}

impl Worker {
    pub(super) fn heartbeat(&mut self, name: &str) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, (attempt, status))| (*id, *attempt, *status));
        heartbeat(name, self.sequence, self.token, tasks)
    }

    /// Carries commands out; whether its tasks changed.
    pub(super) fn take(&mut self, task_commands: &[TaskCommand]) -> bool {
        let before = self.tasks.clone();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    self.tasks.entry(*id).or_insert((*attempt, TaskStatus::Running));
                }
                TaskCommand::Stop { id, .. } => {
                    if let Some((_, status)) = self.tasks.get_mut(id) {
                        *status = TaskStatus::Exited(ExitReason::Stopped);
                    }
                }
                TaskCommand::Forget { id, .. } => {
                    self.tasks.remove(id);
                }
            }
        }
        self.tasks != before
    }

    /// The answer to a heartbeat has come.
    pub(super) fn answered(&mut self, now: Timestamp, sequence: u64, task_commands: Option<&[TaskCommand]>) {
        let Some((_, sent)) = self.waits.filter(|(waits_for, _)| *waits_for == sequence) else { return };
        self.waits = None;
        let Some(task_commands) = task_commands else {
            self.report_due = now + SECOND;
            return;
        };
        self.token = FencingToken(1);
        self.lease_until = self.lease_until.max(sent + LEASE);
        let changed = self.take(task_commands);
        self.report_due = if changed { now + SECOND / 2 } else { sent + REPORT };
    }
}
