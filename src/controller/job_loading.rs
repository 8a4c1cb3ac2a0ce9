//! Loads what a new leader needs from the state service, and parses its records. Called by `job_watch`.

use super::finished_tasks::decode_bits;
use crate::http::wall_ms;
use crate::limits;
use crate::protocol::records::{LiveRecord, MachineRecord};
use crate::protocol::state_service::Record;
use crate::protocol::users::InvalidSubmission;
use crate::scheduler::model::{JobId, JobSpec};
use crate::scheduler::{StoredJob, StoredMachine};
use crate::storage::key_value_store::{KeyValueStore, Listing, StoreError};
use crate::storage::keys;
use crate::storage::record_versions::RecordVersions;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use thiserror::Error;
use tracing::warn;

/// Why a live record is skipped.
#[derive(Debug, Error)]
enum UnreadableJob {
    /// It is no JSON of a live record.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is a job that would be refused.
    #[error(transparent)]
    Submission(#[from] InvalidSubmission),
}

fn parse_job(record: &Record) -> Result<StoredJob, UnreadableJob> {
    let LiveRecord { submission, accepted_ms, .. } = serde_json::from_value(record.value.clone())?;
    let spec = JobSpec::try_from(&submission)?;
    let age_ms = if accepted_ms == 0 { 0 } else { wall_ms().saturating_sub(accepted_ms) };
    let age = Duration::from_millis(age_ms).min(limits::MAX_JOB_AGE);
    Ok(StoredJob { spec, version: record.version, age, succeeded: BTreeSet::new() })
}

/// Parses a live record; `None`, with a warning, if it can't be read.
pub(super) fn stored_job(record: &Record) -> Option<StoredJob> {
    match parse_job(record) {
        Ok(job) => Some(job),
        Err(error) => {
            warn!(key = record.key, error = error.to_string(), "unreadable job record: skipped");
            None
        }
    }
}

/// Everything that a new leader reads.
pub(super) struct Loaded {
    pub(super) jobs: Vec<StoredJob>,
    /// Machine records by their name, without the prefix of their keys.
    pub(super) records: Vec<(String, Vec<StoredMachine>)>,
    /// Keys of finished tasks whose job is not live any more.
    pub(super) orphans: Vec<String>,
    /// Changes after this revision are still to be followed.
    pub(super) revision: u64,
}

/// Reads everything once.
pub(super) async fn load(store: &KeyValueStore, versions: &RecordVersions) -> Result<Loaded, StoreError> {
    // The live jobs first: what finishes during the other reads is then followed from their revision.
    let Listing { records: live, revision } = store.list(keys::LIVE_JOBS).await?;
    let finished = store.list(keys::FINISHED_TASKS).await?.records;
    let fleet = store.list(keys::MACHINE_RECORDS).await?.records;
    finished.iter().chain(&fleet).for_each(|record| versions.note(&record.key, record.version));
    let mut jobs: HashMap<JobId, StoredJob> =
        live.iter().filter_map(stored_job).map(|job| (job.spec.job_id, job)).collect();
    let orphans = add_finished_tasks(&mut jobs, finished);
    let records = fleet.into_iter().filter_map(stored_machines).collect();
    Ok(Loaded { jobs: jobs.into_values().collect(), records, orphans, revision })
}

/// Adds finished tasks to their jobs; returns the keys of those whose job is not live.
fn add_finished_tasks(jobs: &mut HashMap<JobId, StoredJob>, records: Vec<Record>) -> Vec<String> {
    let mut orphans = Vec::new();
    for record in records {
        let mut parts = record.key.split('/').skip(1);
        let job_id = parts.next().and_then(JobId::parse);
        let chunk = parts.next().and_then(|chunk| chunk.parse::<u32>().ok());
        let Some(job) = job_id.and_then(|job_id| jobs.get_mut(&job_id)) else {
            orphans.push(record.key);
            continue;
        };
        let (Some(chunk), Some(bits)) = (chunk, record.value.as_str()) else {
            warn!(key = record.key, "unreadable record of finished tasks: skipped");
            continue;
        };
        let first = chunk.saturating_mul(limits::FINISHED_TASKS_CHUNK);
        let tasks = job.spec.tasks;
        job.succeeded.extend(decode_bits(bits).map(|task| task + first).filter(|task| *task < tasks));
    }
    orphans
}

/// Parses a machine record; `None`, with a warning, if it can't be read.
fn stored_machines(record: Record) -> Option<(String, Vec<StoredMachine>)> {
    let name = record.key.strip_prefix(keys::MACHINE_RECORDS)?.to_string();
    match serde_json::from_value::<Vec<MachineRecord>>(record.value) {
        Ok(machines) => Some((name, machines.into_iter().map(StoredMachine::from).collect())),
        Err(error) => {
            warn!(key = record.key, %error, "unreadable machine record: skipped");
            None
        }
    }
}
