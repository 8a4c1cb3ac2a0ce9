//! Gangs, stage by stage: what a fault in each does to the tasks, judged by the commands that the workers get.

mod common;

use common::spec;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobId, JobSpec, Kind, MachineType, Priority, ReportedTask, Resources, TaskId,
    TaskStatus,
};
use dockpier::scheduler::{
    Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, StoredMachine, TaskCommand,
};
use dockpier::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Five machines of one place each, and a gang of three on them.
struct Bed {
    scheduler: Scheduler,
    now: Timestamp,
    sequence: u64,
    token: FencingToken,
    silent: BTreeSet<usize>,
    notice: BTreeMap<usize, f64>,
    on: BTreeMap<usize, BTreeMap<TaskId, (u64, TaskStatus)>>,
    stops: Vec<(TaskId, f64)>,
    finished: Vec<JobId>,
}

const MACHINES: usize = 5;
const GANG: JobId = JobId(1);

fn name(machine: usize) -> String {
    format!("m-{machine:06}")
}

fn types() -> Command {
    Command::MachineTypes(vec![MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(1.0, 1.0, 1.0),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into()],
    }])
}

fn gang() -> StoredJob {
    let spec = JobSpec {
        checkpoint_interval_s: 20.0,
        checkpoint_save_s: 3.0,
        one_zone: true,
        ..spec(1, Kind::Gang, Priority::High, 3)
    };
    StoredJob { spec, version: 1, age: Duration::ZERO, succeeded: BTreeSet::new() }
}

impl Bed {
    fn new() -> Bed {
        let config = Config { zones: vec!["a".into()], max_machines_per_record: 6, ..common::config() };
        let mut bed = Bed {
            scheduler: Scheduler::new(config, Timestamp::from_secs(1)),
            now: Timestamp::from_secs(1),
            sequence: 0,
            token: FencingToken(1),
            silent: BTreeSet::new(),
            notice: BTreeMap::new(),
            on: BTreeMap::new(),
            stops: Vec::new(),
            finished: Vec::new(),
        };
        bed.step(vec![types(), Command::StateLoaded { jobs: vec![], records: vec![] }]);
        (0..2).for_each(|_| bed.heartbeat());
        bed.step(vec![Command::JobAdded(gang())]);
        (0..3).for_each(|_| bed.heartbeat());
        bed
    }

    fn step(&mut self, batch: Vec<Command>) {
        self.now += SECOND / 10;
        let mut then = Vec::new();
        for effect in self.scheduler.step(self.now, batch) {
            match effect {
                Effect::WriteMachineRecord { key, .. } => {
                    then.push(Command::MachineRecordWritten { key, outcome: RequestOutcome::Done })
                }
                Effect::WriteJobEnd { job_id, .. } => {
                    self.finished.push(job_id);
                    then.push(Command::JobEndWritten { job_id, outcome: RequestOutcome::Done });
                }
                Effect::HeartbeatResponse { response_id, task_commands, .. } if response_id > 0 => {
                    self.task_commands(response_id as usize - 1, task_commands)
                }
                Effect::DirectCommands { machine, task_commands, .. } => {
                    let machine = machine.trim_start_matches("m-").parse().unwrap();
                    if !self.silent.contains(&machine) {
                        self.task_commands(machine, task_commands);
                    }
                }
                _ => {}
            }
        }
        if !then.is_empty() {
            self.step(then);
        }
    }

