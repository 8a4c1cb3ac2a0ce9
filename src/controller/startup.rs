//! Starts a controller: sockets, clients, the tasks around the controller, and the controller itself.

use super::cloud_driver::keep_catalog;
use super::health::Publication;
use super::heartbeat_routing::HeartbeatRouting;
use super::peer_links::PeerLinks;
use super::{Clients, Controller, LeadershipTerm};
use crate::api::{self, Api, ApiSettings};
use crate::cloud::Cloud;
use crate::fencing_token::FencingToken;
use crate::http::{Clock, Http};
use crate::leadership::Leadership;
use crate::lease::cancellation_log::CancellationBounds;
use crate::limits::{self, Capacity};
use crate::node_events::{Event, Health, Summary, Types};
use crate::peer::{self, Payload, Received, Sender};
use crate::scheduler::Config;
use crate::settings::{Operator, Settings};
use crate::storage::key_value_store::KeyValueStore;
use crate::time::Timestamp;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tracing::info;

/// Why a controller did not start, or ended.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A socket or the runtime could not be set up.
    #[error("{what}: {source}")]
    Io {
        /// The setting or the part that it was for.
        what: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The HTTP client could not be built.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The controller ended by itself, which it never should.
    #[error("the owner of the state ended")]
    Ended,
}

/// The sockets that this node listens on.
struct Sockets {
    public: TcpListener,
    peers: TcpListener,
}

/// Runs a controller until it is killed.
///
/// # Errors
/// It could not be started; the message names the setting.
pub fn run(settings: Settings, operator: Operator) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ServeError::Io { what: "runtime".to_string(), source })?;
    runtime.block_on(async move {
        let sockets = bind(&settings).await?;
        serve(settings, operator, sockets).await
    })
}

async fn bind(settings: &Settings) -> Result<Sockets, ServeError> {
    let io = |what: String| move |source| ServeError::Io { what, source };
    let address = settings.public_addr;
    let public = TcpListener::bind(address).await.map_err(io(format!("public_addr {address}")))?;
    let address = settings.peer_bind;
    let peers = TcpListener::bind(address).await.map_err(io(format!("peer_bind {address}")))?;
    Ok(Sockets { public, peers })
}

/// Starts everything and runs the controller. Long because every channel is made here, where both of its ends can be
/// seen.
async fn serve(settings: Settings, operator: Operator, sockets: Sockets) -> Result<(), ServeError> {
    let clock = Clock::start();
    let resources = &settings.deployment.resources;
    let capacity = Capacity::of(resources.max_sockets, resources.memory_mb);
    let clients = clients(&settings, clock, capacity)?;
    // The controller's queue: filled by the API, the peers' frames and the tasks of this process. When it is full,
    // the API refuses requests, and tasks wait.
    let (events, queue) = mpsc::channel(capacity.event_queue);
    let (types_sender, types) = watch::channel(Types::default());
    let (summary_sender, summary) = watch::channel(Summary::default());
    let health = Arc::new(Health::default());
    let names = settings.node_names();
    let local_node = names.iter().position(|name| *name == settings.node_name).unwrap_or(0);
    let sender = Sender { node: local_node, incarnation: rand::random() };
    info!(node = settings.node_name, zone = settings.zone, incarnation = sender.incarnation, "started");

    // The tasks of this process. They end with this function: the set aborts them when it is dropped.
    let mut tasks = JoinSet::new();
    let links = spawn_peer_tasks(&mut tasks, &settings, sockets.peers, sender, capacity, &events);
    tasks.spawn(keep_catalog(clients.cloud.clone(), clients.store.clone(), types_sender, events.clone()));
    let api = Api::new(
        clients.store.clone(),
        api_settings(&settings, &operator),
        types,
        summary,
        events.clone(),
        health.clone(),
        capacity,
    );
    spawn_http_server(&mut tasks, sockets.public, api)?;

    let config = scheduler_config(&settings, operator);
    let controller = Controller {
        leadership: leadership(&settings, sender, clock.now()),
        config,
        settings,
        clock,
        clients,
        events,
        incarnation: sender.incarnation,
        types: Types::default(),
        peers: links,
        scheduler: None,
        term: LeadershipTerm::default(),
        authority_until: Arc::default(),
        routing: HeartbeatRouting::new(capacity.cached_heartbeats, sender.incarnation),
        publication: Publication::new(summary_sender, health),
        pending_confirmations: Vec::new(),
    };
    controller.run(queue).await;
    Err(ServeError::Ended)
}

