//! Tests of `relayed_heartbeats`.

use super::*;
use crate::fencing_token::FencingToken;
use crate::peer::RequestIds;

const NOW: Timestamp = Timestamp::from_secs(100);

fn relayed() -> RelayedHeartbeat {
    let heartbeat = Heartbeat {
        machine: "m-000001".into(),
        address: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        agent_epoch: 1,
        sequence: 1,
        token: FencingToken(1),
        notice_s: None,
        tasks: Vec::new(),
    };
    let (reply, _) = oneshot::channel();
    RelayedHeartbeat { reply, heartbeat, sent_at: NOW }
}

/// Guards against a late copy of a response: its start commands reached the worker once more.
#[test]
fn a_copy_of_a_response_answers_no_heartbeat() {
    let mut ids = RequestIds::of(0x5555_0000_0000_0000);
    let mut waiting = RelayedHeartbeats::default();
    let (first, second) = (ids.take(), ids.take());
    waiting.insert(first, relayed());
    assert!(waiting.take_answered(first).is_some());
    waiting.insert(second, relayed());
    assert!(
        waiting.take_answered(first).is_none(),
        "the copy was taken for the response to a later heartbeat"
    );
    assert!(waiting.take_timed_out(NOW + limits::RELAY_TIMEOUT).is_some());
    assert!(waiting.take_answered(second).is_none(), "the response came after the time limit");
}

/// Guards against a response to the process before, where a controller is back at once.
#[test]
fn a_response_to_the_process_before_answers_no_heartbeat_of_this_one() {
    let mut earlier = RequestIds::of(0x5555_0000_0000_0000);
    let mut ids = RequestIds::of(0x7777_0000_0000_0000);
    let mut waiting = RelayedHeartbeats::default();
    let answered_late: Vec<u64> = (0..1_000).map(|_| earlier.take()).collect();
    (0..1_000).for_each(|_| waiting.insert(ids.take(), relayed()));
    assert!(answered_late.iter().all(|id| waiting.take_answered(*id).is_none()));
}