    fn task_commands(&mut self, machine: usize, task_commands: Vec<TaskCommand>) {
        let on = self.on.entry(machine).or_default();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    on.entry(id).or_insert((attempt, TaskStatus::Fetching));
                }
                TaskCommand::Stop { id, attempt, grace_s } => {
                    let lives = |t: &&mut (u64, TaskStatus)| !matches!(t.1, TaskStatus::Exited(_));
                    if let Some(task) = on.get_mut(&id).filter(|t| t.0 == attempt).filter(lives) {
                        task.1 = TaskStatus::Exited(ExitReason::Stopped);
                        self.stops.push((id, grace_s));
                    }
                }
                TaskCommand::Forget { id, .. } => drop(on.remove(&id)),
            }
        }
    }

    fn heartbeat(&mut self) {
        self.sequence += 1;
        for machine in (0..MACHINES).filter(|m| !self.silent.contains(m)).collect::<Vec<_>>() {
            let on = self.on.entry(machine).or_default();
            let tasks = on.iter().map(|(id, (attempt, status))| ReportedTask {
                id: *id,
                attempt: *attempt,
                status: *status,
            });
            let heartbeat = Heartbeat {
                machine: name(machine),
                address: String::new(),
                machine_type: "m".into(),
                zone: "a".into(),
                spot: false,
                agent_epoch: 1,
                sequence: self.sequence,
                token: self.token,
                notice_s: self.notice.get(&machine).copied(),
                tasks: tasks.collect(),
            };
            self.step(vec![Command::Heartbeat {
                response_id: machine as u64 + 1,
                heartbeat,
                relayed_by: None,
            }]);
        }
    }

    fn heartbeats(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.heartbeat());
    }

    /// Where its living tasks are, under which attempts.
    fn living(&self) -> Vec<(usize, u32, u64)> {
        let all = self.on.iter().flat_map(|(m, on)| on.iter().map(move |(id, t)| (*m, *id, *t)));
        let living = all.filter(|(_, id, t)| id.job_id == GANG && !matches!(t.1, TaskStatus::Exited(_)));
        living.map(|(m, id, t)| (m, id.task, t.0)).collect()
    }

    fn attempts(&self) -> BTreeSet<u64> {
        self.living().into_iter().map(|(_, _, attempt)| attempt).collect()
    }

    fn set(&mut self, status: TaskStatus) {
        self.on.values_mut().flat_map(|on| on.values_mut()).for_each(|t| t.1 = status);
    }

    /// The machine is gone, by the cloud's word.
    fn lose(&mut self, machine: usize) {
        self.silent.insert(machine);
        self.on.remove(&machine);
        self.step(vec![Command::Deleted { machines: vec![name(machine)], outcome: RequestOutcome::Done }]);
    }

    /// The next leader, which knows what is stored and no more.
    fn change_leader(&mut self) {
        self.token = self.token.next();
        let config = Config { token: self.token, ..self.scheduler.config.clone() };
        self.scheduler = Scheduler::new(config, self.now);
        let known = |machine| StoredMachine {
            name: name(machine),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            address: String::new(),
            images: BTreeSet::new(),
        };
        let records = vec![("1-1".into(), (0..MACHINES).map(known).collect())];
        self.step(vec![types(), Command::StateLoaded { jobs: vec![gang()], records }]);
    }
}

#[test]
fn a_gang_starts_whole_under_one_attempt() {
    let bed = Bed::new();
    assert_eq!((bed.living().len(), bed.attempts().len()), (3, 1));
}

/// The others wait: stopped and started anew they would lose what they have fetched and their places.
#[test]
fn a_task_lost_before_the_start_is_replaced_under_the_same_attempt() {
    let mut bed = Bed::new();
    let before = bed.attempts();
    let (lost, ..) = bed.living()[0];
    bed.lose(lost);
    bed.heartbeats(3);
    assert_eq!((bed.living().len(), bed.attempts()), (3, before));
    assert!(bed.stops.is_empty());
}

#[test]
fn one_that_finds_no_room_for_a_lost_task_does_not_let_its_places_idle() {
    let mut bed = Bed::new();
    // Nothing else is free: one place is lost, and others are taken.
    let job = StoredJob {
        spec: spec(2, Kind::Array, Priority::Critical, 2),
        version: 2,
        age: Duration::ZERO,
        succeeded: BTreeSet::new(),
    };
    bed.step(vec![Command::JobAdded(job)]);
    bed.heartbeats(3);
    let (lost, ..) = bed.living()[0];
    bed.lose(lost);
    bed.heartbeats(3);
    assert_eq!(bed.living().len(), 2, "it waits for a while");
    bed.heartbeats(30);
    assert_eq!(bed.living().len(), 0);
}

#[test]
fn a_task_lost_while_it_runs_ends_the_attempt_and_the_next_one_is_whole() {
    let mut bed = Bed::new();
    bed.set(TaskStatus::Running);
    bed.heartbeat();
    let before = bed.attempts();
    let (lost, ..) = bed.living()[0];
    bed.lose(lost);
    bed.heartbeats(4);
    assert_eq!((bed.living().len(), bed.attempts().len()), (3, 1));
    assert!(bed.attempts().is_disjoint(&before), "the old attempt can't go on");
}

