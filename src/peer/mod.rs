//! Frames between controllers: a fixed layout each, read in place.

mod codec;
mod error;
mod layout;
mod request_ids;
mod transport;

use crate::fencing_token::FencingToken;
use crate::time::Timestamp;
pub use codec::{decode, encode, fits_frame};
pub use error::FrameError;
pub use layout::MAX_SUMMARY_JOBS;
pub use request_ids::RequestIds;
pub use transport::{listen, send_to};

use crate::leadership::{Message, Status};
use crate::lease::cancellation_log::Attestation;
use crate::scheduler::model::{Heartbeat, JobSummary};
use crate::scheduler::TaskCommand;

/// The content of a frame.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A message of leadership with the sender's status.
    Leadership(Status, Message),
    /// The leader's counts of the jobs of which a task has started.
    Summary(Vec<JobSummary>),
    /// A heartbeat passed on to the leader, with the stamp of its last heartbeat.
    RelayedHeartbeat {
        /// Number of the request.
        id: u64,
        /// Send time of the leader's last heartbeat, on the leader's clock.
        stamp: Timestamp,
        /// The worker's heartbeat.
        heartbeat: Heartbeat,
    },
    /// The leader's answer to it; without a token it is not entitled to give one.
    RelayedResponse {
        /// Number of the request that is answered.
        id: u64,
        /// The leader's fencing token; `None`: the sender may not act.
        token: Option<FencingToken>,
        /// The leaseholder may answer the next unchanged heartbeats by itself.
        leaseholder_may_respond: bool,
        /// Commands for the worker.
        task_commands: Vec<TaskCommand>,
    },
    /// Machines whose next heartbeat is to be passed on.
    WakeRequest(Vec<String>),
    /// Machines that their leaseholder answered by itself, with the stamp of the leader's last heartbeat.
    ShardHeartbeat {
        /// Number of the heartbeat.
        id: u64,
        /// Send time of the leader's last heartbeat, on the leader's clock.
        stamp: Timestamp,
        /// These are all that were answered since the last word that was confirmed.
        complete: bool,
        /// The sender's current incarnation has had no lease under the leader's token.
        without_lease: bool,
        /// Names of the machines answered.
        machines: Vec<String>,
    },
    /// The leader has taken note: the leaseholder may go on by itself for so long.
    ShardHeartbeatAck {
        /// Number of the heartbeat that is acknowledged.
        id: u64,
        /// Length of the shard lease, in milliseconds from when the heartbeat was sent.
        lease_ms: u32,
    },
    /// What the sender attests of cancellations.
    Attestation(Attestation),
}

/// A frame as it was read.
#[derive(Debug)]
pub struct Frame {
    /// Index of the sending node.
    pub node: usize,
    /// The sender's process.
    pub incarnation: u64,
    /// Number of the frame on its connection.
    pub sequence: u64,
    /// The content.
    pub payload: Payload,
}

/// A frame that arrived from a node that there is.
#[derive(Debug)]
pub struct Received {
    /// Index of the sending node.
    pub from: usize,
    /// The sender's process.
    pub incarnation: u64,
    /// The content.
    pub payload: Payload,
}

/// Who we are, in every frame.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// Index of the node.
    pub node: usize,
    /// Drawn at random when the process started.
    pub incarnation: u64,
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
