//! Failing machines against failing jobs: a table of who is at fault.

use crate::cluster::{machine_name, Cluster};
use crate::common::{config, spec};
use dockpier::scheduler::model::{JobId, JobSpec, Kind, Priority};
use dockpier::scheduler::Command;
use std::collections::BTreeSet;

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
