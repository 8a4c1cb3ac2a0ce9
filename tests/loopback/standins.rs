//! Stand-ins for the state service, the cloud and workers, written from the protocol, on loopback.

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path, Query};
use poem::{delete, get, handler, post, EndpointExt, Response, Route, Server};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct State {
    pub revision: u64,
    /// key -> (value, version, permit)
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// permit -> (ends, life)
    permits: BTreeMap<u64, (Instant, Duration)>,
    next_permit: u64,
    changes: Vec<(u64, String, Option<Value>)>,
    pub out: bool,
    /// Answers to readings of one key come this much later than what they say.
    pub slow: Duration,
    pub transactions: u64,
    /// What happens to the answers of transactions that write keys with this prefix.
    pub trouble: Option<(String, Trouble)>,
    /// Transactions without an answer that have not been carried out.
    pub held: Vec<Value>,
    /// Final states that were written over: never allowed.
    pub overwritten: Vec<String>,
}

/// What happens to a transaction that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It is kept, to be carried out later.
    Held,
    /// It is carried out at once.
    AnswerLost,
}

impl State {
    /// The trouble of a transaction, by the keys that it writes.
    fn trouble_of(&self, transaction: &Value) -> Option<Trouble> {
        let (prefix, trouble) = self.trouble.as_ref()?;
        let written = transaction["then"].as_array()?.iter().filter_map(|change| change["write"].as_str());
        let mut concerned = written.filter(|key| key.starts_with(prefix.as_str()));
        concerned.next().map(|_| *trouble)
    }

    /// Carries out what was held, in the order in which it came; the statuses that nobody sees.
    pub fn carry_out_held(&mut self) -> Vec<u16> {
        let held = std::mem::take(&mut self.held);
        held.iter().map(|transaction| self.transact(transaction).0).collect()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.permits.iter().filter(|(_, (at, _))| *at < now).map(|(p, _)| *p).collect();
        ended.into_iter().for_each(|permit| self.end(permit));
    }

    fn end(&mut self, permit: u64) {
        self.permits.remove(&permit);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, k)| k.2 == Some(permit)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.changes.push((self.revision, key, None));
        }
    }

    fn transact(&mut self, transaction: &Value) -> (u16, Value) {
        self.transactions += 1;
        let text = |v: &Value, field: &str| v[field].as_str().map(String::from);
        let empty = Vec::new();
        let failed: Vec<String> = transaction["when"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|c| {
                let key = text(c, "path").unwrap_or_default();
                self.keys.get(&key).map_or(0, |k| k.1) != c["entry"].as_u64().unwrap_or(0)
            })
            .filter_map(|c| text(c, "path"))
            .collect();
        if !failed.is_empty() {
            return (409, json!({ "failed": failed, "ledger": self.revision }));
        }
        let then = transaction["then"].as_array().unwrap_or(&empty);
        if then.iter().any(|c| c["permit"].as_u64().is_some_and(|p| !self.permits.contains_key(&p))) {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        let revision = self.revision;
        for change in then {
            if let Some(key) = text(change, "write") {
                let value = change["value"].clone();
                if key.starts_with("over/") && self.keys.contains_key(&key) {
                    self.overwritten.push(key.clone());
                }
                self.keys.insert(key.clone(), (value.clone(), revision, change["permit"].as_u64()));
                self.changes.push((revision, key, Some(value)));
            } else if let Some(key) = text(change, "remove") {
                self.keys.remove(&key);
                self.changes.push((revision, key, None));
            }
        }
        (200, json!({ "ledger": revision }))
    }
}

type Shared = Arc<Mutex<State>>;

fn reply(status: u16, body: Value) -> Response {
    let status = StatusCode::from_u16(status).unwrap();
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

fn open(state: &Shared) -> poem::Result<std::sync::MutexGuard<'_, State>> {
    let mut state = state.lock().unwrap();
    state.expire();
    if state.out {
        return Err(poem::Error::from_response(reply(503, json!({"error": "trouble"}))));
    }
    Ok(state)
}

