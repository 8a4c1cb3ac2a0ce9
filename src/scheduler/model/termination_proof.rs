//! Proofs that a task is no longer on a machine. A leader needs one before it starts the task elsewhere.

use super::HeartbeatNumber;
use crate::time::{as_seconds, Timestamp};
use std::fmt;

/// Why a task is provably not on a machine any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationProof {
    /// The leader never sent its start command.
    NeverSent,
    /// The worker reported that it exited.
    Exited,
    /// A heartbeat that is newer than its start command does not list it.
    NotListed {
        /// The heartbeat that does not list it.
        heartbeat: HeartbeatNumber,
    },
    /// The worker began a new agent epoch; the tasks of earlier agent epochs ended with their leases.
    NewAgentEpoch {
        /// The new agent epoch.
        agent_epoch: u64,
    },
    /// The worker's lease has expired.
    LeaseExpired {
        /// The last renewal that this leader recorded: the later of the last response and the last heartbeat.
        lease_renewed_at: Timestamp,
        /// Index of the node that relayed the last heartbeat. None: it came directly to the leader.
        relayed_by: Option<usize>,
        /// When the leader detected the expiry.
        at: Timestamp,
    },
    /// The cloud has confirmed that the machine is deleted.
    Deleted,
}

impl fmt::Display for TerminationProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TerminationProof::NeverSent => f.write_str("start command never sent"),
            TerminationProof::Exited => f.write_str("exit reported by the worker"),
            TerminationProof::NotListed { heartbeat: HeartbeatNumber { agent_epoch, sequence } } => {
                write!(f, "not listed in heartbeat {sequence} of agent epoch {agent_epoch}")
            }
            TerminationProof::NewAgentEpoch { agent_epoch } => {
                write!(f, "worker began agent epoch {agent_epoch}, so its earlier tasks have ended")
            }
            TerminationProof::LeaseExpired { lease_renewed_at, relayed_by, at } => {
                let since_renewal_s = as_seconds(at.since(*lease_renewed_at));
                write!(f, "lease expired {since_renewal_s:.3} s after its last renewal")?;
                relayed_by.map_or(Ok(()), |node| write!(f, ", last heartbeat via node {node}"))
            }
            TerminationProof::Deleted => f.write_str("deletion confirmed by the cloud"),
        }
    }
}

/// The machine that a task was on last, and the proof that it is not there any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreviousPlacement {
    /// The machine's name.
    pub machine: String,
    /// Proof that the task has ended there.
    pub proof: TerminationProof,
}

impl fmt::Display for PreviousPlacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.machine, self.proof)
    }
}
