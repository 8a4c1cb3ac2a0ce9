//! The single owner of jobs, tasks, machines and shard. Commands come in batches, effects go out.
//! Pure: no I/O, no clock, no globals; the random numbers are seeded.

pub mod autoscaler;
pub mod cold_start;
pub mod consolidation;
pub mod drains;
pub mod elastic;
pub mod failure_detection;
pub mod gang;
mod headroom;
mod heartbeat_responses;
pub mod heartbeats;
mod lease_expiry;
mod messages;
pub mod model;
pub mod overview;
mod placements;
pub mod quarantine;
pub mod quota;
mod reachability;
mod recall;
pub mod records;
pub mod scaling_plan;
pub mod scoring;
mod stale_heartbeats;
mod task_exit;
mod task_lists;

pub use messages::{Command, Config, Effect, HeartbeatOutcome, ListedMachine, StoredJob, WriteOutcome};
pub use model::{StoredMachine, TaskCommand};
pub use stale_heartbeats::IgnoredHeartbeats;

use crate::lease::renewal::LeaseRenewal;
use crate::limits;
use autoscaler::Fleet;
use drains::Drains;
use model::*;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// What this leader knows of a leaseholder.
#[derive(Debug, Default, Clone, Copy)]
struct Leaseholder {
    /// Every answer that it gave before then is known here.
    covered_until: u64,
    /// When its lease was last renewed; it may go on for a shard lease.
    last_heartbeat_at: u64,
}

/// A heartbeat that waits for the next round of decisions. What its answer renews is noted already, so that no lease is
/// counted as over while it waits.
#[derive(Debug)]
struct PendingHeartbeat {
    reply: u64,
    machine: String,
    renewal: Option<LeaseRenewal>,
}

pub struct Scheduler {
    pub config: Config,
    pub now: u64,
    pub started_at: u64,
    pub loaded: bool,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub types: BTreeMap<String, MachineType>,
    pub fleet: Fleet,
    drains: Drains,
    cold_start: cold_start::ColdStart,
    /// Machines that have each image, as far as is known.
    machines_by_image: BTreeMap<String, BTreeSet<String>>,
    ledger: overview::Ledger,
    records: records::Records,
    writes: crate::token_bucket::TokenBucket,
    /// Where the last round of decisions stopped.
    cursor: Option<JobId>,
    /// The next round is due without news then, and allowed with news from then on.
    next_round_at: u64,
    earliest_round_at: u64,
    round_requested: bool,
    /// Probes of all rounds so far: what a test bounds instead of time.
    pub steps: u64,
    /// heartbeats whose heartbeats brought news: answered by the next round, which may have a start for them.
    pending_heartbeats: Vec<PendingHeartbeat>,
    next_expiry_check_at: u64,
    /// Kinds of machine (type, zone, spot) of which earlier leaders' have not all reported.
    unreconciled: BTreeSet<autoscaler::Offer>,
    attempts: u64,
    /// All machines of earlier leaders are accounted for.
    reconciled: bool,
    /// Until when somebody else may have kept workers alive under a token of the past.
    kept_alive_until: u64,
    /// When each leaseholder was last out of touch: what reports through it may come another way for a while.
    out_of_touch: BTreeMap<usize, u64>,
    failure_detector: failure_detection::FailureDetector,
    leaseholders: BTreeMap<usize, Leaseholder>,
    /// Heartbeats of which nothing was taken in.
    ignored_heartbeats: IgnoredHeartbeats,
    /// Work of a job on average, as of the last round.
    mean_job_work: f64,
    effects: Vec<Effect>,
}

impl Scheduler {
    pub fn new(config: Config, now: u64) -> Self {
        let writes = records::write_budget(config.write_rps, now);
        // Lessees may answer as long as that for the last leader.
        let shard_lease = config.shard_lease;
        Scheduler {
            config,
            records: records::Records::default(),
            writes,
            now,
            started_at: now,
            loaded: false,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            types: BTreeMap::new(),
            fleet: Fleet::new(now),
            drains: Drains::default(),
            cold_start: cold_start::ColdStart::default(),
            machines_by_image: BTreeMap::new(),
            ledger: overview::Ledger::default(),
            cursor: None,
            next_round_at: 0,
            earliest_round_at: 0,
            round_requested: true,
            steps: 0,
            pending_heartbeats: Vec::new(),
            next_expiry_check_at: 0,
            unreconciled: BTreeSet::new(),
            attempts: 0,
            reconciled: false,
            kept_alive_until: now + limits::lengthened(shard_lease),
            out_of_touch: BTreeMap::new(),
            failure_detector: failure_detection::FailureDetector::default(),
            leaseholders: BTreeMap::new(),
            ignored_heartbeats: IgnoredHeartbeats::default(),
            mean_job_work: 0.0,
            effects: Vec::new(),
        }
    }

    /// No worker lease ends earlier than a full one after this time.
    pub fn record_kept_alive_until(&mut self, at: u64) {
        self.kept_alive_until = self.kept_alive_until.max(at);
    }

    /// These nodes are out of touch now.
    pub fn out_of_touch(&mut self, now: u64, nodes: impl Iterator<Item = usize>) {
        self.out_of_touch.extend(nodes.map(|node| (node, now)));
    }

