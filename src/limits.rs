//! Every constant of the service, with its unit and the reason for its value. What follows from the
//! settings is a function of them. Times are microseconds of the steady clock unless the name says otherwise.

use std::time::Duration;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Seconds, as the settings give them, in microseconds.
pub fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * SECOND as f64) as u64
}

// ---- leadership ----

/// Two clocks may part by 0.05% (PROTOCOL, durations); doubled, since both sides may be off.
pub const CLOCK_DRIFT: f64 = 0.001;
/// L: a peer's grant or promise. Short enough that a new leader reaches workers well within a 10 s
/// worker lease, long enough for five missed heartbeats on 4% of a core.
pub const GRANT_DURATION: u64 = 2_500_000;
/// The state lease behind `leader/lock`; longer than the grant so that a short peer cut changes nothing.
pub const LOCK_LEASE_MS: u64 = 3_000;
/// Heartbeats and status to the peers: five to a grant.
pub const HEARTBEAT_INTERVAL: u64 = 500_000;
/// Lock renewals: three to a lease.
pub const LOCK_RENEWAL_INTERVAL: u64 = 900_000;
/// A leader acts only with this much authority left: covers a turn of the processor lost between the
/// check and the bytes on the wire.
pub const AUTHORITY_MARGIN: u64 = 300_000;
/// A campaign repeats after this plus as much again at random, so that two candidates part.
pub const CAMPAIGN_INTERVAL: u64 = 300_000;
/// How often the epoch is read: while a leader is heard, and while none is.
pub const PROBE_INTERVAL: u64 = 1_000_000;
pub const LEADERLESS_PROBE_INTERVAL: u64 = 300_000;
/// The state service counts as lost for a node after this long without an answer.
pub const STORE_LOST_TIMEOUT: u64 = 2_500_000;
/// A peer's word on its own state access and workers is believed this long.
pub const PEER_TIMEOUT: u64 = 1_500_000;
/// A leader that gave up because nobody reached it lets the others try first.
pub const STEP_DOWN_BACKOFF: u64 = 6_000_000;

/// How long workers may be kept alive, by whom ever, after the moment up to which every cancellation is known
/// there, the state lease aside: leaders by their peers alone, node in keep-alive modes, former leaders, and leaseholders that hear
/// no leader. A worker answered at the very end lives for its lease, and all must be gone `cancel_s` after
/// the user was told. HeartbeatOutcome off besides: the state lease, by which the leader could not miss it longer, the
/// lateness of a worker's own end, and a second on the way. Stops go straight to the workers, so that what a
/// cut holds back of them was told when it began.
pub fn longest_autonomy(cancel_s: f64, lease_s: f64) -> u64 {
    micros(cancel_s - lease_s).saturating_sub(LOCK_LEASE_MS * 1_000 + LEASE_MARGIN + SECOND)
}

/// A member without the state service promises its peers whenever it attests to confirm no cancellation for so long
/// before they hold it: as long as a process is away after an end (3 and 6 s, the briefs), its start and the
/// wait for its next attestation included, so that a crash within an outage leaves no gap in what is known.
pub const CONFIRMATION_SUSPENSION: u64 = 10_000_000;
/// A member counts as without the state service for that promise after this long without an answer: the live jobs
/// are read once a second. It costs little when wrong, and a crash may follow an outage within two seconds.
pub const CONFIRMATION_SUSPENSION_DELAY: u64 = 1_500_000;
/// A user waits this long for the members to hold a cancellation; then it is told to come back.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Cancellations in one attestation: 32 KiB of the 64 that a frame holds.
pub const MAX_ATTESTED_CANCELLATIONS: usize = 4_096;
/// The live jobs are read again at least this often, polls or not: what is known of cancellations counts from it.
pub const LIVE_JOBS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How long a cancellation is remembered: its tasks are gone `cancel_s` after it was told, or a rule is broken
/// already; doubled for what is known of it late.
pub fn cancellation_retention(cancel_s: f64) -> u64 {
    micros(2.0 * cancel_s)
}

/// A time as the side counts it that must stop first.
pub fn shortened(time: u64) -> u64 {
    (time as f64 * (1.0 - CLOCK_DRIFT)) as u64
}

/// A time as the side counts it that must wait for the other.
pub fn lengthened(time: u64) -> u64 {
    (time as f64 * (1.0 + CLOCK_DRIFT)) as u64
}

// ---- shard ----

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

// ---- start rule ----

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

// ---- decisions ----

/// Decision steps of one round of decisions; the next round goes on where this one stopped.
/// 4,000 decision steps take about 2 ms on a full core.
pub const MAX_ROUND_STEPS: usize = 4_000;
/// At least so many jobs are considered in a round, each with a look at every machine: at 1,900 machines the
/// decision steps above would do for two, and a queue of hundreds would take half a minute.
pub const MIN_ROUND_JOBS: usize = 4;
/// What a decision step costs in microseconds of a full core, a margin included, and the share of this process's
/// processor time that rounds may take: after a round the next one waits until it is paid for.
pub const STEP_COST_US: f64 = 0.4;
pub const ROUND_CPU_SHARE: f64 = 0.3;
/// Rounds are never further apart than this while there is news: heartbeats wait for them.
pub const MAX_ROUND_PAUSE: u64 = 300_000;

