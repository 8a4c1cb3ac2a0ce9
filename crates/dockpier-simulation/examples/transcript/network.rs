//! Part two: leadership, shards and cancellations of three controllers in a simulated network, with drifting clocks,
//! messages that are held, repeated and lost, crashes with loss of memory, cuts, and outages of the state service.

mod clients;
mod troubles;

use crate::election_lines;
use crate::key_value_store::{KeyValueStore, Request};
use crate::output::{Line, Transcript};
use crate::SECOND;
use clients::Worker;
use dockpier::fencing_token::FencingToken;
use dockpier::leadership::{Action, Leadership, Message, Status, StoreResponse};
use dockpier::lease::cancellation_log::{Attestation, CancellationBounds};
use dockpier::lease::shard::Shard;
use dockpier::scheduler::model::JobId;
use dockpier::time::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// A millisecond, in microseconds as all times here.
const MS: u64 = 1_000;
/// Resolution of the time.
const STEP: u64 = 10 * MS;
const NODES: usize = 3;
const NAMES: [&str; NODES] = ["a", "b", "c"];
/// Time that is played for a seed.
const DURATION: u64 = 45 * SECOND;
/// How long workers may be kept alive without hearing of cancellations, and how long those are remembered.
const BOUNDS: CancellationBounds = CancellationBounds {
    longest_autonomy: Duration::from_secs(10),
    start_promise: Duration::from_secs(13),
    retention: Duration::from_secs(50),
};
/// Interval between the lines of the public queries.
const QUERY_INTERVAL: u64 = SECOND;

/// A message that is on its way.
enum Wire {
    Message { from: usize, to: usize, incarnation: u64, status: Status, message: Message },
    Attestation { from: usize, to: usize, incarnation: u64, attestation: Attestation },
    ToStore { node: usize, incarnation: u64, action: Action, sent: Timestamp },
    FromStore { node: usize, incarnation: u64, answer: StoreResponse },
    Live { node: usize, incarnation: u64, sent: Timestamp, live: Vec<JobId> },
    Cancelled { node: usize, incarnation: u64, job_id: JobId },
}

struct Node {
    leadership: Leadership,
    shard: Shard,
    /// The incarnation of its process.
    incarnation: u64,
    /// Its clock: base + true time * rate.
    base: u64,
    rate: f64,
    down_until: Option<u64>,
    state_answered: Timestamp,
    live_due: Timestamp,
    /// The fencing token that it last led with.
    led: FencingToken,
    /// An earlier version, which attests nothing.
    old: bool,
}

struct World<'a> {
    now: u64,
    rng: SmallRng,
    out: &'a mut Transcript,
    store: KeyValueStore,
    nodes: Vec<Node>,
    wires: BTreeMap<(u64, u64), Wire>,
    serial: u64,
    state_down_until: u64,
    /// A node that the state service refuses.
    refused: Option<(usize, u64)>,
    /// Nodes cut off from the others, whether from the state service too, and until when.
    cut: Option<(Vec<usize>, bool, u64)>,
    /// A node that stands still while its clock runs on.
    frozen: Option<(usize, u64)>,
    /// A node that no worker reaches.
    unreached: Option<(usize, u64)>,
    workers: Vec<Worker>,
}

/// Plays the network of a seed.
pub fn play(seed: u64, out: &mut Transcript) {
    let mut world = World {
        now: 0,
        rng: SmallRng::seed_from_u64(seed ^ 0x1ead_0e55),
        out,
        store: KeyValueStore::default(),
        nodes: Vec::new(),
        wires: BTreeMap::new(),
        serial: 0,
        state_down_until: 0,
        refused: None,
        cut: None,
        frozen: None,
        unreached: None,
        workers: (0..4).map(Worker::new).collect(),
    };
    let old = world.rng.random_bool(0.2).then(|| world.rng.random_range(0..NODES));
    for node in 0..NODES {
        let process = world.start_process(node, old == Some(node));
        world.nodes.push(process);
    }
    while world.now < DURATION {
        world.step();
    }
}

