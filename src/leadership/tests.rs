//! Leadership in a small simulated network: drifting clocks, held, repeated and reordered messages,
//! crashes with amnesia, state outages and refusals, in virtual time with fixed seeds.

use super::*;
use crate::lease::cancellation_log::{Attestation, CancellationBounds};
use crate::lease::shard::{Shard, ShardHeartbeat};
use crate::limits::lengthened;
use crate::protocol::records::Epoch;
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000;
const AUTONOMY: u64 = 10 * limits::SECOND;
/// Of workers.
const LEASE: u64 = 10 * limits::SECOND;
/// By then a cancelled job's tasks must be gone: `limits::longest_autonomy` solved for it.
const CANCEL: u64 = AUTONOMY + LEASE + limits::LOCK_LEASE_MS * 1_000 + limits::LEASE_MARGIN + limits::SECOND;
const BOUNDS: CancellationBounds = CancellationBounds { longest_autonomy: AUTONOMY, retention: 2 * CANCEL };

/// The state service, as far as leadership uses it.
#[derive(Default)]
struct FakeStore {
    revision: u64,
    epoch: Option<(Epoch, u64)>,
    /// Lease that the lock hangs on, and when it ends.
    lock: Option<u64>,
    leases: BTreeMap<u64, u64>,
    next_lease: u64,
    /// Live jobs.
    live: BTreeSet<JobId>,
    next_job: u64,
}

impl FakeStore {
    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, until| *until > now);
        if self.lock.is_some_and(|p| !self.leases.contains_key(&p)) {
            self.lock = None;
        }
    }
}

enum Wire {
    Message {
        from: usize,
        to: usize,
        status: Status,
        message: Message,
    },
    ToStore {
        node: usize,
        life: u64,
        action: Action,
        sent: u64,
    },
    FromStore {
        node: usize,
        life: u64,
        answer: StoreResponse,
    },
    Attestation {
        from: usize,
        to: usize,
        life: u64,
        attestation: Attestation,
    },
    /// The live jobs as the state service had them, for a request that left then.
    Live {
        node: usize,
        life: u64,
        sent: u64,
        live: BTreeSet<JobId>,
    },
    /// A job cancelled by a node's transaction, which it tells its user when the answer is there.
    Committed {
        node: usize,
        life: u64,
        job_id: JobId,
    },
}

/// A worker, of which only its lease matters: by it hang all its tasks.
struct Worker {
    /// Where it reports to, and the node whose side of a cut it is on.
    node: usize,
    home: usize,
    agent_epoch: u64,
    /// When this agent epoch began.
    since: u64,
    sequence: u64,
    token: u64,
    lease_until: u64,
    report_due: u64,
    /// Jobs of which it has a task.
    tasks: BTreeSet<JobId>,
}

/// What a leader knows of workers' leases: as the scheduler counts them (`Scheduler::expire`).
#[derive(Default)]
struct Ledger {
    token: u64,
    elected: u64,
    floor: u64,
    /// By worker, on the leader's clock and in true time.
    answered: BTreeMap<usize, (u64, u64)>,
    /// By leaseholder: covered, confirmed.
    leaseholders: BTreeMap<usize, (u64, u64)>,
}

struct Node {
    shard: Shard,
    ledger: Ledger,
    leadership: Leadership,
    life: u64,
    /// Local clock: base + true time * rate.
    base: u64,
    rate: f64,
    down_until: Option<u64>,
    state_answered: u64,
    /// When it next reads the live jobs; a leader has loaded them once it has.
    live_due: u64,
    read: u64,
    /// An earlier version: gives no words.
    old: bool,
}

