//! A copy of which jobs are live, as fresh as each question. All polls that wait when a request leaves
//! share its answer: the state service returns what changed since the copy was made, so the copy is then
//! at least as new as every answer that was given before. A read for each poll would not fit the limit
//! on requests.

use crate::core::model::Uid;
use crate::limits;
use crate::store::{self, Store, StoreError};
use std::collections::HashSet;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

type Question = (Uid, oneshot::Sender<Result<bool, Arc<StoreError>>>);

#[derive(Clone)]
pub struct Live(mpsc::Sender<Question>);

impl Live {
    pub fn start(store: Store, at_once: usize) -> Self {
        let (to, questions) = mpsc::channel(at_once);
        tokio::spawn(keep(store, questions));
        Live(to)
    }

    /// Whether the job was live at some time after this question was asked; None when too many ask.
    pub async fn contains(&self, uid: Uid) -> Option<Result<bool, Arc<StoreError>>> {
        let (to, answer) = oneshot::channel();
        self.0.try_send((uid, to)).ok()?;
        answer.await.ok()
    }
}

struct Copy {
    jobs: HashSet<Uid>,
    revision: u64,
}

async fn keep(store: Store, mut questions: mpsc::Receiver<Question>) {
    let mut copy = None;
    while let Some(first) = questions.recv().await {
        let mut waiting = vec![first];
        while let Ok(more) = questions.try_recv() {
            waiting.push(more);
        }
        let fresh = refresh(&store, &mut copy).await.map_err(Arc::new);
        for (uid, to) in waiting {
            let answer = match (&fresh, &copy) {
                (Ok(()), Some(copy)) => Ok(copy.jobs.contains(&uid)),
                (Err(error), _) => Err(error.clone()),
                (Ok(()), None) => continue,
            };
            // Whoever asked may have given up.
            let _ = to.send(answer);
        }
        tokio::time::sleep(limits::POLL_GATHER).await;
    }
}

async fn refresh(store: &Store, copy: &mut Option<Copy>) -> Result<(), StoreError> {
    loop {
        let mut now = match copy.take() {
            Some(copy) => copy,
            None => {
                let (records, revision) = store.list(store::LIVE).await?;
                let jobs = records.iter().filter_map(|r| job(&r.path)).collect();
                Copy { jobs, revision }
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
            if let Some(uid) = event.write.as_deref().and_then(job) {
                now.jobs.insert(uid);
            } else if let Some(uid) = event.remove.as_deref().and_then(job) {
                now.jobs.remove(&uid);
            }
        }
        now.revision = now.revision.max(follow.ledger);
        *copy = Some(now);
        return Ok(());
    }
}

fn job(path: &str) -> Option<Uid> {
    path.strip_prefix(store::LIVE).and_then(Uid::parse)
}
