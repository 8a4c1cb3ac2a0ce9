//! What a node's routes answer: status, headers that matter and the whole body, with what they store.

use crate::cold_start_records::report;
use crate::domain::{
    budget, drain_id, ledger_record, machine_entries, machine_records, stored_requests, summary, waits,
};
use crate::golden;
use crate::node_api::NodeApi;
use dockpier::scheduler::cold_start::Phase;
use dockpier::settings::Draining;
use dockpier_drain::budget::Budgets;
use dockpier_drain::progress::Chunk;
use dockpier_drain::status::DrainState;
use std::sync::atomic::Ordering;

fn on_runtime(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

fn draining() -> Draining {
    let mut budgets = Budgets::default();
    budgets.add("vision", budget()).unwrap();
    Draining::within(budgets, 3)
}

/// The answers to these requests, one after the other: method, path, body.
async fn answers(node: &NodeApi, requests: &[(&str, &str, &str)]) -> String {
    let mut all = String::new();
    for (method, path, body) in requests {
        all += &node.ask(method, path, body).await;
    }
    all
}

#[test]
fn pages_of_a_node_are_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        let mut all = answers(
            &node,
            &[
                ("GET", "/healthz", ""),
                ("GET", "/overview", ""),
                ("GET", "/overview?after_job=job-000411&after_machine=m-000230", ""),
                ("GET", "/overview?after_job=follower", ""),
                ("GET", "/cold-start", ""),
                ("GET", "/elsewhere", ""),
                ("DELETE", "/overview", ""),
                ("POST", "/healthz", ""),
            ],
        )
        .await;
        for phase in [Phase::Reconciling, Phase::Restarting, Phase::Ended] {
            node.keep("cold-start/report", report(phase));
            all += &node.ask("GET", "/cold-start", "").await;
        }
        node.health.healthy.store(false, Ordering::Relaxed);
        all += &node.ask("GET", "/healthz", "").await;
        golden::check("pages.txt", &all);
    });
}

#[test]
fn drains_that_are_stored_are_shown_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        let mut all = answers(&node, &[("GET", "/drains", ""), ("GET", "/drain-budgets", "")]).await;
        for stored in stored_requests() {
            node.keep(&format!("drains/requests/{}", stored.request.id.as_str()), stored);
        }
        node.keep("drains/requests/unreadable", serde_json::json!({}));
        let told = summary(DrainState::Running, waits(), Some(1_764_648_600_000));
        node.keep("drains/summaries/firmware-7", told);
        let mut first = machine_entries();
        let second = first.split_off(5);
        node.keep("drains/progress/firmware-7/00000", Chunk { machines: first });
        node.keep("drains/progress/firmware-7/00001", Chunk { machines: second });
        node.keep("drains/ledgers/vision", ledger_record());
        all += &answers(
            &node,
            &[
                ("GET", "/drains", ""),
                ("GET", "/drains/firmware-7", ""),
                ("GET", "/drains/rack-4", ""),
                ("GET", "/drains/unreadable", ""),
                ("GET", "/drains/nobody", ""),
                ("GET", "/drains/Not_A_Name", ""),
                ("GET", "/drain-budgets", ""),
            ],
        )
        .await;
        golden::check("drains-shown.txt", &all);
    });
}

const START: &str = r#"{"id":"firmware-7","target":{"kind":{"machine_type":"g8","zone":"a"}},"share":0.25,
    "reason":"firmware 7.2","deadline":4102444800.5,"replace":true}"#;

/// The same request with another text in the place of a part of it.
fn start_with(part: &str, other: &str) -> String {
    let start = START.replace("firmware-7", "other");
    assert!(start.contains(part), "{part}");
    start.replace(part, other)
}

#[test]
fn drains_are_taken_and_changed_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        node.keep("fleet/machines/41-1", machine_records());
        let named =
            r#"{"id":"rack-4","target":{"machines":["m-000231","m-000232"]},"reason":"rack 4 moves"}"#;
        let all_machines = r#"{"id":"refresh","target":{"all":{}},"reason":"new images"}"#;
        let mut all = answers(
            &node,
            &[
                ("POST", "/drains", START),
                ("POST", "/drains", START),
                ("POST", "/drains", &START.replace("0.25", "0.5")),
                ("POST", "/drains", named),
                ("POST", "/drains", all_machines),
                ("POST", "/drains/rack-4/pause", ""),
                ("POST", "/drains/rack-4/pause", ""),
                ("POST", "/drains/rack-4/resume", ""),
                ("POST", "/drains/rack-4/cancel", ""),
                ("POST", "/drains/rack-4/resume", ""),
                ("POST", "/drains/rack-4/stop", ""),
                ("POST", "/drains/nobody/pause", ""),
                ("POST", "/drains/Not_A_Name/pause", ""),
                ("GET", "/drains/rack-4/pause", ""),
                ("DELETE", "/drains", ""),
            ],
        )
        .await;
        let finished = summary(DrainState::Finished, Vec::new(), None);
        node.keep(&format!("drains/summaries/{}", drain_id("refresh").as_str()), finished);
        all += &node.ask("POST", "/drains/refresh/pause", "").await;
        golden::check("drains-changed.txt", &(all + &node.kept()));
    });
}

