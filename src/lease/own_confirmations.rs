//! The cancellations that this node confirmed, or is about to confirm, to users, and whether a member that does
//! not know one of them may still start its tasks. Also the users' requests to cancel a job, of which the members
//! learn while the transaction is under way.
//!
//! Owned by [`super::cancellation_log::CancellationLog`], which is the only caller.

use crate::limits::{self, plus_clock_drift};
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The node that the epoch record names, as read from the key-value store. Only its present process may start
/// tasks under authority of its own: an earlier leader's authority has ended when a new epoch is committed, and a
/// later leader reads the live jobs after its own takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochLeader {
    /// No node has ever led.
    Nobody,
    /// This node.
    LocalNode,
    /// The member with this number.
    Member(usize),
    /// Not known.
    Unknown,
}

/// A reading of the epoch record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EpochReading {
    /// When the request was sent, on the local clock.
    pub requested_at: Timestamp,
    /// The node that it names.
    pub leader: EpochLeader,
}

impl EpochReading {
    /// No reading.
    pub const NONE: EpochReading =
        EpochReading { requested_at: Timestamp::ZERO, leader: EpochLeader::Unknown };
}

/// A user's request to cancel a job, of which the other members learn before it is carried out.
#[derive(Debug)]
pub(super) struct OwnRequest {
    /// Number in the same sequence as the confirmations.
    pub(super) number: u64,
    requested_at: Timestamp,
    pub(super) job_id: JobId,
    /// Version of the epoch record that its transaction compares.
    epoch_version: u64,
}

/// A cancellation that this incarnation confirmed, or is about to confirm, to a user.
#[derive(Debug)]
pub(super) struct OwnConfirmation {
    /// Consecutive number, from one in each incarnation.
    pub(super) number: u64,
    /// Number of the user's request that led to it, if the members that acknowledged the request start no task
    /// of the job.
    pub(super) request_number: Option<u64>,
    /// When it was recorded here. Its transaction was committed before.
    pub(super) recorded_at: Timestamp,
    pub(super) job_id: JobId,
    /// By node number: until when the member may start tasks of the job if it leads and does not learn of the
    /// cancellation. Later promises to the member do not count: an attestation that is sent after
    /// `recorded_at` includes the cancellation.
    starts_possible_until: Vec<Timestamp>,
    /// Since when no leader may start tasks of the job any more; None: not known.
    starts_ruled_out_at: Option<Timestamp>,
}

impl OwnRequest {
    fn is_valid(&self, now: Timestamp) -> bool {
        now < self.requested_at + limits::CANCELLATION_REQUEST_VALIDITY
    }
}

impl OwnConfirmation {
    /// Records at `now` whether any leader may still start tasks of the job. `knows_cancellation` tells whether the
    /// node with this number knows this cancellation.
    pub(super) fn rule_out_starts(
        &mut self,
        now: Timestamp,
        epoch: EpochReading,
        knows_cancellation: impl Fn(&Self, usize) -> bool,
    ) {
        if self.starts_ruled_out_at.is_some() {
            return;
        }
        let cannot_start = |node: usize| {
            let possible_until = self.starts_possible_until.get(node);
            knows_cancellation(self, node) || possible_until.is_some_and(|until| now >= *until)
        };
        // A reading from before the commit does not show who has read the live jobs since.
        let leader = if epoch.requested_at >= self.recorded_at { epoch.leader } else { EpochLeader::Unknown };
        let ruled_out = match leader {
            EpochLeader::Nobody | EpochLeader::LocalNode => true,
            EpochLeader::Member(node) => cannot_start(node),
            EpochLeader::Unknown => (0..self.starts_possible_until.len()).all(cannot_start),
        };
        self.starts_ruled_out_at = ruled_out.then_some(now);
    }

    /// Whether no leader may start tasks of the job any more.
    pub(super) fn has_ruled_out_starts(&self) -> bool {
        self.starts_ruled_out_at.is_some()
    }

