//! Rounds of decisions, aging, backoff, quarantine and gangs. Used by the scheduler.

use std::time::Duration;

use crate::time::from_seconds;

/// Budget of one round of decisions, in decision steps. A step considers a job, or one machine for a job. The
/// next round resumes where this one stopped. 4,000 decision steps take about 2 ms on a full core.
pub const MAX_ROUND_STEPS: usize = 4_000;
/// A round's budget suffices for at least this many jobs, each compared with every machine. At 1,900 machines
/// `MAX_ROUND_STEPS` alone suffices for two jobs, and a queue of hundreds would take half a minute.
pub const MIN_ROUND_JOBS: usize = 4;
/// Processor time of one decision step in microseconds of a full core, including a margin.
pub const STEP_COST_US: f64 = 0.4;
/// Share of this process's processor time that rounds may take: after each round the next one is delayed
/// accordingly.
pub const ROUND_CPU_SHARE: f64 = 0.3;
/// The longest pause between two rounds while a change is pending, since responses to heartbeats wait for the
/// round.
pub const MAX_ROUND_PAUSE: Duration = Duration::from_millis(300);

/// How long to pause after a round of this many decision steps. `cpu_share`: the share of a core that this
/// process has.
pub fn round_pause(steps: usize, cpu_share: f64) -> Duration {
    let cost = steps as f64 * STEP_COST_US / (cpu_share.clamp(0.001, 1.0) * ROUND_CPU_SHARE);
    Duration::from_micros(cost as u64).min(MAX_ROUND_PAUSE)
}

/// Interval between two checks for expired leases: small compared with every lease and its margin.
pub const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A job of which no task has begun this long after its submission gains one priority class per
/// `AGING_INTERVAL`. From the lowest class it passes all classes but critical within three minutes. With a
/// boot and a fetch, the widest jobs of a class therefore begin within four minutes (a requirement of the
/// users), also behind a stream of narrow jobs.
pub const AGING_DELAY: Duration = Duration::from_secs(90);
/// Time in which a job that has waited for `AGING_DELAY` gains a priority class.
pub const AGING_INTERVAL: Duration = Duration::from_secs(30);
/// A job with less or more remaining work than the mean ages faster or slower, in proportion, by this factor
/// at most. Owners' estimates are often wrong by half, and without a bound a job of a single task would pass
/// all others at once.
pub const MAX_AGING_FACTOR: f64 = 10.0;
/// Interval of rounds while nothing changes: jobs age, and the time `rescale_gap_s` between two changes of a
/// job's width ends.
pub const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// For this long a job waits for machines that are fetching other images. After that it shares their fetch
/// rate, so that a fetch that hangs blocks no other job.
pub const SHARED_FETCH_DELAY: Duration = Duration::from_secs(40);
/// A stop that is not confirmed this long after its grace period is overdue: the task's resources are no
/// longer expected to become free soon.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// A job whose tasks have not failed for this long has a clean record, and a failure on a machine counts against
/// it for this long. A job that always fails is retried at least every `MAX_JOB_BACKOFF`, so that its record
/// remains.
pub const FAILURE_MEMORY: Duration = Duration::from_secs(600);
/// The most machines in the failure record of a job. Bounds its memory, and the machines that a job that always
/// fails tries.
pub const MAX_MACHINES_IN_FAILURE_RECORD: usize = 256;
/// The most tasks in the failure record of a job. Bounds its memory.
pub const MAX_TASKS_IN_FAILURE_RECORD: usize = 1_000;
/// A faulty machine that cannot be replaced yet, since it still holds tasks, gets no new ones for this long after
/// a failure. Bounded for the same reason as `MAX_JOB_BACKOFF`.
pub const FAULTY_MACHINE_BACKOFF: Duration = Duration::from_secs(60);
/// A machine is replaced once tasks of this many jobs have failed on it within `FAILURE_MEMORY`, not counting
/// suspected jobs and tasks that have failed elsewhere too.
pub const MAX_MACHINE_FAILURES: usize = 2;
/// A job is suspected of being faulty once it has failed on this many machines since a task of it last succeeded,
/// and so is a task that has failed on this many. Where one machine in thirty is faulty, two faulty ones in a row
/// may be chance, three hardly.
pub const SUSPECT_MACHINES: usize = 3;
/// First backoff of a job that is suspected, or one of whose tasks a worker reported as unknown. Doubles with
/// each failure up to `MAX_JOB_BACKOFF`.
pub const JOB_BACKOFF: Duration = Duration::from_secs(2);
/// A machine on which a task of a job failed gets no task of that job for this long. Doubles with each failure
/// of the job there up to `MAX_JOB_BACKOFF`.
pub const FAILED_MACHINE_BACKOFF: Duration = Duration::from_secs(10);
/// The longest backoff of a job whose tasks fail, as a whole or on one machine. A job that only one machine can
/// run must start there within 90 s of the end of a fault (a requirement of the users).
pub const MAX_JOB_BACKOFF: Duration = Duration::from_secs(60);
/// A machine that refused a start for lack of room, or on which a task failed, gets no new tasks for this
/// long.
pub const PLACEMENT_BACKOFF: Duration = Duration::from_secs(3);
/// Default of `gang_wait_s`: how long a gang's tasks wait for one another, in seconds. The smallest value
/// that occurs in operators' files.
pub const GANG_WAIT_S: f64 = 30.0;
/// Default of `gang_peer_s`: how soon a gang's tasks notice that one is gone, in seconds. The largest value
/// that occurs in operators' files.
pub const GANG_PEER_S: f64 = 6.0;

/// A gang that lacks some of its tasks and finds no room for them is stopped as a whole after this time. The
/// started tasks wait for the others for `gang_wait_s`. The timeout plus a heartbeat and a fetch is shorter,
/// so that the places of the started tasks do not idle until `gang_wait_s` ends.
pub fn gang_completion_timeout(gang_wait_s: f64) -> Duration {
    from_seconds(gang_wait_s / 3.0)
}

/// On a spot notice (a recall of the machine by the cloud), tasks that save checkpoints are stopped when
/// their saving time plus this margin is left, in seconds.
pub const RECALL_MARGIN_S: f64 = 4.0;

/// A task's run time is compared with the mean of its job's earlier tasks once there are this many.
pub const MIN_SPEED_SAMPLES: u64 = 3;
/// A task is slow if it runs for more than this multiple of its job's mean run time. Tasks of one job differ
/// by up to 2.3 times from shortest to longest.
pub const SLOW_FACTOR: f64 = 2.0;
/// Consecutive slow tasks after which a machine is quarantined.
pub const MAX_SLOW_TASKS: u32 = 2;
/// How long a quarantined machine gets no arrays and gangs.
pub const SLOW_MACHINE_QUARANTINE: Duration = Duration::from_secs(60);
