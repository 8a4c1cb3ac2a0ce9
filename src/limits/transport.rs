//! Requests, queues, timeouts and what a process has room for.

use super::LEADER_WRITE_SHARE;
use std::time::Duration;

/// Request bodies (PROTOCOL: 64 KiB).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Tasks of a job (PROTOCOL).
pub const MAX_JOB_TASKS: u32 = 100_000;
/// The longest age of a job that is believed: a wrong clock must not make one outrank the rest for ever.
pub const MAX_JOB_AGE: Duration = Duration::from_secs(86_400);
/// Length of names that users choose, so that a record fits `value_kb`.
pub const MAX_NAME_BYTES: usize = 128;
/// Allowed machine types named by one job, for the same reason.
pub const MAX_JOB_MACHINE_TYPES: usize = 16;
/// Tasks of one key of finished tasks: 4,096 bits are 1 KiB of hexadecimal, within every `value_kb`.
pub const FINISHED_TASKS_CHUNK: u32 = 4_096;
/// What a process has room for, from what the platform grants it. The settings name no number of machines;
/// each worker holds a connection, and has one heartbeat under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Events waiting for the owner of the state: as many as there can be connections, since after a takeover
    /// every worker has news at once. Beyond it requests are shed.
    pub queue: usize,
    /// Frames waiting for one peer: all workers of a shard after a change of leader, and a heartbeat between
    /// them. More are dropped; the next heartbeat, and the worker's next heartbeat, make up for them.
    pub peer_queue: usize,
    /// Machines that one leaseholder keeps: some 300 bytes each.
    pub shard: usize,
    /// Submissions and cancellations in progress at once, and polls; beyond it they are shed with `Retry-After`.
    /// Polls must not take the turns of those that change something.
    pub changes: usize,
    /// Polls in progress at once.
    pub polls: usize,
    /// Commands to workers' addresses at once, a connection each.
    pub direct_commands: usize,
    /// Final states remembered by a node so that late polls cost no request: a thirty-second of its memory at
    /// some 250 bytes each.
    pub over: usize,
}

impl Capacity {
    /// What these limits of the platform leave room for.
    pub fn of(max_sockets: usize, memory_mb: f64) -> Self {
        let sockets = max_sockets.clamp(64, 65_536);
        let memory = (memory_mb.clamp(16.0, 65_536.0) * 1024.0 * 1024.0) as usize;
        Capacity {
            queue: sockets,
            peer_queue: sockets,
            shard: sockets,
            changes: (sockets / 16).max(32),
            polls: (sockets / 8).max(64),
            direct_commands: (sockets / 16).max(16),
            over: memory / 32 / 250,
        }
    }
}

/// Names of machines that are gone are remembered this long: heartbeats that a cut held back, and copies of them,
/// come minutes late.
pub const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(3_600);
/// A leaseholder forgets a machine that it has not answered for this long: it is gone, or reports elsewhere.
pub const CACHED_HEARTBEAT_TTL: Duration = Duration::from_secs(60);
/// Frames written to a peer at once: some 100 KiB.
pub const MAX_PEER_FRAMES_PER_WRITE: usize = 512;
/// Commands taken in one batch.
pub const MAX_EVENT_BATCH: usize = 64;
/// `Retry-After` in seconds: what sheds load passes within a second or two.
pub const RETRY_AFTER_S: u64 = 1;
/// State requests: ordinary answers take under 10 ms, now and then a few hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Polls give an answer 2 s; half of that is left to reach us and to answer.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// After a request that answers polls, the next polls gather this long: ten requests a second at most.
pub const POLL_BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A watch: how long it waits, and how much longer we wait for it.
pub const STORE_WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// How much longer than asked for a watch may take.
pub const STORE_WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Pause after a failed state request, doubled at random, against stampedes after an outage.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Cloud requests may take their time; a request without an answer is repeated under its name.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(4);
/// Direct commands to a worker's address.
pub const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Connecting to anything here: round trips are a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A worker gives an answer 4 s; later ones are useless.
pub const HEARTBEAT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle user and worker connections are closed after this, so that dead ones free their socket.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Share of the state service's request limit that one node spends on users' requests.
pub const USER_STORE_REQUEST_SHARE: f64 = 0.3;

/// Puts and deletes a second that one node spends on users' requests: half as much again as its part of
/// what the leader leaves, since users are not spread evenly. Without a bound a burst of submissions kept
/// the transaction of a takeover out for 8 s.
pub fn user_writes(write_rps: f64, nodes: usize) -> f64 {
    1.5 * write_rps * (1.0 - LEADER_WRITE_SHARE) / nodes.max(1) as f64
}
