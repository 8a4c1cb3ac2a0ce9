//! A leader's record of worker leases, by the same rules as the scheduler's (`Scheduler::expire_leases`).

use super::LONGEST_AUTONOMY;
use crate::fencing_token::FencingToken;
use crate::lease::shard::ShardHeartbeat;
use crate::limits::plus_clock_drift;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time of a renewal of a worker lease, or of the arrival of a shard heartbeat, on the leader's clock and
/// in true time. [`LeaseLedger::last_renewal`] returns two different times in it.
#[derive(Clone, Copy)]
pub(super) struct TimeOnBothClocks {
    pub(super) at_leader: Timestamp,
    pub(super) in_true_time: Timestamp,
}

/// What a leader knows of a leaseholder. Times are on the leader's clock.
#[derive(Default)]
struct LeaseholderRecord {
    /// Up to this time the leader knows every response that the leaseholder gave.
    responses_known_until: Timestamp,
    last_heartbeat_at: Timestamp,
}

/// A leader's record of all workers' leases.
#[derive(Default)]
pub(super) struct LeaseLedger {
    token: FencingToken,
    /// When the leader was elected, in true time.
    elected_at: Timestamp,
    /// Leases of workers without a later renewal are assumed to have begun at this time, on the leader's
    /// clock: until then, other nodes may renew them without this leader's knowledge.
    assumed_lease_start: Timestamp,
    /// By worker.
    renewals: BTreeMap<usize, TimeOnBothClocks>,
    /// By node.
    leaseholders: BTreeMap<usize, LeaseholderRecord>,
}

impl LeaseLedger {
    pub(super) fn new(token: FencingToken, elected_at: Timestamp, leader_time: Timestamp) -> Self {
        let assumed_lease_start = leader_time + plus_clock_drift(LONGEST_AUTONOMY);
        LeaseLedger { token, elected_at, assumed_lease_start, ..LeaseLedger::default() }
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    pub(super) fn raise_assumed_lease_start(&mut self, time: Timestamp) {
        self.assumed_lease_start = self.assumed_lease_start.max(time);
    }

    /// The time up to which the leader knows every response of all leaseholders, without those whose last
    /// shard heartbeat is `validity` or more ago: by then the shard lease and the worker leases renewed under
    /// it have expired.
    pub(super) fn responses_known_until(&self, now: Timestamp, validity: Duration) -> Timestamp {
        let records = self.leaseholders.values();
        let unexpired = records.filter(|record| now < record.last_heartbeat_at + validity);
        unexpired.map(|record| record.responses_known_until).min().unwrap_or(Timestamp::MAX)
    }

    /// `at_leader`: the latest time at which the worker's lease may have begun, as the leader assumes.
    /// `in_true_time`: the last recorded renewal, or the election. The two may be different times.
    pub(super) fn last_renewal(&self, worker: usize) -> TimeOnBothClocks {
        let unknown = TimeOnBothClocks { at_leader: Timestamp::ZERO, in_true_time: self.elected_at };
        let renewal = self.renewals.get(&worker).copied().unwrap_or(unknown);
        TimeOnBothClocks {
            at_leader: renewal.at_leader.max(self.assumed_lease_start),
            in_true_time: renewal.in_true_time,
        }
    }

    pub(super) fn record_renewal(&mut self, worker: usize, renewal: TimeOnBothClocks) {
        self.renewals.insert(worker, renewal);
    }

    /// Records the arrival of a shard heartbeat, which echoes `stamp` of the leader's heartbeat.
    pub(super) fn record_shard_heartbeat(
        &mut self,
        node: usize,
        heartbeat: &ShardHeartbeat,
        stamp: Timestamp,
        received: TimeOnBothClocks,
    ) {
        if heartbeat.without_lease && self.leaseholders.contains_key(&node) {
            self.raise_assumed_lease_start(received.at_leader);
        }
        let record = self.leaseholders.entry(node).or_default();
        if heartbeat.complete {
            record.responses_known_until = record.responses_known_until.max(stamp);
        }
        record.last_heartbeat_at = received.at_leader;
        for machine in &heartbeat.machines {
            self.record_renewal(machine.parse().expect("a worker's number"), received);
        }
    }
}