struct World {
    now: u64,
    rng: SmallRng,
    store: FakeStore,
    nodes: Vec<Node>,
    wires: BTreeMap<(u64, u64), Wire>,
    serial: u64,
    state_down: bool,
    refused: Option<usize>,
    /// Nodes cut off from the others (and users and workers), and whether from the state service too.
    cut: Option<(Vec<usize>, bool)>,
    cut_until: u64,
    /// A node that stands still while its clock runs on.
    frozen: Option<(usize, u64)>,
    workers_cut: Option<usize>,
    first_workers: bool,
    workers: Vec<Worker>,
    /// Cancellations told to users, and when.
    told: BTreeMap<JobId, u64>,
    /// How often a job is cancelled, once in so many steps; 0: never.
    cancels: u32,
    /// Leases that leaders counted as over, and answers that leaseholders and node in keep-alive modes gave by themselves.
    proofs: u64,
    autonomous_answers: u64,
    tokens: Vec<(u64, usize, u64)>,
    led: BTreeMap<u64, (usize, u64)>,
    led_time: u64,
    kept_time: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = World {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            store: FakeStore { revision: 1, ..FakeStore::default() },
            nodes: Vec::new(),
            wires: BTreeMap::new(),
            serial: 0,
            state_down: false,
            refused: None,
            cut: None,
            cut_until: 0,
            frozen: None,
            workers_cut: None,
            first_workers: false,
            workers: Vec::new(),
            told: BTreeMap::new(),
            cancels: 0,
            proofs: 0,
            autonomous_answers: 0,
            tokens: Vec::new(),
            led: BTreeMap::new(),
            led_time: 0,
            kept_time: 0,
        };
        for i in 0..3 {
            let node = world.fresh(i, 1);
            world.nodes.push(node);
        }
        world
    }

    fn fresh(&mut self, me: usize, life: u64) -> Node {
        let names = ["a", "b", "c"].map(String::from).to_vec();
        let base = self.rng.random_range(1 << 40..1 << 50);
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let now = base + (self.now as f64 * rate) as u64;
        let incarnation = self.rng.random();
        let leadership = Leadership::new(names, me, incarnation, now, BOUNDS, self.rng.random());
        let (shard, ledger) = (Shard::new(8, incarnation), Ledger::default());
        let (state_answered, live_due, read) = (0, 0, 0);
        let old = self.nodes.get(me).is_some_and(|node| node.old);
        let down_until = None;
        Node { shard, ledger, leadership, life, base, rate, down_until, state_answered, live_due, read, old }
    }

    fn local(&self, node: usize) -> u64 {
        self.nodes[node].base + (self.now as f64 * self.nodes[node].rate) as u64
    }

    fn cut_between(&self, a: usize, b: usize) -> bool {
        self.cut.as_ref().is_some_and(|(inside, _)| inside.contains(&a) != inside.contains(&b))
    }

    fn send(&mut self, delay: u64, wire: Wire) {
        self.serial += 1;
        self.wires.insert((self.now + delay, self.serial), wire);
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.02) {
            return self.rng.random_range(100 * MS..900 * MS);
        }
        self.rng.random_range(MS..12 * MS)
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let status = self.status(node);
                    // What a cut holds back arrives after it, and some messages arrive twice.
                    let held =
                        if self.cut_between(node, to) { self.cut_until.saturating_sub(self.now) } else { 0 };
                    let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
                    for _ in 0..copies {
                        let delay = held + self.delay();
                        self.send(delay, Wire::Message { from: node, to, status, message });
                    }
                }
                Action::Attest(to, attestation) => {
                    let held =
                        if self.cut_between(node, to) { self.cut_until.saturating_sub(self.now) } else { 0 };
                    let life = self.nodes[node].leadership.incarnation;
                    let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
                    for _ in 0..copies {
                        let delay = held + self.delay();
                        self.send(
                            delay,
                            Wire::Attestation { from: node, to, life, attestation: attestation.clone() },
                        );
                    }
                }
                Action::Elected { token, .. } => {
                    self.tokens.push((token, node, self.now));
                    let floor = self.local(node) + lengthened(AUTONOMY);
                    let ledger = Ledger { token, elected: self.now, floor, ..Ledger::default() };
                    self.nodes[node].ledger = ledger;
                    // It loads before it knows anything by its own reading.
                    self.nodes[node].read = 0;
                }
                Action::Deposed { keep_until } => {
                    let token = self.nodes[node].ledger.token;
                    self.nodes[node].shard.retain_after_leadership(token, keep_until);
                }
                action => {
                    let (life, sent) = (self.nodes[node].life, self.local(node));
                    let delay = self.delay();
                    let unreachable = self.state_down
                        || self.refused == Some(node)
                        || self.cut.as_ref().is_some_and(|(inside, state)| inside.contains(&node) && *state);
                    if unreachable && !matches!(action, Action::TakeOver { .. }) {
                        self.send(delay, Wire::FromStore { node, life, answer: StoreResponse::Failed });
                    } else {
                        // A held transaction is applied late; nobody hears of it in time.
                        let held =
                            if unreachable { self.rng.random_range(0..20 * limits::SECOND) } else { 0 };
                        self.send(delay + held, Wire::ToStore { node, life, action, sent });
                    }
                }
            }
        }
    }

    fn status(&self, node: usize) -> Status {
        if self.first_workers {
            // The first workers of a day have asked the peers, and none has come to the leader yet.
            let workers = if self.nodes[node].leadership.is_leader() { 0 } else { 2 };
            let state_age = self.local(node).saturating_sub(self.nodes[node].state_answered);
            return Status { state_age, workers, machines: 0, attests: !self.nodes[node].old };
        }
        let cut = self.cut.as_ref().is_some_and(|(inside, _)| inside.len() == 1 && inside[0] == node);
        let cut = cut || self.workers_cut == Some(node);
        // Nobody has come to a peer yet: only the leader has workers.
        let leads = self.nodes[node].leadership.is_leader();
        let workers = if cut || self.workers_cut.is_some() && !leads { 0 } else { 3 };
        let state_age = self.local(node).saturating_sub(self.nodes[node].state_answered);
        Status { state_age, workers, machines: 3, attests: !self.nodes[node].old }
    }

    fn store(&mut self, action: Action, node: usize, sent: u64) -> StoreResponse {
        self.store.expire(self.now);
        match action {
            Action::Probe => {
                StoreResponse::Probed { epoch: self.store.epoch.clone(), locked: self.store.lock.is_some() }
            }
            Action::TakeOver { token, version, ignore_lock: over_lock } => {
                let at = self.store.epoch.as_ref().map_or(0, |(_, e)| *e);
                if at != version || !over_lock && self.store.lock.is_some() {
                    return StoreResponse::TakeoverFailed { lease: None };
                }
                self.store.revision += 1;
                self.store.next_lease += 1;
                let lease = self.store.next_lease;
                self.store.leases.insert(lease, self.now + limits::LOCK_LEASE_MS * 1000);
                self.store.lock = Some(lease);
                let names = ["a", "b", "c"];
                let incarnation = self.nodes[node].leadership.incarnation;
                let epoch = Epoch { token, node: names[node].into(), incarnation };
                self.store.epoch = Some((epoch, self.store.revision));
                StoreResponse::TakeoverCommitted { lease, version: self.store.revision, lease_sent: sent }
            }
            Action::Renew { lease } => {
                let alive = self.store.leases.contains_key(&lease);
                if alive {
                    self.store.leases.insert(lease, self.now + limits::LOCK_LEASE_MS * 1000);
                }
                StoreResponse::Renewed { lease, sent, alive }
            }
            Action::Release { lease } => {
                self.store.leases.remove(&lease);
                StoreResponse::Failed
            }
            _ => StoreResponse::Failed,
        }
    }

    fn deliver(&mut self, wire: Wire) {
        match wire {
            Wire::Message { from, to, status, message } => {
                if self.nodes[to].down_until.is_some() {
                    return;
                }
                let now = self.local(to);
                let life = self.nodes[from].leadership.incarnation;
                let actions = self.nodes[to].leadership.handle_message(now, from, life, status, message);
                self.act(to, actions);
            }
            Wire::Attestation { from, to, life, attestation } => {
                if self.nodes[to].down_until.is_none() {
                    let now = self.local(to);
                    let outcome = self.nodes[to].leadership.handle_attestation(now, from, life, &attestation);
                    self.act(to, outcome.actions);
                }
            }
            Wire::Live { node, life, sent, live } => {
                if self.nodes[node].life != life || !self.served(node) {
                    return;
                }
                let now = self.local(node);
                let live: Vec<JobId> = live.into_iter().collect();
                self.nodes[node].leadership.cancellations.apply_live_jobs(now, sent, true, &live, &[]);
                self.nodes[node].state_answered = now;
                self.nodes[node].read = now;
            }
            Wire::Committed { node, life, job_id } => {
                // Without an answer nobody is told.
                if self.nodes[node].life != life || !self.served(node) {
                    return;
                }
                let now = self.local(node);
                let outcome = self.nodes[node].leadership.confirm_cancellation(now, job_id);
                self.act(node, outcome.actions);
                if outcome.is_permitted {
                    self.told.entry(job_id).or_insert(self.now);
                } else {
                    // The user asks again.
                    self.send(limits::SECOND, Wire::Committed { node, life, job_id });
                }
            }
            Wire::ToStore { node, life, action, sent } => {
                // An answer to a process that has died goes nowhere, but the change stands.
                let answer = self.store(action, node, sent);
                let delay = self.delay();
                self.send(delay, Wire::FromStore { node, life, answer });
            }
            Wire::FromStore { node, life, answer } => {
                if self.nodes[node].life != life || self.nodes[node].down_until.is_some() {
                    return;
                }
                let now = self.local(node);
                // An answer that does not get through is given up.
                let lost = !self.served(node);
                let answer = match answer {
                    StoreResponse::TakeoverCommitted { .. } | StoreResponse::TakeoverFailed { .. }
                        if lost =>
                    {
                        StoreResponse::TakeoverFailed { lease: None }
                    }
                    _ if lost => StoreResponse::Failed,
                    answer => answer,
                };
                if !lost && !matches!(answer, StoreResponse::Failed) {
                    self.nodes[node].state_answered = now;
                }
                let actions = self.nodes[node].leadership.handle_store_response(now, answer);
                self.act(node, actions);
            }
        }
    }

    fn step(&mut self) {
        self.now += 10 * MS;
        self.frozen = self.frozen.filter(|(_, until)| self.now < *until);
        while let Some(entry) = self.wires.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let wire = entry.remove();
            match (&wire, self.frozen) {
                // What arrives meanwhile is all there when it goes on.
                (Wire::Message { to: node, .. } | Wire::FromStore { node, .. }, Some((still, until)))
                    if *node == still =>
                {
                    self.send(until - self.now, wire);
                }
                _ => self.deliver(wire),
            }
        }
        for node in (0..3).filter(|n| self.frozen.is_none_or(|(still, _)| still != *n)).collect::<Vec<_>>() {
            if let Some(until) = self.nodes[node].down_until {
                if self.now < until {
                    continue;
                }
                let life = self.nodes[node].life + 1;
                self.nodes[node] = self.fresh(node, life);
            }
            let (now, status) = (self.local(node), self.status(node));
            let actions = self.nodes[node].leadership.tick(now, status);
            self.act(node, actions);
        }
        if self.now > self.cut_until {
            self.cut = None;
        }
        self.check();
        self.run_state();
        if !self.workers.is_empty() {
            self.run_leaseholders();
            (0..self.workers.len()).for_each(|w| self.run_worker(w));
            self.check_proofs();
        }
    }

    // ---- workers and shard ----

    fn up(&self, node: usize) -> bool {
        self.nodes[node].down_until.is_none() && self.frozen.is_none_or(|(still, _)| still != node)
    }

    fn served(&self, node: usize) -> bool {
        let cut = self.cut.as_ref().is_some_and(|(inside, state)| *state && inside.contains(&node));
        self.up(node) && !self.state_down && self.refused != Some(node) && !cut
    }

    /// Jobs come and are cancelled, and every node reads which are live.
    fn run_state(&mut self) {
        if self.cancels == 0 {
            return;
        }
        for node in (0..3).filter(|n| self.served(*n)).collect::<Vec<_>>() {
            let now = self.local(node);
            let life = self.nodes[node].life;
            if now >= self.nodes[node].live_due {
                self.nodes[node].live_due = now + limits::SECOND;
                let (delay, live) = (2 * self.delay(), self.store.live.clone());
                self.send(delay, Wire::Live { node, life, sent: now, live });
            }
            if !self.rng.random_ratio(1, self.cancels) {
                continue;
            }
            self.store.next_job += 1;
            self.store.live.insert(JobId(self.store.next_job));
            // Every worker that the leader reaches has a task of every job.
            if let Some(leader) = self.leader() {
                let job = JobId(self.store.next_job);
                let reached = |worker: &Worker| !self.cut_between(worker.home, leader);
                let reached: Vec<bool> = self.workers.iter().map(reached).collect();
                for (worker, _) in self.workers.iter_mut().zip(reached).filter(|(_, reached)| *reached) {
                    worker.tasks.insert(job);
                }
            }
            // The newest have not been read by everybody yet.
            if self.store.live.len() > 4 {
                let Some(job_id) = self.store.live.pop_first() else { continue };
                let delay = self.delay();
                self.send(delay, Wire::Committed { node, life, job_id });
            }
        }
    }

    /// Lessees tell the leader whom they answered; words and confirmations may be lost.
    fn run_leaseholders(&mut self) {
        for node in 0..3 {
            if !self.up(node) {
                continue;
            }
            let now = self.local(node);
            let Some(FollowedLeader { node: leader, token, heartbeat_stamp: stamp, .. }) =
                self.nodes[node].leadership.followed_leader(now)
            else {
                continue;
            };
            self.nodes[node].shard.follow(token);
            let Some(ShardHeartbeat { id, complete: whole, first_of_incarnation: anew, machines }) =
                self.nodes[node].shard.next_heartbeat(now)
            else {
                continue;
            };
            let at_leader = self.local(leader);
            let fresh = stamp <= at_leader && at_leader < stamp + limits::RELAY_MAX_AGE;
            let leads = self.up(leader) && self.nodes[leader].leadership.authority(at_leader) == Some(token);
            if !fresh || !leads || self.cut_between(node, leader) || self.rng.random_bool(0.1) {
                continue;
            }
            let ledger = &mut self.nodes[leader].ledger;
            if anew {
                ledger.floor = ledger.floor.max(at_leader);
            }
            let leaseholder = ledger.leaseholders.entry(node).or_default();
            *leaseholder = (leaseholder.0.max(if whole { stamp } else { 0 }), at_leader);
            for name in machines {
                ledger.answered.insert(name.parse().unwrap(), (at_leader, self.now));
            }
            let lease = self.nodes[leader].leadership.shard_lease(at_leader);
            if self.rng.random_bool(0.9) {
                self.nodes[node].shard.acknowledge(id, lease);
            }
        }
    }

    fn run_worker(&mut self, w: usize) {
        if self.now >= self.workers[w].lease_until {
            let worker = &mut self.workers[w];
            worker.agent_epoch += 1;
            worker.tasks.clear();
            (worker.since, worker.lease_until) = (self.now, self.now + LEASE);
        }
        if self.now < self.workers[w].report_due {
            return;
        }
        let (node, home) = (self.workers[w].node, self.workers[w].home);
        self.workers[w].report_due = self.now + self.rng.random_range(750 * MS..1_250 * MS);
        self.workers[w].sequence += 1;
        let held = self.cut_between(node, home);
        // Late in the judgement, what the last answer should have done.
        for (job_id, told) in &self.told {
            let runs = self.workers[w].tasks.contains(job_id);
            assert!(
                !runs || self.now <= told + CANCEL,
                "worker {w} runs {job_id} told as cancelled at {told}"
            );
        }
        let answer = if held || !self.up(node) { None } else { self.report_to(w, node) };
        let worker = &mut self.workers[w];
        match answer {
            Some((token, stops)) if token >= worker.token => {
                worker.token = token;
                worker.lease_until = self.now + LEASE;
                worker.tasks.retain(|job_id| !stops.contains(job_id));
            }
            Some(_) => {}
            None => {
                worker.node = (node + 1) % 3;
                worker.report_due = self.now + if held { 5 * limits::SECOND } else { limits::SECOND };
            }
        }
    }

    /// The token that a node answers the worker with, if it may, and the jobs whose tasks it stops.
    fn report_to(&mut self, w: usize, node: usize) -> Option<(u64, BTreeSet<JobId>)> {
        let now = self.local(node);
        let worker = &self.workers[w];
        let task = |job_id: &JobId| ReportedTask {
            id: TaskId { job_id: *job_id, task: 0 },
            attempt: 1,
            status: TaskStatus::Running,
        };
        let heartbeat = Heartbeat {
            machine: w.to_string(),
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            agent_epoch: worker.agent_epoch,
            sequence: worker.sequence,
            token: worker.token,
            notice_s: None,
            tasks: worker.tasks.iter().map(task).collect(),
        };
        let job_ids = |task_commands: Vec<TaskCommand>| {
            let stopped = task_commands.into_iter().filter_map(|o| match o {
                TaskCommand::Stop { id, .. } => Some(id.job_id),
                _ => None,
            });
            stopped.collect::<BTreeSet<JobId>>()
        };
        let keeps = self.keeps(node, &heartbeat);
        let loaded = self.cancels == 0 || self.nodes[node].read > 0;
        if let Some(token) = self.nodes[node].leadership.authority(now) {
            let stops = if loaded { self.leads(node, &heartbeat) } else { keeps }?;
            self.nodes[node].ledger.answered.insert(w, (now, self.now));
            return Some((token, job_ids(stops)));
        }
        if let Some(token) = self.nodes[node].leadership.keep_alive_token(now) {
            let stops = keeps?;
            self.autonomous_answers += 1;
            return Some((token, job_ids(stops)));
        }
        let followed = self.nodes[node].leadership.followed_leader(now);
        if let Some(leader) = followed {
            self.nodes[node].shard.follow(leader.token);
        }
        if let Some(stops) = keeps {
            if let Some(token) = self.nodes[node].shard.respond(now, &heartbeat, followed.is_some()).token() {
                self.autonomous_answers += 1;
                return Some((token, job_ids(stops)));
            }
        }
        // Passed on.
        if let Some(FollowedLeader { node: leader, token, .. }) =
            followed.filter(|leader| !self.cut_between(node, leader.node))
        {
            let at_leader = self.local(leader);
            let loaded = self.cancels == 0 || self.nodes[leader].read > 0;
            let leads = self.up(leader) && self.nodes[leader].leadership.authority(at_leader) == Some(token);
            if let Some(stops) = self.leads(leader, &heartbeat).filter(|_| leads && loaded) {
                self.nodes[leader].ledger.answered.insert(w, (at_leader, self.now));
                let keep = stops.is_empty();
                self.nodes[node].shard.record_relayed_response(now, heartbeat, token, keep);
                return Some((token, job_ids(stops)));
            }
        }
        let token = self.workers[w].token;
        let actions = self.nodes[node].leadership.observe_token(token, now);
        self.act(node, actions);
        None
    }

    /// What `Controller::keeps` says, of versions that have it.
    fn keeps(&self, node: usize, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let (now, cancellations) = (self.local(node), &self.nodes[node].leadership.cancellations);
        if self.cancels == 0 {
            return Some(Vec::new());
        }
        (now + limits::AUTHORITY_MARGIN < cancellations.keep_alive_until())
            .then(|| cancellations.stop_commands(heartbeat))
            .flatten()
    }

    /// What a leader that has loaded the jobs answers.
    fn leads(&self, node: usize, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let (now, cancellations) = (self.local(node), &self.nodes[node].leadership.cancellations);
        if self.cancels == 0 {
            return Some(Vec::new());
        }
        // It stops what it has no job for, as the scheduler does.
        let known = |id: &TaskId| cancellations.is_live(id.job_id);
        let foreign = heartbeat.tasks.iter().filter(|t| !known(&t.id));
        let foreign = foreign.map(|t| TaskCommand::Stop { id: t.id, attempt: t.attempt, grace_s: 0.0 });
        (now < cancellations.keep_alive_until())
            .then(|| cancellations.with_stop_commands(foreign.collect(), heartbeat))
    }

    /// A leader that counts a lease as over is right.
    fn check_proofs(&mut self) {
        let Some(leader) = self.leader().filter(|n| self.up(*n)) else { return };
        let now = self.local(leader);
        let kept = self.nodes[leader].leadership.autonomous_until(now);
        let ledger = &mut self.nodes[leader].ledger;
        ledger.floor = ledger.floor.max(kept);
        let lease = lengthened(LEASE) + limits::LEASE_MARGIN;
        let open = ledger.leaseholders.values().filter(|(_, at)| now < at + lengthened(AUTONOMY) + lease);
        let covered = open.map(|(covered, _)| *covered).min().unwrap_or(u64::MAX);
        for (w, worker) in self.workers.iter().enumerate() {
            let (answered, when) = ledger.answered.get(&w).copied().unwrap_or((0, ledger.elected));
            if now.min(covered) < answered.max(ledger.floor) + lease {
                continue;
            }
            self.proofs += 1;
            let over = worker.since > when || worker.lease_until <= self.now;
            assert!(over, "at {}: worker {w} lives, and leader {leader} counts its lease as over", self.now);
        }
    }

    /// The invariant: never two nodes with authority at once, and tokens rise.
    fn check(&mut self) {
        let acting: Vec<(usize, u64)> = (0..3)
            .filter(|n| self.nodes[*n].down_until.is_none())
            .filter_map(|n| Some((n, self.nodes[n].leadership.authority(self.local(n))?)))
            .collect();
        assert!(acting.len() <= 1, "two leaders at {}: {acting:?}", self.now);
        let keeping: Vec<usize> = (0..3)
            .filter(|n| self.nodes[*n].down_until.is_none())
            .filter(|n| self.nodes[*n].leadership.keep_alive_token(self.local(*n)).is_some())
            .collect();
        assert!(keeping.len() <= 1, "two lease keepers at {}: {keeping:?}", self.now);
        if let (Some((leader, _)), Some(keeper)) = (acting.first(), keeping.first()) {
            // A leader beside a node in keep-alive mode must know that it may be one of two.
            let now = self.local(*leader);
            let alone = self.nodes[*leader].leadership.autonomous_until(now);
            assert!(
                alone >= now,
                "leader {leader} trusts leases beside lease keeper {keeper} at {}",
                self.now
            );
        }
        self.kept_time += keeping.len() as u64;
        if let Some((node, token)) = acting.first() {
            self.led_time += 1;
            let life = self.nodes[*node].life;
            assert_eq!(*self.led.entry(*token).or_insert((*node, life)), (*node, life), "token used twice");
            assert_eq!(self.led.last_key_value().map(|(t, _)| *t), Some(*token), "an old token acts again");
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|n| {
            self.nodes[*n].down_until.is_none()
                && self.nodes[*n].leadership.authority(self.local(*n)).is_some()
        })
    }

    fn run(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn crash(&mut self, node: usize, back: u64) {
        self.nodes[node].down_until = Some(self.now + back);
    }
}

