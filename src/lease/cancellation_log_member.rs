//! What the cancellation log knows of one other member: which of this node's confirmed cancellations the member has
//! acknowledged, and up to when this node knows every cancellation that the member confirmed.
//!
//! Owned by [`super::cancellation_log::CancellationLog`], which is the only caller.

use super::cancellation_log::Attestation;
use crate::limits::{self, shortened};
use crate::time::Timestamp;
use std::time::Duration;

/// One other member, as the cancellation log knows it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Member {
    /// Its present incarnation, once a heartbeat has shown that it attests. None: an earlier version, or no heartbeat
    /// yet.
    incarnation: Option<u64>,
    /// Its heartbeats have shown that it does not attest, so it does not rely on attestations of ours either.
    never_attests: bool,
    /// The send time of its last heartbeat, on its clock.
    heartbeat_stamp: Timestamp,
    /// The highest number of our confirmations that this incarnation has acknowledged.
    acknowledged: u64,
    /// Until then this node has promised to confirm nothing that the member has not acknowledged.
    suspended_until: Timestamp,
    /// The highest number of its confirmations that is known here.
    received: u64,
    /// Every cancellation that it confirmed before then is known here.
    known_until: Timestamp,
}

impl Member {
    /// A member to which an earlier incarnation of this node may have promised to suspend confirmations right before it
    /// ended at `now`.
    pub(super) fn new(now: Timestamp) -> Self {
        Member { suspended_until: now + limits::CONFIRMATION_SUSPENSION, ..Member::default() }
    }

    /// Whether this is the incarnation that the member's last heartbeat showed, of a version that attests.
    pub(super) fn is_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == Some(incarnation)
    }

    /// The highest number of our confirmations that it has acknowledged.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Every cancellation that it confirmed before then is known here.
    pub(super) fn known_until(&self) -> Timestamp {
        self.known_until
    }

    /// Whether this node may confirm the cancellation with this number, as far as this member is concerned.
    pub(super) fn permits_confirmation(&self, now: Timestamp, number: u64) -> bool {
        self.never_attests || now >= self.suspended_until || self.acknowledged >= number
    }

    /// A heartbeat of the member arrived, sent at `stamp` on its clock.
    pub(super) fn observe_heartbeat(&mut self, incarnation: u64, attests: bool, stamp: Timestamp) {
        self.never_attests = !attests;
        let incarnation = Some(incarnation).filter(|incarnation| attests && *incarnation != 0);
        if self.incarnation != incarnation {
            // Another incarnation has acknowledged nothing of ours, and numbers its confirmations from the beginning.
            self.incarnation = incarnation;
            self.acknowledged = 0;
            self.received = 0;
        }
        self.heartbeat_stamp = stamp;
    }

    /// This node promises at `now` to suspend confirmations.
    pub(super) fn promise_suspension(&mut self, now: Timestamp) {
        self.suspended_until = self.suspended_until.max(now + limits::CONFIRMATION_SUSPENSION);
    }

    /// The attestation for this member, without this node's own confirmations. None for a member that does not take
    /// attestations.
    pub(super) fn attestation(&self, confirmations_suspended: bool) -> Option<Attestation> {
        Some(Attestation {
            for_incarnation: self.incarnation?,
            echo: self.heartbeat_stamp,
            confirmations_suspended,
            acknowledged: self.received,
            ..Attestation::default()
        })
    }

    /// Applies an attestation that answers a heartbeat of this incarnation of the local node. `store_read_at`: when the
    /// live jobs were last requested. Returns whether it reports cancellations for the first time.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        attestation: &Attestation,
        store_read_at: Timestamp,
    ) -> bool {
        self.acknowledged = self.acknowledged.max(attestation.acknowledged);
        // An attestation that was overtaken reports nothing that the later one did not report.
        let has_new = attestation.last > self.received;
        self.received = self.received.max(attestation.last);
        let incarnation_began = now - shortened(attestation.incarnation_age);
        // Otherwise there is a gap: the member does not know what its earlier incarnation confirmed.
        if incarnation_began <= self.known_until.max(store_read_at) {
            let suspension = if attestation.confirmations_suspended {
                shortened(limits::CONFIRMATION_SUSPENSION)
            } else {
                Duration::ZERO
            };
            self.known_until = self.known_until.max(attestation.echo + suspension);
        }
        has_new
    }
}
