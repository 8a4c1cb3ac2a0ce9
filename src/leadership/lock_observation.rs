//! Epoch record and lock as this node last read them from the key-value store, and when the next reading is
//! due.
//!
//! Owned by [`super::Leadership`].

use crate::fencing_token::FencingToken;
use crate::limits;
use crate::protocol::records::Epoch;
use crate::time::Timestamp;
use std::time::Duration;

/// The epoch record with its version.
#[derive(Debug)]
pub(super) struct EpochRecord {
    pub(super) epoch: Epoch,
    pub(super) version: u64,
}

/// A lock that every reading from `since` on has shown free, under the same epoch record and without a loss
/// of the key-value store.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeLock {
    /// Version of the epoch record during that time; zero: there is none.
    pub(super) epoch_version: u64,
    /// Arrival of the first reading that showed it free.
    pub(super) since: Timestamp,
}

/// The last reading of epoch record and lock.
#[derive(Debug)]
pub(super) struct LockObservation {
    epoch: Option<EpochRecord>,
    locked: bool,
    /// When the request of the last successful reading was sent; [`Timestamp::ZERO`]: not in this incarnation.
    read_at: Timestamp,
    /// When the last successful reading arrived; None: not in this incarnation.
    probed_at: Option<Timestamp>,
    next_probe_at: Timestamp,
    probe_in_flight: bool,
    continuously_free: Option<FreeLock>,
}

impl LockObservation {
    /// The state before the first probe, which is due at `now`.
    pub(super) fn new(now: Timestamp) -> Self {
        LockObservation {
            epoch: None,
            locked: true,
            read_at: Timestamp::ZERO,
            probed_at: None,
            next_probe_at: now,
            probe_in_flight: false,
            continuously_free: None,
        }
    }

    pub(super) fn epoch(&self) -> Option<&EpochRecord> {
        self.epoch.as_ref()
    }

    /// When the request of the last successful reading was sent; [`Timestamp::ZERO`]: not in this incarnation.
    pub(super) fn read_at(&self) -> Timestamp {
        self.read_at
    }

    /// Version of the epoch record; zero: there is none.
    pub(super) fn epoch_version(&self) -> u64 {
        self.epoch.as_ref().map_or(0, |record| record.version)
    }

    /// Fencing token of the epoch; zero: there is none.
    pub(super) fn epoch_token(&self) -> FencingToken {
        self.epoch.as_ref().map_or(FencingToken::NONE, |record| record.epoch.token)
    }

    pub(super) fn is_locked(&self) -> bool {
        self.locked
    }

    /// Whether a reading within `limits::LOCK_PROBE_INTERVAL` shows the lock free. The takeover transaction
    /// fails unless the version of the epoch record that was read is still current, so it needs a recent
    /// reading.
    pub(super) fn is_known_free(&self, now: Timestamp) -> bool {
        self.probed_at.is_some_and(|at| now < at + limits::LOCK_PROBE_INTERVAL) && !self.locked
    }

    /// The lock, if the last reading showed it free and the key-value store has not been lost since. None:
    /// held, or not known.
    pub(super) fn continuously_free(&self) -> Option<FreeLock> {
        self.continuously_free
    }

    /// Forgets since when the lock has been free: while the key-value store is lost, another node may take
    /// the lock unnoticed.
    pub(super) fn forget_free_lock(&mut self) {
        self.continuously_free = None;
    }

    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        now >= self.next_probe_at && !self.probe_in_flight
    }

    /// Records that a probe is sent, and that the next one is due after `interval`.
    pub(super) fn start_probe(&mut self, now: Timestamp, interval: Duration) {
        self.probe_in_flight = true;
        self.next_probe_at = now + interval;
    }

    /// Records that no probe is under way any more. Also called when a request other than a probe fails
    /// ([`super::StoreResponse::Failed`]).
    pub(super) fn end_probe(&mut self) {
        self.probe_in_flight = false;
    }

    /// Makes the next probe due now.
    pub(super) fn make_probe_due(&mut self, now: Timestamp) {
        self.next_probe_at = now;
    }

    /// Whether this node knows a later version of the epoch record than `epoch`.
    pub(super) fn is_newer_than(&self, epoch: Option<&(Epoch, u64)>) -> bool {
        match (epoch, &self.epoch) {
            (Some((_, read)), Some(known)) => *read < known.version,
            (None, Some(_)) => true,
            (Some(_) | None, None) => false,
        }
    }

    /// Records the answer, which arrives at `now`, to a probe that was sent at `sent`.
    pub(super) fn record_probe(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        epoch: Option<(Epoch, u64)>,
        locked: bool,
    ) {
        self.read_at = self.read_at.max(sent);
        self.epoch = epoch.map(|(epoch, version)| EpochRecord { epoch, version });
        self.locked = locked;
        let epoch_version = self.epoch_version();
        let seen_free = self.continuously_free.filter(|free| free.epoch_version == epoch_version);
        let since = seen_free.map_or(now, |free| free.since);
        self.continuously_free = (!locked).then_some(FreeLock { epoch_version, since });
        self.probed_at = Some(now);
    }

    /// Records the epoch that this node committed itself.
    pub(super) fn record_own_epoch(&mut self, epoch: Epoch, version: u64) {
        self.epoch = Some(EpochRecord { epoch, version });
    }
}
