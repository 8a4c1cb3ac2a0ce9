//! What the state service is asked, and what is made of its answers.

use crate::on_runtime;
use crate::transcript::Transcript;
use crate::wire::{nobody, StandIn};
use dockpier::fencing_token::FencingToken;
use dockpier::http::{Clock, Http};
use dockpier::protocol::records::Epoch;
use dockpier::protocol::state_service::{Change, ChangeLog, Record};
use dockpier::settings::StateLimits;
use dockpier::storage::key_value_store::{
    compare_version, remove_change, write_change, CommitOutcome, KeyValueStore, Listing, StoreError,
    VersionedValue,
};
use dockpier::storage::keys;
use dockpier::storage::leader_lock::{LockCondition, LockState, StoredEpoch, Takeover};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(10);

/// A client with plenty of everything.
fn client(address: SocketAddr) -> KeyValueStore {
    let limits = StateLimits { rps: 1000.0, write_rps: 500.0, value_kb: 8.0, txn_ops: 8, next: None };
    KeyValueStore::new(Http::new().unwrap(), address, Clock::start(), &limits, 3)
}

/// What went wrong, without the port.
fn failure(error: StoreError, address: SocketAddr) -> String {
    format!("failed: {error}").replace(&address.to_string(), "ADDRESS")
}

fn shown<T>(result: Result<T, StoreError>, address: SocketAddr, spell: impl Fn(T) -> String) -> String {
    result.map(spell).unwrap_or_else(|error| failure(error, address))
}

fn committed(outcome: CommitOutcome) -> String {
    match outcome {
        CommitOutcome::Committed { version } => format!("done at {version}"),
        CommitOutcome::Conflict => "conflict".into(),
        CommitOutcome::Refused => "refused".into(),
        CommitOutcome::Unknown => "unknown".into(),
    }
}

fn found(found: Option<VersionedValue>) -> String {
    found.map_or("nothing".into(), |VersionedValue { value, version }| format!("{value} at {version}"))
}

fn listed(Listing { records, revision }: Listing) -> String {
    let line = |record: &Record| format!("{} = {} at {}\n", record.key, record.value, record.version);
    let lines: String = records.iter().map(line).collect();
    format!("{lines}up to {revision}")
}

fn changes(log: Option<ChangeLog>) -> String {
    let Some(log) = log else { return "too old".into() };
    let line = |event: &dockpier::protocol::state_service::ChangeEvent| {
        format!("{:?} {:?} {} at {}\n", event.written, event.removed, event.value, event.version)
    };
    let lines: String = log.events.iter().map(line).collect();
    format!("{lines}up to {}", log.revision)
}

