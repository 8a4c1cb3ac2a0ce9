//! The leader's drains in the state service: read when it begins, followed from then on, written as the scheduler decides.

use super::effects::outcome_of;
use super::job_watch::pause;
use super::Controller;
use crate::drains::records;
use crate::limits;
use crate::node_events::Event;
use crate::scheduler::drains::{DrainKey, DrainValue};
use crate::scheduler::Command;
use crate::storage::key_value_store::{write_change, KeyValueStore};
use tokio::sync::mpsc;
use tracing::{debug, warn};

impl Controller {
    /// Stores a record of a drain, under the version that is known of it.
    pub(super) fn write_drain(&self, key: DrainKey, value: DrainValue) {
        let (store, versions, leads) =
            (self.store.clone(), self.record_versions.clone(), self.epoch_comparison());
        self.spawn_scheduler_request(async move {
            let changes = write_change(&records::key_of(&key), value).into_iter().collect();
            let outcome = outcome_of(versions.commit(&store, vec![leads], changes).await).await;
            Command::DrainWritten { key, outcome }
        });
    }
}

/// Tells the scheduler of this token what operators ask for, whenever that changes.
pub(super) async fn follow_drains(store: KeyValueStore, events: mpsc::Sender<Event>, token: u64) {
    let mut revision = 0;
    loop {
        match records::load_requests(&store).await {
            Ok((requests, read)) => {
                revision = read.max(revision);
                let command = Command::DrainRequests(requests);
                if events.send(Event::Scheduler(token, command)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!(%error, "cannot read drains");
                pause().await;
                continue;
            }
        }
        revision = wait_for_change(&store, revision).await;
    }
}

/// Returns once some request may have changed, with the revision up to which nothing else has.
async fn wait_for_change(store: &KeyValueStore, mut revision: u64) -> u64 {
    loop {
        match store.follow(records::REQUESTS, revision, limits::STORE_WATCH_MS).await {
            Ok(Some(log)) => {
                revision = revision.max(log.revision);
                if !log.events.is_empty() {
                    return revision;
                }
            }
            // Too old to follow from: read again.
            Ok(None) => return revision,
            Err(error) => {
                debug!(%error, "following drains");
                pause().await;
            }
        }
    }
}
