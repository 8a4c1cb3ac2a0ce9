//! Worker leases, silence, and when a machine counts as lost.

use super::{micros, CLOCK_DRIFT};

/// Added to every worker lease: how late a worker may notice that its lease ended.
pub const LEASE_MARGIN: u64 = 1_000_000;

/// The time after the last possible answer by which a worker has killed all its tasks.
pub fn worker_lease(lease_s: f64) -> u64 {
    (micros(lease_s) as f64 * (1.0 + CLOCK_DRIFT)) as u64 + LEASE_MARGIN
}

/// A machine that has not reported for this long gets no new tasks and is suspected. Heartbeats come every
/// `report_s` plus a quarter; one that its leaseholder could not pass on is followed by the next 2.5 s later.
pub fn silence_timeout(report_s: f64) -> u64 {
    micros(report_s * 1.25) + 3_250_000
}

/// A heartbeat that comes this much after its time is late: round trips and a busy node take less.
pub const LATE_HEARTBEAT_MARGIN: u64 = 500_000;

/// Suspected machines are deleted ahead of the end of their lease only while at most this share (or
/// two machines) is silent: when more are, the fault may well be on our side.
pub const MAX_SILENT_SHARE: f64 = 0.25;
/// The same of the machines that heartbeat one way, which may be at fault although others are heard by it.
pub const MAX_SILENT_ROUTE_SHARE: f64 = 0.5;

/// Heartbeats running without a trace of the answer before them, after which a machine is deaf: it gets no
/// new tasks and is deleted. One lost answer is ordinary.
pub const MAX_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;
/// No heartbeat at all through one node, or from one zone, for this long and three times the mean interval
/// between them means that it is lost: leaseholders tell whom they answered once a second, and machines that all
/// reported at once (a cut has ended) next do so three quarters of an interval later at the earliest.
pub fn route_silence_timeout(heartbeat_interval: u64) -> u64 {
    (heartbeat_interval / 4 * 3 + 500_000).max(1_500_000)
}
/// This many machines silent at the same time point to our own connection.
pub const MIN_CORRELATED_SILENCE: u32 = 3;
/// After a change of leader, a machine may hang twice at nodes that do not answer (4 s and a pause of
/// 1 s each, PROTOCOL) before it comes; it is not given up earlier.
pub const FAILOVER_GRACE_PERIOD: u64 = 9_500_000;

/// The window in which heartbeats are counted to see whether workers reach a node.
pub fn reach_window(report_s: f64) -> u64 {
    micros(report_s * 1.5) + 1_000_000
}