impl World<'_> {
    /// A process that has just started.
    fn start_process(&mut self, local_node: usize, old: bool) -> Node {
        let names = NAMES.map(String::from).to_vec();
        let base = self.rng.random_range(1 << 32..1 << 36);
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let now = base + (self.now as f64 * rate) as u64;
        let incarnation = self.rng.random();
        let seed = self.rng.random();
        Node {
            leadership: Leadership::new(
                names,
                local_node,
                incarnation,
                Timestamp::from_micros(now),
                BOUNDS,
                seed,
            ),
            shard: Shard::new(8, incarnation),
            incarnation,
            base,
            rate,
            down_until: None,
            state_answered: Timestamp::ZERO,
            live_due: Timestamp::ZERO,
            led: FencingToken::NONE,
            old,
        }
    }

    /// The node's own clock.
    fn local(&self, node: usize) -> Timestamp {
        let micros = self.nodes[node].base + (self.now as f64 * self.nodes[node].rate) as u64;
        Timestamp::from_micros(micros)
    }

    fn note(&mut self, line: Line) {
        self.out.write(self.now, line);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.end_troubles();
        if self.rng.random_ratio(1, 500) {
            self.trouble();
        }
        while let Some(entry) = self.wires.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let wire = entry.remove();
            self.deliver(wire);
        }
        for node in 0..NODES {
            self.tick(node);
        }
        self.run_jobs();
        self.run_leaseholders();
        self.run_workers();
        if self.now % QUERY_INTERVAL == 0 {
            self.ask();
        }
    }

    fn tick(&mut self, node: usize) {
        if self.is_frozen(node) || self.nodes[node].down_until.is_some_and(|until| self.now < until) {
            return;
        }
        if self.nodes[node].down_until.is_some() {
            let old = self.nodes[node].old;
            self.nodes[node] = self.start_process(node, old);
        }
        let (now, status) = (self.local(node), self.status(node));
        let actions = self.nodes[node].leadership.tick(now, status);
        self.act(node, actions);
    }

    fn status(&self, node: usize) -> Status {
        let reached = self.unreached.is_none_or(|(unreached, _)| unreached != node);
        let store_answer_age = self.local(node).since(self.nodes[node].state_answered);
        let worker_heartbeats = if reached { 3 } else { 0 };
        Status {
            store_answer_age,
            worker_heartbeats,
            ready_machines: 3,
            gives_attestations: !self.nodes[node].old,
        }
    }

    fn ask(&mut self) {
        for node in (0..NODES).filter(|node| self.is_up(*node)).collect::<Vec<_>>() {
            let now = self.local(node);
            let leadership = &self.nodes[node].leadership;
            self.out.write(self.now, election_lines::queries(node, now, leadership));
            self.out
                .write(self.now, election_lines::cancellations(node, now, leadership, self.store.last_job));
        }
    }

    // ---- what is under way ----

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.02) {
            return self.rng.random_range(100 * MS..900 * MS);
        }
        self.rng.random_range(MS..12 * MS)
    }

    fn send(&mut self, delay: u64, wire: Wire) {
        self.serial += 1;
        self.wires.insert((self.now + delay, self.serial), wire);
    }

    /// Sends to a peer: lost, repeated, or held back by a cut until its end.
    fn send_to_peer(&mut self, from: usize, to: usize, wire: impl Fn() -> Wire) {
        if self.rng.random_bool(0.02) {
            return;
        }
        let held = self.cut_between(from, to).map_or(0, |until| until.saturating_sub(self.now));
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = held + self.delay();
            self.send(delay, wire());
        }
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            self.out.write(self.now, election_lines::action(node, &action));
            let incarnation = self.nodes[node].incarnation;
            match action {
                Action::Send(to, message) => {
                    let status = self.status(node);
                    let wire = || Wire::Message { from: node, to, incarnation, status, message };
                    self.send_to_peer(node, to, wire);
                }
                Action::Attest(to, attestation) => {
                    let wire = || Wire::Attestation {
                        from: node,
                        to,
                        incarnation,
                        attestation: attestation.clone(),
                    };
                    self.send_to_peer(node, to, wire);
                }
                Action::Elected { token, .. } => self.nodes[node].led = token,
                Action::Deposed { keep_alive_until } => {
                    let token = self.nodes[node].led;
                    self.nodes[node].shard.keep_alive_after_leadership(token, keep_alive_until);
                }
                action => self.ask_store(node, action),
            }
        }
    }

    fn ask_store(&mut self, node: usize, action: Action) {
        let (incarnation, sent, delay) = (self.nodes[node].incarnation, self.local(node), self.delay());
        let served = self.is_served(node);
        if !served && !matches!(action, Action::TakeOver { .. }) {
            return self.send(delay, Wire::FromStore { node, incarnation, answer: StoreResponse::Failed });
        }
        // A transaction that is held back is carried out late.
        let held = if served { 0 } else { self.rng.random_range(0..20 * SECOND) };
        self.send(delay + held, Wire::ToStore { node, incarnation, action, sent });
    }

    fn deliver(&mut self, wire: Wire) {
        match wire {
            Wire::Message { to, .. } | Wire::Attestation { to, .. } | Wire::FromStore { node: to, .. }
                if self.is_frozen(to) =>
            {
                // What arrives meanwhile is there when it goes on.
                self.send(STEP, wire);
            }
            Wire::Message { from, to, incarnation, status, message } => {
                self.deliver_message(from, to, incarnation, status, message);
            }
            Wire::Attestation { from, to, incarnation, attestation } => {
                self.deliver_attestation(from, to, incarnation, &attestation);
            }
            Wire::ToStore { node, incarnation, action, sent } => {
                let request = Request { name: NAMES[node], incarnation, sent };
                let answer = self.store.carry_out(self.now, action, request);
                let delay = self.delay();
                self.send(delay, Wire::FromStore { node, incarnation, answer });
            }
            Wire::FromStore { node, incarnation, answer } => {
                if self.is_up(node) && self.nodes[node].incarnation == incarnation {
                    self.take_answer(node, answer);
                }
            }
            Wire::Live { node, incarnation, sent, live } => {
                if self.is_served(node) && self.nodes[node].incarnation == incarnation {
                    self.take_live(node, sent, &live);
                }
            }
            Wire::Cancelled { node, incarnation, job_id } => {
                if self.is_served(node) && self.nodes[node].incarnation == incarnation {
                    self.confirm(node, job_id);
                }
            }
        }
    }

    /// A message from a peer; lost when the node is down.
    fn deliver_message(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u64,
        status: Status,
        message: Message,
    ) {
        if !self.is_up(to) {
            return;
        }
        let now = self.local(to);
        let actions = self.nodes[to].leadership.handle_message(now, from, incarnation, status, message);
        self.act(to, actions);
    }

    /// A peer's attestation of cancellations; lost when the node is down.
    fn deliver_attestation(&mut self, from: usize, to: usize, incarnation: u64, attestation: &Attestation) {
        if !self.is_up(to) {
            return;
        }
        let now = self.local(to);
        let outcome = self.nodes[to].leadership.handle_attestation(now, from, incarnation, attestation);
        self.note_over("attested-over", to, outcome.cancelled_jobs);
        self.act(to, outcome.actions);
    }

    fn take_answer(&mut self, node: usize, answer: StoreResponse) {
        let (now, served) = (self.local(node), self.is_served(node));
        let answer = match answer {
            StoreResponse::TakeoverCommitted { .. } | StoreResponse::TakeoverFailed { .. } if !served => {
                StoreResponse::TakeoverFailed { lease: None }
            }
            _ if !served => StoreResponse::Failed,
            answer => answer,
        };
        if !matches!(answer, StoreResponse::Failed) {
            self.nodes[node].state_answered = now;
        }
        let actions = self.nodes[node].leadership.handle_store_response(now, answer);
        self.act(node, actions);
    }

    /// Writes terminated jobs by number, since leadership returns them in no particular order.
    fn note_over(&mut self, kind: &'static str, node: usize, over: Vec<JobId>) {
        let mut numbers: Vec<u64> = over.into_iter().map(|job_id| job_id.0).collect();
        numbers.sort_unstable();
        if !numbers.is_empty() {
            self.note(Line::new(kind).with("node", node).list("jobs", numbers));
        }
    }
}
