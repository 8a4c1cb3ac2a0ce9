//! Starts a controller: sockets, clients, the tasks around the owner of the state.

use super::cloud_driver::keep_catalog;
use super::ignored_frames::FramesIgnored;
use super::Controller;
use crate::api::{self, Api, ApiSettings};
use crate::cloud::Cloud;
use crate::fleet_limits::LimitWarnings;
use crate::http::{Clock, Http};
use crate::leadership::Leadership;
use crate::lease::cancellation_log::CancellationBounds;
use crate::lease::renewal::RenewalCounts;
use crate::lease::shard::Shard;
use crate::limits::{self, Capacity};
use crate::node_events::{Event, Health, Summary, Types};
use crate::peer::{self, Received, RequestIds, Sender};
use crate::scheduler::Config;
use crate::settings::{Operator, Settings};
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::record_versions::RecordVersions;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tracing::info;

#[derive(Debug, Error)]
pub enum ServeError {
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    #[error("the owner of the state ended")]
    Ended,
}

/// Runs a controller until it is killed.
pub fn run(settings: Settings, operator: Operator) -> Result<(), ServeError> {
    let io = |what: &str| {
        let what = what.to_string();
        move |source| ServeError::Io { what, source }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("runtime"))?;
    runtime.block_on(async move {
        let address = settings.public_addr;
        let public = TcpListener::bind(address).await.map_err(io(&format!("public_addr {address}")))?;
        let address = settings.peer_bind;
        let peers = TcpListener::bind(address).await.map_err(io(&format!("peer_bind {address}")))?;
        serve(settings, operator, public, peers).await
    })
}

async fn serve(
    settings: Settings,
    operator: Operator,
    public: TcpListener,
    peers: TcpListener,
) -> Result<(), ServeError> {
    let clock = Clock::start();
    let http = Http::new()?;
    let deployment = settings.deployment.clone();
    let store = KeyValueStore::new(
        http.clone(),
        settings.external.state,
        clock,
        &deployment.state,
        settings.members.len() + 1,
    );
    let cloud = Cloud::new(http.clone(), settings.external.cloud);
    let resources = &deployment.resources;
    let room = Capacity::of(resources.max_sockets, resources.memory_mb);
    let (events, queue) = mpsc::channel(room.queue);
    let (types_to, types) = watch::channel(Types::default());
    let (summary_to, summary) = watch::channel(Summary::default());
    let health = Arc::new(Health::default());
    let names = settings.node_names();
    let me = names.iter().position(|n| *n == settings.node_name).unwrap_or(0);
    let sender = Sender { node: me, incarnation: rand::random() };
    info!(node = settings.node_name, zone = settings.zone, incarnation = sender.incarnation, "started");

    let (frames_to, frames) = mpsc::channel(room.peer_queue);
    tokio::spawn(peer::listen(peers, names.len(), me, frames_to));
    tokio::spawn(forward(frames, events.clone()));
    let mut outgoing = Vec::new();
    for name in &names {
        let member = settings.members.iter().find(|m| m.node_name == *name);
        outgoing.push(member.map(|m| {
            let (to, queue) = mpsc::channel(room.peer_queue);
            tokio::spawn(peer::send_to(m.peer_addr, sender, queue));
            to
        }));
    }
    tokio::spawn(keep_catalog(cloud.clone(), store.clone(), types_to, events.clone()));

    let api = Arc::new(Api::new(
        store.clone(),
        ApiSettings {
            teams: deployment.teams.clone(),
            zones: deployment.zones.clone(),
            draining: operator.draining.clone(),
        },
        types,
        summary,
        events.clone(),
        health.clone(),
        room,
    ));
    let acceptor = poem::listener::TcpAcceptor::from_tokio(public)
        .map_err(|source| ServeError::Io { what: "public_addr".into(), source })?;
    tokio::spawn(async move {
        let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(limits::IDLE_CONNECTION_TIMEOUT);
        if let Err(error) = server.run(api::routes(api)).await {
            tracing::error!(%error, "HTTP server ended");
        }
    });

    let now = clock.now();
    let workers = &deployment.workers;
    let longest_autonomy = limits::longest_autonomy(workers.cancel_s, workers.lease_s);
    let retention = limits::cancellation_retention(workers.cancel_s);
    let bounds = CancellationBounds { longest_autonomy, retention };
    let seed = sender.incarnation;
    let leadership = Leadership::new(names, me, sender.incarnation, now, bounds, seed);
    let controller = Controller {
        config: Config {
            token: 0,
            operator,
            workers: deployment.workers.clone(),
            teams: deployment.teams.clone(),
            zones: deployment.zones.clone(),
            list_lag_s: deployment.cloud.list_lag_s,
            round_steps: limits::MAX_ROUND_STEPS,
            cpu_share: deployment.resources.cpu,
            write_rps: deployment.state.write_rps,
            record_machines: limits::record_machines(deployment.state.value_kb),
            value_most: limits::value_bytes(deployment.state.value_kb),
            rentals_at_once: limits::max_concurrent_rentals(deployment.cloud.rps),
            shard_lease: match settings.members.len() {
                0 => 0,
                _ => longest_autonomy,
            },
        },
        settings,
        clock,
        worker_client: Http::to_many()?,
        direct_command_permits: Arc::new(Semaphore::new(room.direct_commands)),
        store,
        cloud,
        events,
        leadership,
        incarnation: sender.incarnation,
        peer_queues: outgoing,
        scheduler: None,
        epoch_version: 0,
        record_versions: RecordVersions::default(),
        pending_replies: BTreeMap::new(),
        request_ids: RequestIds::of(sender.incarnation),
        frames_ignored: FramesIgnored::default(),
        renewal_counts: RenewalCounts::default(),
        shard: Shard::new(room.shard, sender.incarnation),
        relayed_heartbeats: BTreeMap::new(),
        leadership_tasks: Vec::new(),
        cloud_requests: None,
        summary: summary_to,
        health,
        types: Types::default(),
        recent_heartbeats: VecDeque::new(),
        authority_until: Arc::default(),
        next_summary_at: 0,
        next_usage_log_at: 0,
        limit_warnings: LimitWarnings::default(),
        pending_confirmations: Vec::new(),
    };
    controller.run(queue).await;
    Err(ServeError::Ended)
}

async fn forward(mut frames: mpsc::Receiver<Received>, events: mpsc::Sender<Event>) {
    while let Some(frame) = frames.recv().await {
        if events.send(Event::Peer(frame)).await.is_err() {
            return;
        }
    }
}
