//! The HTTP interface by itself, on loopback: stand-ins for the owner of the state, which answers check-ins as it is
//! told, and for the state service.

use crate::wire::{ask, Message, StandIn};
use crate::{spell, worker_orders};
use dockpier::api::{routes, Api, ApiSettings};
use dockpier::http::{Clock, Http};
use dockpier::limits::Capacity;
use dockpier::node_events::{Event, Health, HeartbeatReply, Summary, Types};
use dockpier::scheduler::model::{Heartbeat, JobId, MachineType, Resources, TaskCounts};
use dockpier::settings::{Draining, StateLimits, Team};
use dockpier::storage::key_value_store::KeyValueStore;
use poem::listener::TcpAcceptor;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch};

/// What the owner of the state says to check-ins.
#[derive(Clone, Copy)]
pub enum Owner {
    /// The signals on the protocol's page.
    Leads,
    /// It leads and has nothing to say.
    LeadsCalmly,
    /// Another node leads.
    KnowsLeader,
    /// Nobody is known to lead.
    KnowsNoLeader,
    /// A task in the report can't be read.
    Refuses,
    /// No answer, and no word to users on cancellations.
    Silent,
    /// It is gone.
    Gone,
}

/// How the interface is set up.
pub struct Setup {
    pub owner: Owner,
    pub healthy: bool,
    pub cut_off: bool,
    /// Whether the machine types are known.
    pub types: bool,
    /// Requests a second, and puts and deletes, that the state service takes.
    pub state_rps: (f64, f64),
    pub value_kb: f64,
    /// Turns of users who change something, and of polls.
    pub turns: (usize, usize),
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            owner: Owner::LeadsCalmly,
            healthy: true,
            cut_off: false,
            types: true,
            state_rps: (1_000.0, 500.0),
            value_kb: 8.0,
            turns: (8, 8),
        }
    }
}

/// A running interface.
pub struct Edge {
    pub address: SocketAddr,
    pub state: StandIn,
    /// The reports that came through, spelled.
    pub reports: Arc<Mutex<Vec<String>>>,
}

/// Answers of the state service by the beginning of the request's line; what is not listed is an empty store.
pub type Script = &'static [(&'static str, u16, &'static str)];

/// What an empty store answers.
const EMPTY: Script = &[
    ("GET /store?", 200, r#"{"items":[],"has_next":false,"ledger":1}"#),
    ("GET /follow?", 200, r#"{"ledger":1,"events":[]}"#),
    ("GET /store/", 404, r#"{"ledger":1}"#),
    ("POST /multi", 200, r#"{"ledger":2}"#),
];

impl Edge {
    /// Starts it over a state service that answers by this script.
    pub async fn start(setup: Setup, script: Script) -> Edge {
        let state = StandIn::start(move |request| {
            let line = request.first_line();
            let mut answers = script.iter().chain(EMPTY);
            let (_, status, body) = answers.find(|(begins, ..)| line.starts_with(begins)).unwrap();
            (*status, body.to_string())
        })
        .await;
        Edge::over(setup, state).await
    }

    /// Starts it over this state service.
    pub async fn over(setup: Setup, state: StandIn) -> Edge {
        let (events, queue) = mpsc::channel(64);
        let reports = Arc::default();
        tokio::spawn(own(setup.owner, queue, Arc::clone(&reports)));
        let (rps, write_rps) = setup.state_rps;
        let limits = StateLimits { rps, write_rps, value_kb: setup.value_kb, txn_ops: 8, next: None };
        let store = KeyValueStore::new(Http::new().unwrap(), state.address, Clock::start(), &limits, 3);
        let health = Arc::new(Health::default());
        health.healthy.store(setup.healthy, Ordering::Relaxed);
        health.cut_off.store(setup.cut_off, Ordering::Relaxed);
        let types = if setup.types { machine_types() } else { Types::default() };
        let (changes, polls) = setup.turns;
        let room =
            Capacity { concurrent_changes: changes, concurrent_polls: polls, ..Capacity::of(4_096, 256.0) };
        let summary: Summary = Arc::new(
            [
                (JobId(412), TaskCounts { succeeded: 3, running: 13 }),
                (JobId(413), TaskCounts { succeeded: 0, running: 0 }),
            ]
            .into(),
        );
        let (types, summary) = (watch::channel(types).1, watch::channel(summary).1);
        let api = Api::new(store, api_settings(), types, summary, events, health, room);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(routes(Arc::new(api))));
        Edge { address, state, reports }
    }

    /// The whole answer to a request.
    pub async fn answer(&self, line: &str, body: &str) -> String {
        ask(self.address, line, body).await.text()
    }

    /// The bodies of the transactions that were sent, the time of acceptance aside.
    pub fn transactions(&self) -> String {
        let asked = self.state.asked();
        let transactions = asked.iter().filter(|request| request.first_line().starts_with("POST /multi"));
        transactions.map(without_time).collect::<Vec<_>>().join("\n")
    }
}

fn without_time(request: &Message) -> String {
    let Some((before, after)) = request.body.split_once("\"accepted_ms\":") else {
        return request.body.clone();
    };
    format!("{before}\"accepted_ms\":TIME{}", after.trim_start_matches(|c: char| c.is_ascii_digit()))
}

fn machine_types() -> Types {
    let g8 = MachineType {
        name: "g8".into(),
        capacity: Resources::rounded_down(96.0, 8.0, 768.0),
        price: 12.0,
        spot_price: Some(4.5),
        boot_s: 45.0,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into(), "b".into()],
    };
    Arc::new([("g8".to_string(), g8)].into())
}

fn api_settings() -> ApiSettings {
    let vision = Team { name: "vision".into(), cpus: 8.0, cpus_max: 64.0, gpus: 1.0, gpus_max: 8.0 };
    let free = Team { name: "free".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let zones = vec!["a".into(), "b".into()];
    ApiSettings { teams: vec![vision, free], zones, draining: Draining::default() }
}

/// The stand-in for the owner of the state.
async fn own(owner: Owner, mut queue: mpsc::Receiver<Event>, reports: Arc<Mutex<Vec<String>>>) {
    if matches!(owner, Owner::Gone) {
        return;
    }
    while let Some(event) = queue.recv().await {
        match event {
            Event::Heartbeat(checkin, to) => {
                let report = Heartbeat::try_from(checkin);
                reports.lock().unwrap().extend(report.as_ref().map(spell::report));
                if let Some(reply) = reply(owner) {
                    let _ = to.send(reply);
                }
            }
            Event::Cancelled(_, _, to) if !matches!(owner, Owner::Silent) => drop(to.send(())),
            _ => {}
        }
    }
}

fn reply(owner: Owner) -> Option<HeartbeatReply> {
    match owner {
        Owner::Leads => Some(HeartbeatReply::Accepted(worker_orders::answer(41, &worker_orders::orders()))),
        Owner::LeadsCalmly => Some(HeartbeatReply::Accepted(worker_orders::answer(41, &[]))),
        Owner::KnowsLeader => Some(HeartbeatReply::Redirected(Some("berth-2".into()))),
        Owner::KnowsNoLeader => Some(HeartbeatReply::Redirected(None)),
        Owner::Refuses => Some(HeartbeatReply::Malformed),
        Owner::Silent | Owner::Gone => None,
    }
}
