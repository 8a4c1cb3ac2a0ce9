//! Transactions that get no answer, against the stand-in for the state service: carried out later, after newer ones
//! of the same leader, or at once with only the answer lost. The client's own time limit is the only wait.

use crate::standins::Trouble;
use crate::{on_runtime, standins};
use dockpier::http::{Clock, Http};
use dockpier::settings::StateLimits;
use dockpier::storage::key_value_store::{remove_change, write_change, CommitOutcome, KeyValueStore};
use dockpier::storage::record_versions::RecordVersions;

/// A machine record, and a record of finished tasks.
const RECORDS: [&str; 2] = ["fleet/machines/7-1", "done/job-000412/0"];

/// A leader's client of a state service of its own.
pub async fn leader() -> (std::sync::Arc<std::sync::Mutex<standins::State>>, KeyValueStore, RecordVersions) {
    let (state, address) = standins::state_service().await;
    let limits = StateLimits { rps: 1_000.0, write_rps: 500.0, value_kb: 8.0, txn_ops: 8, next: None };
    let store = KeyValueStore::new(Http::new().unwrap(), address, Clock::start(), &limits, 3);
    (state, store, RecordVersions::default())
}

async fn write(store: &KeyValueStore, versions: &RecordVersions, key: &str, value: &str) -> CommitOutcome {
    versions.commit(store, Vec::new(), vec![write_change(key, value).unwrap()]).await
}

async fn read(store: &KeyValueStore, key: &str) -> Option<String> {
    let found = store.get(key, dockpier::limits::STORE_TIMEOUT).await.unwrap();
    found.and_then(|found| found.value.as_str().map(String::from))
}

/// Before records were conditional on their own version, the late write hid machines or finished tasks from the
/// next leader.
#[test]
fn a_late_write_does_not_undo_a_newer_one() {
    on_runtime(async {
        for key in RECORDS {
            let (state, store, versions) = leader().await;
            assert!(matches!(write(&store, &versions, key, "first").await, CommitOutcome::Committed { .. }));
            state.lock().unwrap().trouble = Some((key.into(), Trouble::Held));
            assert_eq!(write(&store, &versions, key, "late").await, CommitOutcome::Unknown);
            state.lock().unwrap().trouble = None;
            assert!(matches!(write(&store, &versions, key, "newer").await, CommitOutcome::Committed { .. }));
            assert_eq!(state.lock().unwrap().carry_out_held(), [409]);
            assert_eq!(read(&store, key).await.as_deref(), Some("newer"), "{key}");
        }
    });
}

#[test]
fn a_late_removal_does_not_take_a_newer_record_with_it() {
    on_runtime(async {
        for key in RECORDS {
            let (state, store, versions) = leader().await;
            assert!(matches!(write(&store, &versions, key, "first").await, CommitOutcome::Committed { .. }));
            // A removal writes nothing by itself: another record of the transaction marks it.
            state.lock().unwrap().trouble = Some(("marker".into(), Trouble::Held));
            let late = vec![remove_change(key), write_change("marker", "x").unwrap()];
            assert_eq!(versions.commit(&store, Vec::new(), late).await, CommitOutcome::Unknown);
            assert!(matches!(write(&store, &versions, key, "newer").await, CommitOutcome::Committed { .. }));
            assert_eq!(state.lock().unwrap().carry_out_held(), [409]);
            assert_eq!(read(&store, key).await.as_deref(), Some("newer"), "{key}");
        }
    });
}

/// The write that got no answer has moved the version: the leader must find that out, or it could never write the
/// record again.
#[test]
fn a_record_whose_answer_was_lost_can_be_written_again() {
    on_runtime(async {
        for key in RECORDS {
            let (state, store, versions) = leader().await;
            state.lock().unwrap().trouble = Some((key.into(), Trouble::AnswerLost));
            assert_eq!(write(&store, &versions, key, "first").await, CommitOutcome::Unknown);
            assert_eq!(read(&store, key).await.as_deref(), Some("first"), "others read it at once");
            state.lock().unwrap().trouble = None;
            assert_eq!(write(&store, &versions, key, "second").await, CommitOutcome::Conflict);
            assert!(matches!(write(&store, &versions, key, "second").await, CommitOutcome::Committed { .. }));
            assert_eq!(read(&store, key).await.as_deref(), Some("second"), "{key}");
        }
    });
}
