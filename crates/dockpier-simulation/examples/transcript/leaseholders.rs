//! Part one, second driver: the scheduler as a leader with two leaseholders. Workers send heartbeats to any of
//! three controllers; the leaseholders are real shards, which relay heartbeats (`Heartbeat` with
//! `relayed_by`) and report which machines they renewed (`ShardHeartbeat`).

mod events;
mod outside;

use crate::output::{Line, Transcript};
use crate::worker::{InstanceKind, Worker};
use crate::SECOND;
use crate::{draw, effects, words};
use dockpier::fencing_token::FencingToken;
use dockpier::lease::shard::{Shard, ShardResponse};
use dockpier::limits;
use dockpier::scheduler::model::{Heartbeat, JobId, Kind, MachineType, Resources, TaskId};
use dockpier::scheduler::{Command, Config, ListedMachine, Scheduler, StoredJob, StoredMachine};
use dockpier::settings::{Operator, Team, Workers};
use dockpier::time::{from_seconds, to_micros, Timestamp};
use dockpier_simulation::MACHINE_TYPE;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Resolution of the time, in microseconds as all times here.
const STEP: u64 = SECOND / 10;
/// Time that is played for a seed.
const DURATION: u64 = 100 * SECOND;
/// Duration of a leaseholder's lease of its shard.
const SHARD_LEASE: u64 = 8 * SECOND;
/// Duration of a worker's lease.
const LEASE: u64 = 12 * SECOND;
/// Slots of the smaller machine type.
const SLOTS: f64 = 4.0;
/// The type of machines with twice the slots.
const LARGE: &str = "l";
/// Where the leader runs; the others are leaseholders.
const LEADER: usize = 0;

/// A controller that is not the leader.
struct Leaseholder {
    shard: Shard,
    /// The connection to the leader is cut until then.
    cut_until: u64,
}

/// A heartbeat with the way that it took to the leader.
#[derive(Clone)]
struct RoutedHeartbeat {
    /// The node of the leaseholder that relayed it; `None`: the worker sent it to the leader.
    relayed_by: Option<usize>,
    heartbeat: Heartbeat,
}

struct Day<'a> {
    scheduler: Scheduler,
    config: Config,
    rng: SmallRng,
    out: &'a mut Transcript,
    now: u64,
    leaseholders: Vec<Leaseholder>,
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<JobId, StoredJob>,
    records: BTreeMap<String, Vec<StoredMachine>>,
    /// Heartbeats that wait for the leader's response.
    waiting: BTreeMap<u64, RoutedHeartbeat>,
    /// The newest heartbeat.
    newest: Option<RoutedHeartbeat>,
    later: Vec<(u64, Command)>,
    replies: u64,
    made: usize,
    submitted: u64,
    listed_at: u64,
}

/// Plays the leader's and the leaseholders' day of a seed.
pub fn play(seed: u64, out: &mut Transcript) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1e55_ee55);
    let config = config(&mut rng);
    let now = SECOND;
    let leaseholder = |incarnation| Leaseholder { shard: Shard::new(6, incarnation), cut_until: 0 };
    let mut day = Day {
        scheduler: Scheduler::new(config.clone(), Timestamp::from_micros(now)),
        config,
        leaseholders: vec![leaseholder(rng.random()), leaseholder(rng.random())],
        rng,
        out,
        now,
        workers: BTreeMap::new(),
        jobs: BTreeMap::new(),
        records: BTreeMap::new(),
        waiting: BTreeMap::new(),
        newest: None,
        later: Vec::new(),
        replies: 0,
        made: 0,
        submitted: 0,
        listed_at: 0,
    };
    for number in 0..8 {
        let zone = day.config.zones[number % 3].clone();
        let machine_type = if number < 6 { MACHINE_TYPE } else { LARGE };
        let instance = InstanceKind { machine_type: machine_type.into(), zone, spot: number == 7 };
        day.make_machine(instance, 0);
    }
    day.load();
    while day.now < DURATION {
        day.step();
    }
}

fn config(rng: &mut SmallRng) -> Config {
    let team = |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let report_s = draw::one_of(rng, &[0.5, 1.0, 2.0]);
    Config {
        token: FencingToken(1),
        operator: Operator { reserve_services: 0, ..Operator::default() },
        workers: Workers { report_s, lease_s: 12.0, cancel_s: 60.0, gang_wait_s: 30.0, gang_peer_s: 6.0 },
        teams: ["t", "u", "v"].map(team).to_vec(),
        zones: vec!["a".into(), "b".into(), "c".into()],
        list_lag_s: 3.0,
        max_round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: 1.0,
        write_rps: 50.0,
        max_machines_per_record: 8,
        max_value_bytes: 4_096,
        max_concurrent_rentals: 4,
        shard_lease: Duration::from_micros(SHARD_LEASE),
    }
}

