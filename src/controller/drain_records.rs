//! The leader's drains in the state service: requests of operators are followed, and the scheduler's records written.

use super::record_writer::wait_before_retry;
use super::Controller;
use crate::drains::records;
use crate::fencing_token::FencingToken;
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
        let writer = self.record_writer();
        self.spawn_scheduler_request(async move {
            let changes = write_change(&records::key_of(&key), value).into_iter().collect();
            let outcome = writer.write(changes).await;
            Command::DrainWritten { key, outcome }
        });
    }
}

/// Sends the operators' requests to the scheduler of this token, first all and then after each change. Owned by one
/// leadership, which aborts it when it ends.
pub(super) async fn follow_drains(store: KeyValueStore, events: mpsc::Sender<Event>, token: FencingToken) {
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
                wait_before_retry().await;
                continue;
            }
        }
        revision = wait_for_change(&store, revision).await;
    }
}

/// Returns once a request may have changed, with the revision up to which there was no other change.
async fn wait_for_change(store: &KeyValueStore, mut revision: u64) -> u64 {
    loop {
        match store.follow(records::REQUESTS, revision, limits::STORE_WATCH_TIMEOUT).await {
            Ok(Some(log)) => {
                revision = revision.max(log.revision);
                if !log.events.is_empty() {
                    return revision;
                }
            }
            // The revision is too old to follow from: the requests are read again.
            Ok(None) => return revision,
            Err(error) => {
                debug!(%error, "following drains");
                wait_before_retry().await;
            }
        }
    }
}
