//! Frames of peers that nothing follows from: counted, and logged once for each peer.

use crate::node_events::FrameCounts;
use std::collections::BTreeSet;
use tracing::info;

/// Why nothing follows from a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IgnoredFrame {
    /// A heartbeat or a heartbeat that echoes an old stamp, or for a leader that does not lead any more.
    Stale,
    /// An answer to nobody: its request was given up, or is an earlier process's.
    Unasked,
}

/// Counts frames that nothing follows from.
#[derive(Debug, Default)]
pub(super) struct FramesIgnored {
    counts: FrameCounts,
    logged: BTreeSet<(usize, IgnoredFrame)>,
}

impl FramesIgnored {
    pub(super) fn note(&mut self, from: usize, why: IgnoredFrame) {
        match why {
            IgnoredFrame::Stale => self.counts.stale += 1,
            IgnoredFrame::Unasked => self.counts.unsolicited += 1,
        }
        if self.logged.insert((from, why)) {
            info!(from, ?why, "frame ignored; further ones of this kind are only counted");
        }
    }

    pub(super) fn counts(&self) -> FrameCounts {
        self.counts
    }
}
