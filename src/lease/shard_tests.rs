//! Tests of `shard`: one leaseholder, its workers, and its leader's acknowledgements.

use super::{Shard, ShardResponse};
use crate::fencing_token::FencingToken;
use crate::limits::SECOND;
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::time::Timestamp;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(20);

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
        token: FencingToken(4),
        notice_s: None,
        tasks: (0..tasks).map(task).collect(),
    }
}

/// A shard with a lease that runs from one second on, and with a cached heartbeat of one machine that has two
/// tasks.
fn shard_with_lease() -> Shard {
    let mut shard = Shard::new(8, 1);
    shard.follow(FencingToken(4));
    let heartbeat = shard.next_heartbeat(Timestamp::from_secs(1)).unwrap();
    assert_eq!(
        shard.respond(Timestamp::from_secs(1), &worker_heartbeat(1, 2), true),
        ShardResponse::NotResponsible
    );
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(
        shard.respond(Timestamp::from_secs(1), &worker_heartbeat(1, 2), true),
        ShardResponse::NotResponsible
    );
    shard.record_relayed_response(Timestamp::from_secs(1), worker_heartbeat(1, 2), FencingToken(4), true);
    shard
}

#[test]
fn only_unchanged_heartbeats_are_renewed_without_the_leader() {
    let mut shard = shard_with_lease();
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &worker_heartbeat(2, 2), true).token(),
        Some(FencingToken(4))
    );
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &worker_heartbeat(3, 3), true),
        ShardResponse::NotResponsible,
        "a new task"
    );
    assert_eq!(
        shard.respond(
            Timestamp::from_secs(3),
            &Heartbeat { notice_s: Some(9.0), ..worker_heartbeat(3, 2) },
            true
        ),
        ShardResponse::NotResponsible
    );
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &Heartbeat { agent_epoch: 2, ..worker_heartbeat(1, 2) }, true),
        ShardResponse::NotResponsible
    );
    // A worker that has seen a later leader's token would ignore this node's responses and lose its lease
    // here.
    assert_eq!(
        shard.respond(
            Timestamp::from_secs(3),
            &Heartbeat { token: FencingToken(5), ..worker_heartbeat(3, 2) },
            true
        ),
        ShardResponse::NotResponsible
    );
    shard.require_relay(&["m-1".into()]);
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &worker_heartbeat(3, 2), true),
        ShardResponse::NotResponsible,
        "the leader has a command for the machine"
    );
}

#[test]
fn without_a_leader_workers_are_kept_alive_until_the_shard_lease_ends() {
    let mut shard = shard_with_lease();
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &worker_heartbeat(2, 2), false).token(),
        Some(FencingToken(4))
    );
    // A worker with a change is redirected to the other nodes once: perhaps they are in contact with the
    // leader.
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &worker_heartbeat(3, 3), false),
        ShardResponse::NotResponsible
    );
    // In a network partition the worker has waited for two of the other nodes, four seconds each, with a
    // pause of one second. If it were redirected again at once, its lease would expire.
    assert_eq!(
        shard.respond(Timestamp::from_secs(14), &worker_heartbeat(4, 3), false).token(),
        Some(FencingToken(4))
    );
    assert_eq!(
        shard.respond(Timestamp::from_secs(17), &worker_heartbeat(5, 3), false).token(),
        Some(FencingToken(4))
    );
    // Heartbeats with changes are relayed as soon as there is a leader.
    assert_eq!(
        shard.respond(Timestamp::from_secs(18), &worker_heartbeat(6, 3), true),
        ShardResponse::NotResponsible
    );
    assert_eq!(
        shard.respond(Timestamp::from_secs(1) + LEASE, &worker_heartbeat(7, 2), false),
        ShardResponse::NotResponsible
    );
}

