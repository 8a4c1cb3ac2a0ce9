//! Worker leases, silence, and when a machine counts as lost. Used by the scheduler.

use std::time::Duration;

use super::lengthened;
use crate::time::{from_seconds, to_micros};

/// Added to every worker lease: how late a worker may observe that its lease has expired.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// How long after the last possible response a worker has killed all its tasks.
pub fn worker_lease(lease_s: f64) -> Duration {
    lengthened(from_seconds(lease_s)) + LEASE_MARGIN
}

/// A machine that has sent no heartbeat for this long gets no new tasks and is suspected. Heartbeats arrive every
/// `report_s` plus a quarter. One that its leaseholder could not relay is followed by the next 2.5 s later.
pub fn silence_timeout(report_s: f64) -> Duration {
    from_seconds(report_s * 1.25) + Duration::from_millis(3_250)
}

/// A heartbeat that arrives this much after its time is late: round trips and a busy node take less.
pub const LATE_HEARTBEAT_MARGIN: Duration = Duration::from_millis(500);

/// Suspected machines are deleted before their lease expires only while at most this share of all machines (or two
/// machines) is silent: with more, the fault may well be on the controllers' side.
pub const MAX_SILENT_SHARE: f64 = 0.25;
/// The same share of the machines that send heartbeats by one route: that route may be at fault although other machines'
/// heartbeats still arrive by it.
pub const MAX_SILENT_ROUTE_SHARE: f64 = 0.5;

/// Consecutive heartbeats that show no effect of the response before them, after which a machine counts as unreachable
/// one way: it gets no new tasks and is deleted. One lost response is ordinary.
pub const MAX_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;
/// No heartbeat at all through one node, or from one zone, for this long and three times the mean interval between them
/// means that the route is lost. Leaseholders send a shard heartbeat once a second, and machines that all reported at once
/// (after a network partition) next do so three quarters of an interval later at the earliest.
pub fn route_silence_timeout(heartbeat_interval: Duration) -> Duration {
    let three_quarters = Duration::from_micros(to_micros(heartbeat_interval) / 4 * 3);
    (three_quarters + Duration::from_millis(500)).max(Duration::from_millis(1_500))
}
/// This many machines that fall silent at the same time point to a fault of the controller's own connection.
pub const MIN_CORRELATED_SILENCE: u32 = 3;
/// After a change of leader, a machine may twice wait for nodes that do not respond (4 s and a pause of 1 s each, PROTOCOL)
/// before it reports to the leader. It does not count as lost earlier.
pub const FAILOVER_GRACE_PERIOD: Duration = Duration::from_millis(9_500);

/// The window in which heartbeats are counted to decide whether workers reach a node.
pub fn reach_window(report_s: f64) -> Duration {
    from_seconds(report_s * 1.5) + Duration::from_secs(1)
}
