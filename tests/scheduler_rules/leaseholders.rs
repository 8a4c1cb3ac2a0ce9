//! Controllers that do not lead: they renew leases from their shard and report to the leader.

use super::settings::SHARD_LEASE;
use super::world::World;
use dockpier::lease::shard::{Shard, ShardHeartbeat};
use dockpier::scheduler::Command;
use dockpier::time::Timestamp;
use rand::Rng;

/// A controller that does not lead, and until when it and the leader do not hear one another.
pub(super) struct Leaseholder {
    pub(super) shard: Shard,
    pub(super) cut_until: Timestamp,
}

pub(super) const LEASEHOLDERS: usize = 2;

impl World {
    /// Leaseholders follow the leader and tell it whom they answered, while they hear one another.
    pub(super) fn run_leaseholders(&mut self, batch: &mut Vec<Command>) {
        let (now, token) = (self.now, self.token);
        for (node, leaseholder) in self.leaseholders.iter_mut().enumerate() {
            if now < leaseholder.cut_until {
                continue;
            }
            leaseholder.shard.follow(token);
            if let Some(ShardHeartbeat { id, complete, without_lease, machines }) =
                leaseholder.shard.next_heartbeat(now)
            {
                // A shard heartbeat may be lost with its connection, and so may its acknowledgment: the next one
                // repeats it.
                if self.rng.random_bool(0.1) {
                    continue;
                }
                batch.push(Command::ShardHeartbeat {
                    node,
                    machines,
                    covers_until: complete.then_some(now),
                    without_lease,
                });
                if self.rng.random_bool(0.9) {
                    leaseholder.shard.acknowledge(id, SHARD_LEASE);
                }
            }
        }
    }
}
