//! What other nodes may do without this leader: renew leases of workers, and relay heartbeats.
//!
//! Owned by `Scheduler`: `heartbeat_responses` records shard heartbeats, the controller records which peers are out of
//! touch and until when workers may have been kept alive. `lease_expiry` and `failure_detection` ask.

use crate::limits;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A leaseholder of a shard, which responds to unchanged heartbeats by itself.
#[derive(Debug, Default, Clone, Copy)]
struct Leaseholder {
    /// Every response that it made before then is known here.
    covered_until: Timestamp,
    /// When its shard lease was last renewed.
    last_heartbeat_at: Timestamp,
}

/// What is known of the other nodes.
#[derive(Debug)]
pub(super) struct PeerNodes {
    leaseholders: BTreeMap<usize, Leaseholder>,
    /// Until when another node may have renewed leases of workers without a record here.
    kept_alive_until: Timestamp,
    /// When each node was last out of touch. Machines that report through it may change their route for a while.
    out_of_touch: BTreeMap<usize, Timestamp>,
}

impl PeerNodes {
    /// Nothing is known, but leaseholders of the last leader may respond until `kept_alive_until`.
    pub fn new(kept_alive_until: Timestamp) -> Self {
        PeerNodes { leaseholders: BTreeMap::new(), kept_alive_until, out_of_touch: BTreeMap::new() }
    }

    /// See [`PeerNodes::kept_alive_until`].
    pub fn record_kept_alive_until(&mut self, at: Timestamp) {
        self.kept_alive_until = self.kept_alive_until.max(at);
    }

    /// Until when another node may have renewed leases of workers without a record here.
    pub fn kept_alive_until(&self) -> Timestamp {
        self.kept_alive_until
    }

    /// A leaseholder has named all machines to which it responded before `covers_until` (None: the list may be
    /// incomplete). This renews its shard lease.
    pub fn record_shard_heartbeat(&mut self, node: usize, covers_until: Option<Timestamp>, now: Timestamp) {
        let leaseholder = self.leaseholders.entry(node).or_default();
        leaseholder.covered_until = leaseholder.covered_until.max(covers_until.unwrap_or_default());
        leaseholder.last_heartbeat_at = now;
    }

    /// Until when every response of every leaseholder is known. A leaseholder counts until its last shard lease, and
    /// every worker lease that it may have renewed in that time, has ended.
    pub fn responses_known_until(
        &self,
        now: Timestamp,
        shard_lease: Duration,
        worker_lease: Duration,
    ) -> Timestamp {
        let shard_lease = limits::lengthened(shard_lease);
        let may_respond = self
            .leaseholders
            .values()
            .filter(|leaseholder| now < leaseholder.last_heartbeat_at + shard_lease + worker_lease);
        may_respond.map(|leaseholder| leaseholder.covered_until).min().unwrap_or(Timestamp::MAX)
    }

    /// These nodes are out of touch now.
    pub fn record_out_of_touch(&mut self, now: Timestamp, nodes: impl Iterator<Item = usize>) {
        self.out_of_touch.extend(nodes.map(|node| (node, now)));
    }

    /// Nodes that are out of touch, or were less than a heartbeat interval of leadership ago.
    pub fn out_of_touch(&self, now: Timestamp) -> BTreeSet<usize> {
        let recent = self.out_of_touch.iter().filter(|(_, last)| now < **last + limits::HEARTBEAT_INTERVAL);
        recent.map(|(node, _)| *node).collect()
    }
}

#[cfg(test)]
#[path = "peer_nodes_tests.rs"]
mod tests;
