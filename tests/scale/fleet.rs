//! A fleet of workers around one scheduler, as large as the largest deployments: workers carry out the commands that
//! they are sent, writes to the key-value store succeed at once, and both are counted.

use crate::common;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobId, JobSpec, Kind, MachineType, Priority, ReportedTask, Resources, TaskId,
    TaskStatus,
};
use dockpier::scheduler::{
    Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, StoredMachine, TaskCommand,
};
use dockpier::settings::{Operator, Workers};
use dockpier::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const MACHINES: usize = 1_900;
pub const SLOTS: i64 = 4;

pub fn spec(job_id: u64, kind: Kind, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        image: format!("i{}", job_id % 7),
        image_gb: 1.0,
        spread: kind == Kind::Service,
        ..common::spec(job_id, kind, priority, tasks)
    }
}

/// A fleet whose workers execute the commands of the responses that reach them.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub sequence: u64,
    /// The fencing token that workers have seen.
    pub token: FencingToken,
    pub machines: usize,
    pub running: BTreeMap<String, BTreeMap<TaskId, u64>>,
    /// Machines whose heartbeats arrive and that no response reaches.
    pub unreachable: BTreeSet<String>,
    /// Jobs whose tasks end by themselves.
    pub completed: BTreeSet<JobId>,
    /// Machines that the scheduler had deleted.
    pub deleted: BTreeSet<String>,
    /// Machines asked of the cloud so far.
    pub rented: u32,
    /// The cloud has machines; they never come up.
    pub offers_machines: bool,
    /// Changes of the key-value store: for machine records, and for finished tasks and jobs.
    pub machine_writes: usize,
    pub job_writes: usize,
    /// Tasks stay in the state of fetching their image.
    pub fetching: bool,
    /// The leaseholder through which all heartbeats come.
    pub leaseholder: Option<usize>,
}

pub fn name(i: usize) -> String {
    format!("m-{i:06}")
}

pub fn machine_type(config: &Config) -> MachineType {
    MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(SLOTS as f64, SLOTS as f64, SLOTS as f64),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: config.zones.clone(),
    }
}

/// A machine as an earlier leader recorded it.
pub fn recorded(i: usize) -> StoredMachine {
    StoredMachine {
        name: name(i),
        machine_type: "m".into(),
        zone: ["a", "b"][i % 2].into(),
        spot: false,
        address: String::new(),
        images: BTreeSet::new(),
    }
}

