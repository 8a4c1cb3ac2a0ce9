//! Shards, their leaseholders, and relayed heartbeats. Used by `lease::shard` and by the controller's
//! heartbeat routing.

use std::time::Duration;

/// Interval of a leaseholder's shard heartbeats, which name the machines that it responded to.
pub const SHARD_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A leaseholder is silent if its last shard heartbeat arrived this long ago. Operators' estimates use it; no
/// lease counts as expired because of it.
pub const SILENT_LEASEHOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// While a node is not in contact with a leader, it redirects a worker whose heartbeat does not allow a
/// local response to the other nodes. Once the worker has come back from them, it is redirected again only
/// after this time: there it may wait four seconds for each of two nodes, with a pause of one second, and its
/// lease must outlast that.
pub const REDIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(8);
/// Bytes of machine names in one shard heartbeat: a frame holds 64 KiB.
pub const SHARD_HEARTBEAT_MAX_BYTES: usize = 60 * 1024;
/// A shard heartbeat that could not name every machine is followed by the next after this time. The leader
/// treats no lease of the shard as expired until all have been named, and 6,000 machines with long names take
/// several frames.
pub const SHARD_HEARTBEAT_CONTINUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Shard heartbeats without acknowledgement that a leaseholder remembers: four seconds' worth at
/// [`SHARD_HEARTBEAT_CONTINUATION_INTERVAL`], while the names take several frames.
pub const MAX_UNACKNOWLEDGED_SHARD_HEARTBEATS: usize = 16;
/// How long a relayed heartbeat waits for the leader's response. After that the leaseholder keeps the worker
/// alive if it may, and otherwise redirects it. Well within the 4 s for which a worker waits for a response
/// (PROTOCOL).
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The leader accepts a leaseholder's frames only within this time after it sent the heartbeat that they
/// echo: frames that a network partition has delayed must have no effect.
pub const RELAY_MAX_AGE: Duration = Duration::from_secs(3);
