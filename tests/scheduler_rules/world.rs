//! The world: the scheduler under test, the clock, the state of the model, and one step of everything.

use super::gangs::GangRun;
use super::leaseholders::{Leaseholder, LEASEHOLDERS};
use super::messages::Awaited;
use super::partitions::Partitions;
use super::settings::{config, job, types, Deployment, STEP};
use super::worker::Worker;
use dockpier::fencing_token::FencingToken;
use dockpier::lease::shard::Shard;
use dockpier::scheduler::drains::LoadedDrains;
use dockpier::scheduler::model::{Heartbeat, JobId, JobSpec};
use dockpier::scheduler::{Command, Scheduler, StoredJob, StoredMachine, TaskCommand};
use dockpier::time::{to_micros, Timestamp};
use dockpier_simulation::Store;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

pub(super) struct World {
    pub(super) rng: SmallRng,
    pub(super) now: Timestamp,
    pub(super) scheduler: Scheduler,
    pub(super) token: FencingToken,
    pub(super) deployment: Deployment,
    pub(super) workers: BTreeMap<String, Worker>,
    pub(super) leaseholders: Vec<Leaseholder>,
    /// Heartbeats that leaseholders passed on, by number.
    pub(super) passed_on: BTreeMap<u64, (usize, Heartbeat)>,
    pub(super) answered_by_leaseholders: u64,
    pub(super) partitions: Partitions,
    pub(super) cloud_down_until: Timestamp,
    pub(super) specs: BTreeMap<JobId, JobSpec>,
    pub(super) live: BTreeMap<JobId, (u64, BTreeSet<u32>)>,
    pub(super) cancelled: BTreeMap<JobId, Timestamp>,
    pub(super) gangs: BTreeMap<(JobId, u64), GangRun>,
    pub(super) gangs_done: u64,
    pub(super) over: BTreeSet<JobId>,
    pub(super) completed: BTreeMap<JobId, BTreeSet<u32>>,
    pub(super) recorded: BTreeMap<String, Vec<StoredMachine>>,
    pub(super) later: Vec<(Timestamp, Command)>,
    /// Records on their way to the state service: when they are carried out, their key and what they say.
    pub(super) writes: Vec<(Timestamp, String, Vec<StoredMachine>)>,
    /// Heartbeats that arrive late, when, and at which controller.
    pub(super) held: Vec<(Timestamp, Option<usize>, Heartbeat)>,
    /// Direct commands that arrive late: when, where, under which token and agent epoch.
    pub(super) held_orders: Vec<(Timestamp, String, FencingToken, u64, Vec<TaskCommand>)>,
    /// The last reports of each worker, for a copy of them to arrive anywhere.
    pub(super) reported: BTreeMap<String, Vec<Heartbeat>>,
    pub(super) orders_of_former_leaders: u64,
    /// Reports on their way to the leader, whose workers wait: when they arrive.
    pub(super) slow: Vec<(Timestamp, Command)>,
    pub(super) replies: BTreeMap<u64, Awaited>,
    /// Machines whose lease the leader counts as over, with their agent epochs.
    pub(super) lost: BTreeMap<String, u64>,
    pub(super) version: u64,
    pub(super) machines_made: u64,
    pub(super) starts: u64,
    pub(super) finished: u64,
    /// The records of drains, and the rentals that have a name of their own.
    pub(super) drains: Store,
    pub(super) rentals: BTreeMap<String, Vec<String>>,
}

impl World {
    pub(super) fn new(seed: u64, deployment: Deployment) -> Self {
        World {
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_secs(1),
            scheduler: Scheduler::new(config(FencingToken(1), &deployment), Timestamp::from_secs(1)),
            token: FencingToken(1),
            workers: BTreeMap::new(),
            leaseholders: (0..LEASEHOLDERS)
                .map(|i| Leaseholder { shard: Shard::new(64, i as u64), cut_until: Timestamp::ZERO })
                .collect(),
            passed_on: BTreeMap::new(),
            answered_by_leaseholders: 0,
            partitions: Partitions::default(),
            cloud_down_until: Timestamp::ZERO,
            specs: BTreeMap::new(),
            live: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            gangs: BTreeMap::new(),
            gangs_done: 0,
            over: BTreeSet::new(),
            completed: BTreeMap::new(),
            recorded: BTreeMap::new(),
            later: vec![
                (Timestamp::ZERO, Command::MachineTypes(types(&deployment))),
                (Timestamp::ZERO, Command::LoadDrains(LoadedDrains::default())),
                (Timestamp::ZERO, Command::StateLoaded { jobs: vec![], records: vec![] }),
            ],
            drains: Store::default(),
            rentals: BTreeMap::new(),
            deployment,
            writes: Vec::new(),
            held: Vec::new(),
            held_orders: Vec::new(),
            reported: BTreeMap::new(),
            orders_of_former_leaders: 0,
            slow: Vec::new(),
            replies: BTreeMap::new(),
            lost: BTreeMap::new(),
            version: 0,
            machines_made: 0,
            starts: 0,
            finished: 0,
        }
    }

