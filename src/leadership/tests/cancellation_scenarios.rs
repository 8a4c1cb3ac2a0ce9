//! Workers, leaseholders and cancellations under faults: no lease is counted as expired that is renewed, and
//! no task of a cancelled job outlives the deadline. `check_expired_leases` and `check_cancelled_tasks_ended`
//! check both.

use super::cluster::Cluster;
use super::random_duration;
use super::{AUTONOMY, CANCELLATION_DEADLINE, MS, NODES};
use crate::limits::{self, SECOND};

/// Leaders, leaseholders and nodes in keep-alive mode together: whichever node renews a worker's lease, the
/// leader knows how long that lease may last. No task of a job runs longer than `CANCELLATION_DEADLINE` after
/// its cancellation was confirmed.
#[test]
fn under_random_faults_no_renewed_lease_is_counted_as_expired() {
    let (mut expired, mut autonomous, mut confirmed) = (0, 0, 0);
    for seed in 200..540 {
        let mut cluster = Cluster::with_workers(seed, 200);
        for _ in 0..25 {
            let time = random_duration(&mut cluster.rng, 200 * MS..9 * SECOND);
            cluster.run(time);
            cluster.inject_random_fault();
        }
        (expired, autonomous, confirmed) = (
            expired + cluster.expired_leases,
            autonomous + cluster.autonomous_responses,
            confirmed + cluster.confirmed.len(),
        );
    }
    // Without expired leases, responses without a leader and confirmed cancellations nothing would be tested.
    assert!(
        expired > 500 && autonomous > 5_000 && confirmed > 500,
        "{expired} expired leases, {autonomous} autonomous responses, {confirmed} confirmed"
    );
}

/// The key-value store refuses only the leader, and another node confirms cancellations to users. Then the
/// store is down for all nodes, for longer than `CANCELLATION_DEADLINE`, while the workers go on reporting.
/// Members attested that they could not commit at present, and the leader kept alive tasks whose cancellation
/// it had not received. `additional_fault`: begins right after the outage does.
fn run_outage_after_refused_leader(additional_fault: impl Fn(&mut Cluster, usize)) {
    let mut confirmed = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::with_workers(seed, 60);
        cluster.run(12 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let before = cluster.confirmed.len();
        cluster.refused_by_store = Some(leader);
        cluster.run(1_500 * MS);
        confirmed += cluster.confirmed.len() - before;
        cluster.store_down = true;
        additional_fault(&mut cluster, leader);
        cluster.run(CANCELLATION_DEADLINE + 15 * SECOND);
        cluster.store_down = false;
        cluster.refused_by_store = None;
        cluster.run(20 * SECOND);
        assert!(cluster.leader().is_some(), "seed {seed}: nobody leads after the outage");
    }
    assert!(confirmed > 20, "only {confirmed} cancellations were confirmed while the leader was refused");
}

#[test]
fn jobs_cancelled_while_the_store_refuses_the_leader_end_in_the_outage_that_follows() {
    run_outage_after_refused_leader(|_, _| {});
}

#[test]
fn such_jobs_end_also_when_the_confirming_nodes_crash_in_the_outage() {
    run_outage_after_refused_leader(|cluster, leader| {
        (0..NODES).filter(|n| *n != leader).for_each(|n| cluster.crash(n, 3 * SECOND))
    });
    run_outage_after_refused_leader(|cluster, leader| cluster.crash((leader + 1) % NODES, 300 * MS));
}

#[test]
fn such_jobs_end_also_when_the_leader_changes_in_the_outage() {
    run_outage_after_refused_leader(|cluster, leader| cluster.crash(leader, 3 * SECOND));
    run_outage_after_refused_leader(|cluster, leader| {
        cluster.run(4 * SECOND);
        cluster.crash(leader, 40 * SECOND);
    });
}

