//! A leader's record of worker leases, by the same rules as the scheduler's (`Scheduler::expire_leases`).

use super::LONGEST_AUTONOMY;
use crate::fencing_token::FencingToken;
use crate::lease::shard::ShardHeartbeat;
use crate::limits::plus_clock_drift;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time of a renewal of a worker lease, or of the arrival of a shard heartbeat, on two clocks.
#[derive(Clone, Copy)]
pub(super) struct TimeOnBothClocks {
    /// Time on the leader's clock.
    pub(super) at_leader: Timestamp,
    /// The same time in true time.
    pub(super) at: Timestamp,
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
    /// clock.
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

    pub(super) fn leases_begin_no_earlier_than(&mut self, time: Timestamp) {
        self.assumed_lease_start = self.assumed_lease_start.max(time);
    }

    /// The time up to which the leader knows every response of the leaseholders that may still renew leases.
    /// `validity`: a leaseholder is ignored this long after its last shard heartbeat. By then its shard lease
    /// and the worker leases renewed under it have expired.
    pub(super) fn responses_known_until(&self, now: Timestamp, validity: Duration) -> Timestamp {
        let records = self.leaseholders.values();
        let unexpired = records.filter(|record| now < record.last_heartbeat_at + validity);
        unexpired.map(|record| record.responses_known_until).min().unwrap_or(Timestamp::MAX)
    }

    /// The last time at which the worker's lease may have begun. `at_leader` is raised to the assumed start
    /// of leases without a later renewal; `at` is the last recorded renewal, or the election.
    pub(super) fn last_renewal(&self, worker: usize) -> TimeOnBothClocks {
        let unknown = TimeOnBothClocks { at_leader: Timestamp::ZERO, at: self.elected_at };
        let renewal = self.renewals.get(&worker).copied().unwrap_or(unknown);
        TimeOnBothClocks { at_leader: renewal.at_leader.max(self.assumed_lease_start), at: renewal.at }
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
        if heartbeat.without_lease {
            self.leases_begin_no_earlier_than(received.at_leader);
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