impl World {
    /// One trouble of those that the users name, at random.
    fn trouble(&mut self) {
        let node = self.rng.random_range(0..3);
        let back = self.rng.random_range(50 * MS..4 * limits::SECOND);
        let long = self.now + self.rng.random_range(limits::SECOND..40 * limits::SECOND);
        let leader = self.leader().unwrap_or(node);
        match self.rng.random_range(0..11) {
            0 => self.crash(node, back),
            1 => (0..3).for_each(|n| self.crash(n, back)),
            2 => self.crash(leader, back),
            3 => self.state_down = !self.state_down,
            4 => self.refused = if self.refused.is_none() { Some(node) } else { None },
            5 | 6 => {
                let state = self.rng.random_bool(0.5);
                (self.cut, self.cut_until) = (Some((vec![leader], state)), long);
            }
            // A zone that holds one or two of them is cut off from everything.
            7 | 8 => {
                let alone = self.rng.random_bool(0.3);
                let inside = if alone { vec![node] } else { (0..3).filter(|n| *n != node).collect() };
                (self.cut, self.cut_until) = (Some((inside, true)), long);
            }
            9 => self.frozen = Some((leader, long)),
            _ => {}
        }
    }
}

#[test]
fn never_two_leaders_under_any_trouble() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        for _ in 0..25 {
            let time = world.rng.random_range(200 * MS..6 * limits::SECOND);
            world.run(time);
            world.trouble();
        }
        // Once the troubles end, somebody leads again.
        (world.state_down, world.refused, world.cut, world.frozen) = (false, None, None, None);
        world.run(12 * limits::SECOND);
        assert!(world.leader().is_some(), "nobody leads, seed {seed}");
        assert!(world.led_time > 1_000, "seed {seed} was led only {} steps", world.led_time);
    }
}

