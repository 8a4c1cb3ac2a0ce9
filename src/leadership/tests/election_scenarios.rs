//! Elections: which node leads after which fault.

use super::cluster::{Cluster, Suspension};
use super::random_duration;
use super::{MS, NODE_COUNT};
use crate::fencing_token::FencingToken;
use crate::limits::SECOND;

#[test]
fn under_random_faults_at_most_one_node_leads_and_one_leads_afterwards() {
    for seed in 0..60 {
        let mut cluster = Cluster::new(seed);
        for _ in 0..25 {
            let time = random_duration(&mut cluster.rng, 200 * MS..6 * SECOND);
            cluster.run(time);
            cluster.inject_random_fault();
        }
        // After the faults a node leads again.
        cluster.end_faults();
        cluster.run(12 * SECOND);
        assert!(cluster.leader().is_some(), "nobody leads, seed {seed}");
        assert!(cluster.led_steps > 1_000, "seed {seed} was led only {} steps", cluster.led_steps);
    }
}

#[test]
fn a_store_outage_alone_does_not_end_leadership() {
    let mut cluster = Cluster::new(1);
    cluster.mean_steps_between_jobs = 400;
    cluster.run(5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    let tokens = cluster.elected_tokens.len();
    cluster.store_down = true;
    for _ in 0..28 {
        cluster.run(SECOND);
        assert_eq!(cluster.leader(), Some(leader));
    }
    cluster.store_down = false;
    cluster.run(500 * MS);
    assert_eq!((cluster.leader(), cluster.elected_tokens.len()), (Some(leader), tokens));
}

#[test]
fn a_leader_refused_by_the_store_hands_over() {
    let mut cluster = Cluster::new(2);
    cluster.run(5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.refused_by_store = Some(leader);
    cluster.run(7 * SECOND);
    assert!(cluster.leader().is_some_and(|n| n != leader), "{:?}", cluster.leader());
}

#[test]
fn a_leader_that_reaches_only_the_store_is_replaced() {
    let mut cluster = Cluster::new(3);
    cluster.run(5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.cut_off(vec![leader], false, cluster.now + 30 * SECOND);
    cluster.run(8 * SECOND);
    assert!(cluster.leader().is_some_and(|n| n != leader));
}

#[test]
fn a_crashed_leader_is_replaced_within_six_seconds() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed);
        cluster.run(5 * SECOND);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader, 60 * SECOND);
        cluster.run(6 * SECOND);
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn a_leader_that_restarts_at_once_resumes_with_the_next_token() {
    let mut cluster = Cluster::new(4);
    cluster.run(5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.crash(leader, 300 * MS);
    cluster.run(1_500 * MS);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.elected_tokens.last(), Some(&FencingToken(2)));
}

#[test]
fn a_leader_unreachable_for_workers_hands_over_before_they_report_to_a_peer() {
    let mut cluster = Cluster::new(5);
    cluster.run(8 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.cut_off_from_workers = Some(leader);
    cluster.run(1_500 * MS);
    assert!(cluster.leader().is_some_and(|n| n != leader));
}

#[test]
fn a_leader_crash_in_a_store_outage_leaves_a_node_in_keep_alive_mode() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed);
        cluster.mean_steps_between_jobs = 400;
        cluster.run(5 * SECOND);
        cluster.store_down = true;
        cluster.run(2 * SECOND);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader, 3 * SECOND);
        cluster.run(6 * SECOND);
        let before = cluster.keep_alive_steps;
        cluster.run(8 * SECOND);
        assert!(cluster.leader().is_none());
        assert!(
            cluster.keep_alive_steps - before > 700,
            "seed {seed}: {} steps in keep-alive mode",
            cluster.keep_alive_steps - before
        );
        cluster.store_down = false;
        cluster.run(6 * SECOND);
        assert!(cluster.leader().is_some(), "seed {seed}: nobody leads after the outage");
    }
}

#[test]
fn a_leader_not_yet_reached_by_any_worker_does_not_hand_over() {
    let mut cluster = Cluster::new(6);
    cluster.workers_report_to_peers_only = true;
    cluster.run(12 * SECOND);
    assert_eq!(cluster.elected_tokens.len(), 1, "{:?}", cluster.elected_tokens);
}

/// The zone with the leader and a majority of nodes is cut off, also from the key-value store. Cancellations
/// outside do not reach the nodes inside, so these may act and keep workers alive for a bounded time only (a
/// node in keep-alive mode once continued without end). After that time the node outside leads without votes.
#[test]
fn a_majority_cut_off_from_the_store_stops_and_the_node_outside_leads() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed);
        cluster.mean_steps_between_jobs = 400;
        // Each node assumes that its previous incarnation promised to suspend confirmations. After 12 s this
        // promise has expired (`limits::CONFIRMATION_SUSPENSION`).
        cluster.run(12 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let outside = (leader + 1) % NODE_COUNT;
        let inside = (0..NODE_COUNT).filter(|n| *n != outside).collect();
        cluster.cut_off(inside, true, cluster.now + 60 * SECOND);
        // `LONGEST_AUTONOMY`, the lock lease, and the time for which the node outside waits beyond both.
        cluster.run(10 * SECOND + 3 * SECOND + 6 * SECOND);
        assert_eq!(cluster.leader(), Some(outside), "seed {seed}");
        let keep_alive_steps = cluster.keep_alive_steps;
        cluster.run(20 * SECOND);
        assert_eq!(
            (cluster.leader(), cluster.keep_alive_steps),
            (Some(outside), keep_alive_steps),
            "seed {seed}"
        );
        cluster.run(25 * SECOND);
        assert!(cluster.leader().is_some(), "seed {seed}: nobody leads after the cut");
    }
}

/// A leader is suspended until its authority has expired. When it resumes, `authority` must be None before
/// the first tick notices the expiry, so that the leader sends no pending responses.
#[test]
fn a_leader_suspended_past_its_authority_has_none_when_it_resumes() {
    let mut cluster = Cluster::new(7);
    cluster.run(5 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.suspension = Some(Suspension { node: leader, until: cluster.now + 30 * SECOND });
    cluster.run(29 * SECOND + 900 * MS);
    let node = &cluster.nodes[leader].leadership;
    assert!(node.is_leader(), "the leader has noticed the expiry before its next tick");
    assert_eq!(node.authority(cluster.local_time(leader)), None);
    assert!(cluster.leader().is_some_and(|n| n != leader));
    cluster.run(SECOND);
    assert!(!cluster.nodes[leader].leadership.is_leader());
}
