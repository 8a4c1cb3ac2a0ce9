//! Failing machines against failing jobs: a table of who is at fault.

use crate::cluster::{machine_name, Cluster};
use crate::common::{config, spec};
use dockpier::scheduler::model::{JobId, JobSpec, Kind, Priority};
use dockpier::scheduler::Command;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 12;

/// Tasks that do not fail run for five reports.
fn cluster(faulty_machines: &[usize], faulty_jobs: &[u64]) -> Cluster {
    let mut cluster = Cluster::new(MACHINES, config().teams);
    cluster.faulty_machines = faulty_machines.iter().copied().collect();
    cluster.faulty_jobs = faulty_jobs.iter().copied().collect();
    cluster.runs = Some(5);
    cluster
}

fn array(id: u64, tasks: u32) -> JobSpec {
    spec(id, Kind::Array, Priority::Normal, tasks)
}

#[test]
fn faulty_machines_are_distinguished_from_failing_jobs() {
    // Faulty machines, faulty jobs of the four that come, and which machines are to be replaced.
    let cases: [(&[usize], &[u64], &[usize]); 5] = [
        (&[], &[], &[]),
        (&[0], &[], &[0]),
        (&[0, 1, 2], &[], &[0, 1, 2]),
        (&[], &[1], &[]),
        (&[], &[1, 2, 3], &[]),
    ];
    for (machines, jobs, replaced) in cases {
        let mut cluster = cluster(machines, jobs);
        (1..=4).for_each(|id| cluster.submit(array(id, 16)));
        cluster.heartbeats(40);
        let replaced: BTreeSet<String> = replaced.iter().map(|m| machine_name(*m)).collect();
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
    let mut cluster = cluster(&[0], &[]);
    cluster.submit(array(1, 44));
    cluster.heartbeats(16);
    assert!(
        !cluster.is_known(1),
        "{:?}",
        cluster.scheduler.jobs.values().map(|j| j.pending_reason).collect::<Vec<_>>()
    );
}

#[test]
fn a_job_that_fails_everywhere_is_not_tried_hot_and_can_be_cancelled() {
    let mut cluster = cluster(&[], &[1]);
    cluster.submit(array(1, 1));
    cluster.heartbeats(120);
    let starts = cluster.starts[&1];
    assert!((3..=10).contains(&starts), "{starts} starts in two minutes");
    cluster.step(vec![Command::JobRemoved(JobId(1))]);
    cluster.heartbeats(2);
    assert!(!cluster.is_known(1));
}

/// Heartbeats, one a second, in which a job must be placed on a machine that has room once troubles are over.
const MAX_WAIT_BESIDE_ROOM: usize = 90;

/// One failed start closed its machine to the job for good, also where the job had no other machine in reach.
#[test]
fn a_job_whose_task_failed_once_starts_again_on_the_only_machine() {
    for tasks in [1, 4] {
        let mut cluster = Cluster::new(1, config().teams);
        cluster.runs = Some(5);
        cluster.faulty_machines = BTreeSet::from([0]);
        cluster.submit(array(1, tasks));
        cluster.heartbeats(4);
        cluster.faulty_machines.clear();
        cluster.heartbeats(MAX_WAIT_BESIDE_ROOM);
        assert!(cluster.starts[&1] > tasks as usize, "{tasks} tasks, {} starts", cluster.starts[&1]);
        assert!(!cluster.is_known(1), "{tasks} tasks: not done");
        assert!(cluster.deleted.is_empty(), "{tasks} tasks: the sound machine was replaced");
    }
}

/// A job whose gang bound it to as many machines as it has tasks waited for ever after one failed start.
#[test]
fn a_gang_whose_task_failed_once_starts_again_on_the_same_machines() {
    let mut cluster = Cluster::new(2, config().teams);
    cluster.runs = Some(5);
    cluster.faulty_machines = BTreeSet::from([0]);
    cluster.submit(spec(1, Kind::Gang, Priority::Normal, 8));
    cluster.heartbeats(4);
    cluster.faulty_machines.clear();
    cluster.heartbeats(MAX_WAIT_BESIDE_ROOM);
    assert!(cluster.starts[&1] > 8, "{} starts", cluster.starts[&1]);
    assert!(!cluster.is_known(1), "not done");
    assert!(cluster.deleted.is_empty(), "a sound machine was replaced");
}

/// Each retry of a job that always fails kept its machine from other jobs for a few seconds.
#[test]
fn a_job_that_fails_everywhere_delays_no_other_job_and_condemns_no_machine() {
    // Heartbeats until each of the jobs that come later is done.
    let later_jobs = |faulty_jobs: &[u64]| {
        let mut cluster = Cluster::new(2, config().teams);
        cluster.runs = Some(5);
        cluster.faulty_jobs = faulty_jobs.iter().copied().collect();
        cluster.submit(array(1, 1));
        cluster.heartbeats(10);
        let mut durations = Vec::new();
        for id in 2..32 {
            cluster.submit(array(id, 4));
            let mut heartbeats = 0;
            while cluster.is_known(id) && heartbeats < MAX_WAIT_BESIDE_ROOM {
                cluster.heartbeats(1);
                heartbeats += 1;
            }
            durations.push(heartbeats);
        }
        assert!(cluster.deleted.is_empty(), "faulty jobs {faulty_jobs:?}: {:?}", cluster.deleted);
        (durations, cluster.starts[&1], cluster.is_known(1))
    };
    let (undisturbed, _, _) = later_jobs(&[]);
    let (durations, starts, is_known) = later_jobs(&[1]);
    let is_delayed = durations.iter().zip(&undisturbed).any(|(duration, undisturbed)| duration > undisturbed);
    assert!(!is_delayed, "{durations:?}, without the faulty job {undisturbed:?}");
    // In 210 s on each of the two machines: one a minute at the least, and a few more at first.
    assert!((6..=14).contains(&starts) && is_known, "{starts} starts in {durations:?}");
}

/// A machine that may be faulty must come last also once it is open to the job again.
#[test]
fn a_job_prefers_machines_where_it_has_not_failed() {
    let mut cluster = Cluster::new(3, config().teams);
    cluster.faulty_machines = BTreeSet::from([0]);
    cluster.submit(spec(1, Kind::Service, Priority::Normal, 1));
    cluster.heartbeats(30);
    assert_eq!(cluster.starts[&1], 2, "it runs on the second machine");
    cluster.machines.remove(&1);
    cluster.heartbeats(60);
    assert_eq!((cluster.running(1), cluster.starts[&1]), (2, 3), "the silent machine, and the third one");
}

/// A machine that two jobs had failed on was closed to all jobs for as long as a task kept it from being replaced.
#[test]
fn jobs_start_again_on_a_faulty_machine_that_cannot_be_replaced() {
    let mut cluster = Cluster::new(1, config().teams);
    cluster.runs = Some(5);
    cluster.endless_jobs = BTreeSet::from([1]);
    cluster.submit(array(1, 1));
    cluster.heartbeats(2);
    cluster.faulty_machines = BTreeSet::from([0]);
    cluster.submit(array(2, 1));
    cluster.submit(array(3, 1));
    cluster.heartbeats(4);
    cluster.faulty_machines.clear();
    cluster.submit(array(4, 1));
    cluster.heartbeats(MAX_WAIT_BESIDE_ROOM);
    let waiting: Vec<u64> = (2..=4).filter(|id| cluster.is_known(*id)).collect();
    assert!(waiting.is_empty(), "jobs {waiting:?} are not done, {:?}", cluster.starts);
    assert_eq!(cluster.running(1), 1, "the long task went on");
}

/// One failure of a job that has succeeded elsewhere closed its machine to all jobs in the same way.
#[test]
fn a_job_that_succeeded_elsewhere_returns_to_the_machine_that_failed_it_if_no_other_has_room() {
    let mut cluster = Cluster::new(2, config().teams);
    cluster.runs = Some(5);
    cluster.endless_jobs = BTreeSet::from([1]);
    cluster.submit(array(1, 1));
    cluster.heartbeats(2);
    cluster.faulty_machines = BTreeSet::from([0]);
    cluster.submit(array(2, 12));
    cluster.heartbeats(8);
    cluster.faulty_machines.clear();
    // The second machine is lost.
    cluster.machines.remove(&1);
    cluster.heartbeats(MAX_WAIT_BESIDE_ROOM);
    assert!(!cluster.is_known(2), "{:?}", cluster.starts);
    assert_eq!(cluster.running(1), 1, "the long task went on");
}

/// A faulty machine that is open again must come last.
#[test]
fn a_faulty_machine_gets_no_task_while_another_has_room() {
    let mut cluster = Cluster::new(3, config().teams);
    cluster.runs = Some(5);
    cluster.endless_jobs = BTreeSet::from([1]);
    cluster.submit(array(1, 1));
    cluster.heartbeats(2);
    cluster.faulty_machines = BTreeSet::from([0]);
    (2..=4).for_each(|id| cluster.submit(array(id, 1)));
    cluster.heartbeats(80);
    let starts_before: usize = cluster.starts.values().sum();
    for id in 5..25 {
        cluster.submit(array(id, 4));
        cluster.heartbeats(6);
    }
    let starts: usize = cluster.starts.values().sum();
    assert_eq!(starts - starts_before, 80, "a start on the faulty machine fails and is repeated");
}

/// A job that needs one zone kept to the zone of the machine that failed it, although another zone had room.
#[test]
fn a_one_zone_job_whose_task_failed_goes_to_another_zone() {
    for kind in [Kind::Gang, Kind::Array] {
        let mut cluster = Cluster::in_two_zones(2, 2, config().teams);
        cluster.runs = Some(5);
        cluster.faulty_machines = BTreeSet::from([2]);
        // The first zone is full until the job has failed in the second one.
        cluster.endless_jobs = BTreeSet::from([2]);
        cluster.submit(JobSpec { required_zone: Some("a".into()), image: "other".into(), ..array(2, 8) });
        cluster.heartbeats(2);
        cluster.submit(JobSpec { one_zone: true, ..spec(1, kind, Priority::Normal, 8) });
        // The faulty machine gets no task of any job for a few seconds; these must have passed.
        cluster.heartbeats(9);
        cluster.step(vec![Command::JobRemoved(JobId(2))]);
        cluster.heartbeats(25);
        assert!(!cluster.is_known(1), "{kind:?}: {:?}", cluster.starts);
    }
}

/// Longer than failures count.
const LONG_WITHOUT_FAILURES: usize = 660;

/// A service was suspected for the rest of its life after failures on three machines, since no replica ever succeeds.
#[test]
fn a_service_that_has_run_well_for_long_is_replaced_at_once_after_a_failure() {
    let mut cluster = cluster(&[], &[1]);
    cluster.runs = None;
    cluster.submit(spec(1, Kind::Service, Priority::Critical, 1));
    cluster.heartbeats(150);
    cluster.faulty_jobs.clear();
    cluster.heartbeats(LONG_WITHOUT_FAILURES);
    assert_eq!(cluster.running(1), 1);
    let starts = cluster.starts[&1];
    cluster.faulty_jobs = BTreeSet::from([1]);
    cluster.heartbeats(1);
    cluster.faulty_jobs.clear();
    cluster.heartbeats(5);
    assert_eq!((cluster.running(1), cluster.starts[&1]), (1, starts + 1));
}

/// Failures of different jobs counted against a machine for as long as it was there.
#[test]
fn two_failures_long_apart_do_not_condemn_a_machine() {
    let mut cluster = Cluster::new(1, config().teams);
    cluster.faulty_jobs = BTreeSet::from([1, 2]);
    for id in [1, 2] {
        cluster.submit(array(id, 1));
        cluster.heartbeats(3);
        cluster.step(vec![Command::JobRemoved(JobId(id))]);
        cluster.heartbeats(LONG_WITHOUT_FAILURES);
    }
    assert_eq!(cluster.starts, BTreeMap::from([(1, 1), (2, 1)]));
    assert!(cluster.deleted.is_empty(), "the machine was replaced");
}

/// A machine that refused a start because it did not know the job yet was replaced when the job succeeded elsewhere.
#[test]
fn a_machine_that_did_not_know_a_job_is_not_faulty() {
    let mut cluster = Cluster::new(2, config().teams);
    cluster.runs = Some(5);
    cluster.uninformed_machines = BTreeSet::from([0]);
    cluster.submit(array(1, 8));
    cluster.heartbeats(4);
    cluster.uninformed_machines.clear();
    cluster.heartbeats(30);
    assert!(!cluster.is_known(1), "{:?}", cluster.starts);
    assert!(cluster.starts[&1] > 8, "no start was refused");
    assert!(cluster.deleted.is_empty(), "the machine was replaced");
}

/// A task that always failed condemned one machine after the other, since other tasks of its job had succeeded: all
/// twelve within half a minute.
#[test]
fn tasks_that_always_fail_condemn_no_machine_while_others_of_their_job_succeed() {
    let mut cluster = Cluster::new(MACHINES, config().teams);
    cluster.runs = Some(5);
    cluster.faulty_tasks = BTreeSet::from([(1, 3), (1, 30), (2, 5)]);
    cluster.submit(array(1, 60));
    cluster.submit(array(2, 60));
    cluster.heartbeats(MAX_WAIT_BESIDE_ROOM);
    let done = |id| cluster.scheduler.jobs[&JobId(id)].progress.succeeded.len();
    assert_eq!((done(1), done(2)), (58, 59));
    assert!(cluster.deleted.is_empty(), "replaced: {:?}", cluster.deleted);
    // Nothing else is left of the jobs: their retries are rare.
    let starts: usize = cluster.starts.values().sum();
    cluster.heartbeats(120);
    let retries = cluster.starts.values().sum::<usize>() - starts;
    assert!((4..=12).contains(&retries), "{retries} retries of three tasks in two minutes");
    assert!(cluster.deleted.is_empty(), "replaced: {:?}", cluster.deleted);
}
