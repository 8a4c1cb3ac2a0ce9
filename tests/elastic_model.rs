//! The elastic pass against a slow plain model of DESIGN's text, on equal one-task machines.

mod common;

use common::spec;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::{self, SECOND};
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobId, JobSpec, Kind, MachineType, Priority, ReportedTask, Resources, TaskId,
    TaskStatus,
};
use dockpier::scheduler::{
    Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, StoredMachine, TaskCommand,
};
use dockpier::settings::Operator;
use dockpier::time::{from_seconds, Timestamp};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(1.0, 1.0, 1.0),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into()],
    }]
}

/// A machine of the bed, as a leader records it.
fn known(i: usize) -> StoredMachine {
    StoredMachine {
        name: format!("m-{i:06}"),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        address: String::new(),
        images: BTreeSet::new(),
    }
}

struct Bed {
    scheduler: Scheduler,
    now: Timestamp,
    sequence: u64,
    machines: usize,
    running: BTreeMap<String, BTreeMap<TaskId, u64>>,
    /// Tasks that have run to their end and are not reaped yet.
    ended: BTreeSet<TaskId>,
    /// Machines that the cloud was asked to delete, at whatever step.
    deleted: Vec<String>,
}

impl Bed {
    fn new(machines: usize, gap_s: f64) -> Bed {
        let config = Config {
            operator: Operator { rescale_gap_s: gap_s, ..Operator::default() },
            zones: vec!["a".into()],
            ..common::config()
        };
        let mut bed = Bed {
            scheduler: Scheduler::new(config, Timestamp::from_secs(1)),
            now: Timestamp::from_secs(1),
            sequence: 0,
            machines,
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
            deleted: Vec::new(),
        };
        bed.step(vec![
            Command::MachineTypes(types()),
            Command::StateLoaded { jobs: vec![], records: vec![] },
        ]);
        bed.heartbeat();
        bed.heartbeat();
        bed
    }

    fn step(&mut self, batch: Vec<Command>) -> Vec<Effect> {
        self.now += Duration::from_micros(100_000);
        let effects = self.scheduler.step(self.now, batch);
        for effect in &effects {
            if let Effect::Delete(names) = effect {
                self.deleted.extend(names.clone());
            }
        }
        let recorded: Vec<Command> = effects
            .iter()
            .filter_map(|e| match e {
                Effect::WriteMachineRecord { key, .. } => {
                    Some(Command::MachineRecordWritten { key: key.clone(), outcome: RequestOutcome::Done })
                }
                Effect::WriteFinishedTasks { job_id, tasks, .. } => {
                    let (job_id, tasks) = (*job_id, tasks.clone());
                    Some(Command::FinishedTasksWritten { job_id, tasks, outcome: RequestOutcome::Done })
                }
                _ => None,
            })
            .collect();
        if !recorded.is_empty() {
            self.step(recorded);
        }
        effects
    }

