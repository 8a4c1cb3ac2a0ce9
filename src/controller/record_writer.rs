//! Writes of the leader's own records, and the delay before a failed request to the state service is repeated.

use super::Controller;
use crate::limits;
use crate::protocol::state_service::{Change, Comparison};
use crate::scheduler::RequestOutcome;
use crate::storage::key_value_store::{compare_version, CommitOutcome, KeyValueStore};
use crate::storage::keys;
use crate::storage::record_versions::RecordVersions;

/// Writes records for one leadership; handed to the task that makes the write.
pub(super) struct RecordWriter {
    store: KeyValueStore,
    versions: RecordVersions,
    /// This node still leads.
    epoch: Comparison,
}

impl RecordWriter {
    /// Makes the changes if this node still leads and no record that they touch has another version.
    pub(super) async fn write(self, changes: Vec<Change>) -> RequestOutcome {
        self.write_if(Vec::new(), changes).await
    }

    /// As [`RecordWriter::write`], under further conditions.
    pub(super) async fn write_if(self, conditions: Vec<Comparison>, changes: Vec<Change>) -> RequestOutcome {
        let conditions = std::iter::once(self.epoch).chain(conditions).collect();
        write_outcome(self.versions.commit(&self.store, conditions, changes).await).await
    }
}

impl Controller {
    pub(super) fn record_writer(&self) -> RecordWriter {
        RecordWriter {
            store: self.clients.store.clone(),
            versions: self.term.record_versions.clone(),
            epoch: self.epoch_comparison(),
        }
    }

    /// The condition of every transaction of a leader: no other has written its epoch since.
    pub(super) fn epoch_comparison(&self) -> Comparison {
        compare_version(keys::LEADER_EPOCH, self.term.epoch_version)
    }
}

/// The outcome of a transaction for the scheduler. A failure is reported after the retry delay, since the scheduler
/// may repeat the write as soon as it knows.
pub(super) async fn write_outcome(outcome: CommitOutcome) -> RequestOutcome {
    match outcome {
        CommitOutcome::Committed { .. } => RequestOutcome::Done,
        CommitOutcome::Conflict | CommitOutcome::Refused => {
            wait_before_retry().await;
            RequestOutcome::Refused
        }
        CommitOutcome::Unknown => {
            wait_before_retry().await;
            RequestOutcome::Unknown
        }
    }
}

/// Waits for a random time, so that a service in trouble is not overloaded and an outage does not end with a stampede.
pub(super) async fn wait_before_retry() {
    let shortest = limits::STORE_RETRY_DELAY;
    tokio::time::sleep(rand::random_range(shortest..=2 * shortest)).await;
}
