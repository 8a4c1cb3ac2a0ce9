//! What a leader reads from the state service: jobs, finished tasks and machine records when it begins, and the jobs
//! that users submit and cancel from then on.

use super::finished_tasks::decode_bits;
use crate::drains;
use crate::http::wall_ms;
use crate::limits;
use crate::node_events::Event;
use crate::protocol::records::{LiveRecord, MachineRecord};
use crate::protocol::state_service::{ChangeEvent, Record};
use crate::scheduler::model::JobId;
use crate::scheduler::{Command, StoredJob, StoredMachine};
use crate::settings::Team;
use crate::storage::key_value_store::{compare_version, remove_change, KeyValueStore, StoreError};
use crate::storage::keys;
use crate::storage::record_versions::RecordVersions;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

pub(super) fn stored_job(record: &Record) -> Option<StoredJob> {
    let live: Result<LiveRecord, _> = serde_json::from_value(record.value.clone());
    let checked = live.map_err(|e| e.to_string()).and_then(|l| Ok((l.submission.check()?, l.accepted_ms)));
    match checked {
        Ok((spec, accepted_ms)) => {
            let age_ms = if accepted_ms == 0 { 0 } else { wall_ms().saturating_sub(accepted_ms) };
            let age = age_ms.min(limits::MAX_JOB_AGE_MS) * 1_000;
            Some(StoredJob { spec, version: record.version, age, succeeded: BTreeSet::new() })
        }
        Err(error) => {
            warn!(key = record.key, error, "unreadable job record: skipped");
            None
        }
    }
}

/// Everything a new leader reads: jobs, finished tasks, machines; and where to follow from.
struct Loaded {
    jobs: Vec<StoredJob>,
    records: Vec<(String, Vec<StoredMachine>)>,
    /// Keys of finished tasks whose job is over.
    orphans: Vec<String>,
    revision: u64,
}

async fn load(store: &KeyValueStore, versions: &RecordVersions) -> Result<Loaded, StoreError> {
    let (live, revision) = store.list(keys::LIVE_JOBS).await?;
    let (done, _) = store.list(keys::FINISHED_TASKS).await?;
    let (fleet, _) = store.list(keys::MACHINE_RECORDS).await?;
    done.iter().chain(&fleet).for_each(|record| versions.note(&record.key, record.version));
    let mut jobs: HashMap<JobId, StoredJob> =
        live.iter().filter_map(stored_job).map(|job| (job.spec.job_id, job)).collect();
    let mut orphans = Vec::new();
    for record in done {
        let mut parts = record.key.split('/').skip(1);
        let job_id = parts.next().and_then(JobId::parse);
        let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
        let Some(job) = job_id.and_then(|job_id| jobs.get_mut(&job_id)) else {
            orphans.push(record.key);
            continue;
        };
        let (Some(chunk), Some(bits)) = (chunk, record.value.as_str()) else {
            warn!(key = record.key, "unreadable record of finished tasks: skipped");
            continue;
        };
        let tasks = job.spec.tasks;
        job.succeeded.extend(
            decode_bits(bits)
                .map(|t| t + chunk.saturating_mul(limits::FINISHED_TASKS_CHUNK))
                .filter(|t| *t < tasks),
        );
    }
    let records = fleet
        .into_iter()
        .filter_map(|record| {
            let key = record.key.strip_prefix(keys::MACHINE_RECORDS)?.to_string();
            match serde_json::from_value::<Vec<MachineRecord>>(record.value) {
                Ok(machines) => Some((key, machines.into_iter().map(StoredMachine::from).collect())),
                Err(error) => {
                    warn!(key = record.key, %error, "unreadable machine record: skipped");
                    None
                }
            }
        })
        .collect();
    Ok(Loaded { jobs: jobs.into_values().collect(), records, orphans, revision })
}

pub(super) async fn pause() {
    let pause = limits::STORE_RETRY_DELAY_MS;
    tokio::time::sleep(Duration::from_millis(rand::random_range(pause..=2 * pause))).await;
}