    /// Every worker reports and carries out what it is told.
    fn heartbeat(&mut self) {
        self.sequence += 1;
        for i in 0..self.machines {
            let machine = format!("m-{i:06}");
            let listed = self.running.entry(machine.clone()).or_default();
            let tasks = listed
                .iter()
                .map(|(id, attempt)| {
                    let ended = self.ended.contains(id);
                    let status =
                        if ended { TaskStatus::Exited(ExitReason::Done) } else { TaskStatus::Running };
                    ReportedTask { id: *id, attempt: *attempt, status }
                })
                .collect();
            let heartbeat = Heartbeat {
                machine: machine.clone(),
                address: String::new(),
                machine_type: "m".into(),
                zone: "a".into(),
                spot: false,
                agent_epoch: 1,
                sequence: self.sequence,
                token: FencingToken(1),
                notice_s: None,
                tasks,
            };
            for effect in self.step(vec![Command::Heartbeat { response_id: 1, heartbeat, relayed_by: None }])
            {
                let Effect::HeartbeatResponse { task_commands, .. } = effect else { continue };
                let running = self.running.get_mut(&machine).unwrap();
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
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        let version = spec.job_id.0;
        self.step(vec![Command::JobAdded(StoredJob {
            spec,
            version,
            age: Duration::ZERO,
            succeeded: BTreeSet::new(),
        })]);
        (0..3).for_each(|_| self.heartbeat());
    }

    fn width(&self, job_id: u64) -> u32 {
        self.running.values().flat_map(|t| t.keys()).filter(|id| id.job_id == JobId(job_id)).count() as u32
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Lower arrays fill up in order of arrival; then a gang of a higher class comes.
    #[test]
    fn admission_and_shrinking_follow_the_plain_model(
        machines in 1usize..10,
        arrays in prop::collection::vec(1u32..6, 0..4),
        gang in 1u32..8,
    ) {
        let mut bed = Bed::new(machines, 0.0);
        let mut free = machines as u32;
        let mut widths = Vec::new();
        for (i, tasks) in arrays.iter().enumerate() {
            bed.submit(spec(i as u64 + 1, Kind::Array, Priority::Low, *tasks));
            let width = free.min(*tasks);
            free -= width;
            widths.push(width);
            prop_assert_eq!(bed.width(i as u64 + 1), width, "array {} of {:?}", i, arrays);
        }
        bed.submit(spec(99, Kind::Gang, Priority::High, gang));
        let can_yield: u32 = widths.iter().map(|w| w.saturating_sub(1)).sum();
        let starts = free + can_yield >= gang;
        let mut missing = if starts { gang.saturating_sub(free) } else { 0 };
        // The latest job yields first, and each keeps its minimum.
        for width in widths.iter_mut().rev() {
            let taken = missing.min(width.saturating_sub(1));
            *width -= taken;
            missing -= taken;
        }
        prop_assert_eq!(bed.width(99), if starts { gang } else { 0 });
        for (i, width) in widths.iter().enumerate() {
            prop_assert_eq!(bed.width(i as u64 + 1), *width, "array {} of {:?}, gang {}", i, arrays, gang);
        }
    }
}

#[test]
fn the_gap_protects_a_job_that_has_just_been_rescaled() {
    let mut bed = Bed::new(4, 10.0);
    bed.submit(spec(1, Kind::Array, Priority::Low, 4));
    assert_eq!(bed.width(1), 4);
    bed.submit(spec(2, Kind::Gang, Priority::High, 2));
    assert_eq!((bed.width(1), bed.width(2)), (4, 0), "inside the gap nobody shrinks");
    while bed.now < Timestamp::from_secs(15) {
        bed.heartbeat();
    }
    assert_eq!((bed.width(1), bed.width(2)), (2, 2), "after it the newcomer gets its minimum");
}

#[test]
fn a_critical_replica_starts_though_every_array_is_at_its_minimum() {
    let mut bed = Bed::new(2, 10.0);
    bed.submit(spec(1, Kind::Array, Priority::Low, 1));
    bed.submit(spec(2, Kind::Array, Priority::Low, 1));
    bed.submit(spec(3, Kind::Service, Priority::Critical, 1));
    assert_eq!((bed.width(1), bed.width(2), bed.width(3)), (1, 0, 1));
}

#[test]
fn a_waiting_job_that_aged_passes_a_newer_one_of_a_higher_class() {
    let mut bed = Bed::new(1, 0.0);
    bed.submit(spec(1, Kind::Array, Priority::Normal, 1));
    bed.submit(spec(2, Kind::Array, Priority::Low, 1));
    let aging = from_seconds(Operator::default().aging_s);
    while bed.now < Timestamp::from_secs(1) + aging + 10 * SECOND {
        bed.heartbeat();
    }
    bed.submit(spec(3, Kind::Array, Priority::Normal, 1));
    bed.step(vec![Command::JobRemoved(JobId(1))]);
    (0..3).for_each(|_| bed.heartbeat());
    assert_eq!((bed.width(2), bed.width(3)), (1, 0));
}

#[test]
fn a_round_over_its_budget_goes_on_where_it_stopped() {
    let mut bed = Bed::new(6, 0.0);
    bed.scheduler.config.max_round_steps = 3;
    let batch = (1..7u64).map(|job_id| {
        let spec = spec(job_id, Kind::Array, Priority::Low, 1);
        Command::JobAdded(StoredJob {
            spec,
            version: job_id,
            age: Duration::ZERO,
            succeeded: BTreeSet::new(),
        })
    });
    bed.step(batch.collect());
    (0..4).for_each(|_| bed.heartbeat());
    let widths: Vec<u32> = (1..7).map(|job_id| bed.width(job_id)).collect();
    assert_eq!(widths, [1; 6]);
}

#[test]
fn a_machine_that_is_slow_twice_gets_no_arrays_for_a_while() {
    let mut bed = Bed::new(4, 0.0);
    bed.submit(spec(1, Kind::Array, Priority::Low, 40));
    let slow = "m-000000".to_string();
    let judged = |bed: &Bed| bed.scheduler.machines[&slow].health.quarantined_until > bed.now;
    let mut slow_since = bed.now;
    while !judged(&bed) {
        assert!(bed.now < Timestamp::from_secs(120), "never recognised");
        // Everywhere else tasks take some 2 s, here 8.
        let fast: Vec<TaskId> =
            bed.running.iter().filter(|(m, _)| **m != slow).flat_map(|(_, t)| t.keys().copied()).collect();
        bed.ended.extend(fast);
        if bed.now >= slow_since + 8 * SECOND {
            bed.ended.extend(bed.running[&slow].keys().copied().collect::<Vec<_>>());
            slow_since = bed.now;
        }
        (0..4).for_each(|_| bed.heartbeat());
    }
    (0..4).for_each(|_| bed.heartbeat());
    assert!(bed.running[&slow].is_empty(), "an array's task was started on the slow machine");
    bed.submit(spec(2, Kind::Service, Priority::Critical, 1));
    assert_eq!(bed.width(2), 1, "services still may use it");
}

#[test]
fn a_held_report_of_a_returned_machine_brings_nothing_back() {
    let mut bed = Bed::new(2, 0.0);
    bed.submit(spec(1, Kind::Array, Priority::Low, 2));
    let gone = "m-000001".to_string();
    bed.step(vec![Command::Deleted { machines: vec![gone.clone()], outcome: RequestOutcome::Done }]);
    // The cut ends and delivers what the machine had reported before.
    bed.heartbeat();
    assert!(!bed.scheduler.machines.contains_key(&gone));
    let places: usize = bed.scheduler.jobs[&JobId(1)].placements.values().map(Vec::len).sum();
    assert_eq!((places, bed.scheduler.jobs[&JobId(1)].progress.pending.len()), (1, 1));
}

/// A record that an earlier version made may be larger than the state service takes from now on: written again as
/// it is it would be refused for ever. No machine may be missing from all records meanwhile.
#[test]
fn a_record_that_is_too_large_is_split_and_the_new_ones_are_written_first() {
    let config = Config { token: FencingToken(2), zones: vec!["a".into()], ..common::config() };
    let most = config.max_machines_per_record;
    let mut scheduler = Scheduler::new(config, Timestamp::from_secs(1));
    let old = (0..3 * most).map(known).collect::<Vec<_>>();
    let mut stored: BTreeMap<String, Vec<StoredMachine>> = [("1-1".to_string(), old)].into();
    let records = vec![("1-1".into(), stored["1-1"].clone())];
    let mut then = vec![Command::MachineTypes(types()), Command::StateLoaded { jobs: vec![], records }];
    for step in 1..100 {
        let effects = scheduler
            .step(Timestamp::from_secs(1) + Duration::from_micros(step * 100_000), std::mem::take(&mut then));
        for effect in effects {
            let Effect::WriteMachineRecord { key, machines } = effect else { continue };
            assert!(machines.len() <= most, "{key}: {} machines", machines.len());
            stored.insert(key.clone(), machines);
            let all: BTreeSet<&String> = stored.values().flatten().map(|m| &m.name).collect();
            assert_eq!(all.len(), 3 * most, "a machine is in no record");
            then.push(Command::MachineRecordWritten { key, outcome: RequestOutcome::Done });
        }
    }
    assert!(stored.values().all(|machines| machines.len() <= most), "the old record was left as it was");
}

#[test]
fn a_machine_that_does_not_come_to_a_new_leader_is_deleted_before_its_lease_ends() {
    let mut bed = Bed::new(3, 0.0);
    // The next leader: four machines are on record, three of them report.
    bed.scheduler = Scheduler::new(bed.scheduler.config.clone(), bed.now);
    let job = StoredJob {
        spec: spec(1, Kind::Array, Priority::Low, 2),
        version: 1,
        age: Duration::ZERO,
        succeeded: BTreeSet::new(),
    };
    let load =
        Command::StateLoaded { jobs: vec![job], records: vec![("1-1".into(), (0..4).map(known).collect())] };
    bed.step(vec![Command::MachineTypes(types()), load]);
    let started_at = bed.now;
    while bed.deleted.is_empty() {
        bed.heartbeat();
        assert_eq!(bed.width(1), 0, "its tasks may be on the machine that has not come");
        assert!(bed.now < started_at + limits::worker_lease(10.0), "the whole lease was waited for");
        bed.step(vec![]);
    }
    let machines = std::mem::take(&mut bed.deleted);
    assert_eq!(machines, ["m-000003"]);
    bed.step(vec![Command::Deleted { machines, outcome: RequestOutcome::Done }]);
    (0..2).for_each(|_| bed.heartbeat());
    assert_eq!(bed.width(1), 2);
}

#[test]
fn a_job_that_falls_due_passes_one_with_more_time_but_not_once_it_is_late() {
    for (waits_s, first) in [(30, 3), (70, 2)] {
        let mut bed = Bed::new(1, 0.0);
        bed.submit(spec(1, Kind::Array, Priority::High, 1));
        bed.submit(JobSpec {
            deadline_s: Some(900.0),
            estimate_s: 5.0,
            ..spec(2, Kind::Array, Priority::Low, 1)
        });
        bed.submit(JobSpec {
            deadline_s: Some(60.0),
            estimate_s: 5.0,
            ..spec(3, Kind::Array, Priority::Low, 1)
        });
        let until = bed.now + waits_s * SECOND;
        while bed.now < until {
            bed.heartbeat();
        }
        bed.step(vec![Command::JobRemoved(JobId(1))]);
        (0..3).for_each(|_| bed.heartbeat());
        assert_eq!((bed.width(first), bed.width(5 - first)), (1, 0), "after {waits_s} s");
    }
}
