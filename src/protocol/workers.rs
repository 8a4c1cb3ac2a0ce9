//! Workers' heartbeats, their responses, and commands to workers.

pub use super::checkin::{Checkin as HeartbeatRequest, CheckinTask as HeartbeatTask};
use crate::fencing_token::FencingToken;
use crate::lease::renewal::LeaseRenewal;
use crate::scheduler::model::{ExitReason, Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use serde::{Deserialize, Serialize};
use thiserror::Error;

impl From<&HeartbeatTask> for TaskStatus {
    fn from(task: &HeartbeatTask) -> Self {
        match (task.status.as_str(), task.reason.as_deref()) {
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
            // A task in a state unknown to this version still occupies its machine.
            _ => TaskStatus::Running,
        }
    }
}

/// The name of a reported task is not a job's id and a task's number.
#[derive(Debug, Error)]
#[error("unreadable task {0}")]
pub struct InvalidTaskName(String);

impl TryFrom<&HeartbeatTask> for ReportedTask {
    type Error = InvalidTaskName;

    fn try_from(task: &HeartbeatTask) -> Result<Self, InvalidTaskName> {
        let id = task_id(&task.task).ok_or_else(|| InvalidTaskName(task.task.clone()))?;
        Ok(ReportedTask { id, attempt: task.attempt, status: task.into() })
    }
}

/// A task of the form `job-000412/3`.
fn task_id(name: &str) -> Option<TaskId> {
    let (job_id, task) = name.split_once('/')?;
    Some(TaskId { job_id: JobId::parse(job_id)?, task: task.parse().ok()? })
}

/// A heartbeat lists a task whose name can't be read. It is refused as a whole: a list without that entry would
/// seem to prove that the task has ended.
#[derive(Debug, Error)]
#[error("{source} in a report of {machine}")]
pub struct UnreadableTask {
    /// The machine that reported it.
    pub machine: String,
    /// The name that can't be read.
    pub source: InvalidTaskName,
}

impl TryFrom<HeartbeatRequest> for Heartbeat {
    type Error = UnreadableTask;

    fn try_from(request: HeartbeatRequest) -> Result<Self, UnreadableTask> {
        let machine = request.machine;
        let tasks = match request.tasks.iter().map(ReportedTask::try_from).collect() {
            Ok(tasks) => tasks,
            Err(source) => return Err(UnreadableTask { machine, source }),
        };
        Ok(Heartbeat {
            machine,
            address: request.address,
            machine_type: request.machine_type,
            zone: request.zone,
            spot: request.spot,
            agent_epoch: request.agent_epoch,
            sequence: request.sequence,
            token: request.token,
            notice_s: request.notice_s.filter(|seconds| seconds.is_finite() && *seconds >= 0.0),
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

/// The response to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the leader that it comes from.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Commands to the worker, in order.
    #[serde(rename = "signals")]
    pub commands: Vec<WorkerCommand>,
}

impl HeartbeatResponse {
    /// A response under a leader's fencing token. It renews the worker's lease, so the caller has to hold the proof that
    /// it may.
    pub fn new<'a>(
        token: FencingToken,
        _renewal: LeaseRenewal,
        task_commands: impl IntoIterator<Item = &'a TaskCommand>,
    ) -> Self {
        HeartbeatResponse { token, commands: task_commands.into_iter().map(WorkerCommand::from).collect() }
    }
}

/// The response of a node that does not answer heartbeats itself.
#[derive(Debug, Serialize)]
pub struct Redirect {
    /// The node that does, where it is known.
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Commands sent straight to a worker's address.
#[derive(Debug, Serialize)]
pub struct DirectCommands {
    /// The fencing token of the leader that they come from.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The agent epoch of the worker that is meant.
    #[serde(rename = "watch")]
    pub agent_epoch: u64,
    /// Commands to the worker, in order.
    #[serde(rename = "signals")]
    pub commands: Vec<WorkerCommand>,
}
