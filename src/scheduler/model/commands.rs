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
    /// Discard the result of an exited task and stop listing it in heartbeats.
    Forget {
        /// The task.
        id: TaskId,
        /// The attempt that exited.
        attempt: u64,
    },
}

/// What the next periodic heartbeat of a machine has to acknowledge; `response_delivery` evaluates this.
#[derive(Debug, Clone, Default)]
pub struct CommandTracker {
    /// Commands in the last response, if it went directly to the worker; empty if it was relayed, since a
    /// response that is lost on the way to the relay says nothing about the machine. If the next periodic
    /// heartbeat shows no effect of any of these commands, the machine may not be receiving responses.
    pub unacknowledged: Vec<TaskCommand>,
    /// Whether the last response went directly to a worker that had not stated this leader's fencing token
    /// yet. The next periodic heartbeat acknowledges the response by stating the token.
    pub awaits_token_echo: bool,
    /// Consecutive heartbeats that did not acknowledge the response before them. From
    /// `MAX_RESPONSES_WITHOUT_EFFECT` on, no task is placed on the machine.
    pub responses_without_effect: u32,
}
