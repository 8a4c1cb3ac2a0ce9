//! Wires everything up: the queue of events into leadership and core, their effects out.

use crate::api::{self, Api, Health, Summary, Types};
use crate::blocks::{Block, BlockHeartbeat};
use crate::cloud::{self, Cloud};
use crate::core::model::{JobId, Report};
use crate::core::{Command, Config, Core, Effect, Order, Outcome, StoredJob, StoredMachine};
use crate::http::{wall_ms, Clock, Http};
use crate::leadership::{Action, Leadership, Status, StoreAnswer};
use crate::limits::{self, Capacity};
use crate::live::Reading;
use crate::peer::{self, Payload, Received, Sender};
use crate::protocol::cloud::{Catalog, RentalRequest};
use crate::protocol::records::{Epoch, FinalRecord, LiveRecord, MachineRecord};
use crate::protocol::state_service::{Change, Record};
use crate::protocol::users::JobStatus;
use crate::protocol::workers::{Checkin, CheckinAnswer, DirectCommands, WorkerCommand};
use crate::record_versions::RecordVersions;
use crate::settings::{Operator, Settings};
use crate::store::{self, Committed, Store};
use crate::worker;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tracing::{debug, info, warn};

#[derive(Debug, Error)]
pub enum ServeError {
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    #[error("the owner of the state ended")]
    Ended,
}

pub enum CheckinReply {
    Orders(CheckinAnswer),
    Elsewhere(Option<String>),
    Malformed,
}

/// Who leads, and what the leader sees; empty on the others.
#[derive(serde::Serialize)]
pub struct NodeView {
    pub node: String,
    pub leader: Option<String>,
    pub token: u64,
    #[serde(flatten)]
    pub core: Option<crate::core::overview::Overview>,
}

/// Where the answer to a check-in goes.
enum ReplyTo {
    /// With the stops that it must not leave without.
    Worker(oneshot::Sender<CheckinReply>, Vec<Order>),
    /// To the lessee that passed it on, under its number.
    Lessee(usize, u64),
}

/// A report on its way to the leader.
struct PassedOn {
    to: oneshot::Sender<CheckinReply>,
    report: Report,
    sent: u64,
}

pub enum Event {
    Overview(oneshot::Sender<NodeView>),
    Checkin(Checkin, oneshot::Sender<CheckinReply>),
    Peer(Received),
    /// The live jobs were read.
    Live(Reading),
    /// A user is to be told that the job is cancelled; the answer is whether that may be told now.
    Cancelled(JobId, oneshot::Sender<bool>),
    Store(StoreAnswer),
    /// For the core of this token, and no other.
    Core(u64, Command),
    Types(Types),
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
    let store = Store::new(
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
        deployment.teams.clone(),
        types,
        summary,
        events.clone(),
        health.clone(),
        room,
    ));
    let acceptor = poem::listener::TcpAcceptor::from_tokio(public)
        .map_err(|source| ServeError::Io { what: "public_addr".into(), source })?;
    tokio::spawn(async move {
        let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(limits::IDLE_CONNECTION);
        if let Err(error) = server.run(api::routes(api)).await {
            tracing::error!(%error, "HTTP server ended");
        }
    });

    let now = clock.now();
    let workers = &deployment.workers;
    let longest_autonomy = limits::longest_autonomy(workers.cancel_s, workers.lease_s);
    let (seed, kept) = (sender.incarnation, limits::cancelled_kept(workers.cancel_s));
    let leadership = Leadership::new(names, me, sender.incarnation, now, (longest_autonomy, kept), seed);
    let hub = Hub {
        config: Config {
            token: 0,
            operator,
            workers: deployment.workers.clone(),
            teams: deployment.teams.clone(),
            zones: deployment.zones.clone(),
            list_lag_s: deployment.cloud.list_lag_s,
            round_steps: limits::ROUND_STEPS,
            cpu_share: deployment.resources.cpu,
            write_rps: deployment.state.write_rps,
            record_machines: limits::record_machines(deployment.state.value_kb),
            rentals_at_once: limits::rentals_at_once(deployment.cloud.rps),
            block_lease: match settings.members.len() {
                0 => 0,
                _ => longest_autonomy,
            },
        },
        settings,
        clock,
        workers: Http::to_many()?,
        orders: Arc::new(Semaphore::new(room.orders)),
        store,
        cloud,
        events,
        leadership,
        incarnation: sender.incarnation,
        outgoing,
        core: None,
        version: 0,
        versions: RecordVersions::default(),
        replies: BTreeMap::new(),
        next_reply: 0,
        block: Block::new(room.block),
        passed_on: BTreeMap::new(),
        leading: Vec::new(),
        cloud_queue: None,
        summary: summary_to,
        health,
        types: Types::default(),
        checkins: VecDeque::new(),
        acts_until: Arc::default(),
        summary_due: 0,
        report_due: 0,
        confirming: Vec::new(),
    };
    hub.run(queue).await;
    Err(ServeError::Ended)
}

async fn forward(mut frames: mpsc::Receiver<Received>, events: mpsc::Sender<Event>) {
    while let Some(frame) = frames.recv().await {
        if events.send(Event::Peer(frame)).await.is_err() {
            return;
        }
    }
}