/// Workers report every four seconds; the leader has a fifth of a core.
fn config(write_rps: f64) -> Config {
    Config {
        write_rps,
        // Machines without work are kept: here they are there to be looked at.
        operator: Operator { idle_s: 3_600.0, ..Operator::default() },
        workers: Workers {
            report_s: 4.0,
            lease_s: 20.0,
            cancel_s: 45.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        cpu_share: 0.2,
        max_machines_per_record: 12,
        ..common::config()
    }
}

impl Fleet {
    pub fn new(machines: usize) -> Fleet {
        Fleet::with_writes(machines, common::config().write_rps)
    }

    /// `write_rps`: changes a second that the key-value store takes.
    pub fn with_writes(machines: usize, write_rps: f64) -> Fleet {
        let config = config(write_rps);
        let machine_type = machine_type(&config);
        let mut fleet = Fleet {
            scheduler: Scheduler::new(config, Timestamp::from_secs(1)),
            now: Timestamp::from_secs(1),
            sequence: 0,
            token: FencingToken(1),
            machines,
            running: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            completed: BTreeSet::new(),
            deleted: BTreeSet::new(),
            rented: 0,
            offers_machines: false,
            machine_writes: 0,
            job_writes: 0,
            fetching: false,
            leaseholder: None,
        };
        fleet.step(vec![
            Command::MachineTypes(vec![machine_type]),
            Command::StateLoaded { jobs: vec![], records: vec![] },
        ]);
        (0..3).for_each(|_| fleet.heartbeat());
        fleet
    }

    /// Takes the commands and carries out the effects, until none of them calls for a further command.
    pub fn step(&mut self, batch: Vec<Command>) {
        let effects = self.scheduler.step(self.now, batch);
        let mut outcomes = Vec::new();
        for effect in effects {
            outcomes.extend(self.apply(effect));
        }
        if !outcomes.is_empty() {
            self.step(outcomes);
        }
    }

    /// Carries out an effect; the command that tells the scheduler its outcome, if it is to be told.
    fn apply(&mut self, effect: Effect) -> Option<Command> {
        match effect {
            Effect::WriteMachineRecord { key, .. } => {
                self.machine_writes += 1;
                Some(Command::MachineRecordWritten { key, outcome: RequestOutcome::Done })
            }
            Effect::Delete(machines) => {
                self.deleted.extend(machines.iter().cloned());
                Some(Command::Deleted { machines, outcome: RequestOutcome::Done })
            }
            Effect::Rent { request, count, .. } => {
                let (machines, outcome) = self.rent(count);
                Some(Command::Rented { request, machines, outcome })
            }
            Effect::WriteFinishedTasks { job_id, tasks, .. } => {
                self.job_writes += 1;
                Some(Command::FinishedTasksWritten { job_id, tasks, outcome: RequestOutcome::Done })
            }
            Effect::WriteJobEnd { job_id, chunks, .. } => {
                self.job_writes += 2 + chunks.len();
                Some(Command::JobEndWritten { job_id, outcome: RequestOutcome::Done })
            }
            Effect::HeartbeatResponse { response_id, task_commands, .. } => {
                self.execute(&name(response_id as usize), task_commands);
                None
            }
            _ => None,
        }
    }

    fn rent(&mut self, count: u32) -> (Option<Vec<String>>, RequestOutcome) {
        let names = (0..count).map(|i| format!("r-{:06}", self.rented + i)).collect();
        self.rented += count;
        match self.offers_machines {
            true => (Some(names), RequestOutcome::Done),
            false => (None, RequestOutcome::Refused),
        }
    }

    fn execute(&mut self, machine: &str, task_commands: Vec<TaskCommand>) {
        if self.unreachable.contains(machine) {
            return;
        }
        let running = self.running.entry(machine.into()).or_default();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    running.insert(id, attempt);
                }
                TaskCommand::Stop { id, .. } | TaskCommand::Forget { id, .. } => {
                    running.remove(&id);
                }
            }
        }
    }

    /// All machines send a heartbeat within four seconds, in forty batches.
    pub fn heartbeat(&mut self) {
        self.sequence += 1;
        let batches = 40;
        for batch in 0..batches {
            self.now += 4 * SECOND / batches as u32;
            let heartbeats = (batch..self.machines).step_by(batches);
            let commands =
                heartbeats.filter(|i| !self.deleted.contains(&name(*i))).map(|i| self.heartbeat_request(i));
            let commands = commands.collect();
            self.step(commands);
        }
    }

    fn heartbeat_request(&self, i: usize) -> Command {
        let machine = name(i);
        let tasks = self.running.get(&machine).into_iter().flatten();
        let status = if self.fetching { TaskStatus::Fetching } else { TaskStatus::Running };
        let status = |id: &TaskId| match self.completed.contains(&id.job_id) {
            true => TaskStatus::Exited(ExitReason::Done),
            false => status,
        };
        let heartbeat =
            |(id, attempt): (&TaskId, &u64)| ReportedTask { id: *id, attempt: *attempt, status: status(id) };
        let tasks = tasks.map(heartbeat).collect();
        let heartbeat = Heartbeat {
            machine,
            address: String::new(),
            machine_type: "m".into(),
            zone: ["a", "b"][i % 2].into(),
            spot: false,
            agent_epoch: 1,
            sequence: self.sequence,
            // The first heartbeat of all states no token yet.
            token: if self.sequence > 1 { self.token } else { FencingToken(0) },
            notice_s: None,
            tasks,
        };
        Command::Heartbeat { response_id: i as u64, heartbeat, relayed_by: self.leaseholder }
    }

    pub fn submit(&mut self, spec: JobSpec) {
        let version = spec.job_id.0;
        self.step(vec![Command::JobAdded(StoredJob {
            spec,
            version,
            age: Duration::ZERO,
            succeeded: BTreeSet::new(),
        })]);
    }

    /// Every running task of the job exits as done, and its heartbeats report it.
    pub fn complete(&mut self, job_id: u64) {
        self.completed.insert(JobId(job_id));
    }

    /// The job is removed from the store, as by a cancellation; its tasks stop at once.
    pub fn finish(&mut self, job_id: u64) {
        for running in self.running.values_mut() {
            running.retain(|id, _| id.job_id != JobId(job_id));
        }
        self.step(vec![Command::JobRemoved(JobId(job_id))]);
    }

    /// Tasks of the job that run.
    pub fn width(&self, job_id: u64) -> usize {
        self.running.values().flat_map(|t| t.keys()).filter(|id| id.job_id == JobId(job_id)).count()
    }
}
