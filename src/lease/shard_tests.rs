//! Tests of `shard`.

use super::*;
use crate::limits::SECOND;
use crate::scheduler::model::{JobId, TaskId, TaskStatus};

const LEASE: u64 = 20 * SECOND;

fn worker_heartbeat(sequence: u64, tasks: u32) -> Heartbeat {
    let task = |task| ReportedTask {
        id: TaskId { job_id: JobId(1), task },
        attempt: 1,
        status: TaskStatus::Running,
    };
    Heartbeat {
        machine: "m-1".into(),
        address: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: 4,
        notice_s: None,
        tasks: (0..tasks).map(task).collect(),
    }
}

/// A leaseholder whose lease runs from one second on.
fn shard() -> Shard {
    let mut shard = Shard::new(8, 1);
    shard.follow(4);
    let heartbeat = shard.next_heartbeat(SECOND).unwrap();
    assert_eq!(shard.respond(SECOND, &worker_heartbeat(1, 2), true), ShardResponse::NotResponsible);
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(shard.respond(SECOND, &worker_heartbeat(1, 2), true), ShardResponse::NotResponsible);
    shard.record_relayed_response(SECOND, worker_heartbeat(1, 2), 4, true);
    shard
}

#[test]
fn only_what_says_nothing_new_is_answered_without_the_leader() {
    let mut shard = shard();
    assert_eq!(shard.respond(2 * SECOND, &worker_heartbeat(2, 2), true).token(), Some(4));
    assert_eq!(
        shard.respond(3 * SECOND, &worker_heartbeat(3, 3), true),
        ShardResponse::NotResponsible,
        "a new task"
    );
    assert_eq!(
        shard.respond(3 * SECOND, &Heartbeat { notice_s: Some(9.0), ..worker_heartbeat(3, 2) }, true),
        ShardResponse::NotResponsible
    );
    assert_eq!(
        shard.respond(3 * SECOND, &Heartbeat { agent_epoch: 2, ..worker_heartbeat(1, 2) }, true),
        ShardResponse::NotResponsible
    );
    // A worker that has seen a later leader's token would drop ours and sit here without a lease.
    assert_eq!(
        shard.respond(3 * SECOND, &Heartbeat { token: 5, ..worker_heartbeat(3, 2) }, true),
        ShardResponse::NotResponsible
    );
    shard.request_wake(&["m-1".into()]);
    assert_eq!(
        shard.respond(3 * SECOND, &worker_heartbeat(3, 2), true),
        ShardResponse::NotResponsible,
        "the leader has something for it"
    );
}

#[test]
fn without_a_leader_workers_live_on_until_the_block_lease_ends() {
    let mut shard = shard();
    assert_eq!(shard.respond(3 * SECOND, &worker_heartbeat(2, 2), false).token(), Some(4));
    // With news it tries the other nodes once: perhaps they hear the leader.
    assert_eq!(shard.respond(3 * SECOND, &worker_heartbeat(3, 3), false), ShardResponse::NotResponsible);
    // Behind a cut it hung at both of them, four seconds each and a second's pause; sent away again at
    // once it would lose its lease.
    assert_eq!(shard.respond(14 * SECOND, &worker_heartbeat(4, 3), false).token(), Some(4));
    assert_eq!(shard.respond(17 * SECOND, &worker_heartbeat(5, 3), false).token(), Some(4));
    // What changed meanwhile is passed on as soon as there is a leader.
    assert_eq!(shard.respond(18 * SECOND, &worker_heartbeat(6, 3), true), ShardResponse::NotResponsible);
    assert_eq!(shard.respond(SECOND + LEASE, &worker_heartbeat(7, 2), false), ShardResponse::NotResponsible);
}

/// Two thirds of a cut zone's workers had reported to nodes outside it, and came to the one inside, which
/// did not know them and let their leases run out.
#[test]
fn without_a_leader_workers_that_come_from_other_nodes_are_kept_alive_too() {
    let mut shard = shard();
    let stranger = Heartbeat { machine: "m-2".into(), ..worker_heartbeat(9, 1) };
    assert_eq!(
        shard.respond(2 * SECOND, &stranger, true),
        ShardResponse::NotResponsible,
        "the leader decides while it is heard"
    );
    assert_eq!(shard.respond(8 * SECOND, &stranger, false).token(), Some(4));
    // Its token must be ours: one that has seen none, or an earlier one, holds nothing that we may keep.
    assert_eq!(
        shard.respond(8 * SECOND, &Heartbeat { token: 3, ..stranger }, false),
        ShardResponse::NotResponsible
    );
    assert_eq!(shard.next_heartbeat(9 * SECOND).unwrap().machines, ["m-2"]);
}

#[test]
fn a_lease_runs_on_from_when_the_leader_was_told_and_only_if_it_confirmed() {
    let mut shard = shard();
    assert!(shard.respond(3 * SECOND, &worker_heartbeat(2, 2), true).token().is_some());
    let heartbeat = shard.next_heartbeat(4 * SECOND).unwrap();
    assert!(heartbeat.complete);
    assert_eq!(heartbeat.machines, ["m-1"]);
    let late = SECOND + LEASE;
    assert_eq!(
        shard.respond(late, &worker_heartbeat(3, 2), true),
        ShardResponse::NotResponsible,
        "not confirmed"
    );
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(shard.respond(late, &worker_heartbeat(4, 2), true).token(), Some(4));
    assert_eq!(
        shard.respond(4 * SECOND + LEASE, &worker_heartbeat(5, 2), true),
        ShardResponse::NotResponsible
    );
}