/// Keeps the machine types known: from the state service at first, so that a node need not wait for
/// the cloud, then from the cloud.
async fn keep_catalog(cloud: Cloud, store: Store, types: watch::Sender<Types>, events: mpsc::Sender<Event>) {
    let publish = |catalog: &Catalog| {
        let by_name = cloud::types(catalog).into_iter().map(|t| (t.name.clone(), t)).collect();
        let known: Types = Arc::new(by_name);
        types.send_replace(known.clone());
        Event::Types(known)
    };
    let stored = store.get(store::CATALOG, limits::STATE_TIMEOUT).await;
    let mut kept = false;
    if let Ok(Some((value, _))) = &stored {
        if let Ok(catalog) = serde_json::from_value(value.clone()) {
            kept = true;
            let _ = events.send(publish(&catalog)).await;
        }
    }
    loop {
        let Some(catalog) = cloud.catalog().await else {
            let pause = rand::random_range(1_500..3_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            continue;
        };
        if events.send(publish(&catalog)).await.is_err() {
            return;
        }
        if !kept {
            // Whoever comes first; losing the race changes nothing.
            if let Ok(change) = store::write(store::CATALOG, &catalog) {
                let outcome = store.commit(vec![store::compare(store::CATALOG, 0)], vec![change]).await;
                kept = matches!(outcome, Committed::Done { .. } | Committed::Conflict);
            }
        }
        tokio::time::sleep(limits::CATALOG_EVERY).await;
    }
}

/// Asked right before bytes leave: a process may stand still for half a minute anywhere, and what it had in
/// hand then is a deposed leader's.
#[derive(Clone)]
struct Gate {
    clock: Clock,
    until: Arc<AtomicU64>,
}

impl Gate {
    fn open(&self) -> bool {
        self.clock.now() < self.until.load(Ordering::Relaxed)
    }
}

enum CloudRequest {
    Rent { request: u64, machine_type: String, zone: String, spot: bool, count: u32 },
    Delete(Vec<String>),
}

/// The one owner of this process's state.
struct Hub {
    config: Config,
    settings: Settings,
    clock: Clock,
    /// For commands to workers' addresses.
    workers: Http,
    orders: Arc<Semaphore>,
    store: Store,
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    leadership: Leadership,
    incarnation: u64,
    outgoing: Vec<Option<mpsc::Sender<Payload>>>,
    core: Option<Core>,
    /// Version of the epoch that every transaction of this leader rests on.
    version: u64,
    versions: RecordVersions,
    replies: BTreeMap<u64, ReplyTo>,
    next_reply: u64,
    /// The workers that report here while another node leads.
    block: Block,
    passed_on: BTreeMap<u64, PassedOn>,
    /// Tasks that only run while this node leads.
    leading: Vec<JoinHandle<()>>,
    cloud_queue: Option<mpsc::UnboundedSender<CloudRequest>>,
    summary: watch::Sender<Summary>,
    health: Arc<Health>,
    types: Types,
    /// When workers checked in lately.
    checkins: VecDeque<u64>,
    /// Until when rentals, deletions and orders may leave.
    acts_until: Arc<AtomicU64>,
    summary_due: u64,
    report_due: u64,
    /// Cancellations that members must hold before they are told.
    confirming: Vec<(JobId, oneshot::Sender<bool>)>,
}

impl Hub {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut batch = Vec::with_capacity(limits::BATCH);
        loop {
            let wait = Duration::from_millis(100);
            // A timeout is a tick without news.
            let _ = tokio::time::timeout(wait, queue.recv_many(&mut batch, limits::BATCH)).await;
            self.turn(std::mem::take(&mut batch));
        }
    }

    fn status(&mut self, now: u64) -> Status {
        let window = limits::reach_window(self.config.workers.report_s);
        while self.checkins.front().is_some_and(|at| at + window < now) {
            self.checkins.pop_front();
        }
        Status {
            state_age: now.saturating_sub(self.store.answered()),
            workers: self.checkins.len() as u32,
            machines: self.core.as_ref().map_or(0, Core::machines_up),
            attests: true,
        }
    }

    fn turn(&mut self, batch: Vec<Event>) {
        let now = self.clock.now();
        let mut commands = Vec::new();
        let mut checkins = Vec::new();
        for event in batch {
            match event {
                Event::Checkin(checkin, to) => checkins.push((checkin, to)),
                Event::Overview(to) => {
                    let node = self.settings.node_name.clone();
                    let leads = self.leadership.is_leader();
                    let leader = self.leadership.leader_name(now).map(str::to_string);
                    let view = NodeView {
                        leader: if leads { Some(node.clone()) } else { leader },
                        node,
                        token: self.config.token,
                        core: self.core.as_ref().map(Core::overview),
                    };
                    let _ = to.send(view);
                }
                Event::Peer(Received {
                    from,
                    incarnation,
                    payload: Payload::Leadership(status, message),
                }) => {
                    let actions = self.leadership.message(now, from, incarnation, status, message);
                    self.act(actions);
                }
                Event::Peer(Received { from, incarnation, payload: Payload::Attestation(attestation) }) => {
                    let (over, actions) = self.leadership.attested(now, from, incarnation, &attestation);
                    self.act(actions);
                    commands.extend(over.into_iter().map(Command::JobRemoved));
                }
                Event::Live(Reading { sent, whole, added, removed }) => {
                    let over = self.leadership.cancellations.read(now, sent, whole, &added, &removed);
                    commands.extend(over.into_iter().map(Command::JobRemoved));
                }
                Event::Cancelled(job_id, to) => {
                    let (news, _, actions) = self.leadership.confirm(now, job_id);
                    self.act(actions);
                    if news {
                        commands.push(Command::JobRemoved(job_id));
                    }
                    self.confirming.push((job_id, to));
                }
                Event::Peer(Received { payload: Payload::Summary(lines), .. }) => {
                    if !self.leadership.is_leader() {
                        let lines = lines.into_iter().map(|(u, d, r)| (JobId(u), (d, r))).collect();
                        self.summary.send_replace(Arc::new(lines));
                    }
                }
                Event::Peer(Received { from, payload, .. }) => {
                    self.block_frame(now, from, payload, &mut commands)
                }
                Event::Store(answer) => {
                    let actions = self.leadership.store(now, answer);
                    self.act(actions);
                }
                Event::Core(token, command) => {
                    if token == self.config.token {
                        commands.extend(self.unless_over(command));
                    }
                }
                Event::Types(types) => {
                    commands.push(Command::Types(types.values().cloned().collect()));
                    self.types = types;
                }
            }
        }
        let status = self.status(now);
        let actions = self.leadership.tick(now, status);
        self.act(actions);
        self.acts_until.store(self.leadership.acts_until(now).0, Ordering::Relaxed);
        self.judge_health(now);
        self.tell_confirmed(now);
        for (checkin, to) in checkins {
            self.checkin(now, checkin, to, &mut commands);
        }
        self.step(now, commands);
        self.keep_block(now);
    }

    // ---- cancellations ----

    /// What the state service says of a job may come later than a member's word that it is cancelled.
    fn unless_over(&self, command: Command) -> Option<Command> {
        let cancellations = &self.leadership.cancellations;
        match command {
            Command::JobAdded(job) if cancellations.is_over(job.spec.job_id) => None,
            Command::Load { mut jobs, records } => {
                jobs.retain(|job| !cancellations.is_over(job.spec.job_id));
                Some(Command::Load { jobs, records })
            }
            command => Some(command),
        }
    }

    /// Answers those who want to tell a user of a cancellation, as soon as it may be told.
    fn tell_confirmed(&mut self, now: u64) {
        for (job_id, to) in std::mem::take(&mut self.confirming) {
            let (_, may) = self.leadership.cancellations.confirm(now, job_id);
            if may {
                let _ = to.send(true);
            } else if !to.is_closed() {
                self.confirming.push((job_id, to));
            }
        }
    }

    /// An answer of this node's own that keeps a worker alive: the stops that it bears, or None if it may not.
    fn keeps(&self, now: u64, report: &Report) -> Option<Vec<Order>> {
        let cancellations = &self.leadership.cancellations;
        (now + limits::GUARD < cancellations.keeps_until()).then(|| cancellations.stops(report)).flatten()
    }

    // ---- blocks ----

    fn send(&self, node: usize, payload: Payload) -> bool {
        // A full queue means a peer that does not answer; later frames make up for this one.
        self.outgoing.get(node).is_some_and(|to| to.as_ref().is_some_and(|to| to.try_send(payload).is_ok()))
    }

    /// A frame of the leader's to a lessee, or of a lessee's to the leader.
    fn block_frame(&mut self, now: u64, from: usize, payload: Payload, commands: &mut Vec<Command>) {
        let leads = self.leadership.authority(now).is_some() && self.core.is_some();
        // Stamps of other leaders' heartbeats lie outside every window: clocks start at random points.
        let fresh = |stamp: u64| stamp <= now && now < stamp + limits::RELAY_FRESH;
        match payload {
            Payload::Report { id, stamp, report } => {
                if !leads || !fresh(stamp) || now >= self.leadership.cancellations.keeps_until() {
                    // A lease keeper keeps workers alive whichever way they come.
                    let care = self.leadership.lease_keeper(now).zip(self.keeps(now, &report));
                    let (token, orders) = care.unzip();
                    let orders = orders.unwrap_or_default();
                    self.send(from, Payload::Reply { id, token, keep: false, orders });
                    return;
                }
                self.checkins.push_back(now);
                self.next_reply += 1;
                self.replies.insert(self.next_reply, ReplyTo::Lessee(from, id));
                commands.push(Command::Checkin { reply: self.next_reply, report, via: Some(from) });
            }
            Payload::Heard { id, stamp, whole, fresh: anew, machines } if leads && fresh(stamp) => {
                self.checkins.push_back(now);
                let covers = whole.then_some(stamp);
                commands.push(Command::Heard { node: from, machines, covers, fresh: anew });
                let lease_ms = (self.leadership.block_lease(now) / 1_000) as u32;
                self.send(from, Payload::Confirmed { id, lease_ms });
            }
            Payload::Reply { id, token, keep, orders } => {
                let Some(PassedOn { to, report, .. }) = self.passed_on.remove(&id) else { return };
                let reply = match token {
                    Some(token) => {
                        let orders = self.leadership.cancellations.with_stops(orders, &report);
                        self.block.passed(now, report, token, keep);
                        CheckinReply::Orders(CheckinAnswer::new(token, &orders))
                    }
                    None => CheckinReply::Elsewhere(None),
                };
                let _ = to.send(reply);
            }
            Payload::Wake(machines) => self.block.wake(&machines),
            Payload::Confirmed { id, lease_ms } => {
                self.block.confirmed(id, (u64::from(lease_ms) * 1_000).min(self.config.block_lease));
            }
            _ => {}
        }
    }

    /// What a lessee does as time passes: tells the leader whom it answered, and gives up waiting for it.
    fn keep_block(&mut self, now: u64) {
        let followed = self.leadership.followed(now);
        if let Some((leader, token, stamp)) = followed {
            self.block.follow(token);
            if let Some(BlockHeartbeat { id, whole, fresh, machines }) = self.block.tell(now) {
                self.send(leader, Payload::Heard { id, stamp, whole, fresh, machines });
            }
        }
        while let Some(entry) = self.passed_on.first_entry() {
            if now < entry.get().sent + limits::RELAY_PATIENCE {
                return;
            }
            let PassedOn { to, report, .. } = entry.remove();
            let reply = self.holds(now, &report, false);
            let _ = to.send(reply.unwrap_or(CheckinReply::Elsewhere(None)));
        }
    }

    /// The answer of this node as a lessee, if it may answer by itself.
    fn holds(&mut self, now: u64, report: &Report, leader_heard: bool) -> Option<CheckinReply> {
        let stops = self.keeps(now, report)?;
        let token = self.block.answers(now, report, leader_heard)?;
        Some(CheckinReply::Orders(CheckinAnswer::new(token, &stops)))
    }

    /// A check-in at a node that does not lead: answered by itself, passed on, or sent elsewhere.
    fn hold(&mut self, now: u64, report: Report, to: oneshot::Sender<CheckinReply>) {
        let followed = self.leadership.followed(now);
        if let Some((_, token, _)) = followed {
            self.block.follow(token);
        }
        if let Some(reply) = self.holds(now, &report, followed.is_some()) {
            let _ = to.send(reply);
            return;
        }
        if let Some((leader, token, stamp)) = followed {
            if report.token <= token && peer::carries(&report) {
                self.next_reply += 1;
                let id = self.next_reply;
                if self.send(leader, Payload::Report { id, stamp, report: report.clone() }) {
                    self.passed_on.insert(id, PassedOn { to, report, sent: now });
                    return;
                }
            }
        }
        // A node that has forgotten everything learns the last token from the workers.
        let actions = self.leadership.seen_token(report.token, now);
        self.act(actions);
        let leader = self.leadership.leader_name(now).map(str::to_string);
        debug!(machine = report.machine, leader, "check-in sent elsewhere");
        let _ = to.send(CheckinReply::Elsewhere(leader));
    }

    fn judge_health(&mut self, now: u64) {
        let lost = now.saturating_sub(self.store.answered()) >= limits::STATE_LOST;
        // In an outage that everybody shares nobody serves users better than we do. A node that hears no
        // peer either is more likely alone in it.
        let shared = self.leadership.hears_a_peer(now) && !self.leadership.peer_has_state(now);
        self.health.cut_off.store(lost && !shared, Ordering::Relaxed);
        let healthy = !self.types.is_empty() && (!lost || shared);
        if self.health.healthy.swap(healthy, Ordering::Relaxed) != healthy {
            info!(healthy, "health");
        }
    }

    fn checkin(
        &mut self,
        now: u64,
        checkin: Checkin,
        to: oneshot::Sender<CheckinReply>,
        commands: &mut Vec<Command>,
    ) {
        self.checkins.push_back(now);
        let report = match Report::try_from(checkin) {
            Ok(report) => report,
            Err(error) => {
                warn!(%error, "report dropped");
                let _ = to.send(CheckinReply::Malformed);
                return;
            }
        };
        let leads = self.leadership.authority(now).filter(|_| self.core.is_some());
        // Before the jobs are loaded a leader knows no more than a lease keeper: the worker's lease runs on, and
        // there is nobody to say what it should do but stop what is cancelled.
        let loaded = self.core.as_ref().is_some_and(|core| core.loaded);
        let cares = if loaded { None } else { leads }.or_else(|| self.leadership.lease_keeper(now));
        if let Some(token) = cares {
            let reply = match self.keeps(now, &report) {
                Some(stops) => CheckinReply::Orders(CheckinAnswer::new(token, &stops)),
                None => CheckinReply::Elsewhere(None),
            };
            // The worker may have given up meanwhile.
            let _ = to.send(reply);
            return;
        }
        if leads.is_none() {
            return self.hold(now, report, to);
        }
        self.next_reply += 1;
        let stops = self.leadership.cancellations.with_stops(Vec::new(), &report);
        self.replies.insert(self.next_reply, ReplyTo::Worker(to, stops));
        commands.push(Command::Checkin { reply: self.next_reply, report, via: None });
    }

    fn step(&mut self, now: u64, commands: Vec<Command>) {
        let Some(core) = &mut self.core else { return };
        core.kept_alive_until(self.leadership.autonomous_until(now));
        core.out_of_touch(now, self.leadership.out_of_touch(now));
        let effects = core.step(now, commands);
        if now >= self.summary_due {
            self.summary_due = now + limits::SECOND;
            let lines = core.summary();
            let own = lines.iter().map(|(u, d, r)| (*u, (*d, *r))).collect();
            self.summary.send_replace(Arc::new(own));
            let lines: Vec<_> = lines.into_iter().map(|(u, d, r)| (u.0, d, r)).collect();
            for to in self.outgoing.iter().flatten() {
                let _ = to.try_send(Payload::Summary(lines.clone()));
            }
        }
        if now >= self.report_due {
            self.report_due = now + 10 * limits::SECOND;
            info!(token = self.config.token, "{}", core.fleet_line());
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    // ---- leadership ----

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let now = self.clock.now();
                    let mut status = self.status(now);
                    status.state_age = self.leadership.told_state_age(now, to, status.state_age);
                    if let Some(Some(to)) = self.outgoing.get(to) {
                        // A full queue means a peer that does not answer; later messages replace this one.
                        let _ = to.try_send(Payload::Leadership(status, message));
                    }
                }
                Action::Attest(to, attestation) => {
                    self.send(to, Payload::Attestation(attestation));
                }
                Action::Probe => self.ask_store(|store| async move {
                    match store.epoch().await {
                        Ok((epoch, locked)) => StoreAnswer::Probed { epoch, locked },
                        Err(error) => {
                            debug!(%error, "probe");
                            StoreAnswer::Failed
                        }
                    }
                }),
                Action::TakeOver { token, version, over_lock } => {
                    let epoch =
                        Epoch { token, node: self.settings.node_name.clone(), incarnation: self.incarnation };
                    self.ask_store(move |store| async move {
                        match store.take_over(&epoch, version, over_lock).await {
                            Ok((lease, version, lease_sent)) => {
                                StoreAnswer::Won { lease, version, lease_sent }
                            }
                            Err(lease) => StoreAnswer::Lost { lease },
                        }
                    });
                }
                Action::Renew { lease } => {
                    let sent = self.clock.now();
                    self.ask_store(move |store| async move {
                        match store.extend(lease).await {
                            Ok(alive) => StoreAnswer::Renewed { lease, sent, alive },
                            Err(error) => {
                                debug!(%error, "renewal");
                                StoreAnswer::Failed
                            }
                        }
                    });
                }
                Action::Release { lease } => {
                    let store = self.store.clone();
                    tokio::spawn(async move { store.release(lease).await });
                }
                Action::Elected { token, version } => self.elected(token, version),
                Action::Deposed { keep_until } => {
                    // Its workers are a block now like any other's.
                    self.block.led(self.config.token, keep_until);
                    self.deposed();
                }
            }
        }
    }

    fn ask_store<F>(&self, ask: impl FnOnce(Store) -> F)
    where
        F: std::future::Future<Output = StoreAnswer> + Send + 'static,
    {
        let (events, future) = (self.events.clone(), ask(self.store.clone()));
        tokio::spawn(async move {
            let _ = events.send(Event::Store(future.await)).await;
        });
    }

    fn elected(&mut self, token: u64, version: u64) {
        self.deposed();
        let now = self.clock.now();
        self.config.token = token;
        self.version = version;
        self.versions = RecordVersions::default();
        let mut core = Core::new(self.config.clone(), now);
        let types = Command::Types(self.types.values().cloned().collect());
        let effects = core.step(now, vec![types]);
        self.core = Some(core);
        for effect in effects {
            self.carry_out(effect);
        }
        let (to, queue) = mpsc::unbounded_channel();
        self.cloud_queue = Some(to);
        let events = self.events.clone();
        let rps = self.settings.deployment.cloud.rps;
        let lag = self.settings.deployment.cloud.list_lag_s;
        self.leading = vec![
            tokio::spawn(follow_jobs(
                self.store.clone(),
                events.clone(),
                token,
                version,
                self.versions.clone(),
            )),
            tokio::spawn(drive_cloud(self.cloud.clone(), events.clone(), queue, token, rps, self.gate())),
            tokio::spawn(list_machines(self.cloud.clone(), events, token, lag)),
        ];
    }

    fn deposed(&mut self) {
        self.leading.drain(..).for_each(|task| task.abort());
        self.cloud_queue = None;
        if let Some(mut core) = self.core.take() {
            core.write_usage();
        }
        self.config.token = 0;
        for (_, to) in std::mem::take(&mut self.replies) {
            match to {
                ReplyTo::Worker(to, _) => {
                    let _ = to.send(CheckinReply::Elsewhere(None));
                }
                ReplyTo::Lessee(node, id) => {
                    self.send(node, Payload::Reply { id, token: None, keep: false, orders: Vec::new() });
                }
            }
        }
    }

    // ---- effects ----

    /// Runs something for the core of the present token and hands it the outcome.
    fn ask<F>(&self, future: F)
    where
        F: std::future::Future<Output = Command> + Send + 'static,
    {
        let (events, token) = (self.events.clone(), self.config.token);
        tokio::spawn(async move {
            let _ = events.send(Event::Core(token, future.await)).await;
        });
    }

    fn carry_out(&mut self, effect: Effect) {
        let store = self.store.clone();
        let leads = store::compare(store::EPOCH, self.version);
        match effect {
            Effect::Answer { reply, orders, keep } => self.answer(reply, orders, keep),
            Effect::Wake { node, machine } => {
                self.send(node, Payload::Wake(vec![machine]));
            }
            Effect::Direct { machine, address, session, orders } => {
                let Some(token) = self.leadership.authority(self.clock.now()) else { return };
                let commands = orders.iter().map(WorkerCommand::from).collect();
                let orders = DirectCommands { token, session, commands };
                // The next report brings the stops as well.
                let Ok(turn) = self.orders.clone().try_acquire_owned() else { return };
                let (http, events, gate) = (self.workers.clone(), self.events.clone(), self.gate());
                debug!(machine, stops = orders.commands.len(), "direct stops");
                tokio::spawn(async move {
                    let answer = match gate.open() {
                        true => worker::send_commands(&http, &address, &orders).await,
                        false => None,
                    };
                    drop(turn);
                    if let Some(report) = answer {
                        let _ = events.send(Event::Core(token, Command::OrdersAnswered(report))).await;
                    }
                });
            }
            Effect::CommitDone { job_id, version, tasks, all_done } => {
                let most = self.settings.deployment.state.txn_ops;
                let versions = self.versions.clone();
                self.ask(async move {
                    let (tasks, changes) = done_changes(job_id, tasks, &all_done, most);
                    let when = vec![leads, store::compare(&store::live(job_id), version)];
                    let outcome = settle(versions.commit(&store, when, changes).await).await;
                    Command::Committed { job_id, tasks, outcome }
                });
            }
            Effect::Finish { job_id, version, tasks, mut chunks } => {
                // What does not fit the transaction is removed after it: readers ask for the job first.
                let fit = self.settings.deployment.state.txn_ops.saturating_sub(2);
                let rest = chunks.split_off(fit.min(chunks.len()));
                let epoch = self.version;
                self.ask(async move {
                    let over = FinalRecord { status: JobStatus::Done, tasks };
                    let mut changes: Vec<_> = store::write(&store::over(job_id), over).into_iter().collect();
                    changes.push(store::remove(&store::live(job_id)));
                    changes.extend(chunks.iter().map(|chunk| store::remove(&store::done(job_id, *chunk))));
                    let when = vec![leads, store::compare(&store::live(job_id), version)];
                    let outcome = settle(store.commit(when, changes).await).await;
                    if outcome == Outcome::Done {
                        info!(job = %job_id, "done");
                        let rest = rest.into_iter().map(|chunk| store::done(job_id, chunk)).collect();
                        tokio::spawn(sweep(store, rest, epoch));
                    }
                    Command::Finished { job_id, outcome }
                })
            }
            Effect::Record { key, machines } => {
                let versions = self.versions.clone();
                self.ask(async move {
                    let path = format!("{}{key}", store::FLEET);
                    let records: Vec<MachineRecord> = machines.into_iter().map(MachineRecord::from).collect();
                    let change = if records.is_empty() {
                        vec![store::remove(&path)]
                    } else {
                        store::write(&path, records).into_iter().collect()
                    };
                    let outcome = settle(versions.commit(&store, vec![leads], change).await).await;
                    Command::Recorded { key, outcome }
                })
            }
            Effect::Rent { request, machine_type, zone, spot, count } => {
                self.cloud_request(CloudRequest::Rent { request, machine_type, zone, spot, count })
            }
            Effect::Delete(names) => self.cloud_request(CloudRequest::Delete(names)),
            Effect::Deposed(token) => {
                let actions = self.leadership.seen_token(token, self.clock.now());
                self.act(actions);
            }
        }
    }

    fn gate(&self) -> Gate {
        Gate { clock: self.clock, until: self.acts_until.clone() }
    }

    fn cloud_request(&self, request: CloudRequest) {
        if let Some(queue) = &self.cloud_queue {
            let _ = queue.send(request);
        }
    }

    fn answer(&mut self, reply: u64, orders: Vec<Order>, keep: bool) {
        let Some(to) = self.replies.remove(&reply) else { return };
        // Checked again at the last moment: the round may have taken long.
        let now = self.clock.now();
        let known = now < self.leadership.cancellations.keeps_until();
        let token = self.leadership.authority(now).filter(|_| known);
        let (to, stops) = match to {
            ReplyTo::Worker(to, stops) => (to, stops),
            ReplyTo::Lessee(node, id) => {
                self.send(node, Payload::Reply { id, token, keep, orders });
                return;
            }
        };
        let missing = stops.iter().filter(|stop| !orders.contains(stop));
        let reply = match token {
            Some(token) => CheckinReply::Orders(CheckinAnswer::new(token, orders.iter().chain(missing))),
            None => CheckinReply::Elsewhere(None),
        };
        let _ = to.send(reply);
    }
}

