//! Unit tests of the grants and votes that a node gives, its record of the peers, and its observation of the
//! lock.

use super::{NODE_COUNT, NODE_NAMES};
use crate::fencing_token::FencingToken;
use crate::leadership::commitments::Commitments;
use crate::leadership::lock_observation::LockObservation;
use crate::leadership::peers::Peers;
use crate::leadership::Status;
use crate::limits::{self, minus_clock_drift, plus_clock_drift, SECOND};
use crate::protocol::records::Epoch;
use crate::time::Timestamp;
use std::time::Duration;

const START: Timestamp = Timestamp::from_micros(1 << 45);
/// After the restart grace.
const NOW: Timestamp = Timestamp::from_micros(START.as_micros() + 10_000_000);
const LOCAL_NODE: usize = 0;

fn commitments() -> Commitments {
    Commitments::new(LOCAL_NODE, START)
}

fn peers() -> Peers {
    Peers::new(NODE_NAMES.map(String::from).to_vec(), LOCAL_NODE)
}

fn epoch(token: FencingToken) -> Epoch {
    Epoch { token, node: NODE_NAMES[1].into(), incarnation: 7 }
}

#[test]
fn a_restarted_node_gives_no_grant_or_vote_while_earlier_ones_may_run() {
    let commitments = commitments();
    let grace_ends = START + plus_clock_drift(limits::GRANT_DURATION);
    assert!(!commitments.may_commit_to(grace_ends - Duration::from_micros(1), 1));
    assert!(!commitments.counts_itself(grace_ends - Duration::from_micros(1)));
    assert!(commitments.may_commit_to(grace_ends, 1));
    assert!(commitments.counts_itself(grace_ends));
}

#[test]
fn a_grant_or_vote_excludes_other_nodes_until_it_runs_out() {
    for give in [Commitments::give_grant, Commitments::give_vote] {
        let mut commitments = commitments();
        give(&mut commitments, NOW, 1);
        let expires_at = NOW + plus_clock_drift(limits::GRANT_DURATION);
        assert!(
            commitments.may_commit_to(expires_at - Duration::from_micros(1), 1),
            "the same node may get another one"
        );
        assert!(!commitments.may_commit_to(expires_at - Duration::from_micros(1), 2));
        assert!(commitments.is_excluded(expires_at - Duration::from_micros(1), LOCAL_NODE));
        assert!(commitments.may_commit_to(expires_at, 2));
    }
}

#[test]
fn a_withdrawn_own_vote_or_released_grant_excludes_no_node() {
    let mut commitments = commitments();
    commitments.give_vote(NOW, LOCAL_NODE);
    assert!(commitments.own_vote(NOW).is_some() && !commitments.may_commit_to(NOW, 1));
    commitments.withdraw_own_vote();
    commitments.give_grant(NOW, 1);
    commitments.withdraw_grant_to(2);
    assert!(!commitments.may_commit_to(NOW, 2), "the grant is for another node");
    commitments.withdraw_grant_to(1);
    assert!(commitments.may_commit_to(NOW, 2));
}

#[test]
fn a_new_leader_is_bound_by_its_grant_to_another_node_but_not_by_its_own_vote() {
    let mut own_vote_only = commitments();
    own_vote_only.give_vote(NOW, LOCAL_NODE);
    own_vote_only.record_own_election();
    assert!(own_vote_only.counts_itself(NOW));
    let mut granted = commitments();
    granted.give_grant(NOW, 1);
    granted.record_own_election();
    let expires_at = NOW + plus_clock_drift(limits::GRANT_DURATION);
    assert!(!granted.counts_itself(expires_at - Duration::from_micros(1)));
    assert!(granted.counts_itself(expires_at));
}

#[test]
fn a_majority_ends_when_the_first_grant_that_it_needs_expires() {
    let mut peers = peers();
    assert_eq!(peers.granted_until(true), Timestamp::ZERO);
    peers.record_grant(1, NOW);
    peers.record_grant(2, NOW + SECOND);
    // An older grant does not shorten the recorded one.
    peers.record_grant(2, NOW - SECOND);
    assert_eq!(peers.granted_until(true), NOW + SECOND + minus_clock_drift(limits::GRANT_DURATION));
    assert_eq!(peers.granted_until(false), NOW + minus_clock_drift(limits::GRANT_DURATION));
    assert_eq!(peers.voted_until(false), Timestamp::ZERO, "grants are no votes");
    assert_eq!(peers.without_grant(NOW + limits::GRANT_DURATION).collect::<Vec<_>>(), [1]);
    peers.clear_grants();
    assert_eq!(peers.granted_until(true), Timestamp::ZERO);
}

