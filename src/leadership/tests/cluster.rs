//! The simulated cluster: three nodes, each with its own clock, and the active faults.

use super::key_value_store::KeyValueStore;
use super::lease_ledger::LeaseLedger;
use super::network::Delivery;
use super::workers::Worker;
use super::{BOUNDS, NODE_COUNT, NODE_NAMES};
use crate::fencing_token::FencingToken;
use crate::leadership::{Leadership, Status};
use crate::lease::shard::Shard;
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// By how much one step advances true time.
const STEP: Duration = Duration::from_millis(10);

/// One controller node.
pub(super) struct Node {
    pub(super) leadership: Leadership,
    pub(super) shard: Shard,
    /// The worker leases as it records them while it leads.
    pub(super) ledger: LeaseLedger,
    /// Number of its process, counted from one.
    pub(super) process: u64,
    /// Local time is `clock_base` plus true time times `clock_rate`.
    clock_base: u64,
    clock_rate: f64,
    pub(super) down_until: Option<Timestamp>,
    /// When the key-value store last answered, on its clock.
    pub(super) store_answered_at: Timestamp,
    /// When it next reads the live jobs, on its clock.
    pub(super) next_job_read_at: Timestamp,
    /// When it last read the live jobs, on its clock; zero: not since its process started or it was last
    /// elected. A leader has loaded its state once it has read them.
    pub(super) jobs_read_at: Timestamp,
    /// When it was last elected, on its clock; zero: not since its process started.
    pub(super) term_began_at: Timestamp,
    /// Whether it runs an earlier release, which gives no attestations.
    pub(super) is_earlier_release: bool,
}

/// Nodes that are cut off from the other nodes, and from the workers on the other nodes' side.
pub(super) struct Partition {
    pub(super) inside: Vec<usize>,
    /// Whether the nodes are cut off from the key-value store too.
    pub(super) cuts_off_store: bool,
    pub(super) until: Timestamp,
}

/// A node whose process is suspended while its clock goes on.
#[derive(Clone, Copy)]
pub(super) struct Suspension {
    pub(super) node: usize,
    pub(super) until: Timestamp,
}

pub(super) struct Cluster {
    /// True time.
    pub(super) now: Timestamp,
    pub(super) rng: SmallRng,
    pub(super) store: KeyValueStore,
    pub(super) nodes: Vec<Node>,
    /// Messages in transit, by arrival time and serial number.
    pub(super) deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    pub(super) last_serial: u64,

    /// Whether the key-value store is down for all nodes.
    pub(super) store_down: bool,
    /// The node that the key-value store refuses.
    pub(super) refused_by_store: Option<usize>,
    pub(super) partition: Option<Partition>,
    pub(super) suspension: Option<Suspension>,
    /// The node that no worker reaches.
    pub(super) cut_off_from_workers: Option<usize>,
    /// Whether workers report only to nodes that do not lead.
    pub(super) workers_report_to_peers_only: bool,

    pub(super) workers: Vec<Worker>,
    /// Zero: no jobs, and no node reads the live jobs. Otherwise each node that reaches the key-value store
    /// reads them, and on average once in this many steps submits a job and cancels the oldest one if more
    /// than four are live. Tests without workers set it too: only nodes that read the live jobs know up to
    /// when they know every cancellation, on which authority without the lock lease depends.
    pub(super) mean_steps_between_jobs: u32,
    /// The last job that a user asked to cancel.
    pub(super) last_job_to_cancel: JobId,
    /// Cancelled jobs, and when a node committed the cancellation, in true time.
    pub(super) cancelled: BTreeMap<JobId, Timestamp>,
    /// Cancelled jobs, and when the cancellation was confirmed to the user, in true time.
    pub(super) confirmed: BTreeMap<JobId, Timestamp>,

    /// How often a leader counted a worker's lease as expired.
    pub(super) expired_leases: u64,
    /// Responses that leaseholders and nodes in keep-alive mode gave without the leader.
    pub(super) autonomous_responses: u64,
    /// Fencing tokens of all leaders, in the order of their elections.
    pub(super) elected_tokens: Vec<FencingToken>,
    /// The node and process that acted with each token.
    pub(super) process_by_token: BTreeMap<FencingToken, (usize, u64)>,
    /// Steps in which a leader had authority.
    pub(super) led_steps: u64,
    /// Steps in which a leader might start tasks.
    pub(super) start_steps: u64,
    /// Steps in which a node was in keep-alive mode.
    pub(super) keep_alive_steps: u64,
}