/// What the core needs to know of a transaction. A failed one is reported after a pause, so that a
/// service in trouble is not asked hot and an outage ends without a stampede.
async fn settle(committed: Committed) -> Outcome {
    if !matches!(committed, Committed::Done { .. }) {
        let pause = limits::STATE_PAUSE_MS;
        let pause = pause + rand::random_range(0..=pause);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    match committed {
        Committed::Done { .. } => Outcome::Done,
        Committed::Conflict | Committed::Refused => Outcome::Refused,
        Committed::Unknown => Outcome::Unknown,
    }
}

/// The keys of finished tasks to write for `tasks`, as many as one transaction takes, and the tasks
/// that these cover.
fn done_changes(
    job_id: JobId,
    tasks: BTreeSet<u32>,
    all_done: &BTreeSet<u32>,
    most: usize,
) -> (BTreeSet<u32>, Vec<Change>) {
    let chunks: BTreeSet<u32> = tasks.iter().map(|t| t / limits::DONE_CHUNK).collect();
    let chunks: BTreeSet<u32> = chunks.into_iter().take(most).collect();
    let covered = tasks.into_iter().filter(|t| chunks.contains(&(t / limits::DONE_CHUNK))).collect();
    let changes = chunks
        .iter()
        .filter_map(|chunk| {
            let first = chunk * limits::DONE_CHUNK;
            let bits = encode_bits(all_done.range(first..first + limits::DONE_CHUNK).map(|t| t - first));
            store::write(&store::done(job_id, *chunk), bits).ok()
        })
        .collect();
    (covered, changes)
}

/// Task numbers as hexadecimal digits, four tasks each, the lowest first.
fn encode_bits(tasks: impl Iterator<Item = u32>) -> String {
    let mut digits: Vec<u8> = Vec::new();
    for task in tasks {
        let at = (task / 4) as usize;
        if digits.len() <= at {
            digits.resize(at + 1, 0);
        }
        digits[at] |= 1 << (task % 4);
    }
    digits.into_iter().filter_map(|d| char::from_digit(d.into(), 16)).collect()
}

fn decode_bits(text: &str) -> impl Iterator<Item = u32> + '_ {
    text.chars().enumerate().flat_map(|(at, c)| {
        let digit = c.to_digit(16).unwrap_or(0);
        (0..4).filter(move |bit| digit & (1 << bit) != 0).map(move |bit| at as u32 * 4 + bit)
    })
}