#[test]
fn a_single_node_is_its_own_majority() {
    let alone = Peers::new(vec![NODE_NAMES[LOCAL_NODE].into()], LOCAL_NODE);
    assert!(alone.is_empty());
    assert_eq!(alone.granted_until(true), Timestamp::MAX);
    assert_eq!(alone.granted_until(false), Timestamp::ZERO);
}

#[test]
fn a_peer_is_in_contact_until_the_timeout_after_its_last_message() {
    let mut peers = peers();
    assert_eq!(peers.first_alive(NOW), None);
    let status = Status { store_answer_age: SECOND, worker_heartbeats: 2, ..Status::default() };
    peers.observe_message(NOW, 2, status);
    let expires_at = NOW + limits::PEER_TIMEOUT;
    assert_eq!(peers.first_alive(expires_at - Duration::from_micros(1)), Some(2));
    assert_eq!(peers.reached_by_most_workers(expires_at - Duration::from_micros(1)), Some(2));
    assert_eq!(
        peers.first_reaching_store(expires_at - Duration::from_micros(1), SECOND + Duration::from_micros(1)),
        Some(2)
    );
    assert_eq!(peers.first_reaching_store(expires_at - Duration::from_micros(1), SECOND), None);
    assert_eq!(peers.first_alive(expires_at), None);
    assert!(!peers.is_peer(LOCAL_NODE) && !peers.is_peer(NODE_COUNT));
}

#[test]
fn a_lock_is_known_free_only_after_a_recent_reading() {
    let mut lock = LockObservation::new(START);
    assert!(lock.is_probe_due(START) && !lock.is_known_free(START));
    lock.start_probe(START, SECOND);
    assert!(!lock.is_probe_due(START + SECOND), "the probe is under way");
    lock.end_probe();
    lock.record_probe(NOW, NOW, None, false);
    assert!(lock.is_known_free(NOW + limits::LOCK_PROBE_INTERVAL - Duration::from_micros(1)));
    assert!(!lock.is_known_free(NOW + limits::LOCK_PROBE_INTERVAL));
    lock.record_probe(NOW, NOW, None, true);
    assert!(!lock.is_known_free(NOW));
}

#[test]
fn the_time_since_which_a_lock_is_free_restarts_with_another_epoch_or_a_lost_store() {
    let mut lock = LockObservation::new(START);
    let free_since =
        |lock: &LockObservation| lock.continuously_free().map(|free| (free.epoch_version, free.since));
    lock.record_probe(NOW, NOW, Some((epoch(FencingToken(3)), 11)), false);
    lock.record_probe(NOW + SECOND, NOW + SECOND, Some((epoch(FencingToken(3)), 11)), false);
    assert_eq!(free_since(&lock), Some((11, NOW)));
    lock.record_probe(NOW + 2 * SECOND, NOW + 2 * SECOND, Some((epoch(FencingToken(4)), 12)), false);
    assert_eq!(free_since(&lock), Some((12, NOW + 2 * SECOND)));
    lock.forget_free_lock();
    assert_eq!(free_since(&lock), None);
    lock.record_probe(NOW + 3 * SECOND, NOW + 3 * SECOND, Some((epoch(FencingToken(4)), 12)), true);
    assert_eq!(free_since(&lock), None);
    assert_eq!((lock.epoch_token(), lock.epoch_version()), (FencingToken(4), 12));
}

#[test]
fn a_reading_of_an_earlier_epoch_record_is_older_than_the_known_one() {
    let mut lock = LockObservation::new(START);
    assert!(!lock.is_newer_than(None));
    lock.record_own_epoch(epoch(FencingToken(5)), 20);
    assert!(lock.is_newer_than(None));
    assert!(lock.is_newer_than(Some(&(epoch(FencingToken(4)), 19))));
    assert!(!lock.is_newer_than(Some(&(epoch(FencingToken(5)), 20))));
    assert!(!lock.is_newer_than(Some(&(epoch(FencingToken(6)), 21))));
}
