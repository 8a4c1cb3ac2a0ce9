//! State of the cancellation log for one other member: which of this node's confirmed cancellations the
//! member has acknowledged, and up to when this node knows every cancellation that the member confirmed.
//!
//! Owned by [`super::cancellation_log::CancellationLog`], which is the only caller.

use super::cancellation_log::Attestation;
use crate::limits::{self, minus_clock_drift};
use crate::time::Timestamp;
use std::time::Duration;

/// State of the cancellation log for one other member.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Member {
    /// Its current incarnation, once a heartbeat has shown that it sends attestations. None: it runs an
    /// earlier version, or no heartbeat has arrived yet.
    incarnation: Option<u64>,
    /// Its last heartbeat has shown that it sends no attestations, so it does not rely on this node's
    /// attestations either.
    sends_no_attestations: bool,
    /// The send time of its last heartbeat, on its clock.
    heartbeat_stamp: Timestamp,
    /// Number of this node's last confirmation that the member's current incarnation has acknowledged.
    acknowledged_by_member: u64,
    /// Until when this node has promised to confirm no cancellation that the member has not acknowledged.
    suspended_until: Timestamp,
    /// Number of the member's last confirmation that this node knows.
    last_received_number: u64,
    /// This node knows every cancellation that the member confirmed before then.
    known_until: Timestamp,
}

impl Member {
    /// The state when this process starts, at `now`. An earlier incarnation of this node may have promised
    /// the member, as late as `now`, to suspend confirmations. This incarnation keeps such a promise.
    pub(super) fn new(now: Timestamp) -> Self {
        Member { suspended_until: now + limits::CONFIRMATION_SUSPENSION, ..Member::default() }
    }

    /// Whether this is the incarnation of the member's last heartbeat, and the member sends attestations.
    pub(super) fn is_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == Some(incarnation)
    }

    /// Number of this node's last confirmation that the member's current incarnation has acknowledged.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged_by_member
    }

    /// This node knows every cancellation that the member confirmed before then.
    pub(super) fn known_until(&self) -> Timestamp {
        self.known_until
    }

    /// Whether this node may give a user its confirmation `number` as far as this member is concerned.
    pub(super) fn permits_confirmation(&self, now: Timestamp, number: u64) -> bool {
        self.sends_no_attestations || now >= self.suspended_until || self.acknowledged_by_member >= number
    }

    /// A heartbeat of the member arrived, sent at `stamp` on its clock. `gives_attestations`: the member
    /// sends attestations and accepts them.
    pub(super) fn observe_heartbeat(&mut self, incarnation: u64, gives_attestations: bool, stamp: Timestamp) {
        self.sends_no_attestations = !gives_attestations;
        // Incarnation zero is treated as unknown.
        let incarnation = Some(incarnation).filter(|incarnation| gives_attestations && *incarnation != 0);
        if self.incarnation != incarnation {
            // A new incarnation has acknowledged no confirmation of this node, and numbers its own from one.
            self.incarnation = incarnation;
            self.acknowledged_by_member = 0;
            self.last_received_number = 0;
        }
        self.heartbeat_stamp = stamp;
    }

    /// This node promises at `now` to suspend confirmations.
    pub(super) fn promise_suspension(&mut self, now: Timestamp) {
        self.suspended_until = self.suspended_until.max(now + limits::CONFIRMATION_SUSPENSION);
    }

    /// The attestation for this member, without this node's own confirmations. None if the member is not
    /// known to accept attestations.
    pub(super) fn attestation(&self, confirmations_suspended: bool) -> Option<Attestation> {
        Some(Attestation {
            for_incarnation: self.incarnation?,
            echo: self.heartbeat_stamp,
            confirmations_suspended,
            acknowledged: self.last_received_number,
            ..Attestation::default()
        })
    }

    /// Applies an attestation that answers a heartbeat of the local node's current incarnation.
    /// `store_read_at`: when the request was sent that last read the live jobs. Returns whether the
    /// attestation reports new cancellations.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        attestation: &Attestation,
        store_read_at: Timestamp,
    ) -> bool {
        self.acknowledged_by_member = self.acknowledged_by_member.max(attestation.acknowledged);
        // An attestation that a later one overtook reports nothing new: the later one included its
        // cancellations.
        let has_new = attestation.last_number > self.last_received_number;
        self.last_received_number = self.last_received_number.max(attestation.last_number);
        let incarnation_began = now - minus_clock_drift(attestation.incarnation_age);
        // If the incarnation began after the time up to which this node knows every cancellation, an earlier
        // incarnation may have confirmed some in between, which the member no longer knows.
        if incarnation_began <= self.known_until.max(store_read_at) {
            let suspension = if attestation.confirmations_suspended {
                minus_clock_drift(limits::CONFIRMATION_SUSPENSION)
            } else {
                Duration::ZERO
            };
            self.known_until = self.known_until.max(attestation.echo + suspension);
        }
        has_new
    }
}