/// Answers that readings may get; not every one fits every reading.
const READINGS: &[(u16, &str)] = &[
    (200, r#"{"path":"a/b","value":{"x":[1,"y"]},"entry":412,"permit":7}"#),
    (200, r#"{"value":null,"entry":1,"later":2}"#),
    (200, r#"{"path":"a/b","value":{}}"#),
    (200, r#"{"path":"a/b","entry":1}"#),
    (200, "nonsense"),
    (400, "{}"),
    (404, r#"{"ledger":431}"#),
    (429, "{}"),
    (503, r#"{"error":"trouble"}"#),
];

const LISTS: &[(u16, &str)] = &[
    (
        200,
        r#"{"items":[{"path":"c/8","value":{"x":1},"entry":3},{"path":"c/9","value":"s","entry":4}],"has_next":false,"ledger":431}"#,
    ),
    (200, r#"{"items":[],"ledger":431,"later":1}"#),
    (200, r#"{"items":[],"has_next":true,"ledger":431}"#),
    (200, r#"{"items":[]}"#),
    (200, r#"{"ledger":431}"#),
    (200, r#"{"items":[{"path":"c/8","value":1}],"ledger":431}"#),
    (429, "{}"),
    (503, "{}"),
];

const LOGS: &[(u16, &str)] = &[
    (
        200,
        r#"{"ledger":433,"events":[{"write":"c/9","value":{"x":1},"entry":433},{"remove":"c/d","entry":432}]}"#,
    ),
    (200, r#"{"ledger":433,"events":[],"later":1}"#),
    (200, r#"{"ledger":433,"events":[{"later":"c/9","entry":433}]}"#),
    (200, r#"{"ledger":433,"events":[{"write":"c/9","value":{}}]}"#),
    (200, r#"{"events":[]}"#),
    (410, "{}"),
    (503, "{}"),
];

#[test]
fn keys_are_read_as_ever() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        for (status, body) in READINGS {
            let service = StandIn::answering(*status, body).await;
            let read = client(service.address).get("a/b", PATIENCE).await;
            transcript.case(format!("asked, answered {status} {body}"), service.asked_text());
            transcript.case("read", shown(read, service.address, found));
        }
        for (status, body) in LISTS {
            let service = StandIn::answering(*status, body).await;
            let read = client(service.address).list("c/").await;
            transcript.case(format!("listed, answered {status} {body}"), service.asked_text());
            transcript.case("read", shown(read, service.address, listed));
        }
        transcript.must_equal(include_str!("../golden/wire-state-readings.txt"));
    });
}

#[test]
fn pages_and_changes_are_followed_as_ever() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let service = StandIn::start(|request| {
            let first = !request.first_line().contains("from=");
            let (key, revision) = if first { ("c/7", 431) } else { ("c/8", 440) };
            let item = json!({"path": key, "value": 1, "entry": 9});
            (200, json!({"items": [item], "has_next": first, "ledger": revision}).to_string())
        })
        .await;
        let read = client(service.address).list("c/").await;
        transcript.case("two pages", service.asked_text());
        transcript.case("read", shown(read, service.address, listed));
        for (status, body) in LOGS {
            for wait_ms in [0, 4_000] {
                let service = StandIn::answering(*status, body).await;
                let read = client(service.address).follow("c/", 431, Duration::from_millis(wait_ms)).await;
                transcript.case(format!("followed, answered {status} {body}"), service.asked_text());
                transcript.case("read", shown(read, service.address, changes));
            }
        }
        transcript.must_equal(include_str!("../golden/wire-state-changes.txt"));
    });
}

#[test]
fn transactions_go_out_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let conditions = || vec![compare_version("a/b", 0), compare_version("a/c", 412)];
        let changes = || {
            let value = json!({"x": 1.5, "text": "\u{e9}\n"});
            let leased = Change::Write { key: "a/b".into(), value: value.clone(), lease: Some(7) };
            vec![leased, write_change("a/c", &value).unwrap(), remove_change("c/d")]
        };
        for (status, body) in [
            (200, r#"{"ledger":432,"later":1}"#),
            (200, "{}"),
            (200, "nonsense"),
            (409, r#"{"failed":["a/b"],"ledger":431}"#),
            (400, r#"{"error":"no such lease"}"#),
            (429, "{}"),
            (503, "{}"),
        ] {
            let service = StandIn::answering(status, body).await;
            let outcome = client(service.address).commit(conditions(), changes()).await;
            transcript.case(format!("committed, answered {status} {body}"), service.asked_text());
            transcript.case("outcome", committed(outcome));
        }
        let service = StandIn::answering(200, r#"{"ledger":432}"#).await;
        let outcome = client(service.address).commit(conditions(), Vec::new()).await;
        assert_eq!(outcome, CommitOutcome::Committed { version: 432 });
        transcript.case("compared only", service.asked_text());
        let outcome = client(nobody()).commit(Vec::new(), changes()).await;
        transcript.case("nobody there", committed(outcome));
        transcript.must_equal(include_str!("../golden/wire-state-transactions.txt"));
    });
}

#[test]
fn leases_go_out_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        for (status, body) in [
            (200, r#"{"permit":7,"later":1}"#),
            (200, "{}"),
            (400, "{}"),
            (404, "{}"),
            (429, "{}"),
            (503, "{}"),
        ] {
            let service = StandIn::answering(status, body).await;
            let store = client(service.address);
            let granted = store.create_lease(Duration::from_secs(5)).await;
            transcript.case(format!("asked for, answered {status} {body}"), service.asked_text());
            transcript.case("outcome", shown(granted, service.address, |lease| format!("lease {lease}")));
            let extended = store.renew_lease(7).await;
            transcript.case(format!("extended, answered {status} {body}"), service.asked_text());
            transcript.case("outcome", shown(extended, service.address, |runs| format!("runs: {runs}")));
            store.revoke_lease(7).await;
            transcript.case(format!("ended, answered {status} {body}"), service.asked_text());
        }
        let address = nobody();
        let granted = client(address).create_lease(Duration::from_secs(5)).await;
        transcript.case("nobody there", shown(granted, address, |lease| format!("lease {lease}")));
        transcript.must_equal(include_str!("../golden/wire-state-leases.txt"));
    });
}

#[test]
fn takeovers_go_out_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let epoch = Epoch { token: FencingToken(41), node: "berth-2".into(), incarnation: u64::MAX };
        for (over_lock, status) in [(false, 200), (true, 200), (false, 409), (false, 503)] {
            let service = StandIn::start(move |request| match request.first_line() {
                "POST /grants HTTP/1.1" => (200, r#"{"permit":7}"#.into()),
                _ => (status, r#"{"ledger":432}"#.into()),
            })
            .await;
            let lock_condition = if over_lock { LockCondition::Ignored } else { LockCondition::Absent };
            let taken = client(service.address).take_over(&epoch, 412, lock_condition).await;
            let title = format!("takeover, over a lock: {over_lock}, answered {status}");
            transcript.case(title, service.asked_text());
            let taken =
                taken.map(|Takeover { lease, version, .. }| format!("lease {lease} version {version}"));
            transcript.case(
                "outcome",
                taken.unwrap_or_else(|error| format!("failed, to be ended: {:?}", error.lease)),
            );
        }
        for body in [
            r#"{"path":"leader/epoch","value":{"token":41,"node":"berth-2","incarnation":77},"entry":9}"#,
            r#"{"path":"leader/epoch","value":{"token":41},"entry":9}"#,
        ] {
            let service = StandIn::answering(200, body).await;
            let read = client(service.address).read_lock_state().await;
            transcript.case(format!("epoch asked, answered {body}"), service.asked_text());
            let spell = |LockState { epoch, locked }: LockState| {
                let StoredEpoch { epoch, version } = epoch.unwrap();
                let Epoch { token, node, incarnation } = epoch;
                format!("token {token} node {node:?} life {incarnation} at {version}, locked: {locked}")
            };
            transcript.case("read", shown(read, service.address, spell));
        }
        let keys = [
            keys::live_job("job-000412"),
            keys::final_state("job-000412"),
            keys::finished_tasks("job-000412", 3),
        ];
        let fixed = [
            keys::LEADER_EPOCH,
            keys::LEADER_LOCK,
            keys::MACHINE_TYPE_CATALOG,
            keys::COLD_START_REPORT,
            keys::LIVE_JOBS,
            keys::FINISHED_TASKS,
            keys::MACHINE_RECORDS,
        ];
        transcript.case("keys", format!("{}\n{}", keys.join("\n"), fixed.join("\n")));
        transcript.must_equal(include_str!("../golden/wire-state-takeovers.txt"));
    });
}
