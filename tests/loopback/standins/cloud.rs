//! The cloud: a catalog of one machine type, rentals by name, deletions, and the records of what the workers did.

use super::{listen, reply};
use poem::web::{Data, Json, Query};
use poem::{get, handler, post, EndpointExt, Response, Route, Server};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

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
    /// Where the workers take direct commands; None: nowhere.
    pub direct_commands_at: Option<SocketAddr>,
    /// Direct commands that arrived there.
    pub direct_commands: Vec<Value>,
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
    /// The attempt of the task.
    pub launch: u64,
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
            direct_commands_at: None,
            direct_commands: Vec::new(),
            seen: Vec::new(),
            made: 0,
        }
    }
}

impl CloudState {
    /// The machine is gone with everything on it, which the records say at once: while its worker noted that in its own
    /// time, up to 50 ms later, a task that was started elsewhere on the cloud's word seemed to run twice.
    pub fn end_all(&mut self, machine: &str) {
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

pub type Cloud = Arc<Mutex<CloudState>>;

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