// ---- what runs while this node leads ----

fn stored_job(record: &Record) -> Option<StoredJob> {
    let live: Result<LiveRecord, _> = serde_json::from_value(record.value.clone());
    let checked = live.map_err(|e| e.to_string()).and_then(|l| Ok((l.submission.check()?, l.accepted_ms)));
    match checked {
        Ok((spec, accepted_ms)) => {
            let age_ms = if accepted_ms == 0 { 0 } else { wall_ms().saturating_sub(accepted_ms) };
            let age = age_ms.min(limits::AGE_MOST_MS) * 1_000;
            Some(StoredJob { spec, version: record.version, age, done: BTreeSet::new() })
        }
        Err(error) => {
            warn!(key = record.key, error, "unreadable job record: skipped");
            None
        }
    }
}

/// Everything a new leader reads: jobs, finished tasks, machines; and where to follow from.
struct Loaded {
    jobs: Vec<StoredJob>,
    records: Vec<(String, Vec<StoredMachine>)>,
    /// Keys of finished tasks whose job is over.
    orphans: Vec<String>,
    revision: u64,
}

async fn load(store: &Store, versions: &RecordVersions) -> Result<Loaded, store::StoreError> {
    let (live, revision) = store.list(store::LIVE).await?;
    let (done, _) = store.list(store::DONE).await?;
    let (fleet, _) = store.list(store::FLEET).await?;
    done.iter().chain(&fleet).for_each(|record| versions.note(&record.key, record.version));
    let mut jobs: HashMap<JobId, StoredJob> =
        live.iter().filter_map(stored_job).map(|job| (job.spec.job_id, job)).collect();
    let mut orphans = Vec::new();
    for record in done {
        let mut parts = record.key.split('/').skip(1);
        let job_id = parts.next().and_then(JobId::parse);
        let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
        let Some(job) = job_id.and_then(|job_id| jobs.get_mut(&job_id)) else {
            orphans.push(record.key);
            continue;
        };
        let (Some(chunk), Some(bits)) = (chunk, record.value.as_str()) else {
            warn!(key = record.key, "unreadable record of finished tasks: skipped");
            continue;
        };
        let tasks = job.spec.tasks;
        job.done.extend(
            decode_bits(bits).map(|t| t + chunk.saturating_mul(limits::DONE_CHUNK)).filter(|t| *t < tasks),
        );
    }
    let records = fleet
        .into_iter()
        .filter_map(|record| {
            let key = record.key.strip_prefix(store::FLEET)?.to_string();
            match serde_json::from_value::<Vec<MachineRecord>>(record.value) {
                Ok(machines) => Some((key, machines.into_iter().map(StoredMachine::from).collect())),
                Err(error) => {
                    warn!(key = record.key, %error, "unreadable machine record: skipped");
                    None
                }
            }
        })
        .collect();
    Ok(Loaded { jobs: jobs.into_values().collect(), records, orphans, revision })
}