fn clients(settings: &Settings, clock: Clock, capacity: Capacity) -> Result<Clients, ServeError> {
    let http = Http::new()?;
    let nodes = settings.members.len() + 1;
    let limits = &settings.deployment.state;
    Ok(Clients {
        store: KeyValueStore::new(http.clone(), settings.external.state, clock, limits, nodes),
        cloud: Cloud::new(http, settings.external.cloud),
        workers: Http::to_many()?,
        direct_command_permits: Arc::new(Semaphore::new(capacity.direct_commands)),
    })
}

/// Starts the listener for peers' frames and a sender to each member.
fn spawn_peer_tasks(
    tasks: &mut JoinSet<()>,
    settings: &Settings,
    socket: TcpListener,
    sender: Sender,
    capacity: Capacity,
    events: &mpsc::Sender<Event>,
) -> PeerLinks {
    let names = settings.node_names();
    // Filled by the connections of all peers. When it is full, they are read no further.
    let (frames_sender, frames) = mpsc::channel(capacity.peer_frame_queue);
    tasks.spawn(peer::listen(socket, names.len(), sender.node, frames_sender));
    tasks.spawn(forward_frames(frames, events.clone()));
    let mut queues: Vec<Option<mpsc::Sender<Payload>>> = Vec::new();
    for name in &names {
        let member = settings.members.iter().find(|member| member.node_name == *name);
        queues.push(member.map(|member| {
            let (frames, queue) = mpsc::channel(capacity.peer_frame_queue);
            tasks.spawn(peer::send_to(member.peer_addr, sender, queue));
            frames
        }));
    }
    PeerLinks::new(queues)
}

async fn forward_frames(mut frames: mpsc::Receiver<Received>, events: mpsc::Sender<Event>) {
    while let Some(frame) = frames.recv().await {
        if events.send(Event::Peer(frame)).await.is_err() {
            return;
        }
    }
}

fn api_settings(settings: &Settings, operator: &Operator) -> ApiSettings {
    ApiSettings {
        teams: settings.deployment.teams.clone(),
        zones: settings.deployment.zones.clone(),
        draining: operator.draining.clone(),
    }
}

fn spawn_http_server(tasks: &mut JoinSet<()>, socket: TcpListener, api: Api) -> Result<(), ServeError> {
    let acceptor = poem::listener::TcpAcceptor::from_tokio(socket)
        .map_err(|source| ServeError::Io { what: "public_addr".into(), source })?;
    let routes = api::routes(Arc::new(api));
    tasks.spawn(async move {
        let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(limits::IDLE_CONNECTION_TIMEOUT);
        if let Err(error) = server.run(routes).await {
            tracing::error!(%error, "HTTP server ended");
        }
    });
    Ok(())
}

fn leadership(settings: &Settings, sender: Sender, now: Timestamp) -> Leadership {
    let workers = &settings.deployment.workers;
    let longest_autonomy = limits::longest_autonomy(workers.cancel_s, workers.lease_s);
    let retention = limits::cancellation_retention(workers.cancel_s);
    let (names, incarnation) = (settings.node_names(), sender.incarnation);
    let seed = incarnation;
    let start_promise = limits::start_promise(workers.cancel_s, workers.lease_s);
    let bounds = CancellationBounds { longest_autonomy, start_promise, retention };
    Leadership::new(names, sender.node, incarnation, now, bounds, seed)
}

/// The scheduler's configuration, before the first leadership.
fn scheduler_config(settings: &Settings, operator: Operator) -> Config {
    let deployment = &settings.deployment;
    let workers = &deployment.workers;
    // A node without peers has no leaseholders.
    let shard_lease = match settings.members.len() {
        0 => Duration::ZERO,
        _ => limits::longest_autonomy(workers.cancel_s, workers.lease_s),
    };
    Config {
        token: FencingToken::NONE,
        operator,
        workers: workers.clone(),
        teams: deployment.teams.clone(),
        zones: deployment.zones.clone(),
        list_lag_s: deployment.cloud.list_lag_s,
        max_round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: deployment.resources.cpu,
        write_rps: deployment.state.write_rps,
        max_machines_per_record: limits::machines_per_record(deployment.state.value_kb),
        max_value_bytes: limits::value_bytes(deployment.state.value_kb),
        max_concurrent_rentals: limits::max_concurrent_rentals(deployment.cloud.rps),
        shard_lease,
    }
}
