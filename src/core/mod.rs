//! The single owner of jobs, tasks, machines and blocks. Commands come in batches, effects go out.
//! Pure: no I/O, no clock, no globals; the random numbers are seeded.

pub mod consolidate;
pub mod drains;
pub mod elastic;
pub mod failure_detection;
pub mod faults;
pub mod fleet;
pub mod gang;
pub mod model;
pub mod overview;
pub mod place;
pub mod plan;
pub mod records;
pub mod reports;
pub mod teams;

use crate::limits;
use crate::settings::{Operator, Team, Workers};
use dockpier_drain::request::StoredRequest;
use drains::{DrainKey, DrainValue, Drains, LoadedDrains};
use fleet::Fleet;
use model::*;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

#[derive(Debug, Clone)]
pub struct Config {
    pub token: u64,
    pub operator: Operator,
    pub workers: Workers,
    pub teams: Vec<Team>,
    pub zones: Vec<String>,
    pub list_lag_s: f64,
    pub round_steps: usize,
    /// The share of a processor core that this process has.
    pub cpu_share: f64,
    /// Puts and deletes a second that the state service allows all nodes together.
    pub write_rps: f64,
    /// Machines that fit into one record.
    pub record_machines: usize,
    /// Bytes that a value of the state service may have.
    pub value_most: usize,
    /// Rental requests under way at once.
    pub rentals_at_once: usize,
    /// For how long a lessee may go on by itself, in microseconds; 0: there are no others.
    pub block_lease: u64,
}

/// A job as the state service has it.
#[derive(Debug, Clone)]
pub struct StoredJob {
    pub spec: JobSpec,
    pub version: u64,
    /// Time since its submission, in microseconds.
    pub age: u64,
    pub done: BTreeSet<u32>,
}

/// A machine as the state service has it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredMachine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub address: String,
    /// Images it has, so that a new leader still places jobs where they start at once.
    pub images: BTreeSet<String>,
}

/// A machine as the cloud lists it: only ever a hint.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    pub machine: StoredMachine,
    pub failed: bool,
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Refused,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// What a report turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The round should look at what it brought.
    News,
    /// It lists what the last one did.
    Unchanged,
    /// A copy of one that was taken already, or from a machine that is gone.
    Late,
}

