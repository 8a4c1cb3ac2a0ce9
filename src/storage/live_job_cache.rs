//! A cache of the live jobs that is refreshed after each query was asked, so an answer is never older than its query.
//!
//! All polls that are queued when a refresh is sent share it: the state service returns what changed since the cached
//! revision, so the cache is then at least as new as every answer given before. One read for each poll would not fit
//! the limit on requests. Every update is also sent to the controller's event queue, with the time from which it
//! counts: a node that renews leases must know which jobs were cancelled (`lease::cancellation_log`). So the cache is
//! refreshed without polls as well.

use crate::limits;
use crate::node_events::{Event, LiveJobsUpdate};
use crate::scheduler::model::JobId;
use crate::storage::key_value_store::{KeyValueStore, Listing, StoreError};
use crate::storage::keys;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Whether one job is live, and where the answer goes.
struct Query {
    job_id: JobId,
    reply: oneshot::Sender<Result<bool, Arc<StoreError>>>,
}

/// A handle to the cache. The task behind it ends when the last handle is dropped, or the controller has ended.
#[derive(Clone)]
pub struct LiveJobCache {
    /// Filled by polls. When it is full, `contains` refuses the poll.
    queries: mpsc::Sender<Query>,
}

impl LiveJobCache {
    /// Starts the cache's task. At most `max_queued` queries wait for a refresh. `events` is the controller's queue;
    /// when it is full, the cache waits, and so do the queries.
    pub fn start(store: KeyValueStore, max_queued: usize, events: mpsc::Sender<Event>) -> Self {
        let (queries, queue) = mpsc::channel(max_queued);
        // Not aborted by an owner: it ends with its channels.
        tokio::spawn(maintain(store, queue, events));
        LiveJobCache { queries }
    }

    /// Whether the job was live at some time after this call began; `None`: too many queries are queued.
    pub async fn contains(&self, job_id: JobId) -> Option<Result<bool, Arc<StoreError>>> {
        let (reply, answer) = oneshot::channel();
        self.queries.try_send(Query { job_id, reply }).ok()?;
        answer.await.ok()
    }
}

/// The live jobs as of one revision of the state service.
struct CachedJobs {
    jobs: HashSet<JobId>,
    revision: u64,
}

/// Answers queries and sends updates until either channel closes.
async fn maintain(store: KeyValueStore, mut queries: mpsc::Receiver<Query>, events: mpsc::Sender<Event>) {
    let mut cached = None;
    // Read, but not sent yet: a refresh may fail half way.
    let mut update = LiveJobsUpdate::default();
    // A process that has just started may renew no lease before it has read the live jobs: it reads at once.
    let mut refresh_delay = Duration::ZERO;
    loop {
        let first = match tokio::time::timeout(refresh_delay, queries.recv()).await {
            Ok(Some(first)) => Some(first),
            Ok(None) => return,
            Err(_) => None,
        };
        let mut batch: Vec<Query> = first.into_iter().collect();
        while let Ok(more) = queries.try_recv() {
            batch.push(more);
        }
        let refreshed = refresh(&store, &mut cached, &mut update).await.map_err(Arc::new);
        refresh_delay = match &refreshed {
            Ok(()) => limits::LIVE_JOBS_REFRESH_INTERVAL,
            Err(_) => limits::STORE_RETRY_DELAY,
        };
        if refreshed.is_ok() && events.send(Event::LiveJobs(std::mem::take(&mut update))).await.is_err() {
            return;
        }
        for Query { job_id, reply } in batch {
            let answer = match (&refreshed, &cached) {
                (Ok(()), Some(cached)) => Ok(cached.jobs.contains(&job_id)),
                (Err(error), _) => Err(error.clone()),
                (Ok(()), None) => continue,
            };
            // The poll may have timed out.
            let _ = reply.send(answer);
        }
        tokio::time::sleep(limits::POLL_BATCH_INTERVAL).await;
    }
}

/// Brings the cache up to date and adds what changed to `update`. After an error the cache keeps its revision, and
/// `update` what was read so far.
async fn refresh(
    store: &KeyValueStore,
    cached: &mut Option<CachedJobs>,
    update: &mut LiveJobsUpdate,
) -> Result<(), StoreError> {
    loop {
        update.requested_at = store.now();
        let mut current = match cached.take() {
            Some(cached) => cached,
            None => list_live_jobs(store, update).await?,
        };
        let log = match store.follow(keys::LIVE_JOBS, current.revision, Duration::ZERO).await {
            Ok(Some(log)) => log,
            // The cached revision is too old to follow from: list the keys again.
            Ok(None) => continue,
            Err(error) => {
                *cached = Some(current);
                return Err(error);
            }
        };
        for event in log.events {
            if let Some(job_id) = event.written.as_deref().and_then(job_of) {
                current.jobs.insert(job_id);
                update.added.push(job_id);
            } else if let Some(job_id) = event.removed.as_deref().and_then(job_of) {
                current.jobs.remove(&job_id);
                update.removed.push(job_id);
            }
        }
        current.revision = current.revision.max(log.revision);
        *cached = Some(current);
        return Ok(());
    }
}

/// Lists all live jobs; `update` then replaces every earlier one.
async fn list_live_jobs(
    store: &KeyValueStore,
    update: &mut LiveJobsUpdate,
) -> Result<CachedJobs, StoreError> {
    let Listing { records, revision } = store.list(keys::LIVE_JOBS).await?;
    let jobs: HashSet<JobId> = records.iter().filter_map(|record| job_of(&record.key)).collect();
    *update = LiveJobsUpdate {
        requested_at: update.requested_at,
        complete: true,
        added: jobs.iter().copied().collect(),
        removed: Vec::new(),
    };
    Ok(CachedJobs { jobs, revision })
}

/// The job whose live record has this key.
fn job_of(key: &str) -> Option<JobId> {
    key.strip_prefix(keys::LIVE_JOBS).and_then(JobId::parse)
}