/// Guards against lost leases in a partitioned zone: two thirds of its workers reported to nodes outside it
/// before and are redirected to the node inside, which has not cached them and must keep them alive all the
/// same.
#[test]
fn without_a_leader_workers_redirected_from_other_nodes_are_kept_alive() {
    let mut shard = shard_with_lease();
    let redirected_worker = Heartbeat { machine: "m-2".into(), ..worker_heartbeat(9, 1) };
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &redirected_worker, true),
        ShardResponse::NotResponsible,
        "the leader decides while this node is in contact with it"
    );
    assert_eq!(
        shard.respond(Timestamp::from_secs(8), &redirected_worker, false).token(),
        Some(FencingToken(4))
    );
    // The worker must have the shard's token: one with none, or an earlier one, has no tasks that this shard
    // may keep alive.
    assert_eq!(
        shard.respond(
            Timestamp::from_secs(8),
            &Heartbeat { token: FencingToken(3), ..redirected_worker },
            false
        ),
        ShardResponse::NotResponsible
    );
    assert_eq!(shard.next_heartbeat(Timestamp::from_secs(9)).unwrap().machines, ["m-2"]);
}

#[test]
fn a_shard_lease_runs_from_the_send_time_of_an_acknowledged_heartbeat() {
    let mut shard = shard_with_lease();
    assert!(shard.respond(Timestamp::from_secs(3), &worker_heartbeat(2, 2), true).token().is_some());
    let heartbeat = shard.next_heartbeat(Timestamp::from_secs(4)).unwrap();
    assert!(heartbeat.complete);
    assert_eq!(heartbeat.machines, ["m-1"]);
    let late = Timestamp::from_secs(1) + LEASE;
    assert_eq!(
        shard.respond(late, &worker_heartbeat(3, 2), true),
        ShardResponse::NotResponsible,
        "not acknowledged"
    );
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(shard.respond(late, &worker_heartbeat(4, 2), true).token(), Some(FencingToken(4)));
    assert_eq!(
        shard.respond(Timestamp::from_secs(4) + LEASE, &worker_heartbeat(5, 2), true),
        ShardResponse::NotResponsible
    );
}

/// From a complete shard heartbeat the leader concludes that no other machine has got a response since the
/// last acknowledged one. Machines that it has not acknowledged must be in the next one, since a frame may be
/// lost with its connection.
#[test]
fn a_shard_heartbeat_names_every_machine_since_the_last_acknowledged_one() {
    let mut shard = shard_with_lease();
    assert!(shard.respond(Timestamp::from_secs(2), &worker_heartbeat(2, 2), true).token().is_some());
    let lost = shard.next_heartbeat(Timestamp::from_secs(3)).unwrap();
    let next = shard.next_heartbeat(Timestamp::from_secs(5)).unwrap();
    assert_eq!((lost.machines, &next.machines), (vec!["m-1".to_string()], &vec!["m-1".to_string()]));
    // Renewed again after that heartbeat was sent: the acknowledgement does not cover it.
    assert!(shard.respond(Timestamp::from_secs(5), &worker_heartbeat(3, 2), true).token().is_some());
    shard.acknowledge(next.id, LEASE);
    let last = shard.next_heartbeat(Timestamp::from_secs(7)).unwrap();
    assert_eq!(last.machines, ["m-1"]);
    shard.acknowledge(last.id, LEASE);
    assert!(shard.next_heartbeat(Timestamp::from_secs(9)).unwrap().machines.is_empty());
}

#[test]
fn a_new_leader_starts_the_shard_without_lease_and_cache() {
    let mut shard = shard_with_lease();
    shard.follow(FencingToken(5));
    let worker_heartbeat = |sequence| Heartbeat { token: FencingToken(5), ..worker_heartbeat(sequence, 2) };
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &worker_heartbeat(2), false),
        ShardResponse::NotResponsible,
        "the previous leader granted the lease"
    );
    let heartbeat = shard.next_heartbeat(Timestamp::from_secs(2)).unwrap();
    shard.acknowledge(heartbeat.id, LEASE);
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &worker_heartbeat(2), true),
        ShardResponse::NotResponsible
    );
    // A late response of the previous leader is not cached.
    shard.record_relayed_response(Timestamp::from_secs(2), worker_heartbeat(2), FencingToken(4), true);
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &worker_heartbeat(3), true),
        ShardResponse::NotResponsible
    );
}

