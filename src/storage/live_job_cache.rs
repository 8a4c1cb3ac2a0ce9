//! A copy of which jobs are live, as fresh as each question. All polls that wait when a request leaves
//! share its answer: the state service returns what changed since the copy was made, so the copy is then
//! at least as new as every answer that was given before. A read for each poll would not fit the limit
//! on requests. What changed is passed on too, with the time from which it counts: who keeps workers alive must
//! know which jobs were cancelled (`cancellation_log`), so that the copy is brought up to date without polls as well.

use crate::controller::Event;
use crate::limits;
use crate::scheduler::model::JobId;
use crate::storage::key_value_store::{self as store, KeyValueStore, StoreError};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

type Query = (JobId, oneshot::Sender<Result<bool, Arc<StoreError>>>);

#[derive(Clone)]
pub struct LiveJobCache(mpsc::Sender<Query>);

impl LiveJobCache {
    pub fn start(store: KeyValueStore, at_once: usize, events: mpsc::Sender<Event>) -> Self {
        let (to, questions) = mpsc::channel(at_once);
        tokio::spawn(maintain(store, questions, events));
        LiveJobCache(to)
    }

    /// Whether the job was live at some time after this question was asked; None when too many ask.
    pub async fn contains(&self, job_id: JobId) -> Option<Result<bool, Arc<StoreError>>> {
        let (to, answer) = oneshot::channel();
        self.0.try_send((job_id, to)).ok()?;
        answer.await.ok()
    }
}

struct CachedJobs {
    jobs: HashSet<JobId>,
    revision: u64,
}

/// What a reading showed.
#[derive(Debug, Default)]
pub struct LiveJobsUpdate {
    /// When its request left.
    pub requested_at: u64,
    /// All live jobs are among those added.
    pub complete: bool,
    pub added: Vec<JobId>,
    pub removed: Vec<JobId>,
}

async fn maintain(store: KeyValueStore, mut questions: mpsc::Receiver<Query>, events: mpsc::Sender<Event>) {
    let mut copy = None;
    // What was read and not passed on yet: a reading may fail half way.
    let mut reading = LiveJobsUpdate::default();
    // A process that has just started may keep nobody alive before it has read them: at once, and soon again.
    let mut rest = Duration::ZERO;
    loop {
        let first = match tokio::time::timeout(rest, questions.recv()).await {
            Ok(Some(first)) => Some(first),
            Ok(None) => return,
            Err(_) => None,
        };
        let mut waiting: Vec<Query> = first.into_iter().collect();
        while let Ok(more) = questions.try_recv() {
            waiting.push(more);
        }
        let fresh = refresh(&store, &mut copy, &mut reading).await.map_err(Arc::new);
        rest = match &fresh {
            Ok(()) => limits::LIVE_JOBS_REFRESH_INTERVAL,
            Err(_) => Duration::from_millis(limits::STORE_RETRY_DELAY_MS),
        };
        if fresh.is_ok() && events.send(Event::LiveJobs(std::mem::take(&mut reading))).await.is_err() {
            return;
        }
        for (job_id, to) in waiting {
            let answer = match (&fresh, &copy) {
                (Ok(()), Some(copy)) => Ok(copy.jobs.contains(&job_id)),
                (Err(error), _) => Err(error.clone()),
                (Ok(()), None) => continue,
            };
            // Whoever asked may have given up.
            let _ = to.send(answer);
        }
        tokio::time::sleep(limits::POLL_BATCH_INTERVAL).await;
    }
}

async fn refresh(
    store: &KeyValueStore,
    copy: &mut Option<CachedJobs>,
    reading: &mut LiveJobsUpdate,
) -> Result<(), StoreError> {
    loop {
        reading.requested_at = store.now();
        let mut now = match copy.take() {
            Some(copy) => copy,
            None => {
                let (records, revision) = store.list(store::LIVE).await?;
                let jobs: HashSet<JobId> = records.iter().filter_map(|r| job(&r.key)).collect();
                let added = jobs.iter().copied().collect();
                *reading = LiveJobsUpdate {
                    requested_at: reading.requested_at,
                    complete: true,
                    added,
                    removed: Vec::new(),
                };
                CachedJobs { jobs, revision }
            }
        };
        let follow = match store.follow(store::LIVE, now.revision, 0).await {
            Ok(Some(follow)) => follow,
            // The copy is too old to be brought up to date: read the keys again.
            Ok(None) => continue,
            Err(error) => {
                *copy = Some(now);
                return Err(error);
            }
        };
        for event in follow.events {
            if let Some(job_id) = event.written.as_deref().and_then(job) {
                now.jobs.insert(job_id);
                reading.added.push(job_id);
            } else if let Some(job_id) = event.removed.as_deref().and_then(job) {
                now.jobs.remove(&job_id);
                reading.removed.push(job_id);
            }
        }
        now.revision = now.revision.max(follow.revision);
        *copy = Some(now);
        return Ok(());
    }
}

fn job(path: &str) -> Option<JobId> {
    path.strip_prefix(store::LIVE).and_then(JobId::parse)
}
