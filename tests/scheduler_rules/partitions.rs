//! Partitions of a zone: its workers and the leaseholder inside reach one another and nothing outside. The leader changes
//! in the first one, and a second one follows within seconds.

use super::leaseholders::LEASEHOLDERS;
use super::settings::STEP;
use super::worker::Worker;
use super::world::World;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::Heartbeat;
use dockpier::time::Timestamp;
use rand::Rng;

/// The zone that is cut off, and the number of the leaseholder inside.
const ZONE: &str = "b";
const INSIDE: usize = LEASEHOLDERS - 1;

/// The partitions of the zone.
#[derive(Default)]
pub(super) struct Partitions {
    /// Begin and end of each, the next one first.
    upcoming: Vec<(Timestamp, Timestamp)>,
    /// Until then the zone is cut off.
    until: Timestamp,
}

impl World {
    /// The zone is cut off as the leader changes, connected for a few seconds, and cut off again. The cloud deletes
    /// nothing, so that only the end of leases proves anything.
    pub(super) fn cut_zone_off_twice(&mut self) {
        let mut draw = |range: std::ops::Range<u64>| self.rng.random_range(range) as u32 * STEP;
        let first_until = self.now + 5 * SECOND + draw(0..70);
        let second_from = first_until + draw(3..40);
        let second_until = second_from + draw(50..300);
        self.partitions.upcoming = vec![(self.now, first_until), (second_from, second_until)];
        self.cloud_down_until = second_until;
        self.begin_due_partition();
        self.change_leader(4 * SECOND);
    }

    /// Whether both partitions are over.
    pub(super) fn is_whole(&self) -> bool {
        self.partitions.upcoming.is_empty() && self.now >= self.partitions.until
    }

    pub(super) fn begin_due_partition(&mut self) {
        let Some((from, until)) = self.partitions.upcoming.first().copied() else { return };
        if self.now >= from {
            self.partitions.upcoming.remove(0);
            self.partitions.until = until;
            self.leaseholders[INSIDE].cut_until = until;
        }
    }

    /// Until when nothing from outside reaches the worker.
    pub(super) fn out_of_reach_until(&self, worker: &Worker) -> Timestamp {
        if worker.zone == ZONE {
            self.partitions.until
        } else {
            Timestamp::ZERO
        }
    }

    /// Sends a worker that does not reach its controller to one on its side, and holds its heartbeat until the
    /// partition ends. Returns whether it did.
    pub(super) fn redirect_across_partition(&mut self, name: &str, heartbeat: &Heartbeat) -> bool {
        if self.now >= self.partitions.until {
            return false;
        }
        let Some(worker) = self.workers.get_mut(name) else { return false };
        let is_inside = worker.zone == ZONE;
        let reports_inside = worker.relayed_by == Some(INSIDE);
        if is_inside == reports_inside {
            return false;
        }
        self.held.push((self.partitions.until, worker.relayed_by, heartbeat.clone()));
        worker.relayed_by = is_inside.then_some(INSIDE);
        worker.next_report = self.now + SECOND;
        true
    }
}