/// The leader takes a heartbeat as proof that nobody else was answered before it: what it has not confirmed
/// must be in the next one, since a frame may be lost with its connection.
#[test]
fn a_word_names_whoever_was_answered_since_the_last_one_that_was_confirmed() {
    let mut shard = shard();
    assert!(shard.respond(2 * SECOND, &worker_heartbeat(2, 2), true).token().is_some());
    let lost = shard.next_heartbeat(3 * SECOND).unwrap();
    let next = shard.next_heartbeat(5 * SECOND).unwrap();
    assert_eq!((lost.machines, &next.machines), (vec!["m-1".to_string()], &vec!["m-1".to_string()]));
    // Answered again after that heartbeat left: the confirmation does not cover it.
    assert!(shard.respond(5 * SECOND, &worker_heartbeat(3, 2), true).token().is_some());
    shard.acknowledge(next.id, LEASE);
    let last = shard.next_heartbeat(7 * SECOND).unwrap();
    assert_eq!(last.machines, ["m-1"]);
    shard.acknowledge(last.id, LEASE);
    assert!(shard.next_heartbeat(9 * SECOND).unwrap().machines.is_empty());
}

#[test]
fn a_new_leader_hears_of_every_machine_anew() {
    let mut shard = shard();
    shard.follow(5);
    let worker_heartbeat = |sequence| Heartbeat { token: 5, ..worker_heartbeat(sequence, 2) };
    assert_eq!(
        shard.respond(2 * SECOND, &worker_heartbeat(2), false),
        ShardResponse::NotResponsible,
        "its lease was the last leader's"
    );
    let heartbeat = shard.next_heartbeat(2 * SECOND).unwrap();
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(shard.respond(2 * SECOND, &worker_heartbeat(2), true), ShardResponse::NotResponsible);
    // An answer of the last leader's that was under way leases nothing any more.
    shard.record_relayed_response(2 * SECOND, worker_heartbeat(2), 4, true);
    assert_eq!(shard.respond(2 * SECOND, &worker_heartbeat(3), true), ShardResponse::NotResponsible);
}

#[test]
fn a_copy_counts_for_nothing() {
    let mut shard = shard();
    assert_eq!(shard.respond(2 * SECOND, &worker_heartbeat(1, 2), true), ShardResponse::Duplicate);
    assert!(shard.next_heartbeat(4 * SECOND).unwrap().machines.is_empty(), "the machine was not heard");
}

/// 6,000 machines with names of sixty bytes are more than one frame names. The leader counts on no lease of the shard
/// ending before one heartbeat has named everybody, so the rest has to follow faster than workers report anew.
#[test]
fn a_large_block_with_long_names_is_told_whole_again_and_again() {
    const MACHINES: usize = 6_000;
    const REPORT: u64 = 2_500_000;
    let mut shard = Shard::new(2 * MACHINES, 1);
    shard.follow(4);
    let first = shard.next_heartbeat(SECOND).unwrap();
    shard.acknowledge(first.id, 60 * SECOND);
    let name = |machine: usize| format!("machine-of-a-rather-long-name-in-a-zone-far-away-{machine:010}");
    let (mut named, mut whole_at) = (std::collections::BTreeSet::new(), Vec::new());
    let mut now = SECOND;
    for sequence in 1..=4 {
        for machine in 0..MACHINES {
            now += REPORT / MACHINES as u64;
            let worker = Heartbeat { machine: name(machine), ..worker_heartbeat(sequence, 1) };
            assert!(shard.respond(now, &worker, false).token().is_some(), "its lease runs");
            if let Some(heartbeat) = shard.next_heartbeat(now) {
                let bytes: usize = heartbeat.machines.iter().map(|n| n.len() + 1).sum();
                assert!(bytes <= crate::limits::MAX_BODY_BYTES, "{bytes} bytes do not fit a frame");
                named.extend(heartbeat.machines);
                whole_at.extend(heartbeat.complete.then_some(now));
                shard.acknowledge(heartbeat.id, 60 * SECOND);
            }
        }
    }
    assert_eq!(named.len(), MACHINES);
    let apart = whole_at.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(apart.is_some_and(|apart| apart <= REPORT), "whole at {whole_at:?}");
}

/// Heartbeats were numbered from one in every process: the confirmation of a heartbeat of the process before, still on
/// its way when this one had started, let this one answer by itself, unknown to the leader.
#[test]
fn a_confirmation_of_an_earlier_process_confirms_nothing() {
    let mut earlier = Shard::new(8, 1);
    earlier.follow(4);
    let confirmed = earlier.next_heartbeat(SECOND).unwrap().id;
    let mut shard = Shard::new(8, 90_000);
    shard.follow(4);
    let own = shard.next_heartbeat(2 * SECOND).unwrap().id;
    assert!(!shard.acknowledge(confirmed, LEASE));
    assert_eq!(shard.respond(3 * SECOND, &worker_heartbeat(1, 2), false), ShardResponse::NotResponsible);
    assert!(shard.acknowledge(own, LEASE), "its own counts still");
    assert!(shard.respond(3 * SECOND, &worker_heartbeat(1, 2), false).token().is_some());
}