#[handler]
async fn store_get(Data(state): Data<&Shared>, Path(key): Path<String>) -> poem::Result<Response> {
    let (answer, slow) = {
        let state = open(state)?;
        let answer = match state.keys.get(&key) {
            Some((value, entry, permit)) => {
                reply(200, json!({"path": key, "value": value, "entry": entry, "permit": permit}))
            }
            None => reply(404, json!({ "ledger": state.revision })),
        };
        (answer, state.slow)
    };
    tokio::time::sleep(slow).await;
    Ok(answer)
}

#[handler]
fn store_list(
    Data(state): Data<&Shared>,
    Query(query): Query<BTreeMap<String, String>>,
) -> poem::Result<Response> {
    let state = open(state)?;
    let (prefix, from) = (query.get("prefix").cloned().unwrap_or_default(), query.get("from"));
    let matching: Vec<_> = state
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && from.is_none_or(|from| *key > from))
        .collect();
    // Small pages, so that paging is used.
    let items: Vec<Value> = matching
        .iter()
        .take(3)
        .map(|(key, (value, entry, _))| json!({"path": key, "value": value, "entry": entry}))
        .collect();
    Ok(reply(200, json!({"has_next": matching.len() > 3, "items": items, "ledger": state.revision})))
}

/// No client waits longer for an answer.
const NO_ANSWER: Duration = Duration::from_secs(30);

#[handler]
async fn multi(Data(state): Data<&Shared>, Json(body): Json<Value>) -> poem::Result<Response> {
    let answer = {
        let mut state = open(state)?;
        match state.trouble_of(&body) {
            None => Some(state.transact(&body)),
            Some(Trouble::Held) => {
                state.held.push(body);
                None
            }
            Some(Trouble::AnswerLost) => {
                state.transact(&body);
                None
            }
        }
    };
    let Some((status, body)) = answer else {
        tokio::time::sleep(NO_ANSWER).await;
        return Ok(reply(503, json!({"error": "trouble"})));
    };
    Ok(reply(status, body))
}

#[handler]
fn grant(Data(state): Data<&Shared>, Json(body): Json<Value>) -> poem::Result<Response> {
    let mut state = open(state)?;
    state.next_permit += 1;
    let permit = state.next_permit;
    let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
    state.permits.insert(permit, (Instant::now() + life, life));
    Ok(reply(200, json!({ "permit": permit })))
}

#[handler]
fn extend(Data(state): Data<&Shared>, Path(permit): Path<u64>) -> poem::Result<Response> {
    let mut state = open(state)?;
    Ok(match state.permits.get_mut(&permit) {
        Some((ends, life)) => {
            *ends = Instant::now() + *life;
            reply(200, json!({ "permit": permit }))
        }
        None => reply(404, json!({})),
    })
}

#[handler]
fn end_grant(Data(state): Data<&Shared>, Path(permit): Path<u64>) -> poem::Result<Response> {
    open(state)?.end(permit);
    Ok(reply(200, json!({})))
}

