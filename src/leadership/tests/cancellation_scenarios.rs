//! Worker leases and cancellations under faults. `check_expired_leases` checks that a leader counts no
//! running worker lease as expired, `check_cancelled_tasks_ended` that no task of a cancelled job outlives
//! the deadline.

use super::cluster::Cluster;
use super::random_duration;
use super::{CANCELLATION_DEADLINE, LONGEST_AUTONOMY, MS, NODE_COUNT};
use crate::limits::{self, SECOND};

/// Leaders, leaseholders and nodes in keep-alive mode renew worker leases side by side. Whichever node renews
/// a lease, the leader must know how long it may run, and no task of a job may run longer than
/// `CANCELLATION_DEADLINE` after its cancellation was confirmed.
#[test]
fn under_random_faults_no_running_lease_is_counted_as_expired() {
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
    // The test is meaningful only if leases expired, nodes responded without a leader, and cancellations were
    // confirmed.
    assert!(
        expired > 500 && autonomous > 5_000 && confirmed > 500,
        "{expired} expired leases, {autonomous} autonomous responses, {confirmed} confirmed"
    );
}

/// The key-value store refuses only the leader, while other nodes confirm cancellations to users. Then it is
/// down for all nodes, for longer than `CANCELLATION_DEADLINE`, while the workers go on reporting. Guards
/// against this fault: from its peers' reports of a lost store the leader concludes that nothing was
/// cancelled, although they confirmed cancellations before the outage, and it keeps alive tasks whose
/// cancellation it has missed. `additional_fault`: begins right after the outage does; its arguments are the
/// cluster and the leader's number.
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
fn cancelled_jobs_end_in_an_outage_after_the_store_refused_the_leader() {
    run_outage_after_refused_leader(|_, _| {});
}

#[test]
fn cancelled_jobs_end_in_an_outage_after_the_store_refused_the_leader_and_confirming_nodes_crash() {
    run_outage_after_refused_leader(|cluster, leader| {
        (0..NODE_COUNT).filter(|n| *n != leader).for_each(|n| cluster.crash(n, 3 * SECOND))
    });
    run_outage_after_refused_leader(|cluster, leader| cluster.crash((leader + 1) % NODE_COUNT, 300 * MS));
}

#[test]
fn cancelled_jobs_end_in_an_outage_after_the_store_refused_the_leader_and_the_leader_changes() {
    run_outage_after_refused_leader(|cluster, leader| cluster.crash(leader, 3 * SECOND));
    run_outage_after_refused_leader(|cluster, leader| {
        cluster.run(4 * SECOND);
        cluster.crash(leader, 40 * SECOND);
    });
}

#[test]
fn cancelled_jobs_end_in_an_outage_after_the_store_refused_the_leader_and_confirming_nodes_are_cut_off() {
    run_outage_after_refused_leader(|cluster, leader| {
        cluster.cut_off(vec![leader], true, cluster.now + 60 * SECOND);
    });
    run_outage_after_refused_leader(|cluster, leader| {
        let inside = (0..NODE_COUNT).filter(|n| *n != (leader + 1) % NODE_COUNT).collect();
        cluster.cut_off(inside, true, cluster.now + 30 * SECOND);
    });
}

/// While all nodes give attestations and no job is cancelled, an outage of the key-value store for all nodes
/// ends no worker lease, however long it lasts, also if the leader crashes in it.
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

/// A node that runs an earlier release gives no attestations. The other nodes do not know what it confirmed,
/// so their authority without the key-value store is bounded. Such a node takes a lost store, reported by all
/// others, as proof that nothing was cancelled, so the leader reports a lost store only if it has confirmed
/// no cancellation recently.
#[test]
fn authority_without_the_store_is_bounded_while_a_node_runs_an_earlier_release() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_workers(seed, 60);
        cluster.run(12 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let other = (leader + 1) % NODE_COUNT;
        cluster.nodes[other].is_earlier_release = true;
        cluster.run(2 * SECOND);
        let now = cluster.local_time(leader);
        let reported = |store_answer_age| {
            cluster.nodes[leader].leadership.reported_store_answer_age(now, other, store_answer_age)
        };
        let has_confirmed_none =
            cluster.nodes[leader].leadership.cancellations.has_confirmed_none_recently(now);
        assert_eq!(reported(limits::STORE_LOST_TIMEOUT) >= limits::STORE_LOST_TIMEOUT, has_confirmed_none);
        cluster.store_down = true;
        cluster.run(LONGEST_AUTONOMY + 6 * SECOND);
        assert_eq!(cluster.leader(), None, "seed {seed}");
    }
}

/// Jobs are cancelled in the seconds after a controller restarts at once, crashes for longer, loses the
/// key-value store or is cut off, and another node may take over.
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
            let mut cluster = Cluster::with_workers(seed, 40);
            cluster.run(12 * SECOND);
            let leader = cluster.leader().expect("a leader");
            // The fault hits the leader for even seeds, the next node for odd ones.
            let node = (leader + seed as usize % 2) % NODE_COUNT;
            let before = cluster.confirmed.len();
            fault(&mut cluster, node);
            cluster.run(6 * SECOND);
            confirmed += cluster.confirmed.len() - before;
            cluster.run(2 * CANCELLATION_DEADLINE);
            cluster.refused_by_store = None;
            cluster.run(15 * SECOND);
            assert!(
                cluster.leader().is_some(),
                "fault {case} (0: restart at once, 1: crash, 2: refused by the store, 3: cut off), \
                 seed {seed}: nobody leads after it"
            );
        }
        assert!(
            confirmed > 100,
            "fault {case} (0: restart at once, 1: crash, 2: refused by the store, 3: cut off): \
             only {confirmed} cancellations were confirmed in it"
        );
    }
}
