//! Tests of one node of a cluster of three, without a network: its reactions to messages and responses that
//! are hard to produce in the simulated cluster.

use super::{BOUNDS, NODE_NAMES};
use crate::fencing_token::FencingToken;
use crate::leadership::{Action, Leadership, Message, Status, StoreResponse};
use crate::lease::cancellation_log::CancellationBounds;
use crate::limits::{self, plus_clock_drift, SECOND};
use crate::protocol::records::Epoch;
use crate::time::Timestamp;
use std::time::Duration;

#[test]
fn a_vote_that_echoes_an_earlier_incarnation_is_ignored() {
    let names = NODE_NAMES.map(String::from).to_vec();
    let now = Timestamp::from_micros(1 << 45);
    let mut node = Leadership::new(
        names,
        0,
        1,
        now,
        CancellationBounds { longest_autonomy: SECOND, start_promise: SECOND, retention: Duration::ZERO },
        0,
    );
    // The earlier incarnation's clock had another origin, so its stamps lie in the future of the new clock or
    // far in the past.
    let later = now + Duration::from_micros(1);
    for echo in [now + Duration::from_micros(9), now - 10 * SECOND] {
        assert_eq!(node.handle_message(later, 1, 7, Status::default(), Message::Vote { echo }), []);
    }
    assert!(node.votes_until(later) <= later);
}

/// A restarted node takes over without votes, while its grant to a node in keep-alive mode still runs. Guards
/// against a leader that counts itself in the majority then: with itself and one grant it assumed a majority,
/// and counted worker leases as expired.
#[test]
fn a_resumed_leader_does_not_count_itself_while_its_grant_to_another_runs() {
    let names = NODE_NAMES.map(String::from).to_vec();
    let started_at = Timestamp::from_micros(1 << 45);
    let mut node = Leadership::new(names, 0, 2, started_at, BOUNDS, 0);
    let now = started_at + 2 * limits::GRANT_DURATION;
    let granted = node.handle_message(
        now,
        1,
        7,
        Status::default(),
        Message::Heartbeat { token: FencingToken(5), sent: Timestamp::from_micros(9) },
    );
    assert!(granted.contains(&Action::Send(
        1,
        Message::Grant { token: FencingToken(5), echo: Timestamp::from_micros(9) }
    )));
    let epoch = Epoch { token: FencingToken(5), node: "a".into(), incarnation: 1 };
    let probed = StoreResponse::Probed { sent: now, epoch: Some((epoch, 3)), locked: true };
    assert!(matches!(
        node.handle_store_response(now, probed)[..],
        [Action::TakeOver { token: FencingToken(6), ignore_lock: true, .. }]
    ));
    let committed = StoreResponse::TakeoverCommitted { lease: 1, version: 4, lease_sent: now };
    assert_eq!(
        node.handle_store_response(now, committed),
        [Action::Elected { token: FencingToken(6), version: 4 }]
    );
    let grant = Message::Grant { token: FencingToken(6), echo: now };
    assert_eq!(node.handle_message(now + Duration::from_micros(1), 2, 8, Status::default(), grant), []);
    let soon = now + SECOND;
    assert_eq!(
        node.others_kept_alive_until(soon),
        soon,
        "a node in keep-alive mode may keep workers alive beside it"
    );
    let later = now + plus_clock_drift(limits::GRANT_DURATION) + Duration::from_micros(1);
    let grant = Message::Grant { token: FencingToken(6), echo: later };
    assert_eq!(node.handle_message(later, 2, 8, Status::default(), grant), []);
    assert!(node.others_kept_alive_until(later + Duration::from_micros(1)) <= later, "counts itself again");
}
