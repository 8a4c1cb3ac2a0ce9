//! What a leading controller writes of its own accord: the real program on loopback, between stand-ins. Each kind of
//! transaction is pinned whole, with what differs from run to run under names; and a new leader takes up exactly what
//! the stored records leave to be done.

use crate::golden::{self, masked};
use crate::processes;
use crate::program::folder;
use crate::recorder::Recorder;
use crate::standins;
use crate::workers::Workers;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const OPERATOR: &str = "((cold-start 1) (draining 1) (reserve-services 0) (idle-s 600) (idle-spot-s 600)
    (drain-budget \"team\" (tasks 2) (replica-s 900) (work-s 900)))";

/// A controller by itself; it ends with the test.
struct Controller(Child);

impl Controller {
    fn start(
        folder: &Path,
        public: SocketAddr,
        peer: SocketAddr,
        cloud: SocketAddr,
        state: SocketAddr,
    ) -> Self {
        let settings = json!({"node_name": "berth-2", "site": "a", "public_addr": public, "peer_bind": peer,
            "members": [], "external": {"cloud": cloud, "state": state},
            "deployment": {"zones": ["a"], "teams": [{"name": "team"}],
                "workers": {"report_s": 0.5, "lease_s": 10.0, "cancel_s": 40.0},
                "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 8},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0}}});
        let (config, operator) = (folder.join("settings.json"), folder.join("operator.scm"));
        std::fs::write(&config, settings.to_string()).unwrap();
        std::fs::write(&operator, OPERATOR).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
        command.arg("serve").arg("--operator").arg(operator).arg("--config").arg(config);
        Controller(processes::spawn(command.env("LOG_LEVEL", "error").stdin(Stdio::null())))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Free addresses on a loopback host that no other test uses.
fn free_addresses() -> [SocketAddr; 2] {
    processes::free_addresses(Ipv4Addr::new(127, 0, 58, 1))
}

fn submission(job_id: &str, rig: &str, tasks: u32) -> Value {
    json!({"uid": job_id, "cargo": "c", "crew": "team", "rig": rig, "precedence": "normal", "loads": tasks,
        "cores": 2.0, "gpus": 1.0, "memory_gb": 4.0, "manifest": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "driftwood": false, "passage_s": 1.0, "logbook_s": 0.0, "stow_s": 0.0})
}

/// What an earlier leader left: job 100 with tasks 1, 2 and 5 of six to be done, job 101 with its last one.
fn left_behind() -> Vec<(&'static str, Value)> {
    vec![
        ("leader/epoch", golden::stored("job-records.txt", "leader/epoch")),
        ("live/job-000100", submission("job-000100", "sweep", 6)),
        ("done/job-000100/0", json!("91")),
        ("live/job-000101", submission("job-000101", "sweep", 4_098)),
        ("done/job-000101/0", json!("f".repeat(1_024))),
        ("done/job-000101/1", json!("1")),
    ]
}

async fn insist(public: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let begun = Instant::now();
    loop {
        let request = client.request(method.parse().unwrap(), format!("http://{public}{path}"));
        let answer = request.body(body.to_string()).timeout(Duration::from_secs(5)).send().await;
        match answer {
            Ok(answer) if answer.status().as_u16() < 500 => return answer.text().await.unwrap(),
            _ => assert!(begun.elapsed() < Duration::from_secs(90), "{method} {path}: no answer"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a condition holds; bounded only so that a broken program ends the test.
async fn wait_for<T>(what: &str, look: impl Fn() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < Duration::from_secs(90), "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The numbers after these names go by a name: versions, lives of processes, leases, revisions.
fn without_numbers(transaction: &str) -> String {
    ["\"entry\":", "\"incarnation\":", "\"permit\":"].iter().fold(transaction.to_string(), |text, name| {
        let mut parts = text.split(name);
        let mut masked = parts.next().unwrap().to_string();
        for part in parts {
            let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
            // That a key must not exist is no version.
            let absent = part.starts_with('0') && !rest.is_empty() && part.len() == rest.len() + 1;
            masked += &format!("{name}{}{rest}", if absent { "0" } else { "<number>" });
        }
        masked
    })
}

/// A transaction whose value is the leader's view of the moment: all but the value.
fn without_value(transaction: &str) -> String {
    let (before, rest) = transaction.split_once("\"value\":").unwrap();
    assert!(rest.ends_with("}]}") && !rest.contains("\"write\":"), "one write: {transaction}");
    format!("{before}\"value\":<value>}}]}}")
}

/// Kinds of transactions by a text that no other kind has.
const WHOLE: [&str; 7] = [
    "\"write\":\"leader/epoch\"",
    "\"write\":\"fleet/catalog\"",
    "\"write\":\"live/job-000902\"",
    "\"write\":\"done/job-000902/0\"",
    "\"write\":\"over/job-000101\"",
    "\"write\":\"over/job-000903\"",
    "\"write\":\"drains/requests/rack-4\"",
];
const WITHOUT_VALUE: [&str; 5] = [
    "\"write\":\"fleet/machines/42-1\"",
    "\"write\":\"drains/progress/rack-4/00000\"",
    "\"write\":\"drains/summaries/rack-4\"",
    "\"write\":\"drains/ledgers/team\"",
    "\"write\":\"cold-start/report\"",
];

async fn first_of_each_kind(recorder: &Recorder) -> String {
    let mut all = String::new();
    for kind in WHOLE {
        let transaction = wait_for(kind, || recorder.first_with(kind)).await;
        all += &(without_numbers(&transaction) + "\n");
    }
    for kind in WITHOUT_VALUE {
        let transaction = wait_for(kind, || recorder.first_with(kind)).await;
        all += &(without_numbers(&without_value(&transaction)) + "\n");
    }
    masked(&all, &[])
}

/// The keys of a page in their order, each with the type of its value; what repeats is left out.
fn shape(page: &str) -> String {
    let mut shape: Vec<String> = Vec::new();
    for line in page.lines() {
        let indent = line.len() - line.trim_start().len();
        let key_ends = line.find("\": ").map_or(indent, |at| at + 3);
        let (key, value) = line.split_at(key_ends);
        let value = value.trim_end_matches(',');
        let kind = match serde_json::from_str(value) {
            Ok(Value::String(_)) => "<text>",
            Ok(Value::Number(_)) => "<number>",
            Ok(Value::Bool(_)) => "<true or false>",
            _ => value,
        };
        let line = format!("{key}{kind}");
        if !shape.contains(&line) {
            shape.push(line);
        }
    }
    shape.join("\n") + "\n"
}

#[test]
fn a_leader_reads_and_writes_as_ever() {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let (state, state_at) = standins::state_service().await;
        for (key, value) in left_behind() {
            let mut state = state.lock().unwrap();
            state.revision += 1;
            let revision = state.revision;
            state.keys.insert(key.to_string(), (value, revision, None));
        }
        let (cloud, cloud_at) = standins::cloud().await;
        let (recorder, recorder_at) = Recorder::start(state_at).await;
        let [public, peer] = free_addresses();
        let _controller = Controller::start(&folder("leader"), public, peer, cloud_at, recorder_at);
        let workers = Workers::start(cloud, public);
        let kept = |key: &str| state.lock().unwrap().keys.get(key).map(|(value, ..)| value.to_string());
        let first = wait_for("job 100 ends", || kept("over/job-000100")).await;
        let second = wait_for("job 101 ends", || kept("over/job-000101")).await;
        assert_eq!([first, second], [r#"{"status":"done","tasks":6}"#, r#"{"status":"done","tasks":4098}"#]);
        let mut begun: Vec<String> =
            workers.begun.lock().unwrap().iter().map(|(task, _)| task.clone()).collect();
        begun.sort();
        let left = ["job-000100/1", "job-000100/2", "job-000100/5", "job-000101/4097"];
        assert_eq!(begun, left, "what was stored as done is not done again");

        for (job_id, rig, tasks) in [("job-000902", "sweep", 2), ("job-000903", "service", 1)] {
            insist(public, "POST", "/submissions", &submission(job_id, rig, tasks).to_string()).await;
        }
        let machine = wait_for("the service runs", || workers.machine_of("job-000903/0")).await;
        golden::check("overview-shape.txt", &shape(&insist(public, "GET", "/overview", "").await));
        let drain = json!({"id": "rack-4", "target": {"machines": [machine]}, "reason": "moves"});
        insist(public, "POST", "/drains", &drain.to_string()).await;
        wait_for("the drain spends its budget", || kept("drains/ledgers/team")).await;
        insist(public, "POST", "/submissions/job-000903/withdraw", "").await;
        let all = first_of_each_kind(&recorder).await;
        golden::check("transactions.txt", &all.replace(&machine, "<machine>"));
    });
}
