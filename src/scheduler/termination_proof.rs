//! Proofs that a task is on no machine: what a leader must have before it starts the task elsewhere.

use super::model::Machine;
use crate::limits;
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
        /// Agent epoch and sequence of the heartbeat.
        heartbeat: (u64, u64),
    },
    /// The worker began an agent epoch, and tasks of earlier ones died with their leases.
    NewAgentEpoch {
        /// The new agent epoch.
        agent_epoch: u64,
    },
    /// The worker's lease is over.
    LeaseExpired {
        /// When the last answer was noted that may have renewed it.
        last_renewal: u64,
        /// The leaseholder that told of it, or passed the heartbeat on.
        via: Option<usize>,
        /// When it was counted as over.
        at: u64,
    },
    /// The cloud says that the machine is deleted.
    Deleted,
}

impl TerminationProof {
    /// The lease of this machine is counted as over.
    pub(super) fn lease_expired(machine: &Machine, now: u64) -> Self {
        let answered = machine.last_renewal.at().max(machine.heartbeats.last_at);
        TerminationProof::LeaseExpired { last_renewal: answered, via: machine.route.via, at: now }
    }
}

impl fmt::Display for TerminationProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TerminationProof::NeverSent => f.write_str("start never left"),
            TerminationProof::Exited => f.write_str("exit reported"),
            TerminationProof::NotListed { heartbeat: (agent_epoch, sequence) } => {
                write!(f, "not listed in heartbeat {agent_epoch}/{sequence}")
            }
            TerminationProof::NewAgentEpoch { agent_epoch } => write!(f, "agent epoch {agent_epoch} began"),
            TerminationProof::LeaseExpired { last_renewal: answered, via, at } => {
                let silent_s = at.saturating_sub(*answered) as f64 / limits::SECOND as f64;
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
