//! Answers to heartbeats that may renew a worker's lease.
//!
//! A worker keeps its tasks for `lease_s` after it sent the last heartbeat that was answered, so the leader may start them
//! elsewhere only after that. Whoever answers must therefore have noted it where the leader counts. An answer is built
//! from a [`LeaseRenewal`], and a renewal is only handed out by the record in which the answer was noted, or where
//! another bound holds the leader back.

use serde::Serialize;
use std::collections::BTreeMap;

/// On what grounds an answer may renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalBasis {
    /// The leader noted the answer to the machine.
    Leader,
    /// A leader that has not loaded its state: leases count from when it has (`Scheduler::load`).
    BeforeLoad,
    /// A node in keep-alive mode: the next leader counts leases from when it may last have answered
    /// (`Leadership::autonomous_until`).
    KeepAlive,
    /// A leaseholder noted the machine for its next heartbeat; until then the leader counts none of its leases as over.
    Leaseholder,
    /// The leader noted the answer before it sent it to the leaseholder that had passed the heartbeat on.
    Relayed,
}

/// Proof that an answer which may renew a worker's lease is accounted for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "an answer that was noted should be given"]
pub struct LeaseRenewal {
    basis: RenewalBasis,
}

impl LeaseRenewal {
    fn on(basis: RenewalBasis) -> Self {
        LeaseRenewal { basis }
    }

    /// Of a leader that has not loaded its state.
    pub(crate) fn before_load() -> Self {
        LeaseRenewal::on(RenewalBasis::BeforeLoad)
    }

    /// Of a node in keep-alive mode.
    pub(crate) fn by_keep_alive() -> Self {
        LeaseRenewal::on(RenewalBasis::KeepAlive)
    }

    /// Of a leaseholder that has the leader's answer.
    pub(crate) fn relayed() -> Self {
        LeaseRenewal::on(RenewalBasis::Relayed)
    }

    /// Why the lease may be renewed.
    pub fn basis(&self) -> RenewalBasis {
        self.basis
    }
}

/// When the leader last noted an answer that may have renewed a machine's lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LastRenewal {
    at: u64,
}

impl LastRenewal {
    /// An answer of the leader's own.
    pub fn record(&mut self, now: u64) -> LeaseRenewal {
        self.at = self.at.max(now);
        LeaseRenewal::on(RenewalBasis::Leader)
    }

    /// A leaseholder has told of an answer of its own.
    pub fn record_by_leaseholder(&mut self, now: u64) {
        self.at = self.at.max(now);
    }

    /// The last time at which a lease may have begun.
    pub fn at(&self) -> u64 {
        self.at
    }
}

/// Machines that a leaseholder answered and the leader has not confirmed, with the last heartbeat that has to name each.
#[derive(Debug, Default)]
pub struct UnacknowledgedRenewals {
    machines: BTreeMap<String, u64>,
}

impl UnacknowledgedRenewals {
    /// An answer to the machine, to be named in this heartbeat.
    pub fn record(&mut self, machine: &str, heartbeat: u64) -> LeaseRenewal {
        self.machines.insert(machine.to_string(), heartbeat);
        LeaseRenewal::on(RenewalBasis::Leaseholder)
    }

    /// The leader has confirmed a heartbeat that named the machine.
    pub fn acknowledge(&mut self, machine: &str, heartbeat: u64) {
        if self.machines.get(machine).is_some_and(|first| *first <= heartbeat) {
            self.machines.remove(machine);
        }
    }

    /// The machines' names.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.machines.keys()
    }

    /// How many machines.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether every answer was confirmed.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}

/// Answers of this node since it started, by their grounds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RenewalCounts {
    leader: u64,
    before_load: u64,
    #[serde(rename = "lease_keeper")]
    keep_alive: u64,
    #[serde(rename = "lessee")]
    leaseholder: u64,
    relayed: u64,
    /// Heartbeats that were not answered here.
    refused: u64,
}

impl RenewalCounts {
    /// Counts an answer.
    pub fn count(&mut self, renewal: &LeaseRenewal) {
        let count = match renewal.basis {
            RenewalBasis::Leader => &mut self.leader,
            RenewalBasis::BeforeLoad => &mut self.before_load,
            RenewalBasis::KeepAlive => &mut self.keep_alive,
            RenewalBasis::Leaseholder => &mut self.leaseholder,
            RenewalBasis::Relayed => &mut self.relayed,
        };
        *count += 1;
    }

    /// Counts a heartbeat that was not answered here.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }
}