#[test]
fn such_jobs_end_also_when_the_leader_is_cut_off_from_the_confirming_nodes() {
    run_outage_after_refused_leader(|cluster, leader| {
        cluster.cut_off(vec![leader], true, cluster.now + 60 * SECOND);
    });
    run_outage_after_refused_leader(|cluster, leader| {
        let inside = (0..NODES).filter(|n| *n != (leader + 1) % NODES).collect();
        cluster.cut_off(inside, true, cluster.now + 30 * SECOND);
    });
}

/// While every member attests that there are no cancellations, an outage for all nodes has no effect on the
/// workers, whatever its length, also with a crash in it.
#[test]
fn in_a_store_outage_without_cancellations_no_worker_loses_its_lease() {
    for crash in [false, true] {
        for seed in 0..10 {
            let mut cluster = Cluster::with_workers(seed, 400);
            cluster.run(12 * SECOND);
            let leader = cluster.leader().expect("a leader");
            cluster.store_down = true;
            cluster.run(5 * SECOND);
            if crash {
                cluster.crash(leader, 5 * SECOND);
            }
            let before = cluster.agent_epochs();
            cluster.run(3 * CANCELLATION_DEADLINE);
            assert_eq!(cluster.agent_epochs(), before, "seed {seed}, crash {crash}");
        }
    }
}

/// A member of an earlier version gives no attestations. What it confirmed is not known, so a leader beside
/// it is bounded. In turn, a leader of an earlier version is not sent a status that it would take as proof of
/// no cancellations.
#[test]
fn beside_an_earlier_version_authority_without_the_store_is_bounded() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_workers(seed, 60);
        cluster.run(12 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let other = (leader + 1) % NODES;
        cluster.nodes[other].is_earlier_version = true;
        cluster.run(2 * SECOND);
        let now = cluster.local_time(leader);
        let reported = |state_age| cluster.nodes[leader].leadership.reported_state_age(now, other, state_age);
        let proves_none = cluster.nodes[leader].leadership.cancellations.proves_no_recent_cancellation(now);
        assert_eq!(reported(limits::STORE_LOST_TIMEOUT) >= limits::STORE_LOST_TIMEOUT, proves_none);
        cluster.store_down = true;
        cluster.run(AUTONOMY + 6 * SECOND);
        assert_eq!(cluster.leader(), None, "seed {seed}");
    }
}

/// Jobs are cancelled in the seconds in which another node takes over from a controller: its process ends,
/// for long or for a moment, it is cut off, or it loses the key-value store.
#[test]
fn jobs_cancelled_during_a_failover_end_in_time() {
    type Fault = fn(&mut Cluster, usize);
    let restarts_at_once: Fault = |cluster, node| cluster.crash(node, 200 * MS);
    let crashes: Fault = |cluster, node| cluster.crash(node, 8 * SECOND);
    let refused: Fault = |cluster, node| cluster.refused_by_store = Some(node);
    let cut_off: Fault = |cluster, node| {
        cluster.cut_off(vec![node], true, cluster.now + 2 * CANCELLATION_DEADLINE);
    };
    for (case, fault) in [restarts_at_once, crashes, refused, cut_off].into_iter().enumerate() {
        let mut confirmed = 0;
        for seed in 0..12 {
            // With every other seed it is the leader.
            let mut cluster = Cluster::with_workers(seed, 40);
            cluster.run(12 * SECOND);
            let leader = cluster.leader().expect("a leader");
            let node = (leader + seed as usize % 2) % NODES;
            let before = cluster.confirmed.len();
            fault(&mut cluster, node);
            cluster.run(6 * SECOND);
            confirmed += cluster.confirmed.len() - before;
            cluster.run(2 * CANCELLATION_DEADLINE);
            cluster.refused_by_store = None;
            cluster.run(15 * SECOND);
            assert!(cluster.leader().is_some(), "case {case}, seed {seed}: nobody leads");
        }
        assert!(confirmed > 100, "case {case}: only {confirmed} cancellations were confirmed meanwhile");
    }
}
