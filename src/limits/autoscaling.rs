//! Machine rentals, deletions, moves of replicas, and the cloud's machine list.

use std::time::Duration;

/// A new leader moves no replicas for this long after its start.
pub const REPLICA_MOVE_INITIAL_DELAY: Duration = Duration::from_secs(30);
/// Time between two batches of replica moves, so that few replicas are down at once.
pub const REPLICA_MOVE_INTERVAL: Duration = Duration::from_secs(4);
/// A batch moves at most the fleet's replicas divided by this, but at least one is allowed. A replica is down
/// for some four seconds, the interval of batches, so at most half a percent of the replicas are down while
/// moves go on.
pub const REPLICA_MOVE_DIVISOR: usize = 200;
/// Time between two moves of one job's replicas, and between its last rescaling (or start) and the next move.
pub const JOB_REPLICA_MOVE_INTERVAL: Duration = Duration::from_secs(60);

/// Interval between two plans of the autoscaler.
pub const AUTOSCALER_INTERVAL: Duration = Duration::from_secs(1);
/// A plan that used up its budget of decision steps is resumed after this time.
pub const AUTOSCALER_RESUME_DELAY: Duration = Duration::from_millis(100);
/// A boot is given up after this multiple of the machine type's nominal boot time. Most boots take at most
/// 1.5 times.
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// First backoff after a refused rental of one machine type, zone and kind (spot or not). Doubles with each
/// refusal up to `MAX_RENTAL_BACKOFF`.
pub const RENTAL_BACKOFF: Duration = Duration::from_secs(8);
/// The longest backoff after refused rentals.
pub const MAX_RENTAL_BACKOFF: Duration = Duration::from_secs(60);
/// The largest `how_many` of one rental request (PROTOCOL).
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Machines that one deletion request may name (PROTOCOL).
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Machines on a page of the cloud's list, the most that PROTOCOL allows: a fleet of 1,900 machines takes
/// four requests.
pub const MACHINE_LIST_PAGE_SIZE: u32 = 500;

/// Time between two pages of one list, as a multiple of the shortest interval that the cloud's limit allows
/// between requests: half of the limit is left for rentals.
pub const MACHINE_LIST_INTERVAL_FACTOR: f64 = 2.0;
/// Refused requests that are tolerated while one list is read. After one more the list is given up until its
/// next turn.
pub const MAX_LIST_REFUSALS: u32 = 4;

/// Rental requests in flight at once. `rps`: the cloud's limit in requests per second. Half of it is left for
/// rentals, so `rps` requests are those of two seconds.
pub fn max_concurrent_rentals(rps: f64) -> usize {
    (rps as usize).max(1)
}
/// Interval at which the catalog of machine types is read again, since spot prices change.
pub const CATALOG_REFRESH_INTERVAL: Duration = Duration::from_secs(60);