impl Cluster {
    pub(super) fn new(seed: u64) -> Self {
        let mut cluster = Cluster {
            now: Timestamp::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            store: KeyValueStore::new(),
            nodes: Vec::new(),
            deliveries: BTreeMap::new(),
            last_serial: 0,
            store_down: false,
            refused_by_store: None,
            partition: None,
            suspension: None,
            cut_off_from_workers: None,
            workers_report_to_peers_only: false,
            workers: Vec::new(),
            mean_steps_between_jobs: 0,
            last_job_to_cancel: JobId(0),
            cancelled: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            expired_leases: 0,
            autonomous_responses: 0,
            elected_tokens: Vec::new(),
            process_by_token: BTreeMap::new(),
            led_steps: 0,
            start_steps: 0,
            keep_alive_steps: 0,
        };
        for node in 0..NODE_COUNT {
            let node = cluster.start_process(node, 1);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// A new process of the node, without state and with a new clock.
    fn start_process(&mut self, node: usize, process: u64) -> Node {
        let names = NODE_NAMES.map(String::from).to_vec();
        let clock_base = self.rng.random_range(1 << 40..1 << 50);
        let clock_rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let now = clock_time(clock_base, clock_rate, self.now);
        let incarnation = self.rng.random();
        let seed = self.rng.random();
        Node {
            leadership: Leadership::new(names, node, incarnation, now, BOUNDS, seed),
            shard: Shard::new(8, incarnation),
            ledger: LeaseLedger::default(),
            process,
            clock_base,
            clock_rate,
            down_until: None,
            store_answered_at: Timestamp::ZERO,
            next_job_read_at: Timestamp::ZERO,
            jobs_read_at: Timestamp::ZERO,
            term_began_at: Timestamp::ZERO,
            is_earlier_release: self.nodes.get(node).is_some_and(|node| node.is_earlier_release),
        }
    }

    // ---- present state ----

    /// The present time on the node's clock.
    pub(super) fn local_time(&self, node: usize) -> Timestamp {
        let node = &self.nodes[node];
        clock_time(node.clock_base, node.clock_rate, self.now)
    }

    /// Whether the two nodes are on different sides of a partition.
    pub(super) fn are_partitioned(&self, a: usize, b: usize) -> bool {
        let separates =
            |partition: &Partition| partition.inside.contains(&a) != partition.inside.contains(&b);
        self.partition.as_ref().is_some_and(separates)
    }

    /// Whether the node is on the other side of a partition than the key-value store.
    pub(super) fn is_partitioned_from_store(&self, node: usize) -> bool {
        self.partition
            .as_ref()
            .is_some_and(|partition| partition.cuts_off_store && partition.inside.contains(&node))
    }

    /// Whether the node is neither down nor suspended.
    pub(super) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].down_until.is_none() && !self.is_suspended(node)
    }

    fn is_suspended(&self, node: usize) -> bool {
        self.suspension.is_some_and(|suspension| suspension.node == node)
    }

    /// Whether the key-value store answers the node.
    pub(super) fn reaches_store(&self, node: usize) -> bool {
        self.is_running(node)
            && !self.store_down
            && self.refused_by_store != Some(node)
            && !self.is_partitioned_from_store(node)
    }

    /// The node that has authority to act.
    pub(super) fn leader(&self) -> Option<usize> {
        (0..NODE_COUNT).find(|node| {
            self.nodes[*node].down_until.is_none()
                && self.nodes[*node].leadership.authority(self.local_time(*node)).is_some()
        })
    }

    /// What the node reports of itself.
    pub(super) fn status(&self, node: usize) -> Status {
        let store_answer_age = self.local_time(node).since(self.nodes[node].store_answered_at);
        let gives_attestations = !self.nodes[node].is_earlier_release;
        let leads = self.nodes[node].leadership.is_leader();
        if self.workers_report_to_peers_only {
            let worker_heartbeats = if leads { 0 } else { 2 };
            return Status { store_answer_age, worker_heartbeats, ready_machines: 0, gives_attestations };
        }
        let is_alone = self.partition.as_ref().is_some_and(|partition| partition.inside == [node]);
        let cut_off = is_alone || self.cut_off_from_workers == Some(node);
        // In the test that cuts the leader off from workers, none has reported to a peer yet.
        let has_no_workers_yet = self.cut_off_from_workers.is_some() && !leads;
        let worker_heartbeats = if cut_off || has_no_workers_yet { 0 } else { 3 };
        Status { store_answer_age, worker_heartbeats, ready_machines: 3, gives_attestations }
    }

    // ---- faults ----

    /// Ends the node's process. A new one starts after `downtime`.
    pub(super) fn crash(&mut self, node: usize, downtime: Duration) {
        self.nodes[node].down_until = Some(self.now + downtime);
    }

    /// Cuts off these nodes, also from the key-value store if `cuts_off_store`.
    pub(super) fn cut_off(&mut self, inside: Vec<usize>, cuts_off_store: bool, until: Timestamp) {
        self.partition = Some(Partition { inside, cuts_off_store, until });
    }

    pub(super) fn end_faults(&mut self) {
        self.store_down = false;
        self.refused_by_store = None;
        self.partition = None;
        self.suspension = None;
    }

    // ---- time ----

    pub(super) fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.suspension = self.suspension.filter(|suspension| self.now < suspension.until);
        self.deliver_due();
        for node in 0..NODE_COUNT {
            if !self.is_suspended(node) {
                self.tick(node);
            }
        }
        if self.partition.as_ref().is_some_and(|partition| self.now > partition.until) {
            self.partition = None;
        }
        self.check_leadership();
        self.run_jobs();
        self.check_confirmed_jobs_cannot_start();
        if !self.workers.is_empty() {
            self.run_leaseholders();
            (0..self.workers.len()).for_each(|worker| self.run_worker(worker));
            self.check_expired_leases();
        }
    }

    fn tick(&mut self, node: usize) {
        if let Some(until) = self.nodes[node].down_until {
            if self.now < until {
                return;
            }
            let process = self.nodes[node].process + 1;
            self.nodes[node] = self.start_process(node, process);
        }
        let (now, status) = (self.local_time(node), self.status(node));
        let actions = self.nodes[node].leadership.tick(now, status);
        self.apply_actions(node, actions);
    }
}

/// The time that a clock with this base and rate shows at true time `now`.
fn clock_time(base: u64, rate: f64, now: Timestamp) -> Timestamp {
    Timestamp::from_micros(base + (now.as_micros() as f64 * rate) as u64)
}
