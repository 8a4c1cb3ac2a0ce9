//! What leaseholders and other nodes hold back.

use super::*;
use crate::limits::SECOND;

const SHARD_LEASE: u64 = 20 * SECOND;
const WORKER_LEASE: u64 = 12 * SECOND;

fn known_until(peers: &PeerNodes, now: u64) -> u64 {
    peers.responses_known_until(now, SHARD_LEASE, WORKER_LEASE)
}

#[test]
fn without_leaseholders_every_response_is_known() {
    assert_eq!(known_until(&PeerNodes::new(0), SECOND), u64::MAX);
}

#[test]
fn leaseholder_that_covers_least_holds_back_lease_expiry() {
    let mut peers = PeerNodes::new(0);
    peers.record_shard_heartbeat(1, Some(90 * SECOND), 100 * SECOND);
    peers.record_shard_heartbeat(2, Some(80 * SECOND), 100 * SECOND);
    assert_eq!(known_until(&peers, 100 * SECOND), 80 * SECOND);
}

#[test]
fn incomplete_shard_heartbeat_covers_no_more_than_the_one_before() {
    let mut peers = PeerNodes::new(0);
    peers.record_shard_heartbeat(1, Some(90 * SECOND), 100 * SECOND);
    peers.record_shard_heartbeat(1, None, 101 * SECOND);
    assert_eq!(known_until(&peers, 101 * SECOND), 90 * SECOND);
}

#[test]
fn leaseholder_counts_until_its_lease_and_those_it_renewed_have_ended() {
    let mut peers = PeerNodes::new(0);
    peers.record_shard_heartbeat(1, Some(90 * SECOND), 100 * SECOND);
    let ended = 100 * SECOND + limits::lengthened(SHARD_LEASE) + WORKER_LEASE;
    assert_eq!(known_until(&peers, ended - 1), 90 * SECOND);
    assert_eq!(known_until(&peers, ended), u64::MAX);
}

#[test]
fn kept_alive_until_never_moves_back() {
    let mut peers = PeerNodes::new(5 * SECOND);
    peers.record_kept_alive_until(4 * SECOND);
    assert_eq!(peers.kept_alive_until(), 5 * SECOND);
    peers.record_kept_alive_until(6 * SECOND);
    assert_eq!(peers.kept_alive_until(), 6 * SECOND);
}

#[test]
fn node_is_out_of_touch_for_an_interval_after_the_last_record() {
    let mut peers = PeerNodes::new(0);
    peers.record_out_of_touch(SECOND, [1, 2].into_iter());
    peers.record_out_of_touch(SECOND + 10, std::iter::once(2));
    assert_eq!(peers.out_of_touch(SECOND + 10), BTreeSet::from([1, 2]));
    assert_eq!(peers.out_of_touch(SECOND + limits::HEARTBEAT_INTERVAL), BTreeSet::from([2]));
    assert!(peers.out_of_touch(SECOND + 10 + limits::HEARTBEAT_INTERVAL).is_empty());
}
