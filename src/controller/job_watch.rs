//! Reads the state service for a leader: jobs, finished tasks and machine records when its leadership begins, and from
//! then on the jobs that users submit and cancel. Owned by one leadership, which aborts it when it ends.

use super::job_loading::{load, stored_job, Loaded};
use super::record_writer::wait_before_retry;
use crate::drains;
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::node_events::Event;
use crate::protocol::state_service::{ChangeEvent, Record};
use crate::scheduler::model::JobId;
use crate::scheduler::Command;
use crate::settings::Team;
use crate::storage::key_value_store::{compare_version, remove_change, KeyValueStore, Listing, StoreError};
use crate::storage::keys;
use crate::storage::record_versions::RecordVersions;
use std::collections::BTreeSet;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

/// What [`follow_jobs`] needs of its leadership.
pub(super) struct JobWatch {
    pub(super) store: KeyValueStore,
    /// The controller's queue; when it is full, the watch waits.
    pub(super) events: mpsc::Sender<Event>,
    pub(super) token: FencingToken,
    /// Version of the leader's epoch, for removals of orphaned records.
    pub(super) epoch_version: u64,
    pub(super) record_versions: RecordVersions,
    /// If drains are enabled: they are loaded before the jobs, with the ledgers of these teams.
    pub(super) drain_teams: Option<Vec<Team>>,
}

/// Loads the jobs, and follows what users commit through any node.
pub(super) async fn follow_jobs(watch: JobWatch) {
    let JobWatch { store, events, token, epoch_version, record_versions, drain_teams } = watch;
    let mut follower = Follower { store, events, token, known: BTreeSet::new() };
    let mut revision = follower.load(epoch_version, &record_versions, drain_teams.as_deref()).await;
    loop {
        match follower.store.follow(keys::LIVE_JOBS, revision, limits::STORE_WATCH_TIMEOUT).await {
            Ok(Some(log)) => {
                revision = revision.max(log.revision);
                for event in log.events {
                    follower.apply(event).await;
                }
            }
            Ok(None) => match follower.read_again().await {
                Some(read) => revision = read,
                None => wait_before_retry().await,
            },
            Err(error) => {
                debug!(%error, "following jobs");
                wait_before_retry().await;
            }
        }
    }
}

/// Keeps the scheduler of one leadership up to date with the live jobs.
struct Follower {
    store: KeyValueStore,
    events: mpsc::Sender<Event>,
    token: FencingToken,
    /// The jobs that were sent to the scheduler and not removed since.
    known: BTreeSet<JobId>,
}

impl Follower {
    async fn send(&self, command: Command) {
        // The controller ends only with the process.
        let _ = self.events.send(Event::Scheduler(self.token, command)).await;
    }

    /// Loads everything, again after each error; returns the revision to follow from.
    async fn load(&mut self, epoch: u64, versions: &RecordVersions, drain_teams: Option<&[Team]>) -> u64 {
        loop {
            if let Err(error) = self.load_drains(versions, drain_teams).await {
                warn!(%error, "cannot load drains yet");
                wait_before_retry().await;
                continue;
            }
            match load(&self.store, versions).await {
                Ok(Loaded { jobs, records, orphans, revision }) => {
                    self.known.extend(jobs.iter().map(|job| job.spec.job_id));
                    let (token, jobs_read, machine_records) = (self.token, jobs.len(), records.len());
                    info!(%token, epoch, revision, jobs_read, machine_records, "state read");
                    self.send(Command::StateLoaded { jobs, records }).await;
                    // Not aborted by an owner: see `sweep`.
                    tokio::spawn(sweep(self.store.clone(), orphans, epoch));
                    return revision;
                }
                Err(error) => {
                    warn!(%error, "cannot load yet");
                    wait_before_retry().await;
                }
            }
        }
    }

    /// Loads drains, before the jobs: a machine that is being drained must get no work in between.
    async fn load_drains(
        &self,
        versions: &RecordVersions,
        drain_teams: Option<&[Team]>,
    ) -> Result<(), StoreError> {
        let Some(teams) = drain_teams else { return Ok(()) };
        let stored = drains::records::load(&self.store, versions, teams).await?;
        self.send(Command::LoadDrains(stored)).await;
        Ok(())
    }

    /// Reads the live jobs again, because the log no longer goes back to the last revision. `None`: no answer.
    async fn read_again(&mut self) -> Option<u64> {
        let Listing { records, revision } = self.store.list(keys::LIVE_JOBS).await.ok()?;
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

    async fn apply(&mut self, event: ChangeEvent) {
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

/// Removes records that ended jobs left behind, slowly enough to stay clear of the write limit. It may run on after the
/// leadership: each removal compares the epoch, and fails once another leader has written its own.
pub(super) async fn sweep(store: KeyValueStore, orphans: Vec<String>, epoch_version: u64) {
    for key in orphans {
        let leads = compare_version(keys::LEADER_EPOCH, epoch_version);
        // What is not removed is found again by the next leader.
        let _ = store.commit(vec![leads], vec![remove_change(&key)]).await;
        tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
    }
}