#[handler]
async fn follow(
    Data(state): Data<&Shared>,
    Query(query): Query<BTreeMap<String, String>>,
) -> poem::Result<Response> {
    let number = |field: &str| query.get(field).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        {
            let state = open(state)?;
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|(at, key, _)| *at > number("from") && key.starts_with(&query["prefix"]))
                .map(|(at, key, value)| match value {
                    Some(value) => json!({"write": key, "value": value, "entry": at}),
                    None => json!({"remove": key, "entry": at}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return Ok(reply(200, json!({"ledger": state.revision, "events": events})));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub struct CloudState {
    pub machines: BTreeMap<String, Value>,
    /// Rentals by name.
    pub charters: BTreeMap<String, Vec<String>>,
    /// The zones that have machines, and how many machines there are in all.
    pub zones: Vec<String>,
    pub capacity: usize,
    /// Machines that one rental gets at most.
    pub at_once: u64,
    /// Machines whose workers hang.
    pub hanging: BTreeSet<String>,
    /// What the workers did, in order.
    pub seen: Vec<Seen>,
    made: u64,
}

/// A task began to run on a worker, or ended there.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Instant,
    pub machine: String,
    pub zone: String,
    pub task: String,
    pub begins: bool,
}

impl Default for CloudState {
    fn default() -> Self {
        CloudState {
            machines: BTreeMap::new(),
            charters: BTreeMap::new(),
            zones: vec!["a".into()],
            capacity: 6,
            at_once: 4,
            hanging: BTreeSet::new(),
            seen: Vec::new(),
            made: 0,
        }
    }
}

impl CloudState {
    /// The machine is gone with everything on it, which the records say at once: while its worker noted that in its own
    /// time, up to 50 ms later, a task that was started elsewhere on the cloud's word seemed to run twice.
    fn end_all(&mut self, machine: &str) {
        let mut on: BTreeMap<&str, &Seen> = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| seen.machine == machine) {
            match seen.begins {
                true => on.insert(&seen.task, seen),
                false => on.remove(seen.task.as_str()),
            };
        }
        let at = Instant::now();
        let ends: Vec<Seen> =
            on.into_values().map(|seen| Seen { at, begins: false, ..seen.clone() }).collect();
        self.seen.extend(ends);
    }
}

type Cloud = Arc<Mutex<CloudState>>;

#[handler]
fn catalog(Data(cloud): Data<&Cloud>) -> Response {
    let zones = cloud.lock().unwrap().zones.clone();
    reply(
        200,
        json!({"hulls": [{"label": "m4", "cores": 4, "gpus": 1, "memory_gb": 16, "cache_gb": 10,
            "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "boot_s": 1, "quays": zones}]}),
    )
}

#[handler]
fn rent(Data(cloud): Data<&Cloud>, Json(body): Json<Value>) -> Response {
    let mut cloud = cloud.lock().unwrap();
    let charter = body["charter"].as_str().unwrap().to_string();
    if let Some(names) = cloud.charters.get(&charter) {
        return reply(200, json!({ "vessels": names }));
    }
    let room = cloud.capacity.saturating_sub(cloud.machines.len()) as u64;
    if room == 0 {
        return reply(503, json!({"error": "no capacity"}));
    }
    let mut names = Vec::new();
    for _ in 0..body["how_many"].as_u64().unwrap().min(cloud.at_once).min(room) {
        cloud.made += 1;
        let name = format!("m-{:06}", cloud.made);
        let machine = json!({"uid": name, "address": "127.0.0.1:9", "hull": "m4", "quay": body["quay"],
            "driftwood": body["driftwood"], "status": "running", "age_s": 1.0});
        cloud.machines.insert(name.clone(), machine);
        names.push(name);
    }
    cloud.charters.insert(charter, names.clone());
    reply(200, json!({ "vessels": names }))
}

#[handler]
fn delete_machines(Data(cloud): Data<&Cloud>, Json(body): Json<Value>) -> Response {
    let mut cloud = cloud.lock().unwrap();
    for name in body["vessels"].as_array().unwrap() {
        cloud.machines.remove(name.as_str().unwrap());
        cloud.end_all(name.as_str().unwrap());
    }
    reply(200, json!({}))
}

#[handler]
fn rentals(Data(cloud): Data<&Cloud>, Query(query): Query<BTreeMap<String, String>>) -> Response {
    let cloud = cloud.lock().unwrap();
    let from = query.get("from").cloned().unwrap_or_default();
    let after: Vec<&Value> =
        cloud.machines.iter().filter(|(name, _)| **name > from).map(|(_, m)| m).collect();
    let page: Vec<&&Value> = after.iter().take(2).collect();
    reply(200, json!({"has_next": after.len() > 2, "vessels": page}))
}

async fn listen() -> (TcpAcceptor, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (TcpAcceptor::from_tokio(listener).unwrap(), address)
}

pub async fn state_service() -> (Shared, SocketAddr) {
    let state = Shared::default();
    let routes = Route::new()
        .at("/store/*key", get(store_get))
        .at("/store", get(store_list))
        .at("/multi", post(multi))
        .at("/grants", post(grant))
        .at("/grants/:permit", delete(end_grant))
        .at("/grants/:permit/extend", post(extend))
        .at("/follow", get(follow))
        .data(state.clone());
    let (acceptor, address) = listen().await;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    (state, address)
}

pub async fn cloud() -> (Cloud, SocketAddr) {
    let cloud = Cloud::default();
    let routes = Route::new()
        .at("/catalog", get(catalog))
        .at("/rentals", get(rentals).post(rent))
        .at("/rentals/delete", post(delete_machines))
        .data(cloud.clone());
    let (acceptor, address) = listen().await;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    (cloud, address)
}

/// What a worker has: task -> (attempt, status, cause, when it ends).
type Tasks = BTreeMap<String, (u64, &'static str, Option<&'static str>, Instant)>;

/// Plays a worker for every machine that the cloud has rented out, until the test ends. How long a task runs goes by
/// its job's number: below 500 a fifth of a second, below 900 six seconds, from there on until it is stopped.
pub async fn workers(cloud: Cloud, nodes: Vec<SocketAddr>) {
    let mut known: BTreeSet<String> = Default::default();
    loop {
        let machines: Vec<(String, Value)> =
            cloud.lock().unwrap().machines.iter().map(|(n, m)| (n.clone(), m.clone())).collect();
        for (name, machine) in machines {
            if known.insert(name.clone()) {
                tokio::spawn(worker(cloud.clone(), nodes.clone(), name, machine));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Notes in the workers' own records that a task began or ended.
fn note(cloud: &Cloud, machine: &Value, task: &str, begins: bool) {
    let text = |field: &str| machine[field].as_str().unwrap().to_string();
    let seen =
        Seen { at: Instant::now(), machine: text("uid"), zone: text("quay"), task: task.to_string(), begins };
    let mut cloud = cloud.lock().unwrap();
    // One that is gone does nothing more.
    if cloud.machines.contains_key(&seen.machine) {
        cloud.seen.push(seen);
    }
}

async fn worker(cloud: Cloud, nodes: Vec<SocketAddr>, name: String, machine: Value) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let (mut tasks, mut tally, mut helm, mut at) = (Tasks::new(), 0u64, 0u64, 0usize);
    while cloud.lock().unwrap().machines.contains_key(&name) {
        if cloud.lock().unwrap().hanging.contains(&name) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        }
        for (load, task) in tasks.iter_mut().filter(|(_, t)| t.1 == "running" && t.3 <= Instant::now()) {
            (task.1, task.2) = ("exited", Some("done"));
            note(&cloud, &machine, load, false);
        }
        tally += 1;
        let loads: Vec<Value> = tasks
            .iter()
            .map(|(load, t)| json!({"load": load, "launch": t.0, "status": t.1, "cause": t.2}))
            .collect();
        let heartbeat = json!({"vessel": name, "address": "127.0.0.1:9", "hull": "m4", "quay": machine["quay"],
            "driftwood": machine["driftwood"], "watch": 1, "tally": tally, "helm": helm, "recall_s": null,
            "loads": loads});
        let url = format!("http://{}/checkin", nodes[at % nodes.len()]);
        let answer =
            client.post(url).body(heartbeat.to_string()).timeout(Duration::from_secs(4)).send().await;
        let body: Option<Value> = match answer {
            Ok(answer) if answer.status() == 200 => {
                serde_json::from_slice(&answer.bytes().await.unwrap_or_default()).ok()
            }
            _ => None,
        };
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
                note(cloud, machine, &load, true);
                (launch, "running", None, Instant::now() + Duration::from_millis(runs_ms))
            });
        }
        "stop" => {
            if let Some(task) = tasks.get_mut(&load).filter(|t| t.0 == launch && t.1 != "exited") {
                (task.1, task.2) = ("exited", Some("halted"));
                note(cloud, machine, &load, false);
            }
        }
        _ => tasks.retain(|l, t| *l != load || t.0 != launch || t.1 != "exited"),
    }
}
