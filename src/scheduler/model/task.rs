//! Tasks on machines: their state as workers report it, and their placements.

use super::{HeartbeatNumber, Resources};
use crate::limits;
use crate::time::{from_seconds, Timestamp};

/// Why a task exited, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// It succeeded.
    Done,
    /// It ended early without a failure: on request, or because other tasks of its gang were lost or did not
    /// start in time.
    Stopped,
    /// It failed.
    Error,
    /// The worker had no resources for it.
    NoRoom,
    /// The worker refused it (reason `in_use` in its heartbeat). Handled like `NoRoom`.
    Busy,
    /// The worker did not know the task (reason `unknown` in its heartbeat). The job backs off.
    Unknown,
}

/// State of a task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// Not running yet: it waits for its image, or for the other tasks of its gang.
    Fetching,
    /// It runs.
    Running,
    /// It was asked to stop and is saving a checkpoint.
    Saving,
    /// It has ended.
    Exited(ExitReason),
}

/// A stop that was requested of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopRequest {
    /// When it was requested. Only a request with a shorter grace period replaces it.
    pub requested_at: Timestamp,
    /// Grace period in which the task may save a checkpoint, in seconds.
    pub grace_s: f64,
}

impl StopRequest {
    /// Whether the task should have ended by `now`: the grace period and `STOP_TIMEOUT` have passed.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        now >= self.requested_at + from_seconds(self.grace_s) + limits::STOP_TIMEOUT
    }
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Which start of the task it is.
    pub attempt: u64,
    /// Resources that it requests.
    pub resource_request: Resources,
    /// Number of the heartbeat whose response contained the start command. None: this leader has sent no
    /// start.
    pub start_sent_in_response_to: Option<HeartbeatNumber>,
    /// Whether a heartbeat has listed it.
    pub confirmed: bool,
    /// State that its worker last reported; `Fetching` before the first report.
    pub status: TaskStatus,
    /// When this leader first saw it run. None if it did not see it start.
    pub running_since: Option<Timestamp>,
    /// Name of its image.
    pub image: String,
    /// When this leader placed it or first saw it. Preemption stops the newest placements of a job first.
    pub placed_at: Timestamp,
    /// The stop that was requested, if any.
    pub stopping: Option<StopRequest>,
}

impl Placement {
    /// Whether the start was never sent and no heartbeat has listed the task: it is provably not on the
    /// machine.
    pub fn is_unsent(&self) -> bool {
        self.start_sent_in_response_to.is_none() && !self.confirmed
    }
}
