//! The controller through which a machine sends its heartbeats.

use crate::time::Timestamp;
/// The controller through which a machine sends its heartbeats. `None` stands for the leader's own node.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// The node that relayed the last heartbeat. None: it came straight to the leader.
    pub via: Option<usize>,
    /// Whether that node may respond to unchanged heartbeats by itself.
    pub cached_by_leaseholder: bool,
    /// The route before this one.
    pub previous: Option<PreviousRoute>,
    /// Whether the leaseholder has been asked to relay the machine's next heartbeat.
    pub wake_requested: bool,
}

/// A route that a machine has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreviousRoute {
    /// The node that relayed its heartbeats. None: they came straight to the leader.
    pub via: Option<usize>,
    /// When its first heartbeat came by another route.
    pub left_at: Timestamp,
}

impl Route {
    /// Records that a heartbeat came by this route at `now`. Returns whether the route is a new one.
    pub(in crate::scheduler) fn record(&mut self, via: Option<usize>, now: Timestamp) -> bool {
        let changed = self.via != via;
        if changed {
            self.previous = Some(PreviousRoute { via: self.via, left_at: now });
            self.via = via;
        }
        changed
    }
}