/// The rest after a round of so many decision steps.
pub fn round_pause(steps: usize, cpu_share: f64) -> u64 {
    let cost = steps as f64 * STEP_COST_US / (cpu_share.clamp(0.001, 1.0) * ROUND_CPU_SHARE);
    (cost as u64).min(MAX_ROUND_PAUSE)
}

/// How often leases are looked at: small against every lease and its margin.
pub const LEASE_EXPIRY_INTERVAL: u64 = 250_000;
/// A job of which nothing has begun after the first time gains a class of priority in the second: from the
/// lowest it passes the highest but critical within three minutes, so that with a boot and a fetch the
/// widest jobs of a class begin within four (the users' rule), also behind a stream of narrow ones.
pub const AGING_DELAY: u64 = 90_000_000;
pub const AGING_INTERVAL: u64 = 30_000_000;
/// A job ages by its size against the average, at most so many times faster or slower: owners' estimates are
/// often wrong by half, and a job of a single task must not pass all others at once.
pub const MAX_AGING_FACTOR: f64 = 10.0;
/// A round without news runs this often, for gaps and ages that have run out.
pub const IDLE_ROUND_INTERVAL: u64 = 500_000;
/// A job waits this long for machines that are fetching other images; then it shares their rate, so that a
/// fetch that hangs keeps nobody out.
pub const FETCH_TIMEOUT: u64 = 40_000_000;
/// Room of a stop that is not confirmed this long after its grace is not counted on any more.
pub const STOP_TIMEOUT: u64 = 4_000_000;
/// Failures of so many jobs on one machine, none of them under suspicion itself, after which it is replaced.
pub const MAX_MACHINE_FAILURES: usize = 2;
/// A job of which nothing has finished is under suspicion once it has failed on so many machines: two faulty ones
/// in a row are chance where one in thirty is faulty, three hardly.
pub const SUSPECT_JOB_MACHINES: usize = 3;
/// First pause of a job whose task failed; doubles up to the longest.
pub const JOB_BACKOFF: u64 = 2_000_000;
pub const MAX_JOB_BACKOFF: u64 = 60_000_000;
/// A machine that refused a start for want of room is left alone this long.
pub const NO_ROOM_BACKOFF: u64 = 3_000_000;
/// Where the settings do not say how long a gang's tasks wait for one another, and how soon they notice a loss:
/// what the operators' files have at least and at most.
pub const GANG_WAIT_S: f64 = 30.0;
pub const GANG_PEER_S: f64 = 6.0;

/// A gang that waits for some of its tasks and finds no room for them is stopped whole after this: within the
/// time that its workers wait, a heartbeat and a fetch included, so that its places do not idle until then.
pub fn gang_completion_timeout(gang_wait_s: f64) -> u64 {
    micros(gang_wait_s / 3.0)
}

/// On a spot notice, tasks that save are stopped when their saving time plus this is left.
pub const RECALL_MARGIN_S: f64 = 4.0;

/// A task's run time is judged against at least this many others of its job; it is slow beyond this
/// multiple of their mean (on simulated machines, tasks of one job differ by up to 2.3 times from
/// shortest to longest); so many slow ones in a row keep arrays off the machine for this long.
pub const MIN_SPEED_SAMPLES: u64 = 3;
pub const SLOW_FACTOR: f64 = 2.0;
pub const MAX_SLOW_TASKS: u32 = 2;
pub const SLOW_MACHINE_QUARANTINE: u64 = 60_000_000;

// ---- what is written ----

/// Share of the state service's puts and deletes that the leader spends on its own records; the rest is
/// for users' submissions and cancellations through any node.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// The leader's least burst: an ended job takes three writes at once.
pub const MIN_WRITE_BURST: f64 = 4.0;
/// Finished tasks of a job wait this long for others of it before they are written.
pub const FINISHED_TASKS_DELAY: u64 = 4_000_000;
/// A machine that is gone stays in its record this long, and new images out of it, so that others join.
pub const DELETED_MACHINE_RECORD_DELAY: u64 = 4_000_000;
pub const IMAGE_RECORD_DELAY: u64 = 20_000_000;
/// Bytes of image names that a record keeps for each machine, and bytes of everything else.
pub const RECORD_IMAGE_BYTES: usize = 120;
pub const RECORD_MACHINE_BYTES: usize = 180;

/// Bytes of a value of the state service, a margin left.
pub fn value_bytes(value_kb: f64) -> usize {
    (value_kb * 1024.0 * 0.9) as usize
}

/// Machines in one record, so that it fits a value of the state service.
pub fn record_machines(value_kb: f64) -> usize {
    (value_bytes(value_kb) / (RECORD_IMAGE_BYTES + RECORD_MACHINE_BYTES)).max(1)
}

// ---- fleet ----

