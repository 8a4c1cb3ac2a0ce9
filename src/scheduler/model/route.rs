//! The node (controller) through which a machine sends its heartbeats.

use crate::time::Timestamp;

/// The node (controller) through which a machine sends its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// Index of the node that relayed the last heartbeat. None: it came directly to the leader.
    pub relayed_by: Option<usize>,
    /// Whether that node, as a leaseholder (see `messages`), may respond to unchanged heartbeats without the
    /// leader.
    pub leaseholder_may_respond: bool,
    /// The route before this one.
    pub previous: Option<PreviousRoute>,
    /// Whether that node has been asked to relay the machine's next heartbeat even if it is unchanged, so
    /// that the leader can respond with commands.
    pub relay_requested: bool,
}

/// A route that a machine no longer uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreviousRoute {
    /// Index of the node that relayed its heartbeats. None: they came directly to the leader.
    pub relayed_by: Option<usize>,
    /// When the first heartbeat arrived by another route.
    pub left_at: Timestamp,
}

impl Route {
    /// Records that a heartbeat relayed by `relayed_by` arrived at `now`. Returns whether the route changed.
    pub(in crate::scheduler) fn record(&mut self, relayed_by: Option<usize>, now: Timestamp) -> bool {
        let changed = self.relayed_by != relayed_by;
        if changed {
            self.previous = Some(PreviousRoute { relayed_by: self.relayed_by, left_at: now });
            self.relayed_by = relayed_by;
        }
        changed
    }
}