#[test]
fn a_state_outage_alone_does_not_stop_the_leader() {
    let mut world = World::new(1);
    world.cancels = 400;
    world.run(5 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    let tokens = world.tokens.len();
    world.state_down = true;
    for _ in 0..28 {
        world.run(limits::SECOND);
        assert_eq!(world.leader(), Some(leader));
    }
    world.state_down = false;
    world.run(500 * MS);
    assert_eq!((world.leader(), world.tokens.len()), (Some(leader), tokens));
}

#[test]
fn a_leader_refused_by_the_state_service_hands_over() {
    let mut world = World::new(2);
    world.run(5 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    world.refused = Some(leader);
    world.run(7 * limits::SECOND);
    assert!(world.leader().is_some_and(|n| n != leader), "{:?}", world.leader());
}

#[test]
fn a_leader_that_reaches_only_the_state_service_gives_up() {
    let mut world = World::new(3);
    world.run(5 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    (world.cut, world.cut_until) = (Some((vec![leader], false)), world.now + 30 * limits::SECOND);
    world.run(8 * limits::SECOND);
    assert!(world.leader().is_some_and(|n| n != leader));
}

#[test]
fn a_crashed_leader_is_followed_within_the_shortest_worker_lease() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run(5 * limits::SECOND);
        let leader = world.leader().expect("a leader");
        world.crash(leader, 60 * limits::SECOND);
        world.run(6 * limits::SECOND);
        assert!(world.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn a_leader_that_returns_at_once_resumes_at_once() {
    let mut world = World::new(4);
    world.run(5 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    world.crash(leader, 300 * MS);
    world.run(1_500 * MS);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.tokens.last().map(|t| t.0), Some(2));
}

#[test]
fn an_echo_to_an_earlier_incarnation_counts_for_nothing() {
    let names = vec!["a".to_string(), "b".to_string(), "c".to_string()];
    let now = 1 << 45;
    let mut node = Leadership::new(
        names,
        0,
        1,
        now,
        CancellationBounds { longest_autonomy: limits::SECOND, retention: 0 },
        0,
    );
    // A promise echoing a clock that began elsewhere: beyond ours, or long run out.
    for echo in [now + 9, now - 10 * limits::SECOND] {
        assert_eq!(node.handle_message(now + 1, 1, 7, Status::default(), Message::Vote { echo }), []);
    }
    assert!(node.votes_until(now + 1) <= now + 1);
}

#[test]
fn a_leader_that_only_the_workers_lost_hands_over_before_they_come_to_a_peer() {
    let mut world = World::new(5);
    world.run(8 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    world.workers_cut = Some(leader);
    world.run(1_500 * MS);
    assert!(world.leader().is_some_and(|n| n != leader));
}

#[test]
fn a_crash_inside_a_state_outage_leaves_a_lease_keeper() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.cancels = 400;
        world.run(5 * limits::SECOND);
        world.state_down = true;
        world.run(2 * limits::SECOND);
        let leader = world.leader().expect("a leader");
        world.crash(leader, 3 * limits::SECOND);
        world.run(6 * limits::SECOND);
        let before = world.kept_time;
        world.run(8 * limits::SECOND);
        assert!(world.leader().is_none());
        assert!(world.kept_time - before > 700, "seed {seed}: kept {} steps", world.kept_time - before);
        world.state_down = false;
        world.run(6 * limits::SECOND);
        assert!(world.leader().is_some(), "seed {seed}: nobody leads after the outage");
    }
}

#[test]
fn a_leader_that_no_worker_has_come_to_yet_does_not_hand_over() {
    let mut world = World::new(6);
    world.first_workers = true;
    world.run(12 * limits::SECOND);
    assert_eq!(world.tokens.len(), 1, "{:?}", world.tokens);
}

/// The zone that holds the leader and a majority is cut off, state service and all. Inside, they may act and
/// keep workers alive for the bounded time only, since cancellations outside pass them by (a node in keep-alive mode went on
/// without end); outside, the one that is left leads once that time is over, though nobody promises it.
#[test]
fn a_majority_cut_off_from_the_state_service_stops_and_the_one_outside_leads() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.cancels = 400;
        // Until what an earlier life may have promised is past.
        world.run(12 * limits::SECOND);
        let leader = world.leader().expect("a leader");
        let outside = (leader + 1) % 3;
        let inside = (0..3).filter(|n| *n != outside).collect();
        (world.cut, world.cut_until) = (Some((inside, true)), world.now + 60 * limits::SECOND);
        // The state lease, the bound, and the time that the one outside waits beyond it.
        world.run(10 * limits::SECOND + 3 * limits::SECOND + 6 * limits::SECOND);
        assert_eq!(world.leader(), Some(outside), "seed {seed}");
        let kept = world.kept_time;
        world.run(20 * limits::SECOND);
        assert_eq!((world.leader(), world.kept_time), (Some(outside), kept), "seed {seed}");
        world.run(25 * limits::SECOND);
        assert!(world.leader().is_some(), "seed {seed}: nobody leads after the cut");
    }
}

/// Nothing that a leader had in hand when it stood still may go out on authority that has passed.
#[test]
fn a_leader_that_stood_still_has_no_authority_left() {
    let mut world = World::new(7);
    world.run(5 * limits::SECOND);
    let leader = world.leader().expect("a leader");
    world.frozen = Some((leader, world.now + 30 * limits::SECOND));
    world.run(29 * limits::SECOND + 900 * MS);
    let node = &world.nodes[leader].leadership;
    assert!(node.is_leader(), "it does not know yet");
    assert_eq!(node.authority(world.local(leader)), None);
    assert!(world.leader().is_some_and(|n| n != leader));
    world.run(limits::SECOND);
    assert!(!world.nodes[leader].leadership.is_leader());
}

impl World {
    /// Six workers, two at home with each node, and jobs that come and are cancelled.
    fn with_workers(seed: u64, cancels: u32) -> Self {
        let mut world = World::new(seed);
        world.cancels = cancels;
        for w in 0..6 {
            let (node, home, lease_until) = (w % 3, w % 3, LEASE);
            world.workers.push(Worker {
                node,
                home,
                agent_epoch: 1,
                since: 0,
                sequence: 0,
                token: 0,
                lease_until,
                report_due: 0,
                tasks: BTreeSet::new(),
            });
        }
        world
    }
}

/// Leaders, leaseholders and node in keep-alive modes together: whoever keeps a worker alive, the leader knows how long that may
/// last, and no task of a job lives longer than `CANCEL` after its user was told that it is cancelled.
#[test]
fn no_lease_is_counted_as_over_that_somebody_keeps_alive() {
    let (mut proofs, mut alone, mut told) = (0, 0, 0);
    for seed in 200..540 {
        let mut world = World::with_workers(seed, 200);
        for _ in 0..25 {
            let time = world.rng.random_range(200 * MS..9 * limits::SECOND);
            world.run(time);
            world.trouble();
        }
        (proofs, alone, told) =
            (proofs + world.proofs, alone + world.autonomous_answers, told + world.told.len());
    }
    // Leases did end and were counted, and workers were kept alive without a leader, or nothing was tested.
    assert!(proofs > 500 && alone > 5_000 && told > 500, "{proofs} proofs, {alone} answers, {told} told");
}

/// The gap: the state service refuses the leader alone, another node tells users that their jobs are cancelled,
/// and then it is down for all, for longer than `CANCEL`, while the workers report on. Members that could not
/// commit *now* attested so, and the leader kept alive what it had never heard was cancelled. (The check is in
/// `run_worker`.) `and_then`: what comes on top right after the outage begins.
fn the_gap(and_then: impl Fn(&mut World, usize)) {
    let mut told = 0;
    for seed in 0..20 {
        let mut world = World::with_workers(seed, 60);
        world.run(12 * limits::SECOND);
        let leader = world.leader().expect("a leader");
        let before = world.told.len();
        world.refused = Some(leader);
        world.run(1_500 * MS);
        told += world.told.len() - before;
        world.state_down = true;
        and_then(&mut world, leader);
        world.run(CANCEL + 15 * limits::SECOND);
        (world.state_down, world.refused) = (false, None);
        world.run(20 * limits::SECOND);
        assert!(world.leader().is_some(), "seed {seed}: nobody leads after the outage");
    }
    assert!(told > 20, "only {told} cancellations were told while the leader was refused");
}

#[test]
fn what_is_cancelled_while_the_leader_is_refused_ends_in_the_outage_that_follows() {
    the_gap(|_, _| {});
}

#[test]
fn the_gap_when_the_confirming_nodes_crash_inside_the_outage() {
    the_gap(|world, leader| (0..3).filter(|n| *n != leader).for_each(|n| world.crash(n, 3 * limits::SECOND)));
    the_gap(|world, leader| world.crash((leader + 1) % 3, 300 * MS));
}

#[test]
fn the_gap_when_the_leader_changes_inside_the_outage() {
    the_gap(|world, leader| world.crash(leader, 3 * limits::SECOND));
    the_gap(|world, leader| {
        world.run(4 * limits::SECOND);
        world.crash(leader, 40 * limits::SECOND);
    });
}

#[test]
fn the_gap_when_the_leader_is_cut_off_from_who_confirmed() {
    the_gap(|world, leader| {
        (world.cut, world.cut_until) = (Some((vec![leader], true)), world.now + 60 * limits::SECOND);
    });
    the_gap(|world, leader| {
        let inside = (0..3).filter(|n| *n != (leader + 1) % 3).collect();
        (world.cut, world.cut_until) = (Some((inside, true)), world.now + 30 * limits::SECOND);
    });
}

/// Where every member attests that nothing is cancelled unknown to it, an outage that all share, of
/// whatever length and also with a crash inside, goes unnoticed by the workers.
#[test]
fn an_outage_without_cancellations_costs_no_worker_its_lease() {
    for crash in [false, true] {
        for seed in 0..10 {
            let mut world = World::with_workers(seed, 400);
            world.run(12 * limits::SECOND);
            let leader = world.leader().expect("a leader");
            world.state_down = true;
            world.run(5 * limits::SECOND);
            if crash {
                world.crash(leader, 5 * limits::SECOND);
            }
            let agent_epochs =
                |world: &World| world.workers.iter().map(|w| w.agent_epoch).collect::<Vec<_>>();
            let before = agent_epochs(&world);
            world.run(3 * CANCEL);
            assert_eq!(agent_epochs(&world), before, "seed {seed}, crash {crash}");
        }
    }
}

/// A member of an earlier version attests nothing: what it confirmed is not known, and a leader beside it is
/// bounded; the other way about, an earlier version's leader is not told what it would take for such a proof.
#[test]
fn beside_an_earlier_version_authority_without_the_state_service_is_bounded() {
    for seed in 0..10 {
        let mut world = World::with_workers(seed, 60);
        world.run(12 * limits::SECOND);
        let leader = world.leader().expect("a leader");
        let other = (leader + 1) % 3;
        world.nodes[other].old = true;
        world.run(2 * limits::SECOND);
        let now = world.local(leader);
        let told = |state_age| world.nodes[leader].leadership.reported_state_age(now, other, state_age);
        let recently = world.nodes[leader].leadership.cancellations.proves_no_recent_cancellation(now);
        assert_eq!(told(limits::STORE_LOST_TIMEOUT) >= limits::STORE_LOST_TIMEOUT, recently);
        world.state_down = true;
        world.run(AUTONOMY + 6 * limits::SECOND);
        assert_eq!(world.leader(), None, "seed {seed}");
    }
}

/// A node resumes its own epoch without promises. What it granted a node in keep-alive mode a moment ago still binds it: with
/// its own word and one grant it took itself for backed by a majority, and worker leases for over.
#[test]
fn a_resumed_leader_does_not_count_its_own_word_while_its_grant_to_another_runs() {
    let names = ["a", "b", "c"].map(String::from).to_vec();
    let begun = 1 << 45;
    let mut node = Leadership::new(names, 0, 2, begun, BOUNDS, 0);
    let now = begun + 2 * limits::GRANT_DURATION;
    let granted = node.handle_message(now, 1, 7, Status::default(), Message::Heartbeat { token: 5, sent: 9 });
    assert!(granted.contains(&Action::Send(1, Message::Grant { token: 5, echo: 9 })));
    let epoch = Epoch { token: 5, node: "a".into(), incarnation: 1 };
    let probed = StoreResponse::Probed { epoch: Some((epoch, 3)), locked: true };
    assert!(matches!(
        node.handle_store_response(now, probed)[..],
        [Action::TakeOver { token: 6, ignore_lock: true, .. }]
    ));
    let committed = StoreResponse::TakeoverCommitted { lease: 1, version: 4, lease_sent: now };
    assert_eq!(node.handle_store_response(now, committed), [Action::Elected { token: 6, version: 4 }]);
    let grant = Message::Grant { token: 6, echo: now };
    assert_eq!(node.handle_message(now + 1, 2, 8, Status::default(), grant), []);
    let soon = now + limits::SECOND;
    assert_eq!(node.autonomous_until(soon), soon, "a lease_keeper may keep workers alive beside it");
    let later = now + lengthened(limits::GRANT_DURATION) + 1;
    let grant = Message::Grant { token: 6, echo: later };
    assert_eq!(node.handle_message(later, 2, 8, Status::default(), grant), []);
    assert!(node.autonomous_until(later + 1) <= later, "its word counts again");
}

/// Jobs are cancelled in the seconds in which a controller's work changes hands: it ends, for long or for a moment,
/// is cut off, loses the state service, or leads and hands over. (The check is in `run_worker`.)
#[test]
fn what_is_cancelled_while_a_controllers_work_changes_hands_ends_in_time() {
    type Change = fn(&mut World, usize);
    let back_at_once: Change = |world, node| world.crash(node, 200 * MS);
    let ends: Change = |world, node| world.crash(node, 8 * limits::SECOND);
    let refused: Change = |world, node| world.refused = Some(node);
    let cut_off: Change = |world, node| {
        (world.cut, world.cut_until) = (Some((vec![node], true)), world.now + 2 * CANCEL);
    };
    for (case, change) in [back_at_once, ends, refused, cut_off].into_iter().enumerate() {
        let mut told = 0;
        for seed in 0..12 {
            // Every other time it is the leader's work.
            let mut world = World::with_workers(seed, 40);
            world.run(12 * limits::SECOND);
            let leader = world.leader().expect("a leader");
            let node = (leader + seed as usize % 2) % 3;
            let before = world.told.len();
            change(&mut world, node);
            world.run(6 * limits::SECOND);
            told += world.told.len() - before;
            world.run(2 * CANCEL);
            world.refused = None;
            world.run(15 * limits::SECOND);
            assert!(world.leader().is_some(), "case {case}, seed {seed}: nobody leads");
        }
        assert!(told > 100, "case {case}: only {told} cancellations were told meanwhile");
    }
}
