//! Rounds of decisions, aging, backoff and gangs.

use std::time::Duration;

use crate::time::from_seconds;

/// Decision steps of one round of decisions; the next round goes on where this one stopped.
/// 4,000 decision steps take about 2 ms on a full core.
pub const MAX_ROUND_STEPS: usize = 4_000;
/// At least so many jobs are considered in a round, each with a look at every machine: at 1,900 machines the
/// decision steps above would do for two, and a queue of hundreds would take half a minute.
pub const MIN_ROUND_JOBS: usize = 4;
/// What a decision step costs in microseconds of a full core, a margin included, and the share of this process's
/// processor time that rounds may take: after a round the next one waits until it is paid for.
pub const STEP_COST_US: f64 = 0.4;
/// Share of this process's processor time that rounds may take.
pub const ROUND_CPU_SHARE: f64 = 0.3;
/// Rounds are never further apart than this while there is news: heartbeats wait for them.
pub const MAX_ROUND_PAUSE: Duration = Duration::from_millis(300);

/// The rest after a round of so many decision steps.
pub fn round_pause(steps: usize, cpu_share: f64) -> Duration {
    let cost = steps as f64 * STEP_COST_US / (cpu_share.clamp(0.001, 1.0) * ROUND_CPU_SHARE);
    Duration::from_micros(cost as u64).min(MAX_ROUND_PAUSE)
}

/// How often leases are looked at: small against every lease and its margin.
pub const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// A job of which nothing has begun after the first time gains a class of priority in the second: from the
/// lowest it passes the highest but critical within three minutes, so that with a boot and a fetch the
/// widest jobs of a class begin within four (the users' rule), also behind a stream of narrow ones.
pub const AGING_DELAY: Duration = Duration::from_secs(90);
/// A waiting job gains a class of priority in this time.
pub const AGING_INTERVAL: Duration = Duration::from_secs(30);
/// A job ages by its size against the average, at most so many times faster or slower: owners' estimates are
/// often wrong by half, and a job of a single task must not pass all others at once.
pub const MAX_AGING_FACTOR: f64 = 10.0;
/// A round without news runs this often, for gaps and ages that have run out.
pub const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// A job waits this long for machines that are fetching other images; then it shares their rate, so that a
/// fetch that hangs keeps nobody out.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(40);
/// Room of a stop that is not confirmed this long after its grace is not counted on any more.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// Failures of so many jobs on one machine, none of them under suspicion itself, after which it is replaced.
pub const MAX_MACHINE_FAILURES: usize = 2;
/// A job of which nothing has finished is under suspicion once it has failed on so many machines: two faulty ones
/// in a row are chance where one in thirty is faulty, three hardly.
pub const SUSPECT_JOB_MACHINES: usize = 3;
/// First pause of a job whose task failed; doubles up to the longest.
pub const JOB_BACKOFF: Duration = Duration::from_secs(2);
/// The longest pause of a job whose tasks fail.
pub const MAX_JOB_BACKOFF: Duration = Duration::from_secs(60);
/// A machine that refused a start for want of room is left alone this long.
pub const NO_ROOM_BACKOFF: Duration = Duration::from_secs(3);
/// Where the settings do not say how long a gang's tasks wait for one another, and how soon they notice a loss:
/// what the operators' files have at least and at most.
pub const GANG_WAIT_S: f64 = 30.0;
/// How soon a gang's tasks notice that one is gone, in seconds, where the settings do not say.
pub const GANG_PEER_S: f64 = 6.0;

/// A gang that waits for some of its tasks and finds no room for them is stopped whole after this: within the
/// time that its workers wait, a heartbeat and a fetch included, so that its places do not idle until then.
pub fn gang_completion_timeout(gang_wait_s: f64) -> Duration {
    from_seconds(gang_wait_s / 3.0)
}

/// On a spot notice, tasks that save are stopped when their saving time plus this is left.
pub const RECALL_MARGIN_S: f64 = 4.0;

/// A task's run time is judged against at least this many others of its job; it is slow beyond this
/// multiple of their mean (on simulated machines, tasks of one job differ by up to 2.3 times from
/// shortest to longest); so many slow ones in a row keep arrays off the machine for this long.
pub const MIN_SPEED_SAMPLES: u64 = 3;
/// A task is slow beyond this multiple of its job's mean run time.
pub const SLOW_FACTOR: f64 = 2.0;
/// Slow tasks in a row after which a machine is quarantined.
pub const MAX_SLOW_TASKS: u32 = 2;
/// How long a slow machine gets no arrays and gangs.
pub const SLOW_MACHINE_QUARANTINE: Duration = Duration::from_secs(60);
