//! Teams with guarantees and limits, over a change of leader: what may run counts against a limit, and only that.

mod common;

use common::spec;
use dockpier::core::model::*;
use dockpier::core::{Command, Config, Core, Effect, Order, Outcome, StoredJob, StoredMachine};
use dockpier::limits::SECOND;
use dockpier::settings::Team;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: f64 = 4.0;

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

/// Machines of four slots whose workers report once a second and carry out what they are told.
struct Cluster {
    core: Core,
    config: Config,
    now: u64,
    sequence: u64,
    token: u64,
    machines: BTreeSet<usize>,
    tasks: BTreeMap<usize, BTreeMap<TaskId, u64>>,
    /// Machines that no command reaches.
    unreachable: BTreeSet<usize>,
}

fn machine_name(machine: usize) -> String {
    format!("m-{machine:06}")
}

fn machine_type() -> MachineType {
    MachineType {
        name: "m".into(),
        has: Resources::offered(SLOTS, 0.0, SLOTS),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        zones: vec!["a".into()],
    }
}

fn job(id: u64, team: &str, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        team: team.into(),
        needs: Resources::needed(1.0, 0.0, 1.0),
        ..spec(id, Kind::Array, priority, tasks)
    }
}

impl Cluster {
    fn new(machines: usize, teams: Vec<Team>) -> Cluster {
        let config = Config { teams, zones: vec!["a".into()], ..common::config() };
        let mut cluster = Cluster {
            core: Core::new(config.clone(), SECOND),
            config,
            now: SECOND,
            sequence: 0,
            token: 1,
            machines: (0..machines).collect(),
            tasks: BTreeMap::new(),
            unreachable: BTreeSet::new(),
        };
        cluster.step(vec![
            Command::Types(vec![machine_type()]),
            Command::Load { jobs: Vec::new(), records: Vec::new() },
        ]);
        cluster.reports(3);
        cluster
    }

    fn step(&mut self, batch: Vec<Command>) {
        let mut answers = Vec::new();
        for effect in self.core.step(self.now, batch) {
            match effect {
                Effect::Record { key, .. } => {
                    answers.push(Command::Recorded { key, outcome: Outcome::Done });
                }
                Effect::Answer { reply, orders, .. } => self.carry_out(reply as usize, orders),
                _ => {}
            }
        }
        if !answers.is_empty() {
            self.step(answers);
        }
    }

    fn carry_out(&mut self, machine: usize, orders: Vec<Order>) {
        if self.unreachable.contains(&machine) {
            return;
        }
        let tasks = self.tasks.entry(machine).or_default();
        for order in orders {
            match order {
                Order::Start { id, attempt } => {
                    tasks.insert(id, attempt);
                }
                Order::Stop { id, .. } | Order::Forget { id, .. } => {
                    tasks.remove(&id);
                }
            }
        }
    }

    fn report(&mut self, machine: usize) {
        let listed = self.tasks.entry(machine).or_default().iter();
        let tasks = listed.map(|(id, attempt)| ReportedTask {
            id: *id,
            attempt: *attempt,
            status: TaskStatus::Running,
        });
        let report = Report {
            machine: machine_name(machine),
            address: String::new(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            session: 1,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        };
        self.step(vec![Command::Checkin { reply: machine as u64, report, via: None }]);
    }

    fn reports(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.sequence += 1;
            self.now += SECOND;
            for machine in self.machines.clone() {
                self.report(machine);
            }
            self.step(Vec::new());
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        let version = spec.job_id.0;
        self.step(vec![Command::JobAdded(StoredJob { spec, version, age: 0, done: BTreeSet::new() })]);
    }

    /// The next leader knows the machines' records and these jobs.
    fn change_leader(&mut self, jobs: Vec<JobSpec>) {
        self.token += 1;
        self.now += 4 * SECOND;
        self.core = Core::new(Config { token: self.token, ..self.config.clone() }, self.now);
        let machine = |machine: &usize| StoredMachine {
            name: machine_name(*machine),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            address: String::new(),
            images: BTreeSet::new(),
        };
        let records = vec![("1-1".to_string(), self.machines.iter().map(machine).collect())];
        let stored = |spec: JobSpec| {
            let version = spec.job_id.0;
            StoredJob { spec, version, age: 0, done: BTreeSet::new() }
        };
        let jobs = jobs.into_iter().map(stored).collect();
        self.step(vec![Command::Types(vec![machine_type()]), Command::Load { jobs, records }]);
    }

    fn running(&self, id: u64) -> usize {
        self.tasks.values().flat_map(|tasks| tasks.keys()).filter(|task| task.job_id == JobId(id)).count()
    }
}

/// Every team waited for the last machine of the earlier leader's, which had died: no work began for half a
/// minute on a fleet of hundreds whose teams were far from their limits.
#[test]
fn a_machine_that_has_not_reported_to_a_new_leader_counts_in_full_and_no_more() {
    let limit = 12.0;
    let mut cluster = Cluster::new(5, vec![team("t", 0.0, limit)]);
    // The last leader had filled machine 0 for a job of this team.
    cluster.change_leader(Vec::new());
    cluster.machines.remove(&0);
    cluster.submit(job(1, "t", Priority::Normal, 20));
    cluster.reports(3);
    assert_eq!(cluster.running(1), 8, "what may run on the machine that is missing counts");
    cluster.machines.insert(0);
    cluster.reports(4);
    assert_eq!(cluster.running(1), 12, "it has reported, and is empty");
}

/// A task of a job that is over, and of which a new leader knows nothing, is some team's until it has ended.
#[test]
fn a_task_of_an_unknown_job_counts_against_every_limit_until_it_has_ended() {
    let mut cluster = Cluster::new(3, vec![team("t", 0.0, 8.0)]);
    cluster.submit(job(1, "t", Priority::Normal, 8));
    cluster.reports(2);
    assert_eq!(cluster.running(1), 8);
    // The job is cancelled as the leader changes, and its machines do not hear the stops yet.
    cluster.unreachable = [0, 1].into();
    cluster.change_leader(Vec::new());
    cluster.submit(job(2, "t", Priority::Normal, 8));
    for _ in 0..3 {
        cluster.reports(1);
        assert_eq!((cluster.running(1), cluster.running(2)), (8, 0));
    }
    cluster.unreachable.clear();
    cluster.reports(3);
    assert_eq!((cluster.running(1), cluster.running(2)), (0, 8));
}

/// What a team has borrowed goes back to one that is within its guarantee, and no more than was borrowed.
#[test]
fn borrowed_capacity_is_returned_down_to_the_guarantee_of_its_team() {
    let teams = vec![team("lender", 6.0, 0.0), team("borrower", 4.0, 0.0)];
    let mut cluster = Cluster::new(2, teams);
    cluster.submit(job(1, "borrower", Priority::High, 8));
    cluster.reports(2);
    assert_eq!(cluster.running(1), 8, "unused capacity is lent");
    // Of a lower class, and within its team's guarantee all the same.
    cluster.submit(job(2, "lender", Priority::Low, 8));
    cluster.reports(60);
    assert_eq!((cluster.running(1), cluster.running(2)), (4, 4));
}
