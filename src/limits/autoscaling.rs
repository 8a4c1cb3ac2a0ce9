//! Rentals, deletions, moves of replicas, the machine list.

use std::time::Duration;

/// A new leader moves no replicas until it has seen this much calm.
pub const REPLICA_MOVE_INITIAL_DELAY: Duration = Duration::from_secs(30);
/// Between two moves of replicas, so that never many are down at once.
pub const REPLICA_MOVE_INTERVAL: Duration = Duration::from_secs(4);
/// Of so many replicas one is moved at a time (one at least): with some four seconds down for each, moving
/// costs half a percent of the replica time while it lasts.
pub const REPLICAS_PER_MOVE: usize = 200;
/// Between two moves of one job's replicas, and between its start and the first.
pub const JOB_REPLICA_MOVE_INTERVAL: Duration = Duration::from_secs(60);

/// How often the fleet is weighed.
pub const AUTOSCALER_INTERVAL: Duration = Duration::from_secs(1);
/// A plan that its budget did not suffice for goes on after this.
pub const AUTOSCALER_RESUME_DELAY: Duration = Duration::from_millis(100);
/// A boot that takes this many times the nominal time is given up (most take at most 1.5 times).
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// First pause after a refused rental of one type, zone and kind; doubles up to the longest.
pub const RENTAL_BACKOFF: Duration = Duration::from_secs(8);
/// The longest pause after refused rentals.
pub const MAX_RENTAL_BACKOFF: Duration = Duration::from_secs(60);
/// `how_many` is at most 50, a deletion names at most 100 machines (PROTOCOL).
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Machines that one deletion may name (PROTOCOL).
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Machines on a page of the cloud's list, the most that PROTOCOL allows: a fleet of 1,900 is four calls.
pub const MACHINE_LIST_PAGE_SIZE: u32 = 500;

/// Pages of one list are apart by so many parts of a second of the cloud's limit: half of the limit is the rentals'.
pub const MACHINE_LIST_PACE: f64 = 2.0;
/// Refused pages after which a list is given up until the next.
pub const MAX_LIST_REFUSALS: u32 = 4;

/// Rental requests under way at once: what goes out in two seconds at the leader's half of the cloud's limit.
pub fn max_concurrent_rentals(rps: f64) -> usize {
    (rps as usize).max(1)
}
/// Spot prices wander; the catalog is read again this often.
pub const CATALOG_REFRESH_INTERVAL: Duration = Duration::from_secs(60);
