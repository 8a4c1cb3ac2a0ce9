//! Failing machines against failing jobs: a table of who is at fault.

mod common;

use common::spec;
use dockpier::core::model::*;
use dockpier::core::{Command, Config, Core, Effect, Order, Outcome, StoredJob};
use dockpier::limits::SECOND;
use dockpier::settings::Operator;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 12;
/// A task that does not fail runs for so many reports.
const RUNS: u64 = 5;

/// Machines of four slots that report once a second; on the faulty ones every task fails, and so does every task of
/// the faulty jobs.
struct Cluster {
    core: Core,
    now: u64,
    sequence: u64,
    faulty_machines: BTreeSet<usize>,
    faulty_jobs: BTreeSet<u64>,
    tasks: BTreeMap<usize, BTreeMap<TaskId, (u64, u64)>>,
    deleted: BTreeSet<String>,
    starts: BTreeMap<u64, usize>,
}

fn name(machine: usize) -> String {
    format!("m-{machine:06}")
}

impl Cluster {
    fn new(faulty_machines: &[usize], faulty_jobs: &[u64]) -> Cluster {
        // Machines without work are kept: here they are there to be looked at.
        let operator = Operator { idle_s: 3_600.0, ..Operator::default() };
        let config = Config { operator, ..common::config() };
        let mut cluster = Cluster {
            core: Core::new(config, SECOND),
            now: SECOND,
            sequence: 0,
            faulty_machines: faulty_machines.iter().copied().collect(),
            faulty_jobs: faulty_jobs.iter().copied().collect(),
            tasks: BTreeMap::new(),
            deleted: BTreeSet::new(),
            starts: BTreeMap::new(),
        };
        let machine_type = MachineType {
            name: "m".into(),
            has: Resources::offered(4.0, 4.0, 4.0),
            price: 1.0,
            spot_price: None,
            boot_s: 60.0,
            zones: vec!["a".into()],
        };
        let load = Command::Load { jobs: Vec::new(), records: Vec::new() };
        cluster.step(vec![Command::Types(vec![machine_type]), load]);
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
                Effect::CommitDone { job_id, tasks, .. } => {
                    answers.push(Command::Committed { job_id, tasks, outcome: Outcome::Done });
                }
                Effect::Finish { job_id, .. } => {
                    answers.push(Command::Finished { job_id, outcome: Outcome::Done });
                }
                Effect::Delete(machines) => {
                    self.deleted.extend(machines.iter().cloned());
                    answers.push(Command::Deleted { machines, outcome: Outcome::Done });
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
        let tasks = self.tasks.entry(machine).or_default();
        for order in orders {
            match order {
                Order::Start { id, attempt } => {
                    tasks.insert(id, (attempt, self.sequence));
                    *self.starts.entry(id.job_id.0).or_default() += 1;
                }
                Order::Stop { id, .. } | Order::Forget { id, .. } => {
                    tasks.remove(&id);
                }
            }
        }
    }

    fn status(&self, machine: usize, id: &TaskId, started: u64) -> TaskStatus {
        if self.faulty_machines.contains(&machine) || self.faulty_jobs.contains(&id.job_id.0) {
            TaskStatus::Exited(ExitReason::Error)
        } else if self.sequence >= started + RUNS {
            TaskStatus::Exited(ExitReason::Done)
        } else {
            TaskStatus::Running
        }
    }

    fn reports(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.sequence += 1;
            self.now += SECOND;
            for machine in (0..MACHINES).filter(|m| !self.deleted.contains(&name(*m))).collect::<Vec<_>>() {
                let tasks = self.tasks.get(&machine).into_iter().flatten();
                let tasks = tasks.map(|(id, (attempt, started))| ReportedTask {
                    id: *id,
                    attempt: *attempt,
                    status: self.status(machine, id, *started),
                });
                let report = Report {
                    machine: name(machine),
                    address: String::new(),
                    machine_type: "m".into(),
                    zone: "a".into(),
                    spot: false,
                    session: 1,
                    sequence: self.sequence,
                    token: 1,
                    notice_s: None,
                    tasks: tasks.collect(),
                };
                self.step(vec![Command::Checkin { reply: machine as u64, report, via: None }]);
            }
            self.step(Vec::new());
        }
    }

    fn submit(&mut self, id: u64, tasks: u32) {
        let spec = spec(id, Kind::Array, Priority::Normal, tasks);
        self.step(vec![Command::JobAdded(StoredJob { spec, version: id, age: 0, done: BTreeSet::new() })]);
    }

    fn is_known(&self, id: u64) -> bool {
        self.core.jobs.contains_key(&JobId(id))
    }
}

#[test]
fn machines_are_told_from_jobs_that_fail() {
    // Faulty machines, faulty jobs of the four that come, and which machines are to be replaced.
    let cases: [(&[usize], &[u64], &[usize]); 5] = [
        (&[], &[], &[]),
        (&[0], &[], &[0]),
        (&[0, 1, 2], &[], &[0, 1, 2]),
        (&[], &[1], &[]),
        (&[], &[1, 2, 3], &[]),
    ];
    for (machines, jobs, replaced) in cases {
        let mut cluster = Cluster::new(machines, jobs);
        (1..=4).for_each(|id| cluster.submit(id, 16));
        cluster.reports(40);
        let replaced: BTreeSet<String> = replaced.iter().map(|m| name(*m)).collect();
        assert_eq!(cluster.deleted, replaced, "faulty machines {machines:?}, faulty jobs {jobs:?}");
        for id in 1..=4 {
            assert_eq!(cluster.is_known(id), jobs.contains(&id), "job {id}, faulty jobs {jobs:?}");
        }
    }
}

/// One faulty machine among many paused a whole array for up to a minute, since each of its tasks that failed there
/// doubled the pause of all.
#[test]
fn an_array_goes_on_elsewhere_when_its_tasks_fail_on_one_machine() {
    let mut cluster = Cluster::new(&[0], &[]);
    cluster.submit(1, 44);
    cluster.reports(16);
    assert!(
        !cluster.is_known(1),
        "{:?}",
        cluster.core.jobs.values().map(|j| j.waits_for).collect::<Vec<_>>()
    );
}

#[test]
fn a_job_that_fails_everywhere_is_not_tried_hot_and_can_be_cancelled() {
    let mut cluster = Cluster::new(&[], &[1]);
    cluster.submit(1, 1);
    cluster.reports(120);
    let starts = cluster.starts[&1];
    assert!((3..=10).contains(&starts), "{starts} starts in two minutes");
    cluster.step(vec![Command::JobRemoved(JobId(1))]);
    cluster.reports(2);
    assert!(!cluster.is_known(1));
}
