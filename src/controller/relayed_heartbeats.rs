//! Heartbeats that a leaseholder has relayed to the leader and whose workers wait for the response. Owned by
//! `heartbeat_routing`.
//!
//! A response answers one heartbeat once. A late copy of it, or of a response to an earlier process of this
//! node, finds no heartbeat here, so that no worker gets its start commands a second time: a worker that has
//! forgotten the task would start it once more.

use crate::limits;
use crate::node_events::HeartbeatReply;
use crate::scheduler::model::Heartbeat;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// A heartbeat on its way to the leader.
pub(super) struct RelayedHeartbeat {
    /// Where the reply to the worker goes.
    pub(super) reply: oneshot::Sender<HeartbeatReply>,
    /// The heartbeat.
    pub(super) heartbeat: Heartbeat,
    /// When it was relayed.
    pub(super) sent_at: Timestamp,
}

/// The relayed heartbeats that wait for a response, by the number of the request.
#[derive(Default)]
pub(super) struct RelayedHeartbeats(BTreeMap<u64, RelayedHeartbeat>);

impl RelayedHeartbeats {
    /// Adds a heartbeat that was relayed under this number. Numbers must increase.
    pub(super) fn insert(&mut self, id: u64, relayed: RelayedHeartbeat) {
        self.0.insert(id, relayed);
    }

    /// Removes the heartbeat that a response to this request answers. None: it has been answered already, or
    /// this process has not sent the request.
    pub(super) fn take_answered(&mut self, id: u64) -> Option<RelayedHeartbeat> {
        self.0.remove(&id)
    }

    /// Removes the oldest heartbeat if it has waited for `RELAY_TIMEOUT`.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Option<RelayedHeartbeat> {
        let oldest = self.0.first_entry()?;
        let has_timed_out = now >= oldest.get().sent_at + limits::RELAY_TIMEOUT;
        has_timed_out.then(|| oldest.remove())
    }
}

#[cfg(test)]
#[path = "relayed_heartbeats_tests.rs"]
mod tests;
