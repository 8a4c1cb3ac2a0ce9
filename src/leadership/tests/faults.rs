//! Random faults of the simulated cluster.

use super::cluster::{Cluster, Suspension};
use super::random_duration;
use super::{MS, NODE_COUNT};
use crate::limits::SECOND;
use rand::Rng;

impl Cluster {
    /// Begins or ends a random one of the faults that the requirements name.
    pub(super) fn inject_random_fault(&mut self) {
        let node = self.rng.random_range(0..NODE_COUNT);
        let downtime = random_duration(&mut self.rng, 50 * MS..4 * SECOND);
        let until = self.now + random_duration(&mut self.rng, SECOND..40 * SECOND);
        let leader = self.leader().unwrap_or(node);
        match self.rng.random_range(0..11) {
            0 => self.crash(node, downtime),
            1 => (0..NODE_COUNT).for_each(|node| self.crash(node, downtime)),
            2 => self.crash(leader, downtime),
            3 => self.store_down = !self.store_down,
            4 => self.refused_by_store = if self.refused_by_store.is_none() { Some(node) } else { None },
            5 | 6 => {
                let cuts_off_store = self.rng.random_bool(0.5);
                self.cut_off(vec![leader], cuts_off_store, until);
            }
            // A zone with one or two of the nodes is cut off from the other nodes and the key-value store.
            7 | 8 => {
                let alone = self.rng.random_bool(0.3);
                let inside =
                    if alone { vec![node] } else { (0..NODE_COUNT).filter(|other| *other != node).collect() };
                self.cut_off(inside, true, until);
            }
            9 => self.suspension = Some(Suspension { node: leader, until }),
            _ => {}
        }
    }
}
