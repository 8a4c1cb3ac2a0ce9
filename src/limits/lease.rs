//! Worker leases, and when a silent machine is suspected or declared dead. Used by the scheduler.

use std::time::Duration;

use super::plus_clock_drift;
use crate::time::{from_seconds, to_micros};

/// Added to every worker lease: how late a worker may observe that its lease has expired.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// A worker has killed all its tasks this long after the last response that may have reached it.
pub fn worker_lease(lease_s: f64) -> Duration {
    plus_clock_drift(from_seconds(lease_s)) + LEASE_MARGIN
}

/// A machine that has sent no heartbeat for this long gets no new tasks and is suspected of being dead.
/// Heartbeats arrive up to 1.25 times `report_s` apart. If a leaseholder could not relay one, the worker
/// sends the next 2.5 s later (`RELAY_TIMEOUT` and a pause of 1 s); the other 0.75 s are a margin.
pub fn silence_timeout(report_s: f64) -> Duration {
    from_seconds(report_s * 1.25) + Duration::from_millis(3_250)
}

/// A heartbeat that arrives this long after it is due is late: round trips and a busy node take less.
pub const LATE_HEARTBEAT_MARGIN: Duration = Duration::from_millis(500);

/// Suspected machines are deleted before their lease expires only while at most this share of all machines
/// (or two machines) is silent: with more, the fault is likely to be on the controllers' side.
pub const MAX_SILENT_SHARE: f64 = 0.25;
/// The corresponding limit for the machines whose heartbeats arrive by one route, that is, through one
/// controller node: the route may be at fault although heartbeats of some machines still arrive by it.
pub const MAX_SILENT_ROUTE_SHARE: f64 = 0.5;

/// After this many consecutive heartbeats that show no effect of the previous response (neither one of its
/// commands nor its fencing token), responses are taken not to reach the machine: it gets no new tasks and is
/// deleted. One lost response is ordinary.
pub const MAX_RESPONSES_WITHOUT_EFFECT: u32 = 2;
/// A node's route, or a zone, is unreachable once no heartbeat has arrived from any of its machines for this
/// long. The caller adds three times the mean time between two heartbeats of all its machines.
/// `heartbeat_interval`: that of one machine. Workers vary it by up to a quarter, so after all have
/// reported at once (after a network partition), none reports again for three quarters of it. At least
/// 1.5 s, since leaseholders send a shard heartbeat only once a second.
pub fn route_silence_timeout(heartbeat_interval: Duration) -> Duration {
    let three_quarters = Duration::from_micros(to_micros(heartbeat_interval) / 4 * 3);
    (three_quarters + Duration::from_millis(500)).max(Duration::from_millis(1_500))
}
/// When at least this many machines fall silent at the same time, the fault is likely to be in the
/// controller's own connection.
pub const MIN_CORRELATED_SILENT_MACHINES: u32 = 3;
/// No machine is declared dead for this long after a change of leader, or after an outage of its route or
/// zone: it may first wait for two nodes that do not respond (4 s and a pause of 1 s each, PROTOCOL) before
/// its heartbeat reaches the leader.
pub const FAILOVER_GRACE_PERIOD: Duration = Duration::from_millis(9_500);

/// The time window in which heartbeats are counted to decide whether workers can contact a node.
pub fn reach_window(report_s: f64) -> Duration {
    from_seconds(report_s * 1.5) + Duration::from_secs(1)
}
