//! Commands that the leader sends to workers, and which of them a worker still has to acknowledge.

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
    /// Discard the result of an exited task.
    Forget {
        /// The task.
        id: TaskId,
        /// The attempt that exited.
        attempt: u64,
    },
}

/// What the next periodic heartbeat of a machine has to acknowledge; `reachability` evaluates this.
#[derive(Debug, Clone, Default)]
pub struct CommandTracker {
    /// Commands in the last response, if that was not relayed by a leaseholder. The next periodic heartbeat
    /// must show the effect of at least one.
    pub unacknowledged: Vec<TaskCommand>,
    /// Whether the last response, not relayed, carried this leader's fencing token to a worker that had not
    /// stated the token yet. The next periodic heartbeat may acknowledge the response by stating it.
    pub token_unacknowledged: bool,
    /// Consecutive heartbeats that did not acknowledge the response before them. From
    /// `MAX_RESPONSES_WITHOUT_EFFECT` on, no task is placed on the machine.
    pub responses_without_effect: u32,
}