    /// Takes a batch, decides within the budget, and says what is to be done.
    pub fn step(&mut self, now: u64, batch: Vec<Command>) -> Vec<Effect> {
        self.now = self.now.max(now);
        for command in batch {
            self.take(command);
        }
        self.expire_leases();
        if self.loaded
            && (self.round_requested && self.now >= self.earliest_round_at || self.now >= self.next_round_at)
        {
            self.round_requested = false;
            self.round();
        }
        if self.loaded {
            self.write_due();
            self.fleet_round();
            self.drain_round();
            self.cold_start_round();
            self.send_direct_stops();
        }
        // A heartbeat with news waits for the round, which is never far.
        let held = self.round_requested && self.loaded;
        let replies = if held { Vec::new() } else { std::mem::take(&mut self.pending_heartbeats) };
        for PendingHeartbeat { reply, machine, renewal } in replies {
            self.respond(reply, &machine, renewal);
        }
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Load { jobs, records } => self.load(jobs, records),
            Command::JobAdded(stored) => self.add_job(stored, false),
            Command::JobRemoved(job_id) => self.remove_job(job_id),
            Command::Heartbeat { reply, heartbeat, via } => {
                return self.handle_heartbeat(reply, heartbeat, via);
            }
            Command::ShardHeartbeat { node, machines, covers_until: covers, first_of_incarnation: fresh } => {
                if fresh {
                    // A leaseholder that crashes has forgotten whom it answered; its first word seemed to cover
                    // that too, and a leader counted leases as over that ran (`leadership::tests`).
                    self.record_kept_alive_until(self.now);
                }
                return self.apply_shard_heartbeat(node, machines, covers);
            }
            Command::DirectCommandAnswered(heartbeat) => {
                if self.apply_heartbeat(heartbeat, HeartbeatSource::DirectResponse)
                    != HeartbeatOutcome::Changed
                {
                    return;
                }
            }
            Command::Committed { job_id, tasks, outcome } => self.committed(job_id, tasks, outcome),
            Command::Finished { job_id, outcome } => match outcome {
                WriteOutcome::Done => self.remove_job(job_id),
                // Cancelled meanwhile, or of unknown outcome: its record decides, and is tried again.
                _ => {
                    if let Some(job) = self.jobs.get_mut(&job_id) {
                        job.progress.write_in_flight = false;
                    }
                }
            },
            Command::Recorded { key, outcome } => self.recorded(&key, outcome),
            Command::Types(types) => {
                self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                for machine in self.machines.values_mut() {
                    if let Some(t) = self.types.get(&machine.machine_type) {
                        machine.capacity = t.capacity;
                    }
                }
            }
            Command::Rented { request, machines, outcome } => self.rented(request, machines, outcome),
            Command::Deleted { machines, outcome } => self.deleted(machines, outcome),
            Command::Listed(list) => self.listed(list),
            Command::LoadDrains(stored) => self.load_drains(stored),
            Command::DrainRequests(requests) => self.take_drain_requests(requests),
            Command::DrainWritten { key, outcome } => self.drain_written(&key, outcome),
            Command::JobRead { job_id, sent, reading } => self.job_read(job_id, sent, reading),
            Command::ColdStartWritten(outcome) => self.cold_start_written(outcome == WriteOutcome::Done),
        }
        self.round_requested = true;
    }

    fn load(&mut self, jobs: Vec<StoredJob>, records: Vec<(String, Vec<StoredMachine>)>) {
        info!(jobs = jobs.len(), records = records.len(), "loaded");
        for stored in jobs {
            self.add_job(stored, true);
        }
        for (key, machines) in records {
            self.load_record(key, machines);
        }
        // heartbeats before this point were answered without being noted: leases count from here.
        self.started_at = self.now;
        self.loaded = true;
        self.begin_cold_start();
    }

    fn add_job(&mut self, stored: StoredJob, inherited: bool) {
        let job_id = stored.spec.job_id;
        if self.jobs.contains_key(&job_id) {
            return;
        }
        debug!(job = %job_id, tasks = stored.spec.tasks, inherited, "job known");
        let arrived = self.now.saturating_sub(stored.age);
        let job = Job::new(stored.spec, stored.version, arrived, inherited, stored.succeeded);
        self.jobs.insert(job_id, job);
    }

    /// The job is over: nothing of it starts, and what runs is stopped.
    fn remove_job(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.terminated = true;
        job.progress.pending.clear();
        self.stop_all(job_id);
        self.remove_if_terminated(job_id);
    }

    pub fn machines_up(&self) -> u32 {
        self.machines.values().filter(|m| m.state == MachineState::Ready && !m.lifecycle.deleting).count()
            as u32
    }

    /// (job, finished tasks, running tasks) for display.
    pub fn summary(&self) -> Vec<(JobId, u32, u32)> {
        let running = |job: &Job| {
            let on = self.placements_of(job).filter(|(_, _, t)| t.status == TaskStatus::Running);
            on.map(|(id, _, _)| id).collect::<BTreeSet<_>>().len() as u32
        };
        self.jobs
            .values()
            .filter(|j| !j.terminated)
            .map(|j| (j.spec.job_id, j.progress.succeeded.len() as u32, running(j)))
            .collect()
    }
}
