//! Records of the responses to heartbeats that may renew a worker's lease.
//!
//! A worker keeps its tasks for `lease_s` after it sent the last heartbeat that got a response, so the leader
//! may start them elsewhere only after that. The leader must therefore learn of every response, or wait
//! as if there had been one. A response is built from a [`LeaseRenewal`], which exists only if the response
//! was recorded ([`LastRenewal`], `UnacknowledgedRenewals`), or if the leader waits long enough without a
//! record on this node, for a reason listed at [`RenewalBasis`].
//!
//! The scheduler owns a [`LastRenewal`] for each machine, [`crate::lease::shard::Shard`] the
//! `UnacknowledgedRenewals`, and the controller's event loop the [`RenewalCounts`].

use crate::time::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;

/// Why a response may renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalBasis {
    /// The leader recorded the response to the machine.
    Leader,
    /// A leader that has not loaded its state responded: once it has loaded its state, it treats every
    /// worker's lease as renewed at that time (`Scheduler::load`).
    BeforeLoad,
    /// A node in keep-alive mode responded: the next leader counts leases from the last time at which that
    /// node may have responded (`Leadership::others_kept_alive_until`).
    KeepAlive,
    /// A leaseholder responded and will name the machine in its next shard heartbeat. Until that heartbeat
    /// arrives, the leader treats no lease of the shard as expired.
    Leaseholder,
    /// The leader recorded the response and then sent it to the leaseholder that had relayed the heartbeat.
    Relayed,
}

/// Proof that a response which may renew a worker's lease is recorded, or covered by another rule.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a response that was recorded should be sent"]
pub struct LeaseRenewal {
    basis: RenewalBasis,
}

impl LeaseRenewal {
    fn with_basis(basis: RenewalBasis) -> Self {
        LeaseRenewal { basis }
    }

    /// A renewal by a leader that has not loaded its state.
    pub(crate) fn before_load() -> Self {
        LeaseRenewal::with_basis(RenewalBasis::BeforeLoad)
    }

    /// A renewal by a node in keep-alive mode.
    pub(crate) fn by_keep_alive() -> Self {
        LeaseRenewal::with_basis(RenewalBasis::KeepAlive)
    }

    /// A renewal by the leader, passed on by the leaseholder that relayed the heartbeat.
    pub(crate) fn relayed() -> Self {
        LeaseRenewal::with_basis(RenewalBasis::Relayed)
    }

    /// Why the lease may be renewed.
    pub fn basis(&self) -> RenewalBasis {
        self.basis
    }
}

/// When the leader last recorded a response that may have renewed a machine's lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LastRenewal {
    /// On the leader's clock; [`Timestamp::ZERO`]: never.
    renewed_at: Timestamp,
}

impl LastRenewal {
    /// Records a response of the leader itself at `now`.
    pub fn record(&mut self, now: Timestamp) -> LeaseRenewal {
        self.renewed_at = self.renewed_at.max(now);
        LeaseRenewal::with_basis(RenewalBasis::Leader)
    }

    /// Records at `now` that a leaseholder has reported its own response to the machine.
    pub fn record_by_leaseholder(&mut self, now: Timestamp) {
        self.renewed_at = self.renewed_at.max(now);
    }

    /// The last time at which a lease may have begun, on the leader's clock; [`Timestamp::ZERO`]: never.
    pub fn renewed_at(&self) -> Timestamp {
        self.renewed_at
    }
}

/// Machines whose lease a leaseholder renewed while the leader has not acknowledged the renewal. Each has the
/// id of the first shard heartbeat after its last response: once the leader has acknowledged that one or a
/// later one, the machine need not be named again.
#[derive(Debug, Default)]
pub(super) struct UnacknowledgedRenewals {
    machines: BTreeMap<String, u64>,
}

impl UnacknowledgedRenewals {
    /// Records a response to the machine, which the shard heartbeat with this id will name.
    pub(super) fn record(&mut self, machine: &str, heartbeat_id: u64) -> LeaseRenewal {
        self.machines.insert(machine.to_string(), heartbeat_id);
        LeaseRenewal::with_basis(RenewalBasis::Leaseholder)
    }

    /// The leader has acknowledged a shard heartbeat that named the machine. A later response stays
    /// unacknowledged.
    pub(super) fn acknowledge(&mut self, machine: &str, heartbeat_id: u64) {
        if self.machines.get(machine).is_some_and(|recorded_for| *recorded_for <= heartbeat_id) {
            self.machines.remove(machine);
        }
    }

    /// The machines' names, in order.
    pub(super) fn names(&self) -> impl Iterator<Item = &String> {
        self.machines.keys()
    }

    /// The number of machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }
}

/// Numbers of this node's responses since it started, by basis. Part of `/overview`, hence the serialized
/// names.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RenewalCounts {
    leader: u64,
    before_load: u64,
    #[serde(rename = "lease_keeper")]
    keep_alive: u64,
    #[serde(rename = "lessee")]
    leaseholder: u64,
    relayed: u64,
    /// Heartbeats whose response by this node renewed no lease.
    refused: u64,
}

impl RenewalCounts {
    /// Counts a response that renews a lease.
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

    /// Counts a heartbeat whose response renews no lease.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }
}
