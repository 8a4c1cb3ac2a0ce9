//! Attestations: what the members of a cluster state to each other about cancellations, and what changes when a
//! node applies one. [`super::cancellation_log`] creates and applies them.

use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use std::time::Duration;

/// What a member states about the cancellations that it confirmed, in answer to a heartbeat of the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Attestation {
    /// The incarnation of the receiver for which it is valid.
    pub for_incarnation: u64,
    /// Send time of the heartbeat that it answers, on the receiver's clock.
    pub echo: Timestamp,
    /// How long the sender's process has been running.
    pub incarnation_age: Duration,
    /// Whether the sender promises to confirm no cancellation that the receiver has not acknowledged, for
    /// `limits::CONFIRMATION_SUSPENSION`.
    pub confirmations_suspended: bool,
    /// For this long, counted from the arrival of the heartbeat that it answers, the sender promises to confirm
    /// no cancellation that the receiver may not know while it starts tasks. Zero: an earlier version, which
    /// promises nothing.
    pub start_promise: Duration,
    /// Number of the receiver's last confirmation that the sender knows. Each incarnation numbers its
    /// confirmations from one; zero: none.
    pub acknowledged: u64,
    /// Number of the sender's last confirmation.
    pub last_number: u64,
    /// Job ids of the sender's confirmations up to `last_number` that the receiver has not acknowledged.
    pub cancelled: Vec<u64>,
    /// Job ids of the requests to cancel up to `last_number` that the receiver has not acknowledged. Their
    /// transactions may be under way.
    pub requested: Vec<u64>,
}

/// The changes made by an attestation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AppliedAttestation {
    /// Cancelled jobs that this node did not yet know to have ended.
    pub cancelled_jobs: Vec<JobId>,
    /// Whether the member reported cancellations that it had not reported before.
    pub has_new: bool,
}