impl Day<'_> {
    /// A machine of this kind, which is up after `boots` microseconds and up to a second more.
    fn make_machine(&mut self, instance: InstanceKind, boots: u64) -> String {
        self.made += 1;
        let name = format!("m-{:03}", self.made);
        let up_at = self.now + boots + self.made as u64 % 10 * STEP;
        self.workers.insert(name.clone(), Worker::new(name.clone(), instance, self.made % 3, up_at));
        name
    }

    fn machine_type(&self, name: &str, slots: f64, price: f64) -> MachineType {
        MachineType {
            name: name.into(),
            capacity: Resources::rounded_down(slots, slots, slots),
            price,
            spot_price: Some(price / 3.0),
            boot_s: 4.0,
            fetch_gb_per_s: 0.5,
            zones: self.config.zones.clone(),
        }
    }

    fn load(&mut self) {
        let types =
            vec![self.machine_type(MACHINE_TYPE, SLOTS, 1.0), self.machine_type(LARGE, 2.0 * SLOTS, 1.9)];
        let jobs = self.jobs.values().cloned().collect();
        let records = self.records.iter().map(|(key, machines)| (key.clone(), machines.clone())).collect();
        self.decide(vec![Command::MachineTypes(types), Command::StateLoaded { jobs, records }]);
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        if self.rng.random_ratio(1, 25) {
            self.event();
        }
        self.workers.retain(|_, worker| !worker.is_taken(now));
        self.work();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let mut batch: Vec<Command> = due.into_iter().map(|(_, command)| command).collect();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        batch.extend(names.iter().filter_map(|name| self.worker_heartbeat(name)));
        batch
            .extend((0..self.leaseholders.len()).filter_map(|leaseholder| self.shard_heartbeat(leaseholder)));
        if now >= self.listed_at + 4 * SECOND {
            self.listed_at = now;
            batch.push(Command::MachinesListed(self.list()));
        }
        self.decide(batch);
    }

    fn work(&mut self) {
        let jobs = &self.jobs;
        let runs = |id: TaskId| match jobs.get(&id.job_id) {
            Some(job) if job.spec.kind != Kind::Service => to_micros(from_seconds(job.spec.estimate_s / 3.0)),
            _ => u64::MAX,
        };
        self.workers.values_mut().for_each(|worker| worker.work(self.now, LEASE, runs));
    }

    /// A worker's heartbeat: answered by its leaseholder, or a command for the leader.
    fn worker_heartbeat(&mut self, name: &str) -> Option<Command> {
        let now = self.now;
        let worker = self.workers.get_mut(name).filter(|worker| worker.is_heartbeat_due(now))?;
        worker.heartbeat_due = now + to_micros(from_seconds(self.config.workers.report_s));
        let heartbeat = worker.heartbeat(now);
        if worker.node == LEADER {
            return Some(self.heartbeat_command(None, heartbeat));
        }
        let (node, Leaseholder { shard, cut_until }) = (worker.node, &mut self.leaseholders[worker.node - 1]);
        let cut = now < *cut_until;
        let line = Line::new("block").with("node", node).with("machine", name);
        match shard.respond(Timestamp::from_micros(now), &heartbeat, !cut) {
            ShardResponse::Renewed(token, renewal) => {
                worker.answered(now, token, &[]);
                let renewal = words::renewal(Some(&renewal));
                self.out
                    .write(now, line.with("does", "renews").with("token", token).with("renewal", renewal));
                None
            }
            ShardResponse::Duplicate => {
                self.out.write(now, line.with("does", "copy"));
                None
            }
            ShardResponse::NotResponsible if cut => {
                self.out.write(now, line.with("does", "sends-away"));
                worker.node = (worker.node + 1) % 3;
                None
            }
            ShardResponse::NotResponsible => {
                self.out.write(now, line.with("does", "passes-on"));
                Some(self.heartbeat_command(Some(node), heartbeat))
            }
        }
    }

    fn heartbeat_command(&mut self, relayed_by: Option<usize>, heartbeat: Heartbeat) -> Command {
        self.replies += 1;
        let routed = RoutedHeartbeat { relayed_by, heartbeat: heartbeat.clone() };
        self.newest = Some(routed.clone());
        self.waiting.insert(self.replies, routed);
        Command::Heartbeat { response_id: self.replies, heartbeat, relayed_by }
    }

    /// A leaseholder's shard heartbeat; it or its acknowledgement may be lost.
    fn shard_heartbeat(&mut self, leaseholder: usize) -> Option<Command> {
        let now = self.now;
        let (lost, unconfirmed) = (self.rng.random_bool(0.08), self.rng.random_bool(0.08));
        let Leaseholder { shard, cut_until } = &mut self.leaseholders[leaseholder];
        let heartbeat = shard.next_heartbeat(Timestamp::from_micros(now))?;
        let line = Line::new("block-heartbeat")
            .with("node", leaseholder + 1)
            .with("whole", heartbeat.complete)
            .with("fresh", heartbeat.without_lease)
            .list("machines", &heartbeat.machines);
        self.out.write(now, line);
        if lost || now < *cut_until {
            return None;
        }
        if !unconfirmed {
            shard.acknowledge(heartbeat.id, Duration::from_micros(SHARD_LEASE));
        }
        // What it covers lies some way back.
        let covers = heartbeat.complete.then(|| Timestamp::from_micros(now.saturating_sub(2 * STEP)));
        let (machines, fresh) = (heartbeat.machines, heartbeat.without_lease);
        Some(Command::ShardHeartbeat {
            node: leaseholder + 1,
            machines,
            covers_until: covers,
            without_lease: fresh,
        })
    }

    fn list(&self) -> Vec<ListedMachine> {
        let listed = self.workers.values().map(|worker| StoredMachine {
            name: worker.name.clone(),
            machine_type: worker.instance.machine_type.clone(),
            zone: worker.instance.zone.clone(),
            spot: worker.instance.spot,
            address: String::new(),
            images: BTreeSet::new(),
        });
        listed.map(|machine| ListedMachine { machine, failed: false, age_s: 1_000.0 }).collect()
    }

    fn decide(&mut self, batch: Vec<Command>) {
        let effects = self.scheduler.step(Timestamp::from_micros(self.now), batch);
        for effect in &effects {
            effects::write(self.out, self.now, effect);
        }
        effects.into_iter().for_each(|effect| self.carry_out(effect));
    }
}
