//! Commands to workers, and how far their effect has been seen.

use super::TaskId;

/// A command to a worker about one of its tasks.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskCommand {
    /// Start the task.
    Start {
        /// The task.
        id: TaskId,
        /// The attempt to start.
        attempt: u64,
    },
    /// Stop the task.
    Stop {
        /// The task.
        id: TaskId,
        /// The attempt to stop.
        attempt: u64,
        /// Grace period in which the task may save a checkpoint, in seconds.
        grace_s: f64,
    },
    /// Drop the result of an exited task.
    Forget {
        /// The task.
        id: TaskId,
        /// The attempt that exited.
        attempt: u64,
    },
}

/// Commands whose effect the next heartbeat has to show.
#[derive(Debug, Clone, Default)]
pub struct CommandTracker {
    /// Commands in the last response. The next heartbeat must show the effect of at least one.
    pub unacknowledged: Vec<TaskCommand>,
    /// Whether the last response was the first to bear this leader's fencing token to the worker.
    pub token_unacknowledged: bool,
    /// Heartbeats in a row that show no effect of the response before them.
    pub unacknowledged_heartbeats: u32,
}
