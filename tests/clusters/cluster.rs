//! Machines of four slots whose workers report once a second.

use crate::common;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobId, JobSpec, MachineType, ReportedTask, Resources, TaskId, TaskStatus,
};
use dockpier::scheduler::{
    Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, StoredMachine, TaskCommand,
};
use dockpier::settings::{Operator, Team};
use dockpier::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SLOTS: f64 = 4.0;
const ZONES: [&str; 2] = ["a", "b"];

/// A task on a worker.
struct Running {
    attempt: u64,
    /// The heartbeat after which it came.
    since: u64,
}

pub struct Cluster {
    pub scheduler: Scheduler,
    config: Config,
    now: Timestamp,
    sequence: u64,
    token: FencingToken,
    /// Machines with this number and higher are in the second zone.
    second_zone_from: usize,
    /// Machines that are there and report.
    pub machines: BTreeSet<usize>,
    tasks: BTreeMap<usize, BTreeMap<TaskId, Running>>,
    /// Machines that no command reaches.
    pub unreachable: BTreeSet<usize>,
    /// Machines on which every task fails, and jobs of which every task fails.
    pub faulty_machines: BTreeSet<usize>,
    pub faulty_jobs: BTreeSet<u64>,
    /// Tasks that fail wherever they run, by job and index.
    pub faulty_tasks: BTreeSet<(u64, u32)>,
    /// Machines that do not know any job whose start they get.
    pub uninformed_machines: BTreeSet<usize>,
    /// Jobs whose tasks run for ever, also on faulty machines.
    pub endless_jobs: BTreeSet<u64>,
    /// For how many heartbeats a task runs; `None`: for ever.
    pub runs: Option<u64>,
    pub deleted: BTreeSet<String>,
    /// Starts, by job.
    pub starts: BTreeMap<u64, usize>,
}

pub fn machine_name(machine: usize) -> String {
    format!("m-{machine:06}")
}

fn machine_type() -> MachineType {
    MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(SLOTS, SLOTS, SLOTS),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: ZONES.map(String::from).to_vec(),
    }
}

fn stored(spec: JobSpec) -> StoredJob {
    let version = spec.job_id.0;
    StoredJob { spec, version, age: Duration::ZERO, succeeded: BTreeSet::new() }
}

impl Cluster {
    /// All machines in one zone.
    pub fn new(machines: usize, teams: Vec<Team>) -> Cluster {
        Cluster::in_two_zones(machines, 0, teams)
    }

    /// The first machines are in zone "a", the others in zone "b".
    pub fn in_two_zones(first: usize, second: usize, teams: Vec<Team>) -> Cluster {
        // Machines without work are kept: here they are there to be looked at.
        let operator = Operator { idle_s: 3_600.0, ..Operator::default() };
        let config = Config { operator, teams, zones: ZONES.map(String::from).to_vec(), ..common::config() };
        let mut cluster = Cluster {
            scheduler: Scheduler::new(config.clone(), Timestamp::from_secs(1)),
            config,
            now: Timestamp::from_secs(1),
            sequence: 0,
            token: FencingToken(1),
            second_zone_from: first,
            machines: (0..first + second).collect(),
            tasks: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            faulty_machines: BTreeSet::new(),
            faulty_jobs: BTreeSet::new(),
            faulty_tasks: BTreeSet::new(),
            uninformed_machines: BTreeSet::new(),
            endless_jobs: BTreeSet::new(),
            runs: None,
            deleted: BTreeSet::new(),
            starts: BTreeMap::new(),
        };
        cluster.load(Vec::new(), Vec::new());
        cluster.heartbeats(3);
        cluster
    }

    fn load(&mut self, jobs: Vec<StoredJob>, records: Vec<(String, Vec<StoredMachine>)>) {
        self.step(vec![Command::MachineTypes(vec![machine_type()]), Command::StateLoaded { jobs, records }]);
    }

