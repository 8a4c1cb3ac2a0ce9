//! Troubles of the network, drawn by the seed, and what stands in whose way because of them.

use super::{World, MS, NODES};
use crate::output::Line;
use crate::SECOND;
use rand::Rng;

impl World<'_> {
    pub(super) fn is_frozen(&self, node: usize) -> bool {
        self.frozen.is_some_and(|(frozen, _)| frozen == node)
    }

    pub(super) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].down_until.is_none() && !self.is_frozen(node)
    }

    /// Whether the node reaches the state service.
    pub(super) fn is_served(&self, node: usize) -> bool {
        let cut = self.cut.as_ref().is_some_and(|(inside, state, _)| *state && inside.contains(&node));
        let refused = self.refused.is_some_and(|(refused, _)| refused == node);
        self.is_up(node) && self.now >= self.state_down_until && !refused && !cut
    }

    /// Until when a cut runs between two nodes.
    pub(super) fn cut_between(&self, a: usize, b: usize) -> Option<u64> {
        let (inside, _, until) = self.cut.as_ref()?;
        (inside.contains(&a) != inside.contains(&b)).then_some(*until)
    }

    /// The node that acts as the leader.
    pub(super) fn leader(&self) -> Option<usize> {
        let acts = |node: &usize| self.nodes[*node].leadership.authority(self.local(*node)).is_some();
        (0..NODES).filter(|node| self.nodes[*node].down_until.is_none()).find(acts)
    }

    pub(super) fn end_troubles(&mut self) {
        let now = self.now;
        let runs = |trouble: &(usize, u64)| now < trouble.1;
        self.refused = self.refused.filter(runs);
        self.frozen = self.frozen.filter(runs);
        self.unreached = self.unreached.filter(runs);
        self.cut = self.cut.take().filter(|(_, _, until)| now < *until);
    }

    /// A trouble begins.
    pub(super) fn trouble(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let node = if self.rng.random_bool(0.5) { self.leader().unwrap_or(node) } else { node };
        let back = self.now + self.rng.random_range(50 * MS..4 * SECOND);
        let until = self.now + self.rng.random_range(SECOND..25 * SECOND);
        let kind = match self.rng.random_range(0..10) {
            0 | 1 => {
                self.nodes[node].down_until = Some(back);
                "node-crashes"
            }
            2 => {
                self.nodes.iter_mut().for_each(|node| node.down_until = Some(back));
                "all-crash"
            }
            3 | 4 => {
                self.state_down_until = until;
                "state-down"
            }
            5 => {
                self.refused = Some((node, until));
                "state-refuses"
            }
            6 | 7 => {
                let state = self.rng.random_bool(0.5);
                let others = self.rng.random_bool(0.3);
                let inside = (0..NODES).filter(|one| (*one == node) != others).collect();
                self.cut = Some((inside, state, until));
                "cut"
            }
            8 => {
                self.frozen = Some((node, until));
                "node-frozen"
            }
            _ => {
                self.unreached = Some((node, until));
                "node-unreached"
            }
        };
        self.note(Line::new(kind).with("node", node).with("back", back).with("until", until));
    }
}
