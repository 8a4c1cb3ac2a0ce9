//! Draining over loopback: twenty machines are replaced in steps under services, arrays and a gang, while the leader
//! ends and a worker hangs. What counts are the workers' own records.

use crate::late_writes::leader;
use crate::standins::{self, CloudState, Seen};
use crate::{on_runtime, processes, start_in_zones, submission, User};
use dockpier::drains::records;
use dockpier::settings::Team;
use dockpier::storage::key_value_store::{write_change, CommitOutcome};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

/// Two tasks of the team at once; the window is longer than the test.
const TASKS_AT_ONCE: usize = 2;
const REPLICA_S: f64 = 150.0;
const REPLICAS: usize = 16;
const OPERATOR: &str =
    "((draining 1) (drain-machines-at-once 3) (reserve-services 0) (idle-s 600) (idle-spot-s 600)
  (drain-budget \"team\" (tasks 2) (replica-s 150) (work-s 60) (window-s 3600)))";

/// Runs the client; its exit code, what it printed, and what it complained of.
fn client(nodes: &[SocketAddr], arguments: &[&str]) -> (i32, String, String) {
    let nodes = nodes.iter().flat_map(|node| ["--node".to_string(), node.to_string()]);
    let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
    let output = processes::run(command.args(arguments).args(nodes).args(["--patience", "20"]));
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Runs `dockpier drain`.
async fn ask_drain(nodes: &[SocketAddr], arguments: &[&str]) -> (i32, String, String) {
    ask(nodes, &[&["drain"], arguments].concat()).await
}

/// Runs the client without holding up the stand-ins.
pub async fn ask(nodes: &[SocketAddr], arguments: &[&str]) -> (i32, String, String) {
    let (nodes, arguments) = (nodes.to_vec(), arguments.iter().map(|a| a.to_string()).collect::<Vec<_>>());
    tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        client(&nodes, &arguments)
    })
    .await
    .unwrap()
}

async fn shown(nodes: &[SocketAddr], id: &str) -> Value {
    let (code, text, complaint) = ask_drain(nodes, &["show", id, "--json"]).await;
    assert_eq!(code, 0, "{complaint}");
    serde_json::from_str(&text).unwrap()
}

pub fn job(id: &str, rig: &str, tasks: u32) -> Value {
    let mut body = submission(id, rig, tasks);
    let service = rig == "service";
    body["precedence"] = json!(if service { "critical" } else { "normal" });
    body["apart"] = json!(service);
    body["driftwood"] = json!(false);
    body["manifest"] = json!(id);
    body["passage_s"] = json!(if service { 0.0 } else { 6.0 });
    body
}

