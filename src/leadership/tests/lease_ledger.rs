//! What a leader accounts for of workers' leases, counted as the scheduler does (`Scheduler::expire`).

use super::AUTONOMY;
use crate::fencing_token::FencingToken;
use crate::lease::shard::ShardHeartbeat;
use crate::limits::lengthened;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A response that renewed a worker's lease.
#[derive(Clone, Copy)]
pub(super) struct Renewal {
    /// On the leader's clock.
    pub(super) at_leader: Timestamp,
    /// In true time.
    pub(super) at: Timestamp,
}

/// What a leader knows of a leaseholder. Times on the leader's clock.
#[derive(Default)]
struct LeaseholderRecord {
    /// The leader knows every response that the leaseholder gave before then.
    covered_until: Timestamp,
    last_heartbeat_at: Timestamp,
}

/// A leader's account of all workers' leases.
#[derive(Default)]
pub(super) struct LeaseLedger {
    token: FencingToken,
    /// In true time.
    elected_at: Timestamp,
    /// Leases of workers without a later renewal are counted from then, on the leader's clock.
    floor: Timestamp,
    /// By worker.
    renewals: BTreeMap<usize, Renewal>,
    /// By node.
    leaseholders: BTreeMap<usize, LeaseholderRecord>,
}

impl LeaseLedger {
    pub(super) fn new(token: FencingToken, elected_at: Timestamp, leader_time: Timestamp) -> Self {
        let floor = leader_time + lengthened(AUTONOMY);
        LeaseLedger { token, elected_at, floor, ..LeaseLedger::default() }
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    pub(super) fn leases_begin_no_earlier_than(&mut self, time: Timestamp) {
        self.floor = self.floor.max(time);
    }

    /// Until when every leaseholder that may still renew leases is covered. `validity`: of a shard lease and
    /// the worker leases that it may have renewed.
    pub(super) fn covered_until(&self, now: Timestamp, validity: Duration) -> Timestamp {
        let records = self.leaseholders.values();
        let open = records.filter(|record| now < record.last_heartbeat_at + validity);
        open.map(|record| record.covered_until).min().unwrap_or(Timestamp::MAX)
    }

    /// The last time at which the worker's lease may have begun.
    pub(super) fn last_renewal(&self, worker: usize) -> Renewal {
        let unknown = Renewal { at_leader: Timestamp::ZERO, at: self.elected_at };
        let renewal = self.renewals.get(&worker).copied().unwrap_or(unknown);
        Renewal { at_leader: renewal.at_leader.max(self.floor), at: renewal.at }
    }

    pub(super) fn record_renewal(&mut self, worker: usize, renewal: Renewal) {
        self.renewals.insert(worker, renewal);
    }

    /// A shard heartbeat arrived, which echoes the leader's heartbeat of `stamp`.
    pub(super) fn record_shard_heartbeat(
        &mut self,
        node: usize,
        heartbeat: &ShardHeartbeat,
        stamp: Timestamp,
        received: Renewal,
    ) {
        if heartbeat.first_of_incarnation {
            self.leases_begin_no_earlier_than(received.at_leader);
        }
        let record = self.leaseholders.entry(node).or_default();
        if heartbeat.complete {
            record.covered_until = record.covered_until.max(stamp);
        }
        record.last_heartbeat_at = received.at_leader;
        for machine in &heartbeat.machines {
            self.record_renewal(machine.parse().expect("a worker's number"), received);
        }
    }
}