async fn pause() {
    let pause = limits::STATE_PAUSE_MS;
    tokio::time::sleep(Duration::from_millis(rand::random_range(pause..=2 * pause))).await;
}

/// Loads the jobs and follows what users commit through any node.
async fn follow_jobs(
    store: Store,
    events: mpsc::Sender<Event>,
    token: u64,
    version: u64,
    versions: RecordVersions,
) {
    let send = |command| events.send(Event::Core(token, command));
    let mut known: BTreeSet<JobId> = BTreeSet::new();
    let mut from = loop {
        match load(&store, &versions).await {
            Ok(Loaded { jobs, records, orphans, revision }) => {
                known.extend(jobs.iter().map(|j| j.spec.job_id));
                let _ = send(Command::Load { jobs, records }).await;
                tokio::spawn(sweep(store.clone(), orphans, version));
                break revision;
            }
            Err(error) => {
                warn!(%error, "cannot load yet");
                pause().await;
            }
        }
    };
    loop {
        let follow = match store.follow(store::LIVE, from, limits::WATCH_MS).await {
            Ok(Some(follow)) => follow,
            Ok(None) => {
                // Too far behind: read the keys again.
                let Ok((records, revision)) = store.list(store::LIVE).await else {
                    pause().await;
                    continue;
                };
                let jobs: Vec<_> = records.iter().filter_map(stored_job).collect();
                let listed: BTreeSet<JobId> = jobs.iter().map(|j| j.spec.job_id).collect();
                for job_id in known.difference(&listed) {
                    let _ = send(Command::JobRemoved(*job_id)).await;
                }
                for job in jobs {
                    let _ = send(Command::JobAdded(job)).await;
                }
                known = listed;
                from = revision;
                continue;
            }
            Err(error) => {
                debug!(%error, "following jobs");
                pause().await;
                continue;
            }
        };
        from = from.max(follow.revision);
        for event in follow.events {
            if let Some(key) = event.written {
                let record = Record { key, value: event.value, version: event.version };
                if let Some(job) = stored_job(&record) {
                    known.insert(job.spec.job_id);
                    let _ = send(Command::JobAdded(job)).await;
                }
            } else if let Some(key) = event.removed {
                if let Some(job_id) = key.strip_prefix(store::LIVE).and_then(JobId::parse) {
                    known.remove(&job_id);
                    let _ = send(Command::JobRemoved(job_id)).await;
                }
            }
        }
    }
}

