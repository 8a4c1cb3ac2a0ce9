//! The program itself: what it says of files that it refuses, and what a node answers before it is ready and as the
//! only one, which leads.

use crate::reports::CHECKIN;
use crate::submissions::SUBMISSION;
use crate::transcript::{object, replaced, with, Transcript};
use crate::wire::{ask, nobody, try_ask, Message, StandIn};
use crate::{on_runtime, processes, standins};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"deployment":{"zones":["z"],"teams":[{"name":"vision"}],
"workers":{"report_s":1,"lease_s":10,"cancel_s":40},
"state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":8}}}"#;

/// A folder of one process of one test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let name = format!("pinned-{name}-{}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.0.join(file), text).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program on these files until it ends; its exit code and what it said.
fn serve(name: &str, settings: Option<&str>, operator: Option<&str>) -> String {
    let folder = Folder::new(name);
    if let Some(text) = settings {
        folder.write("site.json", text);
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
    command.current_dir(&folder.0).args(["serve", "--config", "site.json"]).env("LOG_LEVEL", "error");
    if let Some(text) = operator {
        folder.write("operators.scm", text);
        command.args(["--operator", "operators.scm"]);
    }
    let output = processes::run(&mut command);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let (said, complained) = (text(output.stdout), text(output.stderr));
    format!("exit {:?}\nout {said:?}\nerr {complained:?}", output.status.code())
}

#[test]
fn files_are_refused_with_the_same_words() {
    let mut transcript = Transcript::default();
    transcript.case("no settings", serve("no-settings", None, None));
    let wrong = SETTINGS.replace("\"lease_s\":10", "\"lease_s\":1");
    transcript.case("a wrong field", serve("wrong-field", Some(&wrong), None));
    let wrong = SETTINGS.replace("\"lease_s\":10", "\"lease_s\":ten");
    transcript.case("a malformed field", serve("malformed-field", Some(&wrong), None));
    let outcome = serve("wrong-key", Some(SETTINGS), Some("((idle-s 4)\n (nonsense 1))"));
    transcript.case("a wrong key", outcome);
    let outcome = serve("wrong-team", Some(SETTINGS), Some("((draining 1)\n (drain-budget \"text\"))"));
    transcript.case("a team that does not exist", outcome);
    transcript.must_equal(include_str!("../golden/program-refusals.txt"));
}

/// A running node and its files.
struct Node(Child, #[allow(dead_code)] Folder);

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a node of this name, whose members never come.
fn start(name: &str, members: &[&str], public: SocketAddr, cloud: SocketAddr, state: SocketAddr) -> Node {
    let folder = Folder::new(name);
    let member = |name: &&str| json!({"node_name": name, "site": "a", "peer_addr": nobody()});
    let members: Vec<_> = members.iter().map(member).collect();
    let settings = json!({"node_name": "n0", "site": "a", "public_addr": public, "peer_bind": nobody(),
        "members": members,
        "external": {"cloud": cloud, "state": state},
        "deployment": {"zones": ["a"], "teams": [{"name": "vision"}],
            "workers": {"report_s": 0.5, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 8},
            "cloud": {"rps": 50.0, "list_lag_s": 1.0}}});
    folder.write("site.json", &settings.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
    command.current_dir(&folder.0).args(["serve", "--config", "site.json"]).env("LOG_LEVEL", "error");
    Node(processes::spawn(command.stdin(Stdio::null())), folder)
}

/// Asks until the answer is of the kind that stays.
async fn settled(address: SocketAddr, line: &str, body: &str, says: &str) -> Message {
    let begun = Instant::now();
    loop {
        let last = match try_ask(address, line, body).await {
            Some(answer) if answer.text().contains(says) => return answer,
            other => other.map(|answer| answer.text()),
        };
        assert!(begun.elapsed() < Duration::from_secs(30), "{line} is never answered by {says}: {last:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_node_that_is_not_ready_answers_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let public = nobody();
        let _node = start("alone", &["n1", "n2"], public, nobody(), nobody());
        let (submission, checkin) = (object(SUBMISSION), object(CHECKIN));
        settled(public, "POST /submissions", &submission, "cut off").await;
        for (line, body) in [
            ("GET /healthz", ""),
            ("POST /submissions", submission.as_str()),
            ("GET /submissions/job-000412", ""),
            ("POST /submissions/job-000412/withdraw", ""),
            ("POST /checkin", checkin.as_str()),
            ("POST /checkin", "{}"),
        ] {
            transcript.case(line, ask(public, line, body).await.text());
        }
        transcript.must_equal(include_str!("../golden/program-not-ready.txt"));
    });
}

/// A worker that nobody rented: one of its tasks is of job 500, the other one of a job that nobody submitted.
struct Worker {
    orders: StandIn,
    tally: u64,
    helm: u64,
}

impl Worker {
    /// Reports once, with the highest token that it has seen.
    async fn report(&mut self, node: SocketAddr) -> Message {
        self.tally += 1;
        let parts = [
            ("10.1.0.232:9000", self.orders.address.to_string()),
            (r#""hull":"g8""#, r#""hull":"m4""#.to_string()),
            ("job-000412/3", "job-000500/3".to_string()),
            (r#""tally":88"#, format!(r#""tally":{}"#, self.tally)),
            (r#""helm":41"#, format!(r#""helm":{}"#, self.helm)),
        ];
        let report = parts.iter().fold(object(CHECKIN), |report, (from, to)| replaced(&report, from, to));
        let answer = ask(node, "POST /checkin", &report).await;
        let said: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        self.helm = said["helm"].as_u64().unwrap_or(self.helm);
        answer
    }

    /// Reports until the node says this in answer to something.
    async fn report_until(&mut self, node: SocketAddr, line: &str, says: &str) -> Message {
        let begun = Instant::now();
        loop {
            let reported = self.report(node).await;
            let answer = if line == "POST /checkin" { reported } else { ask(node, line, "").await };
            if answer.body.contains(says) {
                return answer;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "{line} is never answered by {says}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The first order that was sent straight to it.
    async fn first_order(&self) -> Message {
        let begun = Instant::now();
        loop {
            if let Some(first) = self.orders.asked().into_iter().next() {
                return first;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "nothing is ordered");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn a_node_that_leads_answers_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let (_state, state) = standins::state_service().await;
        let (_cloud, cloud) = standins::cloud().await;
        let node = nobody();
        let _process = start("leads", &[], node, cloud, state);
        let mut worker = Worker { orders: StandIn::answering(409, "{}").await, tally: 0, helm: 0 };
        let job = with(SUBMISSION, "hulls", "null");
        let parts = [("job-000412", "job-000500"), ("8.0", "2.0"), ("64.0", "4.0")];
        let job = parts.into_iter().fold(job, |job, (from, to)| replaced(&job, from, to));
        let polled = "GET /submissions/job-000500";
        let withdrawn = "POST /submissions/job-000500/withdraw";

        transcript.case("GET /healthz", settled(node, "GET /healthz", "", "200 OK").await.text());
        transcript.case("submitted", ask(node, "POST /submissions", &job).await.text());
        transcript.case("polled", ask(node, polled, "").await.text());
        // The leader knows the job before one of its tasks is reported.
        settled(node, "GET /overview", "", "job-000500").await;
        transcript.case("running", worker.report_until(node, polled, "\"running\":1").await.text());
        transcript.case("submitted again", ask(node, "POST /submissions", &job).await.text());
        transcript.case("withdrawn", ask(node, withdrawn, "").await.text());
        transcript.case("sent straight to the worker", worker.first_order().await.text());
        transcript.case("check-in", worker.report_until(node, "POST /checkin", "stop").await.text());
        transcript.case("polled at the end", ask(node, polled, "").await.text());
        transcript.case("withdrawn again", ask(node, withdrawn, "").await.text());
        transcript.case("submitted at the end", ask(node, "POST /submissions", &job).await.text());
        transcript.must_equal(include_str!("../golden/program-leads.txt"));
    });
}
