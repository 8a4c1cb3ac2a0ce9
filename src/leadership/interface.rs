//! Inputs and outputs of leadership: messages of the peers, responses of the key-value store, and the actions
//! that the controller's event loop carries out.

use crate::fencing_token::FencingToken;
use crate::lease::cancellation_log::Attestation;
use crate::protocol::records::Epoch;
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use std::time::Duration;

/// The status of a node. Every message between controllers carries the sender's, without `ready_machines`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Time since the key-value store last answered this node.
    pub store_answer_age: Duration,
    /// Number of heartbeats that workers sent to this node within `limits::reach_window`.
    pub worker_heartbeats: u32,
    /// Number of machines that a leader counts as ready; not sent to peers.
    pub ready_machines: u32,
    /// Whether the node gives attestations of cancellations and accepts those of others
    /// (`lease::cancellation_log`); nodes that run an earlier release do not.
    pub gives_attestations: bool,
}

/// A message between controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Sent by every node to all others. Asks for a grant if the sender leads or is in keep-alive mode.
    Heartbeat {
        /// Fencing token of a sender that leads or is in keep-alive mode; zero: it does neither.
        token: FencingToken,
        /// Send time on the sender's clock.
        sent: Timestamp,
    },
    /// A grant in answer to a heartbeat with a token.
    Grant {
        /// The token of the heartbeat.
        token: FencingToken,
        /// `sent` of the heartbeat, returned unchanged: on the clock of the node that gets this grant.
        echo: Timestamp,
    },
    /// A candidate asks for a vote.
    VoteRequest {
        /// Send time on the sender's clock.
        sent: Timestamp,
    },
    /// A vote in answer to a request.
    Vote {
        /// `sent` of the request, returned unchanged: on the clock of the node that gets this vote.
        echo: Timestamp,
    },
    /// The leader steps down and names its successor.
    HandOver {
        /// Its fencing token.
        token: FencingToken,
        /// Number of the node that should lead next.
        successor: usize,
    },
}

/// What the controller has to do for leadership. Actions are carried out in the order of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the node with this number.
    Send(usize, Message),
    /// Send this node's attestation of cancellations to the node with this number.
    Attest(usize, Attestation),
    /// Read epoch and lock from the key-value store.
    Probe,
    /// Write epoch and lock with a new lock lease in one compare-and-swap transaction, on condition that the
    /// epoch is still at `version` and, unless `ignore_lock`, the lock is absent.
    TakeOver {
        /// Fencing token of the new epoch.
        token: FencingToken,
        /// Version of the epoch record to be replaced; zero: there is none.
        version: u64,
        /// Whether to take the lock although it is held.
        ignore_lock: bool,
    },
    /// Renew the lock lease.
    Renew {
        /// Id of the lease.
        lease: u64,
    },
    /// End the lock lease, on a best-effort basis.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// This node leads from now on.
    Elected {
        /// Its fencing token.
        token: FencingToken,
        /// Version of its epoch record.
        version: u64,
    },
    /// This node no longer leads. Like a follower with a shard lease (`lease::shard`), it may keep its
    /// workers alive for a limited time.
    Deposed {
        /// End of that time, on its own clock.
        keep_alive_until: Timestamp,
    },
}

/// Outcome of a request to the key-value store.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// The answer to [`Action::Probe`].
    Probed {
        /// When the request was sent, on the local clock.
        sent: Timestamp,
        /// The epoch and the version of its record.
        epoch: Option<(Epoch, u64)>,
        /// Whether the lock is held.
        locked: bool,
    },
    /// The answer to [`Action::TakeOver`]: the transaction was committed.
    TakeoverCommitted {
        /// Id of the new lock lease.
        lease: u64,
        /// Version of the epoch record.
        version: u64,
        /// When the lease was requested, on the local clock.
        lease_sent: Timestamp,
    },
    /// The answer to [`Action::TakeOver`]: refused, or no answer.
    TakeoverFailed {
        /// The lease that was created for it, if any. It has to be revoked.
        lease: Option<u64>,
    },
    /// The answer to [`Action::Renew`].
    Renewed {
        /// Id of the lease.
        lease: u64,
        /// When the request was sent, on the local clock.
        sent: Timestamp,
        /// Whether the lease still runs.
        alive: bool,
    },
    /// A probe, renewal or revocation got no answer.
    Failed,
}

/// Outcome of a peer's attestation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "the actions are to be carried out"]
pub struct AttestationOutcome {
    /// Jobs that this node learnt from it to be cancelled.
    pub cancelled_jobs: Vec<JobId>,
    /// To be carried out.
    pub actions: Vec<Action>,
}

/// Outcome of a request to confirm a cancellation to a user.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "the actions are to be carried out"]
pub struct ConfirmationOutcome {
    /// True when this node first learns that the job has ended, or first records its own confirmation.
    pub is_new: bool,
    /// Whether the cancellation may be confirmed to the user now.
    pub is_permitted: bool,
    /// To be carried out.
    pub actions: Vec<Action>,
}