pub async fn wait_until(
    cloud: &std::sync::Mutex<CloudState>,
    what: &str,
    holds: impl Fn(&CloudState) -> bool,
) {
    let started_at = Instant::now();
    while !holds(&cloud.lock().unwrap()) {
        assert!(started_at.elapsed() < Duration::from_secs(120), "never: {what}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The machines that are up, as the leader tells operators.
async fn ready_machine_count(user: &User) -> Vec<String> {
    for node in 0..3 {
        let Some((_, view)) = user.ask(node, "GET", "/overview", String::new()).await else { continue };
        let machines = view["machines"].as_array().into_iter().flatten();
        let up = machines.filter(|machine| machine["phase"] == "up");
        let up: Vec<String> = up.map(|machine| machine["machine"].as_str().unwrap().to_string()).collect();
        if !up.is_empty() {
            return up;
        }
    }
    Vec::new()
}

fn is_service(task: &str) -> bool {
    task.starts_with("job-0009")
}

/// Where each task runs, as of the end of the records.
pub fn running(seen: &[Seen]) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut on: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for seen in seen {
        let places = on.entry(&seen.task).or_default();
        match seen.begins {
            true => places.insert(&seen.machine),
            false => places.remove(seen.machine.as_str()),
        };
    }
    on.retain(|_, places| !places.is_empty());
    on
}

/// Replays the workers' records: no task on two machines, never more replicas down than agreed, each service in both
/// zones all the while. Returns the replica seconds lost.
fn check_records(seen: &[Seen], from: Instant) -> f64 {
    let mut places: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
    let mut down: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut lost = 0.0;
    for event in seen {
        let on = places.entry(&event.task).or_default();
        if event.begins {
            on.insert(&event.machine, &event.zone);
            assert!(on.len() == 1, "{} runs twice: {on:?}", event.task);
            if let Some(since) = down.remove(event.task.as_str()) {
                lost += event.at.duration_since(since).as_secs_f64();
            }
            continue;
        }
        on.remove(event.machine.as_str());
        if is_service(&event.task) && event.at >= from {
            down.insert(&event.task, event.at);
            assert!(down.len() <= TASKS_AT_ONCE, "down at once: {down:?}");
            let (job, _) = event.task.split_once('/').unwrap();
            let own = places.iter().filter(|(task, _)| task.starts_with(job));
            let zones: BTreeSet<&str> = own.flat_map(|(_, on)| on.values().copied()).collect();
            assert!(zones.len() == 2, "{job} serves in {zones:?} alone");
        }
    }
    assert!(down.is_empty(), "still down: {down:?}");
    lost
}

#[test]
fn twenty_machines_are_replaced_under_work_while_the_leader_ends_and_a_worker_hangs() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        {
            let mut cloud = cloud.lock().unwrap();
            (cloud.zones, cloud.capacity) = (vec!["a".into(), "b".into()], 64);
        }
        let (mut nodes, public) =
            start_in_zones("draining", state_at, cloud_at, &["a", "b"], Some(OPERATOR)).await;
        tokio::spawn(standins::workers(cloud.clone(), public.clone()));
        let user = User::new(public.clone());
        // Every task takes a machine of one GPU.
        for id in ["job-000900", "job-000901", "job-000902", "job-000903"] {
            assert_eq!(user.insist("POST", "/submissions", &job(id, "service", 4).to_string()).await.0, 201);
        }
        for (id, rig, tasks) in [("job-000500", "sweep", 10), ("job-000501", "gang", 4)] {
            assert_eq!(user.insist("POST", "/submissions", &job(id, rig, tasks).to_string()).await.0, 201);
        }
        wait_until(&cloud, "everything runs", |cloud| {
            let on = running(&cloud.seen);
            on.keys().filter(|task| is_service(task)).count() == REPLICAS && cloud.machines.len() >= 20
        })
        .await;
        let old: Vec<String> = cloud.lock().unwrap().machines.keys().take(20).cloned().collect();
        // One that has not reported yet is not known.
        let started_at = Instant::now();
        while ready_machine_count(&user).await.iter().filter(|name| old.contains(name)).count() < 20 {
            assert!(started_at.elapsed() < Duration::from_secs(60), "the machines do not come up");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let from = Instant::now();

        let mut start = vec!["start", "--id", "firmware", "--reason", "firmware 7", "--replace", "--json"];
        old.iter().for_each(|name| start.extend(["--machine", name]));
        let (code, text, complaint) = ask_drain(&public, &start).await;
        assert_eq!(code, 0, "{complaint}");
        let view: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(view["summary"]["state"], "running", "{view}");
        // The same again does nothing twice; another drain under its name is refused.
        assert_eq!(ask_drain(&public, &start).await.0, 0);
        let other = ["start", "--id", "firmware", "--reason", "other", "--all"];
        assert_eq!(ask_drain(&public, &other).await.0, 5);

        let given_back = |cloud: &CloudState| old.iter().filter(|m| !cloud.machines.contains_key(*m)).count();
        wait_until(&cloud, "some machines are given back", |cloud| given_back(cloud) >= 4).await;
        let mut leader = 0;
        for node in 0..3 {
            let (_, view) = user.ask(node, "GET", "/overview", String::new()).await.unwrap();
            if view["leader"] == view["node"] {
                leader = node;
            }
        }
        nodes[leader].restart();
        wait_until(&cloud, "the drain goes on", |cloud| given_back(cloud) >= 8).await;
        // A worker with a replica that is still to be drained hangs for good.
        let hangs = {
            let cloud = cloud.lock().unwrap();
            let on = running(&cloud.seen);
            let replicas = on.iter().filter(|(task, _)| is_service(task)).flat_map(|(_, places)| places);
            let mut waiting = replicas.filter(|machine| old.iter().any(|name| name == *machine));
            waiting.next().map(|machine| machine.to_string())
        };
        if let Some(hangs) = hangs {
            cloud.lock().unwrap().hanging.insert(hangs);
        }

        let started_at = Instant::now();
        let ended = loop {
            let view = shown(&public, "firmware").await;
            if view["summary"]["state"] == "finished" {
                break view;
            }
            assert!(started_at.elapsed() < Duration::from_secs(150), "{}", view["waits_for"]);
            tokio::time::sleep(Duration::from_millis(500)).await;
        };
        wait_until(&cloud, "all replicas serve", |cloud| {
            running(&cloud.seen).keys().filter(|task| is_service(task)).count() == REPLICAS
        })
        .await;
        let cloud = cloud.lock().unwrap();
        let lost = check_records(&cloud.seen, from);
        assert!(lost > 0.0 && lost <= REPLICA_S, "{lost} replica-s");
        assert_eq!(given_back(&cloud), 20, "{}", ended["summary"]);
        // One rental for each machine, and none twice: a machine that was lost before its step needs none.
        let rented: Vec<&String> = cloud.charters.keys().filter(|name| name.starts_with("drain-")).collect();
        let replaced: BTreeSet<&str> =
            old.iter().map(String::as_str).filter(|m| rented.iter().any(|name| name.contains(*m))).collect();
        assert_eq!(replaced.len(), rented.len(), "{rented:?}");
        assert!(rented.len() >= 19, "{rented:?}");
        assert_eq!(ended["summary"]["counts"]["waiting"], 0);
    });
}

