//! Workers: one for every rented machine, which sends heartbeats to the nodes and carries out the commands of the answers.

use super::cloud::{Cloud, Seen};
use super::{listen, reply};
use poem::web::{Data, Json};
use poem::{handler, post, EndpointExt, Response, Route, Server};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a worker has: task -> (attempt, status, cause, when it ends).
type Tasks = BTreeMap<String, (u64, &'static str, Option<&'static str>, Instant)>;

/// Plays a worker for every machine that the cloud has rented out, until the test ends. How long a task runs goes by
/// its job's number: below 500 a fifth of a second, below 900 six seconds, from there on until it is stopped. All
/// report to the first node until it refuses.
pub async fn workers(cloud: Cloud, nodes: Vec<SocketAddr>) {
    play_workers(cloud, nodes, None).await;
}

/// The same, but each worker goes on to the next node every two seconds, so that most reports are relayed.
pub async fn roaming_workers(cloud: Cloud, nodes: Vec<SocketAddr>) {
    play_workers(cloud, nodes, Some(20)).await;
}

/// `reports_per_node`: after how many reports a worker goes on to the next node; None: when it is refused.
async fn play_workers(cloud: Cloud, nodes: Vec<SocketAddr>, reports_per_node: Option<u64>) {
    let mut known: BTreeSet<String> = Default::default();
    loop {
        let machines: Vec<(String, Value)> =
            cloud.lock().unwrap().machines.iter().map(|(n, m)| (n.clone(), m.clone())).collect();
        for (name, machine) in machines {
            if known.insert(name.clone()) {
                tokio::spawn(worker(cloud.clone(), nodes.clone(), reports_per_node, name, machine));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Notes in the workers' own records that a task began or ended.
fn note(cloud: &Cloud, machine: &Value, task: &str, launch: u64, begins: bool) {
    let text = |field: &str| machine[field].as_str().unwrap().to_string();
    let seen = Seen {
        at: Instant::now(),
        machine: text("uid"),
        zone: text("quay"),
        task: task.to_string(),
        launch,
        begins,
    };
    let mut cloud = cloud.lock().unwrap();
    // One that is gone does nothing more.
    if cloud.machines.contains_key(&seen.machine) {
        cloud.seen.push(seen);
    }
}

async fn worker(
    cloud: Cloud,
    nodes: Vec<SocketAddr>,
    reports_per_node: Option<u64>,
    name: String,
    machine: Value,
) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let (mut tasks, mut tally, mut helm, mut at) = (Tasks::new(), 0u64, 0u64, 0usize);
    let address =
        cloud.lock().unwrap().direct_commands_at.map_or("127.0.0.1:9".to_string(), |at| at.to_string());
    while cloud.lock().unwrap().machines.contains_key(&name) {
        if cloud.lock().unwrap().hanging.contains(&name) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        }
        end_due_tasks(&cloud, &machine, &mut tasks);
        tally += 1;
        at += usize::from(reports_per_node.is_some_and(|reports| tally % reports == 0));
        let checkin = json!({"vessel": name, "address": address, "hull": "m4", "quay": machine["quay"],
            "driftwood": machine["driftwood"], "watch": 1, "tally": tally, "helm": helm, "recall_s": null,
            "loads": loads(&tasks)});
        let body = send_checkin(&client, nodes[at % nodes.len()], &checkin).await;
        match body.filter(|b| b["helm"].as_u64().is_some_and(|h| h >= helm)) {
            Some(body) => {
                helm = body["helm"].as_u64().unwrap();
                for command in body["signals"].as_array().unwrap() {
                    signal(&cloud, &machine, &mut tasks, command);
                }
            }
            None => at += 1,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // The machine is gone with everything on it.
    cloud.lock().unwrap().end_all(&name);
}

/// Tasks that have run for their time exit.
fn end_due_tasks(cloud: &Cloud, machine: &Value, tasks: &mut Tasks) {
    for (load, task) in tasks.iter_mut().filter(|(_, t)| t.1 == "running" && t.3 <= Instant::now()) {
        (task.1, task.2) = ("exited", Some("done"));
        note(cloud, machine, load, task.0, false);
    }
}

/// The tasks as a check-in lists them.
fn loads(tasks: &Tasks) -> Vec<Value> {
    tasks.iter().map(|(load, t)| json!({"load": load, "launch": t.0, "status": t.1, "cause": t.2})).collect()
}

/// The body of a 200 answer; nothing for any other outcome.
async fn send_checkin(client: &reqwest::Client, node: SocketAddr, checkin: &Value) -> Option<Value> {
    let url = format!("http://{node}/checkin");
    let answer = client.post(url).body(checkin.to_string()).timeout(Duration::from_secs(4)).send().await;
    match answer {
        Ok(answer) if answer.status() == 200 => {
            serde_json::from_slice(&answer.bytes().await.unwrap_or_default()).ok()
        }
        _ => None,
    }
}

fn signal(cloud: &Cloud, machine: &Value, tasks: &mut Tasks, signal: &Value) {
    let load = signal["load"].as_str().unwrap().to_string();
    let launch = signal["launch"].as_u64().unwrap();
    let job: u32 = load.get(4..10).and_then(|number| number.parse().ok()).unwrap();
    let runs_ms = match job {
        0..500 => 200,
        500..900 => 6_000,
        _ => 3_600_000,
    };
    match signal["signal"].as_str().unwrap() {
        "run" => {
            tasks.entry(load.clone()).or_insert_with(|| {
                note(cloud, machine, &load, launch, true);
                (launch, "running", None, Instant::now() + Duration::from_millis(runs_ms))
            });
        }
        "stop" => {
            if let Some(task) = tasks.get_mut(&load).filter(|t| t.0 == launch && t.1 != "exited") {
                (task.1, task.2) = ("exited", Some("halted"));
                note(cloud, machine, &load, launch, false);
            }
        }
        _ => tasks.retain(|l, t| *l != load || t.0 != launch || t.1 != "exited"),
    }
}

/// Keeps the direct commands that arrive at any worker, and refuses them: as a worker does whose session has ended.
pub async fn direct_commands(cloud: Cloud) -> SocketAddr {
    let (acceptor, address) = listen().await;
    let app = Route::new().at("/orders", post(keep_direct_commands)).data(cloud);
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    address
}

#[handler]
fn keep_direct_commands(cloud: Data<&Cloud>, body: Json<Value>) -> Response {
    cloud.lock().unwrap().direct_commands.push(body.0);
    reply(409, json!({}))
}