#[derive(Debug)]
pub enum Command {
    /// What the state service held when this leader took over.
    Load {
        jobs: Vec<StoredJob>,
        records: Vec<(String, Vec<StoredMachine>)>,
    },
    JobAdded(StoredJob),
    JobRemoved(JobId),
    /// A check-in; the answer goes out under this number.
    Checkin {
        reply: u64,
        report: Report,
        /// The lessee that passed it on; None: it came here.
        via: Option<usize>,
    },
    /// Machines that a lessee has answered by itself.
    Heard {
        node: usize,
        machines: Vec<String>,
        /// Up to then it has answered nobody else; None: the list may be cut short.
        covers: Option<u64>,
        /// Its first heartbeats: an earlier life may have answered anybody until now.
        fresh: bool,
    },
    /// A worker's report in answer to a direct command.
    OrdersAnswered(Report),
    Committed {
        job_id: JobId,
        tasks: BTreeSet<u32>,
        outcome: Outcome,
    },
    Finished {
        job_id: JobId,
        outcome: Outcome,
    },
    Recorded {
        key: String,
        outcome: Outcome,
    },
    Types(Vec<MachineType>),
    Rented {
        request: u64,
        machines: Option<Vec<String>>,
        outcome: Outcome,
    },
    Deleted {
        machines: Vec<String>,
        outcome: Outcome,
    },
    Listed(Vec<ListedMachine>),
    /// What the state service held of drains when this leader took over; comes before `Load`.
    LoadDrains(LoadedDrains),
    /// What operators ask for now.
    DrainRequests(Vec<StoredRequest>),
    DrainWritten {
        key: DrainKey,
        outcome: Outcome,
    },
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    Start { id: TaskId, attempt: u64 },
    Stop { id: TaskId, attempt: u64, grace_s: f64 },
    Forget { id: TaskId, attempt: u64 },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Answer {
        reply: u64,
        orders: Vec<Order>,
        /// The node that passed the report on may answer the next ones by itself if they say nothing new.
        keep: bool,
    },
    /// A lessee is to pass this machine's next report on.
    Wake {
        node: usize,
        machine: String,
    },
    /// Stops sent straight to a worker, which then need not wait for its next report.
    Direct {
        machine: String,
        address: String,
        session: u64,
        orders: Vec<Order>,
    },
    CommitDone {
        job_id: JobId,
        version: u64,
        tasks: BTreeSet<u32>,
        all_done: BTreeSet<u32>,
    },
    Finish {
        job_id: JobId,
        version: u64,
        tasks: u32,
        /// Keys of finished tasks to remove with it.
        chunks: Vec<u32>,
    },
    /// Machines that may hold tasks; none: the record is to be removed.
    Record {
        key: String,
        machines: Vec<StoredMachine>,
    },
    Rent {
        request: u64,
        /// The rental's name, where it must be the same whoever leads.
        name: Option<String>,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Delete(Vec<String>),
    /// A record of a drain is to be stored.
    WriteDrain {
        key: DrainKey,
        value: DrainValue,
    },
    /// A worker has seen a higher token: somebody else leads.
    Deposed(u64),
}

/// What this leader knows of a lessee.
#[derive(Debug, Default, Clone, Copy)]
struct Lessee {
    /// Every answer that it gave before then is known here.
    covered: u64,
    /// When its lease was last renewed; it may go on for a block lease.
    confirmed: u64,
}

pub struct Core {
    pub config: Config,
    pub now: u64,
    pub started: u64,
    pub loaded: bool,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub types: BTreeMap<String, MachineType>,
    pub fleet: Fleet,
    drains: Drains,
    ledger: overview::Ledger,
    records: records::Records,
    writes: records::WriteBudget,
    /// Where the last round of decisions stopped.
    cursor: Option<JobId>,
    /// The next round is due without news then, and allowed with news from then on.
    round_due: u64,
    round_from: u64,
    news: bool,
    /// Probes of all rounds so far: what a test bounds instead of time.
    pub steps: u64,
    /// Check-ins whose reports brought news: answered by the next round, which may have a start for them.
    held: Vec<(u64, String)>,
    expire_due: u64,
    /// Kinds of machine (type, zone, spot) of which earlier leaders' have not all reported.
    unreconciled: BTreeSet<fleet::Offer>,
    attempts: u64,
    /// All machines of earlier leaders are accounted for.
    reconciled: bool,
    /// Until when somebody else may have kept workers alive under a token of the past.
    kept_alive: u64,
    /// When each lessee was last out of touch: what reports through it may come another way for a while.
    out_of_touch: BTreeMap<usize, u64>,
    failure_detector: failure_detection::FailureDetector,
    lessees: BTreeMap<usize, Lessee>,
    /// Work of a job on average, as of the last round.
    typical_work: f64,
    effects: Vec<Effect>,
}

impl Core {
    pub fn new(config: Config, now: u64) -> Self {
        let writes = records::WriteBudget::new(config.write_rps, now);
        // Lessees may answer as long as that for the last leader.
        let block_lease = config.block_lease;
        Core {
            config,
            records: records::Records::default(),
            writes,
            now,
            started: now,
            loaded: false,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            types: BTreeMap::new(),
            fleet: Fleet::new(now),
            drains: Drains::default(),
            ledger: overview::Ledger::default(),
            cursor: None,
            round_due: 0,
            round_from: 0,
            news: true,
            steps: 0,
            held: Vec::new(),
            expire_due: 0,
            unreconciled: BTreeSet::new(),
            attempts: 0,
            reconciled: false,
            kept_alive: now + limits::lengthened(block_lease),
            out_of_touch: BTreeMap::new(),
            failure_detector: failure_detection::FailureDetector::default(),
            lessees: BTreeMap::new(),
            typical_work: 0.0,
            effects: Vec::new(),
        }
    }