    /// Whether no leader may start tasks of the job any more, and no leaseholder can still pass on a start that a
    /// leader sent before.
    pub(super) fn is_safe_from_starts(&self, now: Timestamp) -> bool {
        let relay_time = plus_clock_drift(limits::RELAY_TIMEOUT);
        self.starts_ruled_out_at.is_some_and(|ruled_out_at| now >= ruled_out_at + relay_time)
    }
}

/// The cancellations that this incarnation confirmed, or is about to confirm, to users, and the requests to cancel.
#[derive(Debug, Default)]
pub(super) struct OwnConfirmations {
    /// The oldest first.
    confirmations: VecDeque<OwnConfirmation>,
    /// The oldest first.
    requests: VecDeque<OwnRequest>,
    /// Number of the last confirmation or request; zero: none.
    last_number: u64,
}

impl OwnConfirmations {
    /// Number of the last confirmation or request; zero: none.
    pub(super) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// When the last confirmation was recorded; None: there is none.
    pub(super) fn last_recorded_at(&self) -> Option<Timestamp> {
        self.confirmations.back().map(|own| own.recorded_at)
    }

    /// The confirmation of this job's cancellation.
    pub(super) fn of_job(&self, job_id: JobId) -> Option<&OwnConfirmation> {
        self.confirmations.iter().rev().find(|own| own.job_id == job_id)
    }

    /// Confirmations with a number above `number`, the oldest first.
    pub(super) fn after(&self, number: u64) -> impl Iterator<Item = &OwnConfirmation> {
        self.confirmations.range(self.first_after(number)..)
    }

    /// As [`OwnConfirmations::after`].
    pub(super) fn after_mut(&mut self, number: u64) -> impl Iterator<Item = &mut OwnConfirmation> {
        let first = self.first_after(number);
        self.confirmations.range_mut(first..)
    }

    /// Position of the first confirmation with a number above `number`. They are in the order of their numbers.
    fn first_after(&self, number: u64) -> usize {
        self.confirmations.partition_point(|own| own.number <= number)
    }

    /// Requests with a number above `number` that are still valid, the oldest first.
    pub(super) fn requests_after(&self, now: Timestamp, number: u64) -> impl Iterator<Item = &OwnRequest> {
        self.requests.iter().filter(move |own| own.number > number && own.is_valid(now))
    }

    /// Records a user's request to cancel a job. False: one with the same transaction is still valid.
    pub(super) fn record_request(&mut self, now: Timestamp, job_id: JobId, epoch_version: u64) -> bool {
        while self.requests.front().is_some_and(|own| !own.is_valid(now)) {
            self.requests.pop_front();
        }
        if self.request_number(now, job_id, epoch_version).is_some() {
            return false;
        }
        self.last_number += 1;
        self.requests.push_back(OwnRequest {
            number: self.last_number,
            requested_at: now,
            job_id,
            epoch_version,
        });
        true
    }

    /// Number of the request to cancel this job whose transaction compares this version of the epoch record, if it
    /// is still valid.
    pub(super) fn request_number(&self, now: Timestamp, job_id: JobId, epoch_version: u64) -> Option<u64> {
        let is_wanted = |own: &&OwnRequest| (own.job_id, own.epoch_version) == (job_id, epoch_version);
        let request = self.requests.iter().find(|own| is_wanted(own) && own.is_valid(now));
        request.map(|own| own.number)
    }

    /// Records a cancellation that was not recorded before.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        job_id: JobId,
        request_number: Option<u64>,
        starts_possible_until: Vec<Timestamp>,
    ) {
        self.last_number += 1;
        self.confirmations.push_back(OwnConfirmation {
            number: self.last_number,
            request_number,
            recorded_at: now,
            job_id,
            starts_possible_until,
            starts_ruled_out_at: None,
        });
    }

    /// Forgets confirmations that were recorded `retention` ago.
    pub(super) fn forget_old(&mut self, now: Timestamp, retention: Duration) {
        while self.confirmations.front().is_some_and(|own| now >= own.recorded_at + retention) {
            self.confirmations.pop_front();
        }
    }
}
