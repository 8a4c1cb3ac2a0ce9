//! Proofs that a task is on no machine: what a leader must have before it starts the task elsewhere.

use super::HeartbeatNumber;
use crate::time::{as_seconds, Timestamp};
use std::fmt;

/// Why a task is known to be gone from a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationProof {
    /// Its start never left the leader.
    NeverSent,
    /// The worker reported that it exited.
    Exited,
    /// A heartbeat that is newer than its start does not list it.
    NotListed {
        /// The heartbeat that does not list it.
        heartbeat: HeartbeatNumber,
    },
    /// The worker began a new agent epoch; the tasks of earlier ones ended with their leases.
    NewAgentEpoch {
        /// The new agent epoch.
        agent_epoch: u64,
    },
    /// The worker's lease has expired.
    LeaseExpired {
        /// When the lease may last have been renewed.
        last_renewal: Timestamp,
        /// The leaseholder that renewed it or relayed the heartbeat. None: the leader itself.
        via: Option<usize>,
        /// When it was counted as expired.
        at: Timestamp,
    },
    /// The cloud says that the machine is deleted.
    Deleted,
}

impl fmt::Display for TerminationProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TerminationProof::NeverSent => f.write_str("start never left"),
            TerminationProof::Exited => f.write_str("exit reported"),
            TerminationProof::NotListed { heartbeat: HeartbeatNumber { agent_epoch, sequence } } => {
                write!(f, "not listed in heartbeat {agent_epoch}/{sequence}")
            }
            TerminationProof::NewAgentEpoch { agent_epoch } => write!(f, "agent epoch {agent_epoch} began"),
            TerminationProof::LeaseExpired { last_renewal, via, at } => {
                let silent_s = as_seconds(at.since(*last_renewal));
                write!(f, "lease ended {silent_s:.3} s after the last answer")?;
                via.map_or(Ok(()), |node| write!(f, " by way of node {node}"))
            }
            TerminationProof::Deleted => f.write_str("deleted by the cloud"),
        }
    }
}

/// Where a task was last, and why it is not there any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreviousPlacement {
    /// The machine's name.
    pub machine: String,
    /// The proof.
    pub proof: TerminationProof,
}

impl fmt::Display for PreviousPlacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.machine, self.proof)
    }
}