    /// No worker lease ends earlier than a full one after this time.
    pub fn kept_alive_until(&mut self, at: u64) {
        self.kept_alive = self.kept_alive.max(at);
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
        self.expire();
        if self.loaded && (self.news && self.now >= self.round_from || self.now >= self.round_due) {
            self.news = false;
            self.round();
        }
        if self.loaded {
            self.write_due();
            self.fleet_round();
            self.drain_round();
            self.direct_stops();
        }
        // A report with news waits for the round, which is never far.
        let held = self.news && self.loaded;
        let replies = if held { Vec::new() } else { std::mem::take(&mut self.held) };
        for (reply, machine) in replies {
            let (orders, keep) = self.answer(&machine);
            self.effects.push(Effect::Answer { reply, orders, keep });
        }
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Load { jobs, records } => self.load(jobs, records),
            Command::JobAdded(stored) => self.add_job(stored, false),
            Command::JobRemoved(job_id) => self.remove_job(job_id),
            Command::Checkin { reply, report, via } => {
                if report.token > self.config.token {
                    self.effects.push(Effect::Deposed(report.token));
                    return;
                }
                return self.checkin(reply, report, via);
            }
            Command::Heard { node, machines, covers, fresh } => {
                if fresh {
                    // A lessee that crashes has forgotten whom it answered; its first word seemed to cover
                    // that too, and a leader counted leases as over that ran (leadership_tests).
                    self.kept_alive_until(self.now);
                }
                return self.heard_through(node, machines, covers);
            }
            Command::OrdersAnswered(report) => {
                if self.report(report, false) != Taken::News {
                    return;
                }
            }
            Command::Committed { job_id, tasks, outcome } => self.committed(job_id, tasks, outcome),
            Command::Finished { job_id, outcome } => match outcome {
                Outcome::Done => self.remove_job(job_id),
                // Cancelled meanwhile, or of unknown outcome: its record decides, and is tried again.
                _ => {
                    if let Some(job) = self.jobs.get_mut(&job_id) {
                        job.committing = false;
                    }
                }
            },
            Command::Recorded { key, outcome } => self.recorded(&key, outcome),
            Command::Types(types) => {
                self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                for machine in self.machines.values_mut() {
                    if let Some(t) = self.types.get(&machine.machine_type) {
                        machine.has = t.has;
                    }
                }
            }
            Command::Rented { request, machines, outcome } => self.rented(request, machines, outcome),
            Command::Deleted { machines, outcome } => self.deleted(machines, outcome),
            Command::Listed(list) => self.listed(list),
            Command::LoadDrains(stored) => self.load_drains(stored),
            Command::DrainRequests(requests) => self.take_drain_requests(requests),
            Command::DrainWritten { key, outcome } => self.drain_written(&key, outcome),
        }
        self.news = true;
    }

