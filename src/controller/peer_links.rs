//! The queues of frames to the other controllers, and the count of frames from them that were ignored.

use super::ignored_frames::{IgnoredFrame, IgnoredFrames};
use crate::node_events::FrameCounts;
use crate::peer::Payload;
use tokio::sync::mpsc;

/// This node's links to its peers, by node number.
pub(super) struct PeerLinks {
    /// `None` at this node's own number. Each queue is emptied by the task that holds the connection to that peer, and
    /// is full only if the peer accepts no frames for a while.
    queues: Vec<Option<mpsc::Sender<Payload>>>,
    ignored: IgnoredFrames,
}

impl PeerLinks {
    pub(super) fn new(queues: Vec<Option<mpsc::Sender<Payload>>>) -> Self {
        PeerLinks { queues, ignored: IgnoredFrames::default() }
    }

    /// Queues a frame for a peer; returns whether there was room. A frame that is dropped is made up for by later
    /// ones: heartbeats repeat, and requests time out.
    pub(super) fn send(&self, node: usize, payload: Payload) -> bool {
        let queue = self.queues.get(node).and_then(Option::as_ref);
        queue.is_some_and(|queue| queue.try_send(payload).is_ok())
    }

    /// Queues a frame for every peer that has room.
    pub(super) fn broadcast(&self, payload: &Payload) {
        for queue in self.queues.iter().flatten() {
            // A peer without room gets the next summary.
            let _ = queue.try_send(payload.clone());
        }
    }

    /// Counts a frame of a peer that was ignored.
    pub(super) fn count_ignored(&mut self, from: usize, reason: IgnoredFrame) {
        self.ignored.count(from, reason);
    }

    pub(super) fn ignored_counts(&self) -> FrameCounts {
        self.ignored.counts()
    }
}