/// A machine that hangs may still hold its task: nothing of the next attempt starts beside it.
#[test]
fn the_next_attempt_waits_until_each_old_task_is_gone() {
    let mut bed = Bed::new();
    bed.set(TaskStatus::Running);
    bed.heartbeat();
    let (hangs, ..) = bed.living()[0];
    bed.silent.insert(hangs);
    // The others notice.
    for (_, on) in bed.on.iter_mut().filter(|(m, _)| **m != hangs) {
        on.values_mut().for_each(|t| t.1 = TaskStatus::Exited(ExitReason::Stopped));
    }
    bed.heartbeats(3);
    assert_eq!(bed.living().len(), 1, "the one that hangs");
    bed.lose(hangs);
    bed.heartbeats(3);
    assert_eq!((bed.living().len(), bed.attempts().len()), (3, 1));
}

#[test]
fn one_that_was_not_complete_in_time_starts_again_under_another_attempt() {
    let mut bed = Bed::new();
    let before = bed.attempts();
    let (machine, task, _) = bed.living()[0];
    let id = TaskId { job_id: GANG, task };
    bed.on.get_mut(&machine).unwrap().get_mut(&id).unwrap().1 = TaskStatus::Exited(ExitReason::Stopped);
    bed.heartbeats(4);
    assert_eq!((bed.living().len(), bed.attempts().len()), (3, 1));
    assert!(bed.attempts().is_disjoint(&before), "a worker forgets no attempt that gave up");
}

/// The tasks complete together, so that one heartbeat is enough: the machine of another may be lost with its own.
#[test]
fn one_task_done_is_the_whole_gang_done() {
    let mut bed = Bed::new();
    bed.set(TaskStatus::Running);
    bed.heartbeat();
    bed.set(TaskStatus::Exited(ExitReason::Done));
    let machines: Vec<usize> = bed.living().iter().map(|(m, ..)| *m).collect();
    assert!(machines.is_empty());
    let others: Vec<usize> =
        bed.on.iter().filter(|(_, on)| !on.is_empty()).map(|(m, _)| *m).skip(1).collect();
    bed.silent.extend(others);
    bed.heartbeats(2);
    assert_eq!(bed.finished, [GANG]);
}

/// Saving works only if all get the stop within `gang_peer_s`, with the time to save and to wait for one another.
#[test]
fn a_notice_stops_all_of_a_gang_at_once_with_time_to_save() {
    let mut bed = Bed::new();
    bed.set(TaskStatus::Running);
    bed.heartbeat();
    let (machine, ..) = bed.living()[0];
    bed.notice.insert(machine, 12.0);
    bed.heartbeat();
    assert_eq!(bed.stops.len(), 3, "{:?}", bed.stops);
    assert!(bed.stops.iter().all(|(_, grace)| *grace >= 3.0 + 6.0), "{:?}", bed.stops);
}

#[test]
fn a_new_leader_takes_a_running_gang_as_it_is_and_one_that_waits_too() {
    for status in [TaskStatus::Running, TaskStatus::Fetching] {
        let mut bed = Bed::new();
        bed.set(status);
        bed.heartbeat();
        let before = bed.living();
        bed.change_leader();
        // Partial knowledge is no broken gang.
        let late = before[0].0;
        bed.silent.insert(late);
        bed.heartbeats(2);
        bed.silent.remove(&late);
        bed.heartbeats(4);
        assert_eq!(bed.living(), before, "{status:?}");
        assert!(bed.stops.is_empty(), "{status:?}: {:?}", bed.stops);
    }
}

#[test]
fn a_cancelled_gang_is_stopped_in_every_stage() {
    for status in [TaskStatus::Running, TaskStatus::Fetching] {
        let mut bed = Bed::new();
        bed.set(status);
        bed.step(vec![Command::JobRemoved(GANG)]);
        bed.heartbeats(3);
        assert_eq!(bed.living().len(), 0, "{status:?}");
        assert!(!bed.scheduler.jobs.contains_key(&GANG));
    }
}
