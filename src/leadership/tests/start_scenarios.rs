//! No task of a job starts once its cancellation was confirmed to its user, whichever node confirmed it and
//! whichever leader might start the task. `check_confirmed_jobs_cannot_start` checks it after every step.

use super::cluster::Cluster;
use super::{random_duration, LONGEST_AUTONOMY, MS, NODE_COUNT, START_PROMISE};
use crate::limits::{self, SECOND};
use crate::time::Timestamp;
use std::ops::Range;
use std::time::Duration;

/// How long a cancellation may wait while the confirming node keeps running: for its promise, for starts that a
/// leaseholder may pass on, and for the user's next repeats.
const LONGEST_WAIT: Duration =
    START_PROMISE.saturating_add(limits::RELAY_TIMEOUT).saturating_add(Duration::from_secs(3));

/// All nodes but this one.
fn all_but(node: usize) -> Vec<usize> {
    (0..NODE_COUNT).filter(|other| *other != node).collect()
}

/// A cluster with a leader that has run long enough for each node to confirm cancellations at once.
fn settled_cluster(seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::with_workers(seed, 60);
    cluster.run(START_PROMISE + 5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// Checks that every cancellation that was committed from `from` on and `patience` ago was confirmed within it.
fn assert_confirmed_within(cluster: &Cluster, from: Timestamp, patience: Duration) {
    for (job_id, cancelled_at) in cluster.cancelled.iter().filter(|(_, at)| **at >= from) {
        let confirmed_at = cluster.confirmed.get(job_id).copied().unwrap_or(Timestamp::MAX);
        let latest = *cancelled_at + patience;
        assert!(
            confirmed_at <= latest || cluster.now <= latest,
            "{job_id}, cancelled at {cancelled_at}, confirmed at {confirmed_at}"
        );
    }
}

/// A leader in a zone that was cut off started tasks of a job 9 s after a controller outside had confirmed its
/// cancellation (`docs/incidents/2026-12-06-start-in-a-cut-off-zone.md`).
#[test]
fn a_leader_in_a_cut_off_zone_starts_no_task_of_a_job_whose_cancellation_was_confirmed_outside() {
    for seed in 0..30 {
        let (mut cluster, leader) = settled_cluster(seed);
        let outside = (leader + 1) % NODE_COUNT;
        let (cut_at, starts_before) = (cluster.now, cluster.start_steps);
        cluster.cut_off(all_but(outside), true, cut_at + 60 * SECOND);
        // Inside, starts go on for as long as the node outside has promised, counted from the last heartbeat that it
        // answered before the cut.
        cluster.run(START_PROMISE - 3 * SECOND);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        let started = cluster.start_steps - starts_before;
        assert!(started > 900, "seed {seed}: the leader might start tasks in {started} steps of 10 ms");
        cluster.run(40 * SECOND);
        assert!(cluster.confirmed.values().any(|at| *at > cut_at + SECOND), "seed {seed}: none confirmed");
        assert_confirmed_within(&cluster, cut_at, LONGEST_WAIT);
    }
}

/// The same for a leader that is cut off alone, from its peers only or from the key-value store as well.
#[test]
fn a_leader_that_is_cut_off_alone_starts_no_task_of_a_job_whose_cancellation_was_confirmed() {
    for seed in 0..40 {
        let (mut cluster, leader) = settled_cluster(seed);
        let cut_at = cluster.now;
        cluster.cut_off(vec![leader], seed % 2 == 0, cut_at + 30 * SECOND);
        cluster.run(60 * SECOND);
        assert!(cluster.confirmed.values().any(|at| *at > cut_at + SECOND), "seed {seed}: none confirmed");
        assert_confirmed_within(&cluster, cut_at, LONGEST_WAIT);
    }
}

/// The same if the cut ends around the confirmation and comes again.
#[test]
fn cancelled_jobs_do_not_start_when_a_cut_comes_again_around_the_confirmation() {
    for seed in 0..60 {
        let (mut cluster, leader) = settled_cluster(seed);
        let first_cut_at = cluster.now;
        let outside = (leader + 1 + seed as usize % 2) % NODE_COUNT;
        for cut in 0..6 {
            let length = Duration::from_millis(700 * (1 + (seed + cut) % 9));
            cluster.cut_off(all_but(outside), true, cluster.now + length);
            cluster.run(length + Duration::from_millis(30 * (seed % 12)));
        }
        cluster.run(10 * SECOND);
        assert_confirmed_within(&cluster, first_cut_at, LONGEST_WAIT);
    }
}

/// The same if controllers restart in a fraction of a second while the zone is cut off: the one that confirms,
/// which then no longer knows what it promised, a follower, or the leader, inside or outside.
#[test]
fn cancelled_jobs_do_not_start_when_controllers_restart_around_the_confirmation() {
    for seed in 0..60 {
        let (mut cluster, leader) = settled_cluster(seed);
        let cut_at = cluster.now;
        let confirming = (leader + 1) % NODE_COUNT;
        cluster.cut_off(all_but(confirming), true, cut_at + 45 * SECOND);
        cluster.run(Duration::from_millis(200 * seed));
        let follower = (leader + 2) % NODE_COUNT;
        let restarted = [vec![confirming], vec![leader], vec![follower], vec![confirming, leader]];
        for node in &restarted[seed as usize % restarted.len()] {
            cluster.crash(*node, Duration::from_millis(50 + 7 * seed));
        }
        cluster.run(60 * SECOND);
        // Users repeat a cancellation at the restarted node from then on.
        assert_confirmed_within(&cluster, cut_at + 15 * SECOND, limits::USER_RETRY_TIME);
    }
}

/// The same while the key-value store refuses the leader alone, then everybody, and a new leader is elected.
#[test]
fn cancelled_jobs_do_not_start_when_the_store_refuses_the_leader_and_another_leads() {
    for seed in 0..30 {
        let (mut cluster, leader) = settled_cluster(seed);
        cluster.refused_by_store = Some(leader);
        cluster.run(Duration::from_millis(100 * seed));
        cluster.cut_off(vec![leader], true, cluster.now + 20 * SECOND);
        cluster.run(8 * SECOND);
        cluster.refused_by_store = None;
        cluster.run(30 * SECOND);
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

/// In an outage of the key-value store for all nodes starts go on, since every member promises to confirm nothing.
#[test]
fn in_a_store_outage_for_all_nodes_the_leader_may_start_tasks_throughout() {
    for seed in 0..10 {
        let (mut cluster, leader) = settled_cluster(seed);
        cluster.store_down = true;
        cluster.run(5 * SECOND);
        if seed % 2 == 1 {
            // A follower that restarts keeps the promise of its earlier process.
            cluster.crash((leader + 1) % NODE_COUNT, 3 * SECOND);
        }
        let starts_before = cluster.start_steps;
        cluster.run(4 * LONGEST_AUTONOMY);
        let steps = 4 * LONGEST_AUTONOMY.as_micros() / (10 * MS).as_micros();
        assert_eq!(u128::from(cluster.start_steps - starts_before), steps, "seed {seed}");
    }
}

/// While nothing fails, most cancellations are confirmed when the response to their transaction arrives, since the
/// members learnt of the request meanwhile, and the leader may always start tasks.
#[test]
fn without_a_fault_cancellations_and_starts_do_not_wait() {
    let (mut cluster, _) = settled_cluster(1);
    let (from, starts_before) = (cluster.now, cluster.start_steps);
    cluster.run(60 * SECOND);
    assert_eq!(cluster.start_steps - starts_before, 6_000);
    let cancelled: Vec<_> = cluster.cancelled.iter().filter(|(_, at)| **at >= from).collect();
    let confirmed_at = |job_id| cluster.confirmed.get(job_id).copied().unwrap_or(Timestamp::MAX);
    let within = |time| cancelled.iter().filter(|(job_id, at)| confirmed_at(job_id) <= **at + time).count();
    let (count, at_once, soon) = (cancelled.len(), within(30 * MS), within(limits::CONFIRMATION_TIMEOUT));
    assert!(count > 100 && at_once > count * 3 / 4 && soon > count * 9 / 10, "{count}, {at_once}, {soon}");
}

/// Random faults while jobs are cancelled all the time.
fn run_random_faults(seeds: Range<u64>) {
    let (mut start_steps, mut confirmed) = (0, 0);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let mut cluster = Cluster::with_workers(seed, 40);
        for _ in 0..20 {
            let time = random_duration(&mut cluster.rng, 100 * MS..8 * SECOND);
            cluster.run(time);
            cluster.inject_random_fault();
        }
        (start_steps, confirmed) =
            (start_steps + cluster.start_steps, confirmed + cluster.confirmed.len() as u64);
    }
    assert!(
        start_steps > 1_000 * count && confirmed > 100 * count,
        "{start_steps} steps, {confirmed} confirmed"
    );
}

#[test]
fn cancelled_jobs_do_not_start_under_random_faults() {
    run_random_faults(0..60);
}

/// The long run, started by hand.
#[test]
#[ignore = "takes minutes; run it in a release build"]
fn cancelled_jobs_do_not_start_under_random_faults_long_run() {
    run_random_faults(1_000..6_000);
}
