//! Requests, queues, timeouts, and the capacity of a process.

use super::LEADER_WRITE_SHARE;
use std::time::Duration;

/// The largest request body, and the largest body of a frame between nodes (PROTOCOL: 64 KiB).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most tasks of a job (PROTOCOL).
pub const MAX_JOB_TASKS: u32 = 100_000;
/// A stored job's age is capped at this: after a wrong clock reading, a job must not outrank all others for
/// ever.
pub const MAX_JOB_AGE: Duration = Duration::from_secs(86_400);
/// The longest name that users may choose, so that a record fits `value_kb`.
pub const MAX_NAME_BYTES: usize = 128;
/// The most machine types that one job may list as allowed, so that a record fits `value_kb`.
pub const MAX_JOB_MACHINE_TYPES: usize = 16;
/// Tasks that one key of finished tasks covers: 4,096 bits are 1 KiB of hexadecimal, within every `value_kb`.
pub const FINISHED_TASKS_CHUNK: u32 = 4_096;
/// Capacity of a process, by the resources that the platform grants it. The settings name no number of
/// machines, but each worker holds one connection and has one heartbeat in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Events that wait for the event loop: as many as there can be connections, since after a takeover every
    /// worker has changes at once. Further requests are shed.
    pub event_queue: usize,
    /// Frames that wait to be sent to one peer: after a change of leader, those for all workers of a shard,
    /// with peer heartbeats in between. Further frames are dropped: the next peer heartbeat or the worker's
    /// next heartbeat replaces a dropped one. Also the bound of received frames that wait; beyond it no more
    /// are read.
    pub peer_frame_queue: usize,
    /// Machines whose heartbeats one leaseholder caches: some 300 bytes each.
    pub cached_heartbeats: usize,
    /// Submissions and cancellations in progress at once. Further ones are shed with `Retry-After`. Counted
    /// apart from polls, so that polls do not displace requests that change something.
    pub concurrent_changes: usize,
    /// Polls in progress at once. Further ones are shed with `Retry-After`.
    pub concurrent_polls: usize,
    /// Commands to workers' addresses in flight at once, one connection each.
    pub direct_commands: usize,
    /// Final states of jobs that a node caches, so that late polls cost no request to the key-value store: a
    /// thirty-second of its memory at some 250 bytes each.
    pub final_states: usize,
}

impl Capacity {
    /// The capacity within these limits of the platform. `memory_mb` is in MiB.
    pub fn of(max_sockets: usize, memory_mb: f64) -> Self {
        let sockets = max_sockets.clamp(64, 65_536);
        let memory = (memory_mb.clamp(16.0, 65_536.0) * 1024.0 * 1024.0) as usize;
        Capacity {
            event_queue: sockets,
            peer_frame_queue: sockets,
            cached_heartbeats: sockets,
            concurrent_changes: (sockets / 16).max(32),
            concurrent_polls: (sockets / 8).max(64),
            direct_commands: (sockets / 16).max(16),
            final_states: memory / 32 / 250,
        }
    }
}

/// Names of deleted machines are remembered this long: heartbeats that a network partition delayed, and
/// duplicates of them, arrive minutes late.
pub const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(3_600);
/// A leaseholder drops the cached heartbeat of a machine that it has not responded to for this long: the
/// machine was deleted, or reports elsewhere.
pub const CACHED_HEARTBEAT_TTL: Duration = Duration::from_secs(60);
/// Frames that are written to a peer at once: some 100 KiB.
pub const MAX_PEER_FRAMES_PER_WRITE: usize = 512;
/// Events that the event loop takes from its queue at once.
pub const MAX_EVENT_BATCH: usize = 64;
/// `Retry-After` of shed requests, in seconds: an overload passes within a second or two.
pub const RETRY_AFTER_S: u64 = 1;
/// Time limit of requests to the key-value store: responses usually take under 10 ms, and sometimes a few
/// hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of requests to the key-value store on behalf of a poll. A user waits 2 s for the response to a
/// poll, and half of that is left for the poll to arrive and for the response.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// After a request that answers polls, further polls are collected for this long: ten requests a second at
/// most.
pub const POLL_BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a watch waits for changes.
pub const STORE_WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Added to the time that a watch waits for changes to give the time limit of its request.
pub const STORE_WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Pause after a failed request to the key-value store. Most callers extend it at random up to double, to
/// prevent a stampede after an outage.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time limit of requests to the cloud, which may be slow. A rental without a response is repeated with the
/// same `request_id`, so that nothing is rented twice.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit of direct commands to a worker's address.
pub const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of connecting to a peer or a service, and of writing to a peer: round trips are a few
/// milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a heartbeat waits for its response: a worker waits 4 s, and later responses are useless.
pub const HEARTBEAT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections of users and workers are closed after this time, so that dead ones free their sockets.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Share of the key-value store's request limit that one node spends on users' requests.
pub const USER_STORE_REQUEST_SHARE: f64 = 0.3;

/// Puts and deletes per second that one node may spend on users' requests: 1.5 times an equal share of the
/// writes that the leader leaves, since users are not spread evenly. Without a bound, a burst of submissions
/// delays the transaction of a takeover by 8 s.
pub fn user_writes(write_rps: f64, nodes: usize) -> f64 {
    1.5 * write_rps * (1.0 - LEADER_WRITE_SHARE) / nodes.max(1) as f64
}