#[test]
fn the_client_says_what_is_wrong_by_its_exit_code() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_in_zones("client", state_at, cloud_at, &["a"], Some(OPERATOR)).await;
        tokio::spawn(standins::workers(cloud.clone(), public.clone()));
        let user = User::new(public.clone());
        let mut service = job("job-000900", "service", 1);
        service["apart"] = json!(false);
        assert_eq!(user.insist("POST", "/submissions", &service.to_string()).await.0, 201);
        wait_until(&cloud, "a machine serves", |cloud| !running(&cloud.seen).is_empty()).await;
        let start =
            |more: &[&'static str]| [&["start", "--id", "one", "--reason", "test"][..], more].concat();
        for (arguments, code, says) in [
            (start(&["--machine", "nowhere"]), 2, "target.machines: `nowhere` is not known"),
            (start(&["--type", "m5", "--zone", "a"]), 2, "m5"),
            (start(&["--type", "m4", "--zone", "z"]), 2, "`z` is not known"),
            (start(&["--all", "--share", "1.5"]), 2, "share"),
            (start(&["--all", "--deadline", "2020-01-01T00:00:00Z"]), 2, "deadline: lies in the past"),
            (start(&["--all", "--deadline", "soon"]), 2, "deadline"),
            (start(&[]), 2, "--machine"),
            (vec!["show", "nothing"], 3, "no drain is called nothing"),
            (vec!["pause", "nothing"], 3, "no drain is called nothing"),
            (vec!["list"], 0, ""),
            (vec!["budgets"], 0, ""),
        ] {
            let (got, text, complaint) = ask_drain(&public, &arguments).await;
            assert_eq!(got, code, "{arguments:?}: {text}{complaint}");
            assert!(complaint.contains(says) && complaint.lines().count() <= 1, "{arguments:?}: {complaint}");
        }
        let one = cloud.lock().unwrap().machines.keys().next().unwrap().clone();
        let drain_one = ["start", "--id", "one", "--reason", "test", "--machine", &one];
        let (code, text, complaint) = ask_drain(&public, &drain_one).await;
        assert!(code == 0 && text.contains("running"), "{text}{complaint}");
        assert_eq!(ask_drain(&public, &["cancel", "one"]).await.0, 0);
        assert_eq!(ask_drain(&public, &["resume", "one"]).await.0, 5, "a cancelled drain does not go on");
        let (code, text, _) = ask_drain(&public, &["list"]).await;
        assert!(code == 0 && text.contains("one  cancelled"), "{text}");
        // Nobody is there.
        let nobody = [crate::free_addresses::<1>()[0]];
        let (nobody, arguments) = (nobody.to_vec(), ["cancel", "one"]);
        let (code, _, complaint) = ask_drain(&nobody, &arguments).await;
        assert!(code == 4 && complaint.contains("Nothing was changed"), "{complaint}");
    });
}

/// A record that can't be read harms its own drain alone: what it speaks of is left as it is.
#[test]
fn an_unreadable_record_of_a_drain_is_skipped_with_its_drain() {
    on_runtime(async {
        let (_state, store, versions) = leader().await;
        let request = |id: &str| json!({"request": {"id": id, "target": {"all": {}}, "reason": "test"}, "accepted": 1, "wish": "run"});
        let part = json!({"machines": [{"machine": "m-000001", "state": {"cordoned": {}}}]});
        for (key, value) in [
            ("drains/requests/good", request("good")),
            ("drains/progress/good/00000", part.clone()),
            ("drains/requests/half", request("half")),
            ("drains/progress/half/00000", part),
            ("drains/progress/half/00001", json!(7)),
            ("drains/requests/spoilt", json!({"wish": "run"})),
            ("drains/requests/new", request("new")),
            ("drains/ledgers/team", json!("spoilt")),
        ] {
            let written = versions.commit(&store, Vec::new(), vec![write_change(key, value).unwrap()]).await;
            assert!(matches!(written, CommitOutcome::Committed { .. }), "{key}");
        }
        let team = Team { name: "team".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
        let loaded = records::load(&store, &versions, &[team]).await.unwrap();
        let ids: Vec<&str> = loaded.requests.iter().map(|stored| stored.request.id.as_str()).collect();
        assert_eq!(ids, ["good", "new"], "one whose parts can't all be read is left alone");
        let parts: Vec<&str> = loaded.progress.keys().map(|id| id.as_str()).collect();
        assert_eq!(parts, ["good"]);
        assert!(loaded.ledgers.is_empty() && loaded.unreadable_ledgers == ["team"]);
    });
}
