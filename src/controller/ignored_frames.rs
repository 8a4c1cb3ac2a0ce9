//! Frames of peers that were ignored: counted, and logged once for each peer and reason.

use crate::node_events::FrameCounts;
use std::collections::BTreeSet;
use tracing::info;

/// Why a frame was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IgnoredFrame {
    /// A heartbeat that echoes a stamp which is too old, or is for a leader that does not lead any more.
    Stale,
    /// A response to a request that was given up, or of an earlier process.
    Unsolicited,
}

/// Counts ignored frames since this process started.
#[derive(Debug, Default)]
pub(super) struct IgnoredFrames {
    counts: FrameCounts,
    /// Peers and reasons that were logged.
    logged: BTreeSet<(usize, IgnoredFrame)>,
}

impl IgnoredFrames {
    pub(super) fn count(&mut self, from: usize, reason: IgnoredFrame) {
        match reason {
            IgnoredFrame::Stale => self.counts.stale += 1,
            IgnoredFrame::Unsolicited => self.counts.unsolicited += 1,
        }
        if self.logged.insert((from, reason)) {
            info!(from, ?reason, "frame ignored; further ones of this kind are only counted");
        }
    }

    pub(super) fn counts(&self) -> FrameCounts {
        self.counts
    }
}
