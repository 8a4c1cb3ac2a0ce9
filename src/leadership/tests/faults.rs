//! Random faults.

use super::cluster::{Cluster, Suspension};
use super::random_duration;
use super::{MS, NODES};
use crate::limits::SECOND;
use rand::Rng;

impl Cluster {
    /// Begins or ends one of the faults that the requirements name, at random.
    pub(super) fn inject_random_fault(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let back = random_duration(&mut self.rng, 50 * MS..4 * SECOND);
        let until = self.now + random_duration(&mut self.rng, SECOND..40 * SECOND);
        let leader = self.leader().unwrap_or(node);
        match self.rng.random_range(0..11) {
            0 => self.crash(node, back),
            1 => (0..NODES).for_each(|node| self.crash(node, back)),
            2 => self.crash(leader, back),
            3 => self.store_down = !self.store_down,
            4 => self.refused_by_store = if self.refused_by_store.is_none() { Some(node) } else { None },
            5 | 6 => {
                let cuts_off_store = self.rng.random_bool(0.5);
                self.cut_off(vec![leader], cuts_off_store, until);
            }
            // A zone with one or two of the nodes is cut off from everything.
            7 | 8 => {
                let alone = self.rng.random_bool(0.3);
                let inside =
                    if alone { vec![node] } else { (0..NODES).filter(|other| *other != node).collect() };
                self.cut_off(inside, true, until);
            }
            9 => self.suspension = Some(Suspension { node: leader, until }),
            _ => {}
        }
    }
}