    /// The state service and the cloud carry out everything at once.
    pub fn step(&mut self, batch: Vec<Command>) {
        let mut answers = Vec::new();
        for effect in self.scheduler.step(self.now, batch) {
            match effect {
                Effect::WriteMachineRecord { key, .. } => {
                    answers.push(Command::MachineRecordWritten { key, outcome: RequestOutcome::Done });
                }
                Effect::WriteFinishedTasks { job_id, tasks, .. } => {
                    answers.push(Command::FinishedTasksWritten {
                        job_id,
                        tasks,
                        outcome: RequestOutcome::Done,
                    });
                }
                Effect::WriteJobEnd { job_id, .. } => {
                    answers.push(Command::JobEndWritten { job_id, outcome: RequestOutcome::Done });
                }
                Effect::Delete(machines) => {
                    self.deleted.extend(machines.iter().cloned());
                    answers.push(Command::Deleted { machines, outcome: RequestOutcome::Done });
                }
                Effect::HeartbeatResponse { response_id, task_commands, .. } => {
                    self.carry_out(response_id as usize, task_commands)
                }
                _ => {}
            }
        }
        if !answers.is_empty() {
            self.step(answers);
        }
    }

    fn carry_out(&mut self, machine: usize, task_commands: Vec<TaskCommand>) {
        if self.unreachable.contains(&machine) {
            return;
        }
        let tasks = self.tasks.entry(machine).or_default();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    tasks.insert(id, Running { attempt, since: self.sequence });
                    *self.starts.entry(id.job_id.0).or_default() += 1;
                }
                TaskCommand::Stop { id, .. } | TaskCommand::Forget { id, .. } => {
                    tasks.remove(&id);
                }
            }
        }
    }

    fn status(&self, machine: usize, id: &TaskId, task: &Running) -> TaskStatus {
        if self.endless_jobs.contains(&id.job_id.0) {
            return TaskStatus::Running;
        }
        if self.uninformed_machines.contains(&machine) {
            return TaskStatus::Exited(ExitReason::Unknown);
        }
        let is_faulty_task = self.faulty_tasks.contains(&(id.job_id.0, id.task));
        if is_faulty_task
            || self.faulty_machines.contains(&machine)
            || self.faulty_jobs.contains(&id.job_id.0)
        {
            return TaskStatus::Exited(ExitReason::Error);
        }
        match self.runs {
            Some(runs) if self.sequence >= task.since + runs => TaskStatus::Exited(ExitReason::Done),
            _ => TaskStatus::Running,
        }
    }

    fn zone(&self, machine: usize) -> String {
        ZONES[usize::from(machine >= self.second_zone_from)].into()
    }

    fn heartbeat(&mut self, machine: usize) {
        let tasks = self.tasks.get(&machine).into_iter().flatten();
        let tasks = tasks.map(|(id, task)| ReportedTask {
            id: *id,
            attempt: task.attempt,
            status: self.status(machine, id, task),
        });
        let heartbeat = Heartbeat {
            machine: machine_name(machine),
            address: String::new(),
            machine_type: "m".into(),
            zone: self.zone(machine),
            spot: false,
            agent_epoch: 1,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        };
        self.step(vec![Command::Heartbeat { response_id: machine as u64, heartbeat, relayed_by: None }]);
    }

    pub fn heartbeats(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.sequence += 1;
            self.now += SECOND;
            for machine in self.machines.clone() {
                if !self.deleted.contains(&machine_name(machine)) {
                    self.heartbeat(machine);
                }
            }
            self.step(Vec::new());
        }
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.step(vec![Command::JobAdded(stored(spec))]);
    }

    /// The next leader knows the machines' records, and no jobs.
    pub fn change_leader(&mut self) {
        self.token = self.token.next();
        self.now += 4 * SECOND;
        self.scheduler = Scheduler::new(Config { token: self.token, ..self.config.clone() }, self.now);
        let machine = |machine: &usize| StoredMachine {
            name: machine_name(*machine),
            machine_type: "m".into(),
            zone: self.zone(*machine),
            spot: false,
            address: String::new(),
            images: BTreeSet::new(),
        };
        let records = vec![("1-1".to_string(), self.machines.iter().map(machine).collect())];
        self.load(Vec::new(), records);
    }

    /// Tasks of the job on workers.
    pub fn running(&self, id: u64) -> usize {
        self.tasks.values().flat_map(|tasks| tasks.keys()).filter(|task| task.job_id == JobId(id)).count()
    }

    pub fn is_known(&self, id: u64) -> bool {
        self.scheduler.jobs.contains_key(&JobId(id))
    }
}