/// Loads the jobs and follows what users commit through any node. `drains_of`: drains are loaded first, with the
/// ledgers of these teams.
pub(super) async fn follow_jobs(
    store: KeyValueStore,
    events: mpsc::Sender<Event>,
    token: u64,
    epoch: u64,
    versions: RecordVersions,
    drains_of: Option<Vec<Team>>,
) {
    let mut follower = Follower { store, events, token, known: BTreeSet::new() };
    let mut revision = follower.load(epoch, &versions, drains_of.as_deref()).await;
    loop {
        match follower.store.follow(keys::LIVE_JOBS, revision, limits::STORE_WATCH_MS).await {
            Ok(Some(log)) => {
                revision = revision.max(log.revision);
                for event in log.events {
                    follower.take(event).await;
                }
            }
            Ok(None) => match follower.read_again().await {
                Some(read) => revision = read,
                None => pause().await,
            },
            Err(error) => {
                debug!(%error, "following jobs");
                pause().await;
            }
        }
    }
}

/// Keeps the scheduler of one leadership up to date with the live jobs.
struct Follower {
    store: KeyValueStore,
    events: mpsc::Sender<Event>,
    token: u64,
    /// The jobs that the scheduler was told of.
    known: BTreeSet<JobId>,
}

impl Follower {
    async fn send(&self, command: Command) {
        // The owner of the state has ended with the process.
        let _ = self.events.send(Event::Scheduler(self.token, command)).await;
    }

    /// Reads everything, as often as it takes; returns the revision to follow from.
    async fn load(&mut self, epoch: u64, versions: &RecordVersions, drains_of: Option<&[Team]>) -> u64 {
        loop {
            if let Err(error) = self.load_drains(versions, drains_of).await {
                warn!(%error, "cannot load drains yet");
                pause().await;
                continue;
            }
            match load(&self.store, versions).await {
                Ok(Loaded { jobs, records, orphans, revision }) => {
                    self.known.extend(jobs.iter().map(|job| job.spec.job_id));
                    let (token, jobs_read, machine_records) = (self.token, jobs.len(), records.len());
                    info!(token, epoch, revision, jobs_read, machine_records, "state read");
                    self.send(Command::Load { jobs, records }).await;
                    tokio::spawn(sweep(self.store.clone(), orphans, epoch));
                    return revision;
                }
                Err(error) => {
                    warn!(%error, "cannot load yet");
                    pause().await;
                }
            }
        }
    }

    /// Before the jobs, so that a machine that is being drained gets no work in between.
    async fn load_drains(
        &self,
        versions: &RecordVersions,
        drains_of: Option<&[Team]>,
    ) -> Result<(), StoreError> {
        let Some(teams) = drains_of else { return Ok(()) };
        let stored = drains::records::load(&self.store, versions, teams).await?;
        self.send(Command::LoadDrains(stored)).await;
        Ok(())
    }

    /// The log does not go back far enough: reads the live jobs again.
    async fn read_again(&mut self) -> Option<u64> {
        let (records, revision) = self.store.list(keys::LIVE_JOBS).await.ok()?;
        let jobs: Vec<_> = records.iter().filter_map(stored_job).collect();
        let listed: BTreeSet<JobId> = jobs.iter().map(|job| job.spec.job_id).collect();
        for job_id in self.known.difference(&listed) {
            self.send(Command::JobRemoved(*job_id)).await;
        }
        for job in jobs {
            self.send(Command::JobAdded(job)).await;
        }
        self.known = listed;
        Some(revision)
    }

    async fn take(&mut self, event: ChangeEvent) {
        if let Some(key) = event.written {
            let record = Record { key, value: event.value, version: event.version };
            if let Some(job) = stored_job(&record) {
                self.known.insert(job.spec.job_id);
                self.send(Command::JobAdded(job)).await;
            }
        } else if let Some(key) = event.removed {
            if let Some(job_id) = key.strip_prefix(keys::LIVE_JOBS).and_then(JobId::parse) {
                self.known.remove(&job_id);
                self.send(Command::JobRemoved(job_id)).await;
            }
        }
    }
}

/// Removes what cancelled jobs left behind, slowly enough to stay clear of the write limit.
pub(super) async fn sweep(store: KeyValueStore, orphans: Vec<String>, version: u64) {
    for key in orphans {
        let _ =
            store.commit(vec![compare_version(keys::LEADER_EPOCH, version)], vec![remove_change(&key)]).await;
        tokio::time::sleep(Duration::from_millis(limits::STORE_RETRY_DELAY_MS)).await;
    }
}
