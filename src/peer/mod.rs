//! Frames between controllers: a fixed layout each, read in place.

mod codec;
mod layout;
mod request_ids;
mod transport;

pub use codec::{carries, decode, encode};
pub use layout::SUMMARY_MOST;
pub use request_ids::RequestIds;
pub use transport::{listen, send_to};

use crate::leadership::{Message, Status};
use crate::lease::cancellation_log::Attestation;
use crate::scheduler::model::Heartbeat;
use crate::scheduler::TaskCommand;

#[derive(Debug, Clone)]
pub enum Payload {
    Leadership(Status, Message),
    /// (job number, finished, running)
    Summary(Vec<(u64, u32, u32)>),
    /// A heartbeat passed on to the leader, with the stamp of its last heartbeat.
    RelayedHeartbeat {
        id: u64,
        stamp: u64,
        heartbeat: Heartbeat,
    },
    /// The leader's answer to it; without a token it is not entitled to give one.
    RelayedResponse {
        id: u64,
        token: Option<u64>,
        cacheable: bool,
        task_commands: Vec<TaskCommand>,
    },
    /// Machines whose next heartbeat is to be passed on.
    WakeRequest(Vec<String>),
    /// Machines that their leaseholder answered by itself, with the stamp of the leader's last heartbeat.
    ShardHeartbeat {
        id: u64,
        stamp: u64,
        /// These are all that were answered since the last word that was confirmed.
        complete: bool,
        /// None was confirmed yet.
        first_of_incarnation: bool,
        machines: Vec<String>,
    },
    /// The leader has taken note: the leaseholder may go on by itself for so long.
    ShardHeartbeatAck {
        id: u64,
        lease_ms: u32,
    },
    Attestation(Attestation),
}

#[derive(Debug)]
pub struct Received {
    pub from: usize,
    pub incarnation: u64,
    pub payload: Payload,
}

/// Who we are, in every frame.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    pub node: usize,
    pub incarnation: u64,
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
