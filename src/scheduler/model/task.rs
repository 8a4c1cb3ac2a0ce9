//! Tasks on machines.

use super::{HeartbeatNumber, Resources};
use crate::limits;
use crate::time::{from_seconds, Timestamp};

/// Why a task is not running any more, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// It succeeded.
    Done,
    /// It ended early without a failure: on request, or because other members of its gang were gone or never came.
    Stopped,
    /// It failed.
    Error,
    /// The worker had no resources for it.
    NoRoom,
    /// The worker refused it because something there is in use.
    Busy,
    /// The worker did not know the task.
    Unknown,
}

/// What a worker says of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// Not running yet: waiting for its image, or for the rest of its gang.
    Fetching,
    /// It runs.
    Running,
    /// It was asked to stop and saves a checkpoint.
    Saving,
    /// It has ended.
    Exited(ExitReason),
}

/// A stop that was requested of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopRequest {
    /// When it was first requested with this grace period.
    pub requested_at: Timestamp,
    /// Grace period in which the task may save a checkpoint, in seconds.
    pub grace_s: f64,
}

impl StopRequest {
    /// Whether the task should have ended by `now`.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        now >= self.requested_at + from_seconds(self.grace_s) + limits::STOP_TIMEOUT
    }
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Which start of the task it is.
    pub attempt: u64,
    /// Resources that it takes.
    pub resource_request: Resources,
    /// The heartbeat whose response bore the start. None until that response is made.
    pub start_sent_in: Option<HeartbeatNumber>,
    /// Whether a heartbeat has listed it.
    pub confirmed: bool,
    /// What its worker last said of it.
    pub status: TaskStatus,
    /// When this leader first saw it run. None if it did not see it start.
    pub running_since: Option<Timestamp>,
    /// Name of its image.
    pub image: String,
    /// When this leader placed or first saw it: a shrink stops the newest.
    pub placed_at: Timestamp,
    /// The stop that was requested, if any.
    pub stopping: Option<StopRequest>,
}

impl Placement {
    /// A placement whose start has not left the leader: the task is provably not on the machine.
    pub fn is_unsent(&self) -> bool {
        self.start_sent_in.is_none() && !self.confirmed
    }
}
