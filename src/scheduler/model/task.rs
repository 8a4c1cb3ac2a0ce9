//! Tasks on machines.

use super::Resources;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// Not running yet: waiting for its image, or for the rest of its gang.
    Fetching,
    Running,
    Saving,
    Exited(ExitReason),
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    pub attempt: u64,
    pub resource_request: Resources,
    /// (agent epoch, sequence) of the heartbeat whose answer bore the start; None until the answer is made.
    pub start_sent_in: Option<(u64, u64)>,
    /// Whether a heartbeat has listed it.
    pub confirmed: bool,
    pub status: TaskStatus,
    /// When this leader first saw it run, if it saw it start.
    pub running_since: Option<u64>,
    pub image: String,
    /// When this leader placed or first saw it: a shrink stops the newest.
    pub placed_at: u64,
    /// When a stop was first asked for, and its grace.
    pub stopping: Option<(u64, f64)>,
}
