//! Shards, their leaseholders, and heartbeats that are relayed.

/// A leaseholder tells the leader this often which machines it answered.
pub const SHARD_HEARTBEAT_INTERVAL: u64 = 1_000_000;
/// A worker with news that no leader takes is sent to the other nodes again this long after it came back: it
/// may be away for a hang of four seconds and a pause of one at two of them, and its lease must outlast that.
pub const REDIRECT_RETRY_INTERVAL: u64 = 8_000_000;
/// Bytes of machine names in one word to the leader: a frame holds 64 KiB.
pub const SHARD_HEARTBEAT_MAX_BYTES: usize = 60 * 1024;
/// A heartbeat that could not name every machine is followed by the next after this: the leader counts on no lease
/// of this shard ending before one has named them all, and 6,000 machines with long names take several frames.
pub const SHARD_HEARTBEAT_CONTINUATION_INTERVAL: u64 = 250_000;
/// Heartbeats without confirmation that are remembered: those of four seconds.
pub const MAX_UNACKNOWLEDGED_SHARD_HEARTBEATS: usize = 16;
/// A heartbeat that was passed on waits this long for the leader; then the worker is kept alive if it may be,
/// or sent elsewhere. Well within the 4 s that it gives us.
pub const RELAY_TIMEOUT: u64 = 1_500_000;
/// What a leaseholder passed on or told is taken by the leader within this time of the heartbeat that it
/// echoes: bytes that a cut held back must do nothing.
pub const RELAY_MAX_AGE: u64 = 3_000_000;