    pub(super) fn submit(&mut self, job_id: u64) {
        let spec = job(&mut self.rng, job_id, &self.deployment);
        self.version += 1;
        self.live.insert(spec.job_id, (self.version, BTreeSet::new()));
        self.specs.insert(spec.job_id, spec.clone());
        let stored =
            StoredJob { spec, version: self.version, age: Duration::ZERO, succeeded: BTreeSet::new() };
        self.later.push((self.now + STEP, Command::JobAdded(stored)));
    }

    pub(super) fn cancel(&mut self, job_id: JobId) {
        if self.live.remove(&job_id).is_some() {
            self.over.insert(job_id);
            self.cancelled.insert(job_id, self.now);
            self.later.push((self.now + STEP, Command::JobRemoved(job_id)));
        }
    }

    /// The leader is gone; the next one knows what the state service holds, and no more.
    pub(super) fn change_leader(&mut self, away: Duration) {
        self.token = self.token.next();
        self.now += away;
        self.scheduler = Scheduler::new(config(self.token, &self.deployment), self.now);
        self.later.clear();
        // What was under way was carried out before the new leader's transaction, or never will be.
        for (_, key, machines) in std::mem::take(&mut self.writes) {
            if self.rng.random_bool(0.5) {
                self.write(key, machines);
            }
        }
        self.replies.clear();
        self.slow.clear();
        self.passed_on.clear();
        let jobs = self
            .live
            .iter()
            .map(|(job_id, (version, done))| StoredJob {
                spec: self.specs[job_id].clone(),
                version: *version,
                age: Duration::ZERO,
                succeeded: done.clone(),
            })
            .collect();
        let records = self.recorded.clone().into_iter().collect();
        self.later.push((self.now, Command::MachineTypes(types(&self.deployment))));
        self.later.push((self.now, Command::LoadDrains(self.drains.loaded_drains())));
        self.later.push((self.now, Command::StateLoaded { jobs, records }));
        if self.rng.random_bool(0.5) {
            self.repeat_old_reports();
        }
        // Commands that were held up arrive just as the new leader begins.
        for (at, name, ..) in &mut self.held_orders {
            let reachable = self.workers.get(name).map_or(Timestamp::ZERO, |w| w.cut_until.max(w.up_at));
            *at = reachable.max(self.now + self.rng.random_range(0..10u64) as u32 * STEP);
        }
    }

    /// Copies of old reports reach every controller just as a new leader begins.
    fn repeat_old_reports(&mut self) {
        for heartbeat in self.reported.values().flatten() {
            for at in [None, Some(0), Some(1)] {
                let delay = self.rng.random_range(0..30u64) as u32 * STEP;
                self.held.push((self.now + delay, at, heartbeat.clone()));
            }
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        let mut batch = Vec::new();
        self.begin_due_partition();
        self.carry_out_writes();
        self.deliver_held_orders();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= self.now);
        self.later = later;
        batch.extend(Vec::into_iter(due).map(|(_, c): (Timestamp, Command)| c));
        self.run_gangs();
        self.run_workers(&mut batch);
        self.run_leaseholders(&mut batch);
        batch.extend(self.machine_list_if_due());
        self.scheduler.time_of_day(self.now, self.now.as_millis());
        let effects = self.scheduler.step(self.now, batch);
        for effect in effects {
            self.carry_out(effect);
        }
        self.check_leases();
        self.check();
    }
}

/// A random duration of whole microseconds.
pub(super) fn random_duration(rng: &mut SmallRng, range: Range<Duration>) -> Duration {
    Duration::from_micros(rng.random_range(to_micros(range.start)..to_micros(range.end)))
}
