//! Keys in the state service, the only place that spells them (drains have theirs in `drains::records`).
//!
//! Earlier and later versions of this program read the same keys: a change here is a migration.

use std::fmt::Display;

/// Who led last, under which fencing token. Every transaction of a leader compares its version.
pub const LEADER_EPOCH: &str = "leader/epoch";
/// The leader's lock; it hangs on a lease.
pub const LEADER_LOCK: &str = "leader/lock";
/// The cloud's machine types, so that a new process need not wait for the cloud.
pub const MACHINE_TYPE_CATALOG: &str = "fleet/catalog";
/// The report of the last cold start, written by the leader.
pub const COLD_START_REPORT: &str = "cold-start/report";
/// Prefix of the jobs that are neither done nor cancelled.
pub const LIVE_JOBS: &str = "live/";
/// Prefix of the finished tasks of live jobs.
pub const FINISHED_TASKS: &str = "done/";
/// Prefix of the records of machines that may hold tasks.
pub const MACHINE_RECORDS: &str = "fleet/machines/";
/// Prefix of the final states of jobs.
const FINAL_STATES: &str = "over/";

/// The key of a live job.
pub fn live_job(job_id: impl Display) -> String {
    format!("{LIVE_JOBS}{job_id}")
}

/// The key of a job's final state.
pub fn final_state(job_id: impl Display) -> String {
    format!("{FINAL_STATES}{job_id}")
}

/// The key of one chunk of a job's finished tasks.
pub fn finished_tasks(job_id: impl Display, chunk: u32) -> String {
    format!("{FINISHED_TASKS}{job_id}/{chunk}")
}

/// The key of a machine record, by the name that the scheduler gave the record.
pub fn machine_record(record: &str) -> String {
    format!("{MACHINE_RECORDS}{record}")
}
