//! What workers report and are told.

pub use super::checkin::{Checkin as HeartbeatRequest, CheckinTask as HeartbeatTask};
use crate::lease::renewal::LeaseRenewal;
use crate::scheduler::model::{ExitReason, Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use serde::{Deserialize, Serialize};

impl HeartbeatTask {
    fn status(&self) -> TaskStatus {
        match (self.status.as_str(), self.reason.as_deref()) {
            ("fetching" | "waiting", _) => TaskStatus::Fetching,
            ("flushing", _) => TaskStatus::Saving,
            ("exited", Some("done")) => TaskStatus::Exited(ExitReason::Done),
            // A gang's task whose mates are gone or never came has not failed.
            ("exited", Some("halted" | "mates_gone" | "incomplete")) => {
                TaskStatus::Exited(ExitReason::Stopped)
            }
            ("exited", Some("no_room")) => TaskStatus::Exited(ExitReason::NoRoom),
            ("exited", Some("in_use")) => TaskStatus::Exited(ExitReason::Busy),
            ("exited", Some("unknown")) => TaskStatus::Exited(ExitReason::Unknown),
            ("exited", _) => TaskStatus::Exited(ExitReason::Error),
            // A state we do not know still occupies its machine.
            _ => TaskStatus::Running,
        }
    }

    fn id(&self) -> Option<TaskId> {
        let (job_id, task) = self.task.split_once('/')?;
        Some(TaskId { job_id: JobId::parse(job_id)?, task: task.parse().ok()? })
    }
}

/// A heartbeat lists a task whose name can't be read. It cannot be taken at all: a list without that entry would
/// seem to prove that a task is gone.
#[derive(Debug, thiserror::Error)]
#[error("unreadable task {task} in a report of {machine}")]
pub struct UnreadableTask {
    /// The machine that reported it.
    pub machine: String,
    /// What it was called.
    pub task: String,
}

impl TryFrom<HeartbeatRequest> for Heartbeat {
    type Error = UnreadableTask;

    fn try_from(heartbeat_request: HeartbeatRequest) -> Result<Self, UnreadableTask> {
        let mut tasks = Vec::with_capacity(heartbeat_request.tasks.len());
        for task in &heartbeat_request.tasks {
            let Some(id) = task.id() else {
                return Err(UnreadableTask { machine: heartbeat_request.machine, task: task.task.clone() });
            };
            tasks.push(ReportedTask { id, attempt: task.attempt, status: task.status() });
        }
        Ok(Heartbeat {
            machine: heartbeat_request.machine,
            address: heartbeat_request.address,
            machine_type: heartbeat_request.machine_type,
            zone: heartbeat_request.zone,
            spot: heartbeat_request.spot,
            agent_epoch: heartbeat_request.agent_epoch,
            sequence: heartbeat_request.sequence,
            token: heartbeat_request.token,
            notice_s: heartbeat_request.notice_s.filter(|s| s.is_finite() && *s >= 0.0),
            tasks,
        })
    }
}

/// A command to a worker.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(tag = "signal", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// The attempt that it starts under.
        #[serde(rename = "launch")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// The attempt that is meant.
        #[serde(rename = "launch")]
        attempt: u64,
        /// Seconds that it has to save its progress.
        #[serde(rename = "mooring_s")]
        grace_s: f64,
    },
    /// Remove an exited task from the heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// The attempt that is meant.
        #[serde(rename = "launch")]
        attempt: u64,
    },
}

impl From<&TaskCommand> for WorkerCommand {
    fn from(command: &TaskCommand) -> Self {
        match command {
            TaskCommand::Start { id, attempt } => {
                WorkerCommand::Start { task: id.to_string(), attempt: *attempt }
            }
            TaskCommand::Stop { id, attempt, grace_s } => {
                WorkerCommand::Stop { task: id.to_string(), attempt: *attempt, grace_s: *grace_s }
            }
            TaskCommand::Forget { id, attempt } => {
                WorkerCommand::Forget { task: id.to_string(), attempt: *attempt }
            }
        }
    }
}

/// The answer to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    /// The token of the leader that it comes from.
    #[serde(rename = "helm")]
    pub token: u64,
    /// What the worker is to do, in order.
    #[serde(rename = "signals")]
    pub commands: Vec<WorkerCommand>,
}

impl HeartbeatResponse {
    /// An answer under a leader's token, which renews the worker's lease.
    pub fn new<'a>(
        token: u64,
        _renewal: LeaseRenewal,
        task_commands: impl IntoIterator<Item = &'a TaskCommand>,
    ) -> Self {
        HeartbeatResponse { token, commands: task_commands.into_iter().map(WorkerCommand::from).collect() }
    }
}

/// The answer of a node that does not act for the controllers.
#[derive(Debug, Serialize)]
pub struct Redirect {
    /// The node to report to instead, where it is known.
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Commands sent straight to a worker's address.
#[derive(Debug, Serialize)]
pub struct DirectCommands {
    /// The token of the leader that they come from.
    #[serde(rename = "helm")]
    pub token: u64,
    /// The agent epoch of the worker that is meant.
    #[serde(rename = "watch")]
    pub agent_epoch: u64,
    /// What the worker is to do, in order.
    #[serde(rename = "signals")]
    pub commands: Vec<WorkerCommand>,
}
