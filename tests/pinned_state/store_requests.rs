//! What the state service is asked, byte for byte, by the client of it that the whole program shares.

use crate::canned_node::{Canned, CannedNode};
use crate::golden;
use crate::node_api::store;
use dockpier::fencing_token::FencingToken;
use dockpier::protocol::records::Epoch;
use dockpier::storage::key_value_store::{
    compare_version, remove_change, write_change, CommitOutcome, KeyValueStore, Listing,
};
use dockpier::storage::keys;
use dockpier::storage::leader_lock::{LockCondition, LockState, StoredEpoch, Takeover};
use dockpier::storage::record_versions::RecordVersions;
use std::time::Duration;

const LOCK_VALUE: &str = r#"{"path":"leader/lock","value":{"token":41},"entry":9,"permit":5}"#;
const EPOCH_VALUE: &str =
    r#"{"path":"leader/epoch","value":{"token":41,"node":"berth-2","incarnation":77},"entry":8}"#;

fn state_service() -> CannedNode {
    let page = |items: &str, more: bool| format!(r#"{{"items":[{items}],"has_next":{more},"ledger":30}}"#);
    let item = |key: &str| format!(r#"{{"path":"{key}","value":1,"entry":7}}"#);
    let changes = r#"{"ledger":31,"events":[{"write":"live/job-000001","value":1,"entry":30},
        {"remove":"live/job-000002","entry":31}]}"#;
    CannedNode::start(vec![
        Canned::new("GET /store/leader/lock", 200, LOCK_VALUE),
        Canned::new("GET /store/leader/epoch", 200, EPOCH_VALUE),
        Canned::new("GET /store?prefix=live/&limit=500", 200, page(&item("live/job-000001"), true)),
        Canned::new(
            "GET /store?prefix=live/&from=live/job-000001&limit=500",
            200,
            page(&item("live/job-000002"), false),
        ),
        Canned::new("GET /follow?prefix=live/&from=30&wait_ms=0", 200, changes),
        Canned::new("GET /follow?prefix=live/&from=1&wait_ms=4000", 410, "{}"),
        Canned::new("POST /multi", 200, r#"{"ledger":32}"#),
        Canned::new("POST /grants", 200, r#"{"permit":6}"#),
        Canned::new("POST /grants/6/extend", 200, "{}"),
        Canned::new("DELETE /grants/6", 200, "{}"),
    ])
}

fn epoch(token: u64) -> Epoch {
    Epoch { token: FencingToken(token), node: "berth-2".into(), incarnation: 77 }
}

async fn read(store: &KeyValueStore) {
    let stored = StoredEpoch { epoch: epoch(41), version: 8 };
    assert_eq!(store.read_lock_state().await.unwrap(), LockState { epoch: Some(stored), locked: true });
    assert!(store.get("over/job-000001", dockpier::limits::POLL_TIMEOUT).await.unwrap().is_none());
    let Listing { records, revision } = store.list(keys::LIVE_JOBS).await.unwrap();
    let keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
    assert_eq!((keys, revision), (vec!["live/job-000001", "live/job-000002"], 30));
    let log = store.follow(keys::LIVE_JOBS, 30, Duration::ZERO).await.unwrap().unwrap();
    let [written, removed] = &log.events[..] else { panic!("two changes") };
    assert_eq!((written.written.as_deref(), written.version), (Some("live/job-000001"), 30));
    assert_eq!((removed.removed.as_deref(), removed.version), (Some("live/job-000002"), 31));
    assert_eq!(log.revision, 31);
    assert!(store.follow(keys::LIVE_JOBS, 1, Duration::from_secs(4)).await.unwrap().is_none());
}

async fn write(store: &KeyValueStore) {
    for lock_condition in [LockCondition::Absent, LockCondition::Ignored] {
        let Takeover { lease, version, .. } = store.take_over(&epoch(42), 8, lock_condition).await.unwrap();
        assert_eq!((lease, version), (6, 32));
    }
    assert!(store.renew_lease(6).await.unwrap());
    assert!(!store.renew_lease(7).await.unwrap());
    store.revoke_lease(6).await;
    let changes = vec![write_change("cold-start/report", 1).unwrap(), remove_change("live/job-000001")];
    let conditions = vec![compare_version("leader/epoch", 8), compare_version("live/job-000001", 0)];
    assert_eq!(store.commit(conditions, changes).await, CommitOutcome::Committed { version: 32 });
    let versions = RecordVersions::default();
    versions.note("drains/summaries/firmware-7", 17);
    for _ in 0..2 {
        let change = vec![write_change("drains/summaries/firmware-7", 1).unwrap()];
        let outcome = versions.commit(store, vec![compare_version("leader/epoch", 8)], change).await;
        assert_eq!(outcome, CommitOutcome::Committed { version: 32 });
    }
}

#[test]
fn the_state_service_is_asked_as_ever() {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let service = state_service();
        let store = store(service.address);
        read(&store).await;
        write(&store).await;
        golden::check("state-service-requests.txt", &(service.asked().join("\n") + "\n"));
    });
}
