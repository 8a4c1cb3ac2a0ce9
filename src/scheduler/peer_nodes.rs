//! Tracks until when other nodes may have renewed leases of workers, and which nodes this leader cannot
//! reach.
//!
//! Owned by `Scheduler`: `heartbeat_responses` records shard heartbeats; the controller records unreachable
//! peers and until when nodes in keep-alive mode may have renewed leases of workers. `lease_expiry` and
//! `failure_detection` read the result.

use crate::limits;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A leaseholder of a shard, which responds to unchanged heartbeats without the leader.
#[derive(Debug, Default, Clone, Copy)]
struct Leaseholder {
    /// This leader knows every response that the leaseholder made before this time.
    covered_until: Timestamp,
    /// When its last shard heartbeat arrived, which renewed its shard lease.
    last_heartbeat_at: Timestamp,
}

/// What this leader knows of the other nodes.
#[derive(Debug)]
pub(super) struct PeerNodes {
    leaseholders: BTreeMap<usize, Leaseholder>,
    /// Until when another node may have renewed leases of workers without a record here.
    others_may_have_renewed_until: Timestamp,
    /// When each node was last recorded as unreachable from this leader. `failure_detection` takes a route
    /// for unreachable if its node was recorded within the last `PEER_HEARTBEAT_INTERVAL`.
    last_unreachable_at: BTreeMap<usize, Timestamp>,
}

impl PeerNodes {
    /// No node is known, but leaseholders of the last leader may respond until
    /// `others_may_have_renewed_until`.
    pub fn new(others_may_have_renewed_until: Timestamp) -> Self {
        PeerNodes {
            leaseholders: BTreeMap::new(),
            others_may_have_renewed_until,
            last_unreachable_at: BTreeMap::new(),
        }
    }

    /// Records that another node may have renewed leases until `at`. Has no effect if a later time is
    /// recorded.
    pub fn record_others_may_have_renewed_until(&mut self, at: Timestamp) {
        self.others_may_have_renewed_until = self.others_may_have_renewed_until.max(at);
    }

    /// Until when another node may have renewed leases of workers without a record here.
    pub fn others_may_have_renewed_until(&self) -> Timestamp {
        self.others_may_have_renewed_until
    }

    /// Records a shard heartbeat, which renews the shard lease of its leaseholder `node`. `covers_until`:
    /// this shard heartbeat and the earlier ones that the leader acknowledged name every machine to which the
    /// leaseholder responded before this time. None: the list may be incomplete, so that no later time than
    /// before is covered.
    pub fn record_shard_heartbeat(&mut self, node: usize, covers_until: Option<Timestamp>, now: Timestamp) {
        let leaseholder = self.leaseholders.entry(node).or_default();
        leaseholder.covered_until = leaseholder.covered_until.max(covers_until.unwrap_or_default());
        leaseholder.last_heartbeat_at = now;
    }

    /// Whether a shard heartbeat of the node has arrived before, so that it, or an earlier incarnation of it,
    /// may have had a shard lease of this leader.
    pub fn may_have_had_shard_lease(&self, node: usize) -> bool {
        self.leaseholders.contains_key(&node)
    }

    /// Until when every response of every leaseholder is known; `Timestamp::MAX` without leaseholders. A
    /// leaseholder is included until its last shard lease and every worker lease that it may have renewed in
    /// that time have ended.
    pub fn responses_known_until(
        &self,
        now: Timestamp,
        shard_lease: Duration,
        worker_lease: Duration,
    ) -> Timestamp {
        let shard_lease = limits::plus_clock_drift(shard_lease);
        let may_respond = self
            .leaseholders
            .values()
            .filter(|leaseholder| now < leaseholder.last_heartbeat_at + shard_lease + worker_lease);
        may_respond.map(|leaseholder| leaseholder.covered_until).min().unwrap_or(Timestamp::MAX)
    }

    /// Until when a leaseholder from which no shard heartbeat arrives may renew leases;
    /// [`Timestamp::ZERO`]: none is silent.
    pub fn silent_leaseholders_may_renew_until(&self, now: Timestamp, shard_lease: Duration) -> Timestamp {
        let shard_lease = limits::plus_clock_drift(shard_lease);
        let silent = self
            .leaseholders
            .values()
            .filter(|leaseholder| now >= leaseholder.last_heartbeat_at + limits::SILENT_LEASEHOLDER_TIMEOUT);
        silent.map(|leaseholder| leaseholder.last_heartbeat_at + shard_lease).max().unwrap_or_default()
    }

    /// Records that this leader cannot reach these nodes at `now`.
    pub fn record_unreachable(&mut self, now: Timestamp, nodes: impl Iterator<Item = usize>) {
        self.last_unreachable_at.extend(nodes.map(|node| (node, now)));
    }

    /// Nodes recorded as unreachable within the last `PEER_HEARTBEAT_INTERVAL`.
    pub fn recently_unreachable(&self, now: Timestamp) -> BTreeSet<usize> {
        let recent = self
            .last_unreachable_at
            .iter()
            .filter(|(_, last)| now < **last + limits::PEER_HEARTBEAT_INTERVAL);
        recent.map(|(node, _)| *node).collect()
    }
}

#[cfg(test)]
#[path = "peer_nodes_tests.rs"]
mod tests;
