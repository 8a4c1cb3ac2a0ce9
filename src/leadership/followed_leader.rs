//! The leader that this node follows, and whether it is still in contact.

use crate::fencing_token::FencingToken;
use crate::limits;
use crate::time::Timestamp;

/// The leader, or node in keep-alive mode, whose heartbeat arrived last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedLeader {
    /// Its node number.
    pub node: usize,
    /// Its fencing token.
    pub token: FencingToken,
    /// The send time of its last heartbeat, on its clock. This node repeats it in the worker heartbeats and
    /// shard heartbeats that it sends to the leader, so that the leader can tell how old they are.
    pub heartbeat_stamp: Timestamp,
    /// When its last heartbeat arrived, on the local clock.
    pub(super) last_heartbeat_at: Timestamp,
    /// Whether it has reported, under this token, that workers reach it.
    pub(super) reached_by_workers: bool,
}

impl FollowedLeader {
    /// Whether its last heartbeat is recent enough for this node to direct workers and relay heartbeats to
    /// it.
    pub(super) fn is_in_contact(&self, now: Timestamp) -> bool {
        now < self.last_heartbeat_at + limits::PEER_TIMEOUT
    }

    /// Whether its last heartbeat is recent enough for this node not to look for another leader.
    pub(super) fn holds_back_campaigns(&self, now: Timestamp) -> bool {
        now < self.last_heartbeat_at + limits::GRANT_DURATION
    }
}
