//! The real program on loopback, against stand-ins for the state service, the cloud and the workers.
//! Waits are for events, bounded only so that a broken program ends the test; no timing is asserted.

mod close_looks;
mod cold_start;
mod draining;
mod late_copies;
mod late_writes;
mod nodes;
#[path = "../common/processes.rs"]
mod processes;
mod standins;

use nodes::{free_addresses, start_in_zones, start_nodes, start_with_links, Node};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

struct User {
    client: reqwest::Client,
    nodes: Vec<SocketAddr>,
}

impl User {
    fn new(nodes: Vec<SocketAddr>) -> User {
        User { client: reqwest::Client::builder().no_proxy().build().unwrap(), nodes }
    }

    async fn ask(&self, node: usize, method: &str, path: &str, body: String) -> Option<(u16, Value)> {
        let url = format!("http://{}{path}", self.nodes[node]);
        let request = self.client.request(method.parse().unwrap(), url).body(body);
        let answer = request.timeout(Duration::from_secs(5)).send().await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.bytes().await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Waits until every node answers its health with 200: a process that has just been started may not listen yet.
    async fn wait_until_healthy(&self) {
        let started_at = Instant::now();
        for node in 0..self.nodes.len() {
            while !matches!(self.ask(node, "GET", "/healthz", String::new()).await, Some((200, _))) {
                assert!(started_at.elapsed() < Duration::from_secs(90), "node {node} is not healthy");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Asks one node after the other until one answers with something else than "later".
    async fn insist(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        let started_at = Instant::now();
        for node in (0..self.nodes.len()).cycle() {
            if let Some((status, body)) = self.ask(node, method, path, body.to_string()).await {
                if status < 500 {
                    return (status, body);
                }
            }
            assert!(started_at.elapsed() < Duration::from_secs(90), "{method} {path}: nobody answers");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        unreachable!()
    }

    async fn wait_for(&self, job_id: &str, status: &str) {
        let started_at = Instant::now();
        loop {
            let (code, body) = self.insist("GET", &format!("/submissions/{job_id}"), "").await;
            assert_eq!(code, 200, "{job_id} is forgotten");
            if body["status"] == status {
                return;
            }
            assert!(started_at.elapsed() < Duration::from_secs(90), "{job_id} is never {status}: {body}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

fn submission(job_id: &str, rig: &str, tasks: u32) -> Value {
    json!({"uid": job_id, "cargo": "c", "crew": "team", "rig": rig, "precedence": "normal", "loads": tasks,
        "cores": 2.0, "gpus": 1.0, "memory_gb": 4.0, "manifest": "img", "pull_gb": 1.0, "hulls": null,
        "same_place": false, "apart": false, "driftwood": true, "passage_s": 1.0, "logbook_s": 0.0,
        "stow_s": 0.0, "tide_s": null})
}

fn on_runtime(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

#[test]
fn jobs_run_through_kills_of_one_node_and_of_all() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (mut nodes, public) = start_nodes("kills", state_at, cloud_at).await;
        tokio::spawn(standins::workers(cloud, public.clone()));
        let user = User::new(public);
        let submit = |job_id: &'static str, rig: &'static str, tasks| {
            let (user, body) = (&user, submission(job_id, rig, tasks).to_string());
            async move { user.insist("POST", "/submissions", &body).await }
        };
        assert_eq!(submit("job-000001", "sweep", 5).await.0, 201);
        user.wait_for("job-000001", "done").await;
        // A repeated submission gets the present state.
        assert_eq!(submit("job-000001", "sweep", 5).await.1["status"], "done");

        assert_eq!(submit("job-000900", "service", 2).await.0, 201);
        user.wait_for("job-000900", "running").await;
        let mut leaders = 0;
        for node in 0..3 {
            let (_, view) = user.ask(node, "GET", "/overview", String::new()).await.unwrap();
            leaders += usize::from(view["leader"] == view["node"]);
            if view["leader"] == view["node"] {
                let listed = view["jobs"].as_array().unwrap().iter();
                let placed: Vec<_> = listed.filter(|j| j["job"] == "job-000900").collect();
                assert_eq!(placed[0]["placed"], 2, "{view}");
                assert!(!view["decisions"].as_array().unwrap().is_empty());
            }
        }
        assert_eq!(leaders, 1);
        nodes[0].kill();
        assert_eq!(submit("job-000002", "sweep", 3).await.0, 201);
        user.wait_for("job-000002", "done").await;
        nodes.iter_mut().for_each(Node::restart);
        assert_eq!(submit("job-000003", "sweep", 3).await.0, 201);
        user.wait_for("job-000003", "done").await;
        user.wait_for("job-000001", "done").await;
        user.wait_for("job-000900", "running").await;
        let (status, body) = user.insist("POST", "/submissions/job-000900/withdraw", "").await;
        assert_eq!((status, body["status"].as_str()), (200, Some("aborted")));
        for node in 0..3 {
            let (_, body) = user.ask(node, "GET", "/submissions/job-000900", String::new()).await.unwrap();
            assert_eq!(body["status"], "aborted", "node {node} tells an older state");
        }
        // Repeated, and cancelled after its end, a job tells its state on every node.
        for node in 0..3 {
            for (path, body) in [
                ("/submissions", submission("job-000001", "sweep", 3).to_string()),
                ("/submissions/job-000001/withdraw", String::new()),
            ] {
                let (status, body) = user.ask(node, "POST", path, body).await.unwrap();
                assert_eq!((status, &body["status"]), (200, &json!("done")), "{path} on {node}");
            }
        }
    });
}

/// The last task's end, a cancellation, a question and a repeated submission meet, at different distances from the
/// end: `live` to `over` is one transaction, whoever loses it tells what won, and nobody tells another end later.
#[test]
fn an_end_and_a_cancellation_that_meet_have_one_outcome_on_every_node() {
    on_runtime(async {
        let (state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_nodes("meet", state_at, cloud_at).await;
        tokio::spawn(standins::workers(cloud, public.clone()));
        let user = User::new(public);
        let first = submission("job-000001", "sweep", 1).to_string();
        assert_eq!(user.insist("POST", "/submissions", &first).await.0, 201);
        user.wait_for("job-000001", "done").await;
        // Between the reading and the transaction of a cancellation there is time for the end.
        state.lock().unwrap().slow = Duration::from_millis(300);
        for round in 0..12u64 {
            let job_id = format!("job-{:06}", 100 + round);
            let body = submission(&job_id, "sweep", 1).to_string();
            assert_eq!(user.insist("POST", "/submissions", &body).await.0, 201);
            tokio::time::sleep(Duration::from_millis(150 * round)).await;
            let (cancel, poll) =
                (format!("/submissions/{job_id}/withdraw"), format!("/submissions/{job_id}"));
            let (ended, asked, repeated) = tokio::join!(
                user.insist("POST", &cancel, ""),
                user.insist("GET", &poll, ""),
                user.insist("POST", "/submissions", &body),
            );
            let end = ended.1["status"].clone();
            assert!(ended.0 == 200 && (end == "done" || end == "aborted"), "{job_id}: {ended:?}");
            for (status, answer) in [asked, repeated] {
                let job_status = &answer["status"];
                assert!(
                    status == 200
                        && (job_status == "pending" || job_status == "running" || *job_status == end),
                    "{job_id}: {job_status}"
                );
            }
            for node in 0..3 {
                for (method, path, body) in
                    [("GET", &poll, ""), ("POST", &cancel, ""), ("POST", &"/submissions".to_string(), &body)]
                {
                    let answer = user.ask(node, method, path, body.to_string()).await.unwrap();
                    assert_eq!((answer.0, &answer.1["status"]), (200, &end), "{method} {path} on {node}");
                }
            }
        }
        let overwritten = state.lock().unwrap().overwritten.clone();
        assert!(overwritten.is_empty(), "ended twice: {overwritten:?}");
    });
}

#[test]
fn bad_input_is_answered_at_once_and_stores_nothing() {
    on_runtime(async {
        let (state, state_at) = standins::state_service().await;
        let (_, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_nodes("input", state_at, cloud_at).await;
        let user = User::new(public);
        let good = submission("job-000001", "sweep", 2);
        assert_eq!(user.insist("POST", "/submissions", &good.to_string()).await.0, 201);
        let with = |field: &str, value: Value| {
            let mut body = submission("job-000077", "sweep", 2);
            body[field] = value;
            body.to_string()
        };
        let without = |field: &str| {
            let mut body = submission("job-000077", "sweep", 2);
            body.as_object_mut().unwrap().remove(field);
            body.to_string()
        };
        let gang = |loads: u32| {
            let mut body = submission("job-000077", "gang", loads);
            body["gpus"] = json!(1.0);
            body.to_string()
        };
        let cases = [
            ("{".to_string(), 400, ""),
            ("[1]".to_string(), 400, ""),
            (without("loads"), 400, "loads"),
            (with("loads", json!(0)), 400, "loads"),
            (with("loads", json!(100_001)), 400, "loads"),
            (with("loads", json!("2")), 400, "loads"),
            (with("cores", json!(-1.0)), 400, "cores"),
            (good.to_string().replace("4.0", "1e999"), 400, ""),
            (with("uid", json!("job-7")), 400, "uid"),
            (with("uid", json!("job-0000077")), 400, "uid"),
            (with("rig", json!("raft")), 400, "rig"),
            (with("hulls", json!([])), 400, "hulls"),
            (with("cargo", json!("x".repeat(70_000))), 400, "body"),
            (with("crew", json!("nobody")), 422, "nobody"),
            (with("gpus", json!(2.0)), 422, "machine type"),
            (with("hulls", json!(["m5"])), 422, "machine type"),
            (with("quay", json!("z")), 422, "machine type"),
            (with("gpus", json!(5.0)), 422, "limit"),
            // All of a gang must fit its team's limit, and one task of an array.
            (gang(5), 422, "limit"),
            (gang(0), 400, "loads"),
        ];
        for (body, status, says) in cases {
            let (got, answer) = user.insist("POST", "/submissions", &body).await;
            let error = answer["error"].as_str().unwrap_or_default().to_string();
            assert_eq!(got, status, "{body:.200}: {error}");
            assert!(error.contains(says) && !error.contains('\n'), "{says}: {error}");
        }
        assert!(!state.lock().unwrap().keys.contains_key("live/job-000077"));
        // A repeated submission of a job that is not over gets its state.
        user.wait_until_healthy().await;
        for node in 0..3 {
            let (status, body) = user.ask(node, "POST", "/submissions", good.to_string()).await.unwrap();
            assert_eq!((status, &body["status"]), (200, &json!("pending")), "on {node}");
        }
        for (method, path, status) in [
            ("GET", "/submissions/job-000077", 404),
            ("GET", "/submissions/nonsense", 404),
            ("POST", "/submissions/job-000077/withdraw", 404),
            ("GET", "/elsewhere", 404),
            ("DELETE", "/submissions", 405),
            ("POST", "/healthz", 405),
            ("POST", "/checkin", 400),
        ] {
            assert_eq!(user.insist(method, path, "").await.0, status, "{method} {path}");
        }
        // Without the state service nothing can be decided: later, and at once.
        state.lock().unwrap().out = true;
        let later = submission("job-000078", "sweep", 1).to_string();
        assert_eq!(user.ask(0, "POST", "/submissions", later).await.unwrap().0, 503);
        assert_eq!(user.ask(0, "GET", "/submissions/job-000001", String::new()).await.unwrap().0, 503);
        state.lock().unwrap().out = false;
        assert_eq!(user.insist("GET", "/submissions/job-000001", "").await.0, 200);
    });
}

#[test]
fn broken_settings_end_the_program_with_one_clear_message() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (config, operator) = (folder.join("broken.json"), folder.join("broken.scm"));
    std::fs::write(&config, r#"{"node_name":"a","site":"z","public_addr":"nowhere"}"#).unwrap();
    std::fs::write(&operator, "((idle-s 3)\n (nonsense 1))").unwrap();
    let run = |arguments: &[&str]| {
        let output = processes::run(Command::new(env!("CARGO_BIN_EXE_dockpier")).args(arguments));
        (output.status.success(), String::from_utf8(output.stderr).unwrap())
    };
    let config = config.to_str().unwrap();
    let (success, message) = run(&["serve", "--config", config]);
    assert!(!success && message.contains("broken.json") && message.contains("public_addr"), "{message}");
    let (success, message) = run(&["serve", "--config", "/nowhere/s.json"]);
    assert!(!success && message.contains("/nowhere/s.json"), "{message}");
    assert!(!run(&["serve"]).0);
    assert!(run(&["--version"]).0 && run(&["--help"]).0);
}

/// Not a check: keeps a small deployment running for trying things by hand (see README).
#[test]
#[ignore = "runs for ten minutes"]
fn playground() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_nodes("playground", state_at, cloud_at).await;
        tokio::spawn(standins::workers(cloud, public.clone()));
        public.iter().for_each(|address| println!("NODE=http://{address}"));
        tokio::time::sleep(Duration::from_secs(600)).await;
    });
}