#[test]
fn wrong_drains_are_refused_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        let kind = r#"{"kind":{"machine_type":"g8","zone":"a"}}"#;
        let long = "x".repeat(501);
        let wrong = [
            String::new(),
            "{".into(),
            "[1]".into(),
            "x".repeat(70_000),
            start_with("\"id\":\"other\",", ""),
            start_with("\"id\":\"other\"", "\"id\":\"Not_A_Name\""),
            start_with("\"reason\":\"firmware 7.2\",", ""),
            start_with("firmware 7.2", " "),
            start_with("firmware 7.2", &long),
            start_with("\"share\"", "\"unknown\""),
            start_with("0.25", "0"),
            start_with("0.25", "1.5"),
            start_with("0.25", "\"much\""),
            start_with("4102444800.5", "1577836800"),
            start_with("4102444800.5", "\"tomorrow\""),
            start_with("true", "1"),
            start_with(kind, "{}"),
            start_with(kind, "{\"unknown\":{}}"),
            start_with(kind, "{\"machines\":[]}"),
            start_with(kind, "{\"machines\":[\"m-1\",\"m-1\"]}"),
            start_with(kind, "{\"machines\":[\"m-000999\"]}"),
            start_with(kind, "{\"kind\":{\"machine_type\":\"g8\"}}"),
            start_with("\"g8\"", "\"g9\""),
            start_with("\"a\"", "\"z\""),
        ];
        let mut all = String::new();
        for body in &wrong {
            all += &node.ask("POST", "/drains", body).await;
        }
        golden::check("drains-refused.txt", &(all + &node.kept()));
    });
}

/// A drain of more names than a record holds.
#[test]
fn a_drain_too_large_for_a_record_is_refused_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        let names: Vec<String> = (0..800).map(|number| format!("m-{number:06}")).collect();
        for (at, part) in names.chunks(100).enumerate() {
            let machine = |name: &String| {
                let mut record = machine_records().remove(1);
                record.machine = name.clone();
                record
            };
            node.keep(&format!("fleet/machines/41-{at}"), part.iter().map(machine).collect::<Vec<_>>());
        }
        let target = serde_json::json!({ "machines": names }).to_string();
        let body = start_with(r#"{"kind":{"machine_type":"g8","zone":"a"}}"#, &target);
        golden::check("drains-too-large.txt", &node.ask("POST", "/drains", &body).await);
    });
}

const DRAIN_ROUTES: [(&str, &str, &str); 5] = [
    ("POST", "/drains", START),
    ("GET", "/drains", ""),
    ("GET", "/drains/firmware-7", ""),
    ("POST", "/drains/firmware-7/pause", ""),
    ("GET", "/drain-budgets", ""),
];

#[test]
fn without_draining_every_route_says_so() {
    on_runtime(async {
        let node = NodeApi::start(Draining::default()).await;
        golden::check("drains-off.txt", &answers(&node, &DRAIN_ROUTES).await);
    });
}

#[test]
fn without_the_state_service_types_or_connection_every_route_says_later() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        node.types.send_replace(Default::default());
        let mut all = node.ask("POST", "/drains", START).await;
        node.state.lock().unwrap().out = true;
        all += &answers(&node, &DRAIN_ROUTES).await;
        all += &node.ask("GET", "/cold-start", "").await;
        node.health.cut_off.store(true, Ordering::Relaxed);
        all += &answers(&node, &[DRAIN_ROUTES[0], DRAIN_ROUTES[3]]).await;
        golden::check("later.txt", &all);
    });
}

const JOB: &str = r#"{"uid":"job-000412","cargo":"train","crew":"vision","rig":"sweep","precedence":"high","loads":3,
    "cores":2,"gpus":0.5,"memory_gb":6.4,"manifest":"img-07","pull_gb":1.25,"hulls":["g8"],"quay":"a",
    "same_place":true,"apart":false,"driftwood":true,"passage_s":30,"logbook_s":20,"stow_s":3.5,"tide_s":7200}"#;

#[test]
fn jobs_are_taken_shown_and_cancelled_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        node.keep("over/job-000500", serde_json::json!({"status": "done", "tasks": 7}));
        let never = JOB.replace("vision", "nobody");
        let mut all = answers(
            &node,
            &[
                ("POST", "/submissions", JOB),
                ("POST", "/submissions", JOB),
                ("GET", "/submissions/job-000412", ""),
                ("GET", "/submissions/job-000500", ""),
                ("GET", "/submissions/job-000999", ""),
                ("POST", "/submissions", &never.replace("412", "413")),
                ("POST", "/submissions", "{"),
            ],
        )
        .await;
        all += &node.kept();
        all += &answers(
            &node,
            &[
                ("POST", "/submissions/job-000412/withdraw", ""),
                ("GET", "/submissions/job-000412", ""),
                ("POST", "/submissions", JOB),
                ("POST", "/submissions/job-000999/withdraw", ""),
            ],
        )
        .await;
        golden::check("jobs.txt", &(all + &node.kept()));
    });
}

#[test]
fn reports_of_workers_are_answered_as_ever() {
    on_runtime(async {
        let node = NodeApi::start(draining()).await;
        let report = |machine: &str| {
            format!(
                r#"{{"vessel":"{machine}","address":"127.0.0.1:9","hull":"g8","quay":"a","watch":1,"tally":2}}"#
            )
        };
        let mut all = String::new();
        for machine in ["m-000001", "m-000002", "m-000003", "m-000004"] {
            all += &node.ask("POST", "/checkin", &report(machine)).await;
        }
        all +=
            &node.ask("POST", "/checkin", &report("m-000001").replace("\"tally\":2", "\"tally\":-2")).await;
        golden::check("check-ins.txt", &all);
    });
}
