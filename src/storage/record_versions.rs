//! Conditional writes of the records that only the leader writes.
//!
//! A transaction without an answer may be carried out seconds later, after newer ones of the same leader. Without
//! a condition on the record itself the late one would bring back what the record said then, and the next leader
//! would not know of machines that hold tasks, or of finished tasks.

use crate::limits;
use crate::protocol::state_service::{Change, Comparison};
use crate::storage::key_value_store::{self as store, CommitOutcome, KeyValueStore};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The versions at which a leader last knew its own records, shared by its tasks.
#[derive(Clone, Default)]
pub struct RecordVersions(Arc<Mutex<HashMap<String, u64>>>);

impl RecordVersions {
    /// The version last known of a record; 0: it does not exist.
    fn of(&self, key: &str) -> u64 {
        self.0.lock().map_or(0, |known| known.get(key).copied().unwrap_or(0))
    }

    /// The state service has the record at this version.
    pub fn note(&self, key: &str, version: u64) {
        if let Ok(mut known) = self.0.lock() {
            known.insert(key.to_string(), version);
        }
    }

    /// Commits `changes` under `conditions` and the known version of every record that they touch. After a
    /// conflict the versions are read anew: a transaction that was given up may have been carried out after all.
    pub async fn commit(
        &self,
        store: &KeyValueStore,
        mut conditions: Vec<Comparison>,
        changes: Vec<Change>,
    ) -> CommitOutcome {
        let keys: Vec<(String, bool)> =
            changes.iter().map(|change| (change.key().to_string(), change.writes())).collect();
        conditions.extend(keys.iter().map(|(key, _)| store::compare(key, self.of(key))));
        let committed = store.commit(conditions, changes).await;
        match committed {
            CommitOutcome::Committed { version } => {
                keys.iter().for_each(|(key, writes)| self.note(key, if *writes { version } else { 0 }));
            }
            CommitOutcome::Conflict => self.read_again(store, &keys).await,
            CommitOutcome::Refused | CommitOutcome::Unknown => {}
        }
        committed
    }

    async fn read_again(&self, store: &KeyValueStore, keys: &[(String, bool)]) {
        for (key, _) in keys {
            if let Ok(found) = store.get(key, limits::STORE_TIMEOUT).await {
                self.note(key, found.map_or(0, |(_, version)| version));
            }
        }
    }
}