    fn checkin(&mut self, reply: u64, report: Report, via: Option<usize>) {
        let name = report.machine.clone();
        let taken = self.report(report, true);
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&name).filter(|_| taken != Taken::Late) {
            machine.comes_by(via, now);
        }
        match taken {
            Taken::News => {
                self.news = true;
                self.held.push((reply, name));
            }
            Taken::Unchanged => {
                let (orders, keep) = self.answer(&name);
                self.effects.push(Effect::Answer { reply, orders, keep });
            }
            // A copy, or a machine that is gone: nobody waits for commands, and no lease hangs on it.
            Taken::Late => {
                self.effects.push(Effect::Answer { reply, orders: Vec::new(), keep: false });
            }
        }
    }

    fn load(&mut self, jobs: Vec<StoredJob>, records: Vec<(String, Vec<StoredMachine>)>) {
        info!(jobs = jobs.len(), records = records.len(), "loaded");
        for stored in jobs {
            self.add_job(stored, true);
        }
        for (key, machines) in records {
            self.load_record(key, machines);
        }
        // Check-ins before this point were answered without being noted: leases count from here.
        self.started = self.now;
        self.loaded = true;
    }

    fn add_job(&mut self, stored: StoredJob, inherited: bool) {
        let job_id = stored.spec.job_id;
        if self.jobs.contains_key(&job_id) {
            return;
        }
        debug!(job = %job_id, tasks = stored.spec.tasks, inherited, "job known");
        let arrived = self.now.saturating_sub(stored.age);
        let job = Job::new(stored.spec, stored.version, arrived, inherited, stored.done);
        self.jobs.insert(job_id, job);
    }

    /// The job is over: nothing of it starts, and what runs is stopped.
    fn remove_job(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.over = true;
        job.waiting.clear();
        self.stop_all(job_id);
        self.drop_if_over(job_id);
    }

    fn stop_all(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let places: Vec<_> = self.placed(job).map(|(id, machine, _)| (id, machine.to_string())).collect();
        for (id, machine) in places {
            self.stop(&machine, id, 0.0);
        }
    }

    /// Every place where a task of the job is, or may be.
    fn placed<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = (TaskId, &'a str, &'a Placed)> {
        let places = job.places.iter().flat_map(|(task, names)| names.iter().map(move |n| (*task, n)));
        places.filter_map(|(task, name)| {
            let id = TaskId { job_id: job.spec.job_id, task };
            Some((id, name.as_str(), self.machines.get(name)?.tasks.get(&id)?))
        })
    }

    fn drop_if_over(&mut self, job_id: JobId) {
        if self.jobs.get(&job_id).is_some_and(|j| j.over && j.places.is_empty()) {
            self.jobs.remove(&job_id);
        }
    }

    /// One number for all tasks of a job that start together: a gang's tasks find one another by it.
    /// It carries the token, so that no two leaders ever use one twice.
    fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.config.token << 32) | self.attempts
    }

    /// Reserves the place; the start goes out with the answer to the machine's next report.
    fn place_on(&mut self, name: &str, id: TaskId, needs: Resources, image: String, attempt: u64) {
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(name) {
            debug!(task = %id, machine = name, attempt, "place");
            let placed = Placed {
                attempt,
                needs,
                sent: None,
                seen: false,
                status: TaskStatus::Fetching,
                runs_since: None,
                image,
                since: now,
                stopping: None,
            };
            machine.tasks.insert(id, placed);
        }
        self.wake(name);
    }

    fn stop(&mut self, name: &str, id: TaskId, grace_s: f64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(placed) = machine.tasks.get_mut(&id) else { return };
        if placed.sent.is_none() && !placed.seen {
            // Its start has not left: it is provably nowhere.
            machine.tasks.remove(&id);
            self.unplace(name, id);
            return;
        }
        // A later stop with less grace ends the saving.
        let grace = placed.stopping.map_or(grace_s, |(_, g)| g.min(grace_s));
        if placed.stopping.is_none_or(|(_, g)| g > grace) {
            placed.stopping = Some((now, grace));
            self.fleet.direct.insert(name.to_string());
            self.wake(name);
        }
    }

    /// The task is provably not on this machine any more.
    fn unplace(&mut self, name: &str, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        if let Some(names) = job.places.get_mut(&id.task) {
            names.retain(|n| n != name);
            if names.is_empty() {
                job.places.remove(&id.task);
                if !job.over && !job.done.contains(&id.task) {
                    job.waiting.insert(id.task);
                }
            }
        }
        self.drop_if_over(id.job_id);
    }

    /// Everything on the machine is gone.
    fn clear_machine(&mut self, name: &str) {
        self.note_lost_work(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let tasks: Vec<_> = std::mem::take(&mut machine.tasks).into_keys().collect();
        machine.exited.clear();
        machine.foreign.clear();
        for id in tasks {
            self.unplace(name, id);
        }
    }

    pub fn usable(&self, machine: &Machine) -> bool {
        machine.phase == Phase::Up
            && machine.reconciled
            && machine.recorded
            && !machine.draining
            && !machine.deleting
            && !self.drains.is_cordoned(&machine.name)
            && machine.recall_at.is_none()
            && machine.foreign.is_empty()
            && machine.no_room_until <= self.now
            && !self.failure_detector.zone_unreachable(&machine.zone)
            && machine.unheard < limits::UNHEARD_DEAF
            && self.now < machine.heard + limits::silent(self.config.workers.report_s)
    }

    /// Whether every machine that an earlier leader may have started the job on is accounted for, as of
    /// the beginning of the round.
    pub fn reconciled_for(&self, job: &Job) -> bool {
        let may_use = |(machine_type, zone, spot): &fleet::Offer| {
            job.spec.allows_type(machine_type) && job.spec.allows_zone(zone) && (!spot || job.spec.spot)
        };
        self.reconciled || !self.unreconciled.iter().any(may_use)
    }

    fn note_unreconciled(&mut self) {
        let open = self.machines.values().filter(|m| m.inherited && !m.reconciled);
        self.unreconciled = if self.reconciled {
            BTreeSet::new()
        } else {
            open.map(|m| (m.machine_type.clone(), m.zone.clone(), m.spot)).collect()
        };
    }

    fn expire(&mut self) {
        if self.now < self.expire_due {
            return;
        }
        self.expire_due = self.now + limits::EXPIRE_EVERY;
        self.update_reachability();
        let lease = limits::worker_lease(self.config.workers.lease_s);
        let now = self.now;
        let alive = self.started.max(self.kept_alive);
        // A lessee may have answered anybody since its last word, until its own lease ends.
        let block_lease = limits::lengthened(self.config.block_lease);
        let open = self.lessees.values().filter(|h| now < h.confirmed + block_lease + lease);
        let covered = open.map(|h| h.covered).min().unwrap_or(u64::MAX);
        let ended: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Lost)
            // A worker first heard of may have begun its lease as late as then: without its report in the
            // sum, every machine younger than this leader was given up the moment it came up.
            .filter(|m| now.min(covered) >= m.answered.max(m.heard).max(alive) + lease)
            .filter(|m| m.phase == Phase::Up || !m.tasks.is_empty() || (m.inherited && !m.reconciled))
            .map(|m| m.name.clone())
            .collect();
        for name in ended {
            info!(machine = name, "lease ended: everything on it is gone");
            self.clear_machine(&name);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.phase = Phase::Lost;
                machine.reconciled = true;
            }
            self.news = true;
        }
        if !self.reconciled && self.loaded {
            let open = |m: &&Machine| m.inherited && !m.reconciled;
            self.reconciled = now >= alive + lease || self.machines.values().filter(open).count() == 0;
            if self.reconciled {
                info!(after_ms = (now - self.started) / 1000, "all machines of earlier leaders reconciled");
                self.news = true;
            }
        }
    }

    /// The largest shape among critical jobs: what a reserved place must hold.
    fn critical_shape(&self) -> Option<Resources> {
        self.largest(|j| j.spec.priority == Priority::Critical)
    }

    /// Places kept free in each zone: room for the widest critical services about, spread over zones.
    fn reserve_places(&self) -> i64 {
        let critical = self.jobs.values().filter(|j| j.spec.priority == Priority::Critical);
        let widest = critical.map(|j| j.spec.tasks).max().unwrap_or(0);
        let zones = self.config.zones.len().max(1) as u32;
        i64::from((widest * self.config.operator.reserve_services).div_ceil(zones))
    }

    /// Room that holds a task of any of these jobs.
    fn largest(&self, of: impl Fn(&Job) -> bool) -> Option<Resources> {
        let needs = self.jobs.values().filter(|j| of(j)).map(|j| j.spec.needs);
        needs.reduce(|a, b| Resources {
            cpus: a.cpus.max(b.cpus),
            gpus: a.gpus.max(b.gpus),
            memory: a.memory.max(b.memory),
        })
    }

    pub fn machines_up(&self) -> u32 {
        self.machines.values().filter(|m| m.phase == Phase::Up && !m.deleting).count() as u32
    }

    /// (job, finished tasks, running tasks) for display.
    pub fn summary(&self) -> Vec<(JobId, u32, u32)> {
        let running = |job: &Job| {
            let on = self.placed(job).filter(|(_, _, t)| t.status == TaskStatus::Running);
            on.map(|(id, _, _)| id).collect::<BTreeSet<_>>().len() as u32
        };
        self.jobs
            .values()
            .filter(|j| !j.over)
            .map(|j| (j.spec.job_id, j.done.len() as u32, running(j)))
            .collect()
    }
}
