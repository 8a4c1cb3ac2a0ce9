//! What a node serves, in this process: the program's own routes over a stand-in state service. What the owner of the
//! state would answer comes from here, spelled out.

use crate::golden::masked;
use crate::standins::{self, State};
use dockpier::api::{routes, Api, ApiSettings};
use dockpier::fencing_token::FencingToken;
use dockpier::http::{Clock, Http};
use dockpier::lease::renewal::RenewalCounts;
use dockpier::limits::Capacity;
use dockpier::node_events::{Event, FrameCounts, Health, HeartbeatReply, NodeView, Types};
use dockpier::protocol::workers::{HeartbeatRequest, HeartbeatResponse, WorkerCommand};
use dockpier::scheduler::model::{MachineType, Resources};
use dockpier::scheduler::overview::{JobLine, MachineLine, Overview, PageStart};
use dockpier::scheduler::IgnoredHeartbeats;
use dockpier::settings::{Draining, StateLimits, Team};
use dockpier::storage::key_value_store::KeyValueStore;
use poem::listener::TcpAcceptor;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch};

/// A node's routes, and what is around them.
pub struct NodeApi {
    pub state: Arc<Mutex<State>>,
    pub health: Arc<Health>,
    pub types: watch::Sender<Types>,
    address: SocketAddr,
    client: reqwest::Client,
    _summary: watch::Sender<dockpier::node_events::Summary>,
}

impl NodeApi {
    /// A healthy node that knows one type of machine.
    pub async fn start(draining: Draining) -> Self {
        let (state, state_at) = standins::state_service().await;
        let (events, queue) = mpsc::channel(64);
        let (types, types_seen) = watch::channel(machine_types());
        let (summary, summary_seen) = watch::channel(Default::default());
        let health = Arc::new(Health::default());
        health.healthy.store(true, Ordering::Relaxed);
        let settings = ApiSettings { teams: teams(), zones: vec!["a".into(), "b".into()], draining };
        let room = Capacity::of(128, 64.0);
        let api = Api::new(store(state_at), settings, types_seen, summary_seen, events, health.clone(), room);
        tokio::spawn(answer_events(queue));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(routes(Arc::new(api))));
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        NodeApi { state, health, types, address, client, _summary: summary }
    }

    /// A request and its whole answer as text.
    pub async fn ask(&self, method: &str, path: &str, body: &str) -> String {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method.parse().unwrap(), url).body(body.to_string());
        let answer = request.send().await.unwrap();
        let header = |name: &str| {
            let value = answer.headers().get(name).map(|value| value.to_str().unwrap());
            value.map(|value| format!("{name}: {value}\n")).unwrap_or_default()
        };
        let head = format!("{}{}{}", header("allow"), header("content-type"), header("retry-after"));
        let status = answer.status().as_u16();
        let text = String::from_utf8(answer.bytes().await.unwrap().to_vec()).unwrap();
        let asked = format!("> {method} {path} {body:.400}");
        masked(&format!("{}\n< {status}\n{head}{text}\n\n", asked.trim_end()), &[])
    }

    /// Puts a value into the state service.
    pub fn keep(&self, key: &str, value: impl serde::Serialize) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = serde_json::to_value(value).unwrap();
        state.keys.insert(key.to_string(), (value, revision, None));
    }

    /// What the state service has, a key a line.
    pub fn kept(&self) -> String {
        let state = self.state.lock().unwrap();
        let line = |(key, (value, ..)): (&String, &(serde_json::Value, u64, Option<u64>))| {
            format!("{key} {value}\n")
        };
        masked(&state.keys.iter().map(line).collect::<String>(), &[])
    }
}

/// A client of the state service with limits that no test reaches.
pub fn store(address: SocketAddr) -> KeyValueStore {
    let limits = StateLimits { rps: 10_000.0, write_rps: 10_000.0, value_kb: 8.0, txn_ops: 8, next: None };
    KeyValueStore::new(Http::new().unwrap(), address, Clock::start(), &limits, 1)
}

fn teams() -> Vec<Team> {
    let team =
        |name: &str, gpus_max| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max };
    vec![team("vision", 8.0), team("speech", 0.0)]
}

/// The one type that there is.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        capacity: Resources::rounded_down(32.0, 8.0, 256.0),
        price: 12.0,
        spot_price: Some(3.6),
        boot_s: 60.0,
        fetch_gb_per_s: 1.5,
        zones: vec!["a".into(), "b".into()],
    }
}

fn machine_types() -> Types {
    Arc::new([("g8".to_string(), machine_type())].into())
}

async fn answer_events(mut queue: mpsc::Receiver<Event>) {
    while let Some(event) = queue.recv().await {
        // Whoever asked may have gone.
        match event {
            Event::Overview(start, to) => drop(to.send(node_view(&start))),
            Event::Heartbeat(checkin, to) => drop(to.send(checkin_reply(&checkin))),
            Event::Cancelled(_, _, to) => drop(to.send(())),
            _ => {}
        }
    }
}

/// A leader's page that says where it was asked to begin; a page that begins after job `follower` is another node's.
fn node_view(start: &PageStart) -> NodeView {
    let follows = start.after_job.as_deref() == Some("follower");
    NodeView {
        node: "berth-2".into(),
        leader: (!follows).then(|| "berth-2".into()),
        token: FencingToken(41),
        renewals: RenewalCounts::default(),
        frames_ignored: FrameCounts::default(),
        scheduler: (!follows).then(|| overview(start)),
    }
}

fn overview(start: &PageStart) -> Overview {
    let named = |name: &Option<String>| name.clone().unwrap_or_else(|| "the beginning".into());
    let asked = format!("after {} and {}", named(&start.after_job), named(&start.after_machine));
    let job = JobLine {
        job: "job-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        priority: "high".into(),
        placed: 1,
        waiting: 2,
        done: 3,
        waits_for: "room",
    };
    let machine = MachineLine {
        machine: "m-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        phase: "up".into(),
        tasks: 4,
        leaving: true,
    };
    Overview {
        jobs: vec![job],
        more_jobs: 5,
        machines: vec![machine],
        more_machines: 6,
        decisions: vec![asked, "7 s into token 41: something was \"decided\"".into()],
        ignored_heartbeats: IgnoredHeartbeats { overtaken: 7, stale: 8 },
    }
}

/// By the machine's name: orders, another node, no node, or a refusal.
fn checkin_reply(checkin: &HeartbeatRequest) -> HeartbeatReply {
    let task = || "job-000412/3".to_string();
    match checkin.machine.as_str() {
        "m-000001" => HeartbeatReply::Accepted(HeartbeatResponse {
            token: FencingToken(41),
            commands: vec![
                WorkerCommand::Start { task: task(), attempt: 6 },
                WorkerCommand::Stop { task: task(), attempt: 5, grace_s: 4.5 },
                WorkerCommand::Forget { task: task(), attempt: 4 },
            ],
        }),
        "m-000002" => HeartbeatReply::Redirected(Some("berth-1".into())),
        "m-000003" => HeartbeatReply::Redirected(None),
        _ => HeartbeatReply::Malformed,
    }
}