/// Removes what cancelled jobs left behind, slowly enough to stay clear of the write limit.
async fn sweep(store: Store, orphans: Vec<String>, version: u64) {
    for key in orphans {
        let _ = store.commit(vec![store::compare(store::EPOCH, version)], vec![store::remove(&key)]).await;
        tokio::time::sleep(Duration::from_millis(limits::STATE_PAUSE_MS)).await;
    }
}

/// Sends rentals and deletions within the cloud's limit; deletions first, since machines cost money and tasks
/// wait for the proof that they are gone. None waits for the answer to another: one that hangs must hold
/// nothing up.
async fn drive_cloud(
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<CloudRequest>,
    token: u64,
    rps: f64,
    gate: Gate,
) {
    // Half of the limit: lists and the other nodes' catalogs need some too.
    let pace = Duration::from_secs_f64(2.0 / rps.max(0.1));
    let mut waiting: VecDeque<CloudRequest> = VecDeque::new();
    // Ended with this task, and so with the leadership.
    let mut under_way = JoinSet::new();
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(request) => waiting.push_back(request),
                None => return,
            }
        }
        while let Ok(request) = queue.try_recv() {
            waiting.push_back(request);
        }
        while under_way.try_join_next().is_some() {}
        let at = waiting.iter().position(|r| matches!(r, CloudRequest::Delete(_))).unwrap_or(0);
        let Some(request) = waiting.remove(at) else { continue };
        let (cloud, events, gate) = (cloud.clone(), events.clone(), gate.clone());
        under_way.spawn(async move {
            let command = ask_cloud(cloud, request, token, pace, gate).await;
            let _ = events.send(Event::Core(token, command)).await;
        });
        tokio::time::sleep(pace).await;
    }
}