/// A new leader moves no replicas until it has seen this much calm.
pub const REPLICA_MOVE_INITIAL_DELAY: u64 = 30_000_000;
/// Between two moves of replicas, so that never many are down at once.
pub const REPLICA_MOVE_INTERVAL: u64 = 4_000_000;
/// Of so many replicas one is moved at a time (one at least): with some four seconds down for each, moving
/// costs half a percent of the replica time while it lasts.
pub const REPLICAS_PER_MOVE: usize = 200;
/// Between two moves of one job's replicas, and between its start and the first.
pub const JOB_REPLICA_MOVE_INTERVAL: u64 = 60_000_000;

/// How often the fleet is weighed.
pub const AUTOSCALER_INTERVAL: u64 = 1_000_000;
/// A plan that its budget did not suffice for goes on after this.
pub const AUTOSCALER_RESUME_DELAY: u64 = 100_000;
/// A boot that takes this many times the nominal time is given up (most take at most 1.5 times).
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// First pause after a refused rental of one type, zone and kind; doubles up to the longest.
pub const RENTAL_BACKOFF: u64 = 8_000_000;
pub const MAX_RENTAL_BACKOFF: u64 = 60_000_000;
/// `how_many` is at most 50, a deletion names at most 100 machines (PROTOCOL).
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
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

// ---- cold start ----

/// How often the phase is looked at: at 4,000 machines with some ten tasks each a look joins 40,000 facts.
pub const COLD_START_INTERVAL: u64 = 1_000_000;
/// A job that reports name and nobody knows is asked about again after this.
pub const COLD_START_RETRY_INTERVAL: u64 = 3_000_000;
/// Jobs asked about at once, within the state service's limit.
pub const MAX_COLD_START_READS: usize = 8;
/// Machines and tasks named in the heartbeat: it has to fit a value.
pub const MAX_COLD_START_NAMES: usize = 10;

// ---- the operators' client ----

/// A node that does not answer the client within this is left for the next.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two questions of the client.
pub const CLIENT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

// ---- draining ----

/// How often drains are looked at: stops and replacements take seconds each.
pub const DRAIN_INTERVAL: u64 = 500_000;
/// Time that the solver may take for one step, in seconds: it looks at 200 machines at most, and the answer in their
/// order stands where it does not suffice.
pub const DRAIN_SOLVER_TIMEOUT_S: f64 = 0.02;
/// For each machine that may begin, so many are offered to the planner.
pub const MAX_DRAIN_CANDIDATES: usize = 8;
/// Places looked for in one round, each a look at every machine: 16 at 4,000 machines take some 5 ms of a full core.
pub const MAX_DRAIN_PLACEMENT_SEARCHES: usize = 16;
/// A ledger that nothing waits for is written this often, so that a new leader misses little.
pub const DRAIN_LEDGER_INTERVAL: u64 = 10_000_000;
/// What operators are told of a drain is written this often.
pub const DRAIN_SUMMARY_INTERVAL: u64 = 2_000_000;
/// A place is kept this long for a replica that has been told to stop: longer than a worker lease.
pub const DRAIN_MOVE_TIMEOUT: u64 = 60_000_000;
/// Added to two heartbeats for how long a moved replica is down: the round of decisions and the way to its worker.
pub const MOVE_MARGIN_S: f64 = 1.0;
/// A fetch takes up to a third longer than its rate says, and two may share the rate.
pub const FETCH_TIME_FACTOR: f64 = 1.5;
/// What a fetch is taken to last where the rate is not known.
pub const DEFAULT_FETCH_S: f64 = 60.0;

// ---- operators ----

/// Usage per job is written to the log this often.
pub const USAGE_LOG_INTERVAL: u64 = 60_000_000;
/// Recent decisions kept for the overview, and jobs and machines shown in it.
pub const MAX_RECENT_DECISIONS: usize = 50;
pub const MAX_OVERVIEW_LINES: usize = 500;

// ---- input and output ----

/// Request bodies (PROTOCOL: 64 KiB).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Tasks of a job (PROTOCOL).
pub const MAX_JOB_TASKS: u32 = 100_000;
/// The longest age of a job that is believed: a wrong clock must not make one outrank the rest for ever.
pub const MAX_JOB_AGE_MS: u64 = 86_400_000;
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
    pub polls: usize,
    /// Commands to workers' addresses at once, a connection each.
    pub direct_commands: usize,
    /// Final states remembered by a node so that late polls cost no request: a thirty-second of its memory at
    /// some 250 bytes each.
    pub over: usize,
}

impl Capacity {
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
pub const DELETED_MACHINE_RETENTION: u64 = 3_600_000_000;
/// A leaseholder forgets a machine that it has not answered for this long: it is gone, or reports elsewhere.
pub const CACHED_HEARTBEAT_TTL: u64 = 60_000_000;
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
pub const STORE_WATCH_MS: u64 = 4_000;
pub const STORE_WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Pause after a failed state request, doubled at random, against stampedes after an outage.
pub const STORE_RETRY_DELAY_MS: u64 = 250;
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
