//! State of the cancellation log for one other member: which of this node's confirmed cancellations the
//! member has acknowledged, up to when this node knows every cancellation that the member confirmed, and what
//! each of the two has promised the other about starts of tasks.
//!
//! Owned by [`super::cancellation_log::CancellationLog`], which is the only caller.

use super::attestation::Attestation;
use super::own_confirmations::OwnConfirmation;
use crate::limits::{self, minus_clock_drift, plus_clock_drift};
use crate::time::Timestamp;
use std::time::Duration;

/// A heartbeat of a member.
#[derive(Debug, Clone, Copy)]
pub struct MemberHeartbeat {
    /// The sender's process.
    pub incarnation: u64,
    /// When it was sent, on the sender's clock.
    pub sent: Timestamp,
    /// Whether the sender gives attestations and accepts them.
    pub gives_attestations: bool,
    /// Time since the key-value store last answered the sender.
    pub store_answer_age: Duration,
}

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
    /// When its last heartbeat arrived.
    heartbeat_at: Timestamp,
    /// When the key-value store last answered it, by the arrival of its heartbeats.
    store_answered_at: Timestamp,
    /// Number of this node's last confirmation that the member's current incarnation has acknowledged.
    acknowledged_by_member: u64,
    /// Until when this node has promised to confirm no cancellation that the member has not acknowledged.
    suspended_until: Timestamp,
    /// Number of the member's last confirmation that this node knows.
    last_received_number: u64,
    /// This node knows every cancellation that the member confirmed before then.
    known_until: Timestamp,
    /// Until when this node has promised to confirm no cancellation that the member may not know while it starts
    /// tasks.
    start_promise_given_until: Timestamp,
    /// Until when the member has promised the same to this node.
    start_promise_received_until: Timestamp,
    /// Its current incarnation starts tasks only under such promises, or after a recent reading of the live jobs.
    /// It also accepts requests to cancel.
    limits_starts: bool,
    /// Attestations to the member left out the requests up to this number: it was not known to accept them.
    requests_left_out_until: u64,
}

impl Member {
    /// The state when this process starts, at `now`. An earlier incarnation of this node may have promised
    /// the member, as late as `now`, to suspend confirmations, and given it a promise about starts. This
    /// incarnation keeps such promises.
    pub(super) fn new(now: Timestamp, start_promise: Duration) -> Self {
        Member {
            suspended_until: now + limits::CONFIRMATION_SUSPENSION,
            start_promise_given_until: now + plus_clock_drift(start_promise),
            ..Member::default()
        }
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

    /// Whether the member starts no task of the job because it knows this confirmation, or the user's request that
    /// led to it. A member that sends no attestations follows the changes in the key-value store, so it is taken to
    /// know the cancellation once the store has answered it after the commit; nothing proves that it does.
    pub(super) fn knows_confirmation(&self, own: &OwnConfirmation) -> bool {
        let has_read_store = self.sends_no_attestations && self.store_answered_at >= own.recorded_at;
        let acknowledged = self.acknowledged_by_member;
        let knows_request = |number: u64| number > self.requests_left_out_until && acknowledged >= number;
        has_read_store || acknowledged >= own.number || own.request_number.is_some_and(knows_request)
    }

    /// Whether the member sends no attestations, is in contact, and reaches the key-value store.
    pub(super) fn follows_store(&self, now: Timestamp) -> bool {
        self.sends_no_attestations
            && now < self.heartbeat_at + limits::PEER_TIMEOUT
            && now < self.store_answered_at + limits::STORE_LOST_TIMEOUT
    }

    /// Whether requests to cancel may be included in an attestation to the member that covers the numbers up to
    /// `last_number`.
    pub(super) fn accepts_requests(&mut self, last_number: u64) -> bool {
        if !self.limits_starts {
            self.requests_left_out_until = last_number;
        }
        self.limits_starts
    }

    /// Until when the member may start tasks of a job whose cancellation was committed before `now`, if it does
    /// not learn of it. `unlimited_autonomy`: how long a member that does not limit its starts may lead without
    /// knowing the cancellation.
    pub(super) fn starts_possible_until(&self, now: Timestamp, unlimited_autonomy: Duration) -> Timestamp {
        let after_reading = if self.limits_starts {
            limits::START_TIME_AFTER_READING
        } else if self.sends_no_attestations {
            unlimited_autonomy
        } else {
            // Not heard by this process yet: it may run an earlier version.
            unlimited_autonomy.min(limits::UNKNOWN_MEMBER_AUTONOMY)
        };
        self.start_promise_given_until.max(now + plus_clock_drift(after_reading))
    }

    /// Until when the member has promised to confirm no cancellation that this node may not know while it starts
    /// tasks.
    pub(super) fn start_promise_received_until(&self) -> Timestamp {
        self.start_promise_received_until
    }

    /// A heartbeat of the member arrived at `now`.
    pub(super) fn observe_heartbeat(&mut self, now: Timestamp, heartbeat: MemberHeartbeat) {
        let MemberHeartbeat { incarnation, sent, gives_attestations, store_answer_age } = heartbeat;
        self.sends_no_attestations = !gives_attestations;
        // Incarnation zero is treated as unknown.
        let incarnation = Some(incarnation).filter(|incarnation| gives_attestations && *incarnation != 0);
        if self.incarnation != incarnation {
            // A new incarnation has acknowledged no confirmation of this node, and numbers its own from one. It
            // may run an earlier version.
            self.incarnation = incarnation;
            self.acknowledged_by_member = 0;
            self.last_received_number = 0;
            self.limits_starts = false;
        }
        self.heartbeat_stamp = sent;
        self.heartbeat_at = now;
        if store_answer_age < limits::STORE_LOST_TIMEOUT {
            self.store_answered_at = self.store_answered_at.max(now - store_answer_age);
        }
    }

    /// This node gives the member a promise about starts with an attestation. It counts from the arrival of the
    /// heartbeat that the attestation answers.
    pub(super) fn give_start_promise(&mut self, start_promise: Duration) {
        let until = self.heartbeat_at + plus_clock_drift(start_promise);
        self.start_promise_given_until = self.start_promise_given_until.max(until);
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
        self.limits_starts = attestation.start_promise > Duration::ZERO;
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
        // An incarnation that began under the promise of an earlier one keeps that promise, and gives its own.
        let known_for_starts = self.known_until.max(store_read_at).max(self.start_promise_received_until);
        if incarnation_began <= known_for_starts {
            let until = attestation.echo + minus_clock_drift(attestation.start_promise);
            self.start_promise_received_until = self.start_promise_received_until.max(until);
        }
        has_new
    }
}