async fn ask_cloud(cloud: Cloud, request: CloudRequest, token: u64, pace: Duration, gate: Gate) -> Command {
    match request {
        // Not sent: if this node leads still, it will ask again.
        CloudRequest::Delete(machines) if !gate.open() => {
            Command::Deleted { machines, outcome: Outcome::Refused }
        }
        CloudRequest::Rent { request, .. } if !gate.open() => {
            Command::Rented { request, machines: None, outcome: Outcome::Refused }
        }
        CloudRequest::Delete(machines) => {
            let outcome = cloud.delete(&machines).await;
            Command::Deleted { machines, outcome }
        }
        CloudRequest::Rent { request, machine_type, zone, spot, count } => {
            // The token makes the name unique among all leaders there will ever be.
            let request_id = format!("r-{token}-{request}");
            let rental = RentalRequest {
                request_id: &request_id,
                machine_type: &machine_type,
                zone: &zone,
                spot,
                count,
            };
            let mut answer = cloud.rent(&rental).await;
            for _ in 0..2 {
                if answer.0 == Outcome::Unknown && gate.open() {
                    // The same name again rents nothing twice.
                    tokio::time::sleep(pace * 2).await;
                    answer = cloud.rent(&rental).await;
                }
            }
            let (outcome, names) = answer;
            Command::Rented { request, machines: Some(names), outcome }
        }
    }
}