#[test]
fn a_repeated_heartbeat_is_a_duplicate_and_renews_nothing() {
    let mut shard = shard_with_lease();
    assert_eq!(
        shard.respond(Timestamp::from_secs(2), &worker_heartbeat(1, 2), true),
        ShardResponse::Duplicate
    );
    assert!(
        shard.next_heartbeat(Timestamp::from_secs(4)).unwrap().machines.is_empty(),
        "the machine got no response"
    );
}

/// 6,000 machines with names of sixty bytes do not fit into one frame. The leader treats no lease of the
/// shard as expired until shard heartbeats have named them all, so the remaining names must follow faster
/// than workers report.
#[test]
fn a_large_shard_with_long_names_is_named_completely_within_one_report_interval() {
    const MACHINES: usize = 6_000;
    const REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
    let mut shard = Shard::new(2 * MACHINES, 1);
    shard.follow(FencingToken(4));
    let first = shard.next_heartbeat(Timestamp::from_secs(1)).unwrap();
    shard.acknowledge(first.id, 60 * SECOND);
    let name = |machine: usize| format!("machine-of-a-rather-long-name-in-a-zone-far-away-{machine:010}");
    let (mut named, mut complete_at) = (std::collections::BTreeSet::new(), Vec::new());
    let mut now = Timestamp::from_secs(1);
    for sequence in 1..=4 {
        for machine in 0..MACHINES {
            now += REPORT_INTERVAL / MACHINES as u32;
            let worker = Heartbeat { machine: name(machine), ..worker_heartbeat(sequence, 1) };
            assert!(shard.respond(now, &worker, false).token().is_some(), "its lease runs");
            if let Some(heartbeat) = shard.next_heartbeat(now) {
                let bytes: usize = heartbeat.machines.iter().map(|name| name.len() + 1).sum();
                assert!(bytes <= crate::limits::MAX_BODY_BYTES, "{bytes} bytes do not fit a frame");
                named.extend(heartbeat.machines);
                complete_at.extend(heartbeat.complete.then_some(now));
                shard.acknowledge(heartbeat.id, 60 * SECOND);
            }
        }
    }
    assert_eq!(named.len(), MACHINES);
    let longest_gap = complete_at.windows(2).map(|pair| pair[1].since(pair[0])).max();
    assert!(longest_gap.is_some_and(|gap| gap <= REPORT_INTERVAL), "complete at {complete_at:?}");
}

/// Shard heartbeats must not be numbered from one in every process: the acknowledgement of an earlier
/// process's heartbeat that arrives after a restart would let this process renew leases unknown to the
/// leader.
#[test]
fn an_acknowledgement_for_an_earlier_incarnation_is_ignored() {
    let mut earlier = Shard::new(8, 1);
    earlier.follow(FencingToken(4));
    let acknowledged = earlier.next_heartbeat(Timestamp::from_secs(1)).unwrap().id;
    let mut shard = Shard::new(8, 90_000);
    shard.follow(FencingToken(4));
    let own = shard.next_heartbeat(Timestamp::from_secs(2)).unwrap().id;
    assert!(!shard.acknowledge(acknowledged, LEASE));
    assert_eq!(
        shard.respond(Timestamp::from_secs(3), &worker_heartbeat(1, 2), false),
        ShardResponse::NotResponsible
    );
    assert!(shard.acknowledge(own, LEASE), "the present incarnation sent it");
    assert!(shard.respond(Timestamp::from_secs(3), &worker_heartbeat(1, 2), false).token().is_some());
}
