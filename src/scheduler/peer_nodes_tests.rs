//! How long leaseholders hold back lease expiry, and how long a node counts as unreachable.

use super::*;
use crate::time::Timestamp;
use std::time::Duration;

const SHARD_LEASE: Duration = Duration::from_secs(20);
const WORKER_LEASE: Duration = Duration::from_secs(12);

fn known_until(peers: &PeerNodes, now: Timestamp) -> Timestamp {
    peers.responses_known_until(now, SHARD_LEASE, WORKER_LEASE)
}

#[test]
fn without_leaseholders_every_response_is_known() {
    assert_eq!(known_until(&PeerNodes::new(Timestamp::ZERO), Timestamp::from_secs(1)), Timestamp::MAX);
}

#[test]
fn leaseholder_that_covers_least_holds_back_lease_expiry() {
    let mut peers = PeerNodes::new(Timestamp::ZERO);
    peers.record_shard_heartbeat(1, Some(Timestamp::from_secs(90)), Timestamp::from_secs(100));
    peers.record_shard_heartbeat(2, Some(Timestamp::from_secs(80)), Timestamp::from_secs(100));
    assert_eq!(known_until(&peers, Timestamp::from_secs(100)), Timestamp::from_secs(80));
}

#[test]
fn incomplete_shard_heartbeat_covers_no_more_than_the_one_before() {
    let mut peers = PeerNodes::new(Timestamp::ZERO);
    peers.record_shard_heartbeat(1, Some(Timestamp::from_secs(90)), Timestamp::from_secs(100));
    peers.record_shard_heartbeat(1, None, Timestamp::from_secs(101));
    assert_eq!(known_until(&peers, Timestamp::from_secs(101)), Timestamp::from_secs(90));
}

#[test]
fn leaseholder_holds_back_lease_expiry_until_its_lease_and_those_it_renewed_have_ended() {
    let mut peers = PeerNodes::new(Timestamp::ZERO);
    peers.record_shard_heartbeat(1, Some(Timestamp::from_secs(90)), Timestamp::from_secs(100));
    let ended = Timestamp::from_secs(100) + limits::plus_clock_drift(SHARD_LEASE) + WORKER_LEASE;
    assert_eq!(known_until(&peers, ended - Duration::from_micros(1)), Timestamp::from_secs(90));
    assert_eq!(known_until(&peers, ended), Timestamp::MAX);
}

#[test]
fn silent_leaseholder_may_renew_leases_until_its_shard_lease_has_ended() {
    let mut peers = PeerNodes::new(Timestamp::ZERO);
    peers.record_shard_heartbeat(1, Some(Timestamp::from_secs(90)), Timestamp::from_secs(100));
    peers.record_shard_heartbeat(2, Some(Timestamp::from_secs(120)), Timestamp::from_secs(120));
    let may_renew_until =
        |at_s| peers.silent_leaseholders_may_renew_until(Timestamp::from_secs(at_s), SHARD_LEASE);
    assert_eq!(may_renew_until(102), Timestamp::ZERO, "both were heard within three seconds");
    let end = Timestamp::from_secs(100) + limits::plus_clock_drift(SHARD_LEASE);
    assert_eq!(may_renew_until(121), end, "only the first one is silent");
}

#[test]
fn others_may_have_renewed_until_never_moves_back() {
    let mut peers = PeerNodes::new(Timestamp::from_secs(5));
    peers.record_others_may_have_renewed_until(Timestamp::from_secs(4));
    assert_eq!(peers.others_may_have_renewed_until(), Timestamp::from_secs(5));
    peers.record_others_may_have_renewed_until(Timestamp::from_secs(6));
    assert_eq!(peers.others_may_have_renewed_until(), Timestamp::from_secs(6));
}

#[test]
fn node_is_unreachable_for_a_peer_heartbeat_interval_after_the_last_record() {
    let mut peers = PeerNodes::new(Timestamp::ZERO);
    peers.record_unreachable(Timestamp::from_secs(1), [1, 2].into_iter());
    peers.record_unreachable(Timestamp::from_secs(1) + Duration::from_micros(10), std::iter::once(2));
    assert_eq!(
        peers.recently_unreachable(Timestamp::from_secs(1) + Duration::from_micros(10)),
        BTreeSet::from([1, 2])
    );
    assert_eq!(
        peers.recently_unreachable(Timestamp::from_secs(1) + limits::PEER_HEARTBEAT_INTERVAL),
        BTreeSet::from([2])
    );
    assert!(peers
        .recently_unreachable(
            Timestamp::from_secs(1) + Duration::from_micros(10) + limits::PEER_HEARTBEAT_INTERVAL
        )
        .is_empty());
}