/// Reads the machine list again and again; it lags, so there is no point in hurrying.
async fn list_machines(cloud: Cloud, events: mpsc::Sender<Event>, token: u64, lag_s: f64) {
    let every = Duration::from_secs_f64(lag_s.clamp(4.0, 30.0));
    loop {
        let mut all = Vec::new();
        let mut from = String::new();
        let complete = loop {
            let Some((page, more)) = cloud.page(&from).await else { break false };
            from = page.last().map(|m| m.machine.name.clone()).unwrap_or_default();
            all.extend(page);
            if !more || from.is_empty() {
                break true;
            }
        };
        // Half a list would make machines seem missing.
        if complete && events.send(Event::Core(token, Command::Listed(all))).await.is_err() {
            return;
        }
        tokio::time::sleep(every).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finished_tasks_survive_their_encoding_in_chunks() {
        let done: BTreeSet<u32> = [0, 3, 4, 4095, 4096, 99_999].into();
        let (covered, changes) = done_changes(JobId(7), done.clone(), &done, 8);
        assert_eq!(covered, done);
        assert_eq!(changes.len(), 3);
        let (covered, changes) = done_changes(JobId(7), done.clone(), &done, 2);
        assert_eq!((covered.len(), changes.len()), (5, 2));
        let bits = encode_bits([0u32, 3, 4, 4095].into_iter());
        assert_eq!(bits.len(), 1024);
        assert_eq!(decode_bits(&bits).collect::<Vec<_>>(), [0, 3, 4, 4095]);
    }
}
