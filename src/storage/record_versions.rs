//! Conditional writes of the records that only the leader writes. It owns the versions at which this leader last knew
//! them; the controller's tasks of one leadership share it, and a new leadership starts with an empty one.
//!
//! A transaction without an answer may be carried out seconds later, after newer ones of the same leader. Without
//! a condition on the record itself the late transaction would restore the record's old value, and the next leader
//! would not know of machines that hold tasks, or of finished tasks.

use crate::limits;
use crate::protocol::state_service::{Change, Comparison};
use crate::storage::key_value_store::{compare_version, CommitOutcome, KeyValueStore};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The version of a key that does not exist.
const ABSENT: u64 = 0;

/// The versions at which a leader last knew its own records, shared by its tasks.
#[derive(Clone, Default)]
pub struct RecordVersions(Arc<Mutex<HashMap<String, u64>>>);

/// A key that a transaction touches.
struct ChangedKey {
    key: String,
    /// Whether the key exists after the transaction.
    written: bool,
}

impl RecordVersions {
    /// The version last known of a record; [`ABSENT`]: it does not exist.
    fn known(&self, key: &str) -> u64 {
        self.0.lock().map_or(ABSENT, |versions| versions.get(key).copied().unwrap_or(ABSENT))
    }

    /// Records that the state service has the record at this version; 0: that it does not exist.
    pub fn note(&self, key: &str, version: u64) {
        if let Ok(mut versions) = self.0.lock() {
            versions.insert(key.to_string(), version);
        }
    }

    /// Commits `changes` under `conditions` and the known version of every record that they touch. After a
    /// conflict the versions are read again: a transaction that was given up may have been carried out after all.
    pub async fn commit(
        &self,
        store: &KeyValueStore,
        mut conditions: Vec<Comparison>,
        changes: Vec<Change>,
    ) -> CommitOutcome {
        let changed: Vec<ChangedKey> = changes
            .iter()
            .map(|change| ChangedKey { key: change.key().to_string(), written: change.writes() })
            .collect();
        conditions
            .extend(changed.iter().map(|changed| compare_version(&changed.key, self.known(&changed.key))));
        let outcome = store.commit(conditions, changes).await;
        match outcome {
            CommitOutcome::Committed { version } => {
                for ChangedKey { key, written } in &changed {
                    self.note(key, if *written { version } else { ABSENT });
                }
            }
            CommitOutcome::Conflict => self.read_again(store, &changed).await,
            CommitOutcome::Refused | CommitOutcome::Unknown => {}
        }
        outcome
    }

    async fn read_again(&self, store: &KeyValueStore, changed: &[ChangedKey]) {
        for ChangedKey { key, .. } in changed {
            if let Ok(found) = store.get(key, limits::STORE_TIMEOUT).await {
                self.note(key, found.map_or(ABSENT, |found| found.version));
            }
        }
    }
}
