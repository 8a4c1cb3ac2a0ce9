//! Checks which machines are declared dead in a table of outages, each at several cluster sizes.

use super::*;
use crate::limits::SECOND;
use crate::time::{to_micros, Timestamp};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
const SHARD_LEASE: Duration = Duration::from_secs(22);
/// When the outage begins.
const OUTAGE_START: Timestamp = Timestamp::from_secs(100);
const ZONES: [&str; 2] = ["a", "b"];
/// Longer than any case lasts.
const PERMANENT: Duration = Duration::from_secs(1_000);
const CLUSTER_SIZES: [usize; 4] = [20, 120, 1_900, 6_000];

/// How long a machine is silent from `OUTAGE_START` on, by its index and the number of machines.
type SilenceDuration = fn(usize, usize) -> Duration;

fn timeouts() -> DetectionTimeouts {
    DetectionTimeouts {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        silence: limits::silence_timeout(3.0),
        shard_lease: SHARD_LEASE,
        started_at: Timestamp::from_secs(1),
    }
}

/// When the last heartbeat of machine `index` arrived if it is silent for `outage` from `OUTAGE_START` on.
fn last_heartbeat_at(index: usize, outage: Duration, now: Timestamp) -> Timestamp {
    let phase = (index as u32 * 7_919 % 1_000) * HEARTBEAT_INTERVAL / 1_000;
    let heartbeat = |at: Timestamp| {
        let whole_intervals = (at - phase).as_micros() / to_micros(HEARTBEAT_INTERVAL);
        Timestamp::ZERO + whole_intervals as u32 * HEARTBEAT_INTERVAL + phase
    };
    let until = OUTAGE_START + outage;
    if now < OUTAGE_START || outage.is_zero() {
        heartbeat(now)
    } else if now < until {
        heartbeat(OUTAGE_START)
    } else {
        // All machines return at the same time, as after a network partition.
        heartbeat(now).max(until)
    }
}

/// The machines that were declared dead in a case.
struct DeclaredDead {
    machines: usize,
    /// Time from the start of the outage to the first declaration; `Duration::MAX` if there was none.
    first_after: Duration,
}

/// Simulates an outage of some of `machines`. Heartbeats are spread evenly over the interval, a third of them
/// on each of three routes. `unreachable_node`: a node that the leader cannot reach from `OUTAGE_START` on.
/// The simulation begins halfway between time zero and `OUTAGE_START`, and ends `time_after_outage_start`
/// after it.
fn simulate(
    machines: usize,
    outage: SilenceDuration,
    unreachable_node: Option<usize>,
    time_after_outage_start: Duration,
) -> DeclaredDead {
    let names: Vec<String> = (0..machines).map(|i| format!("m-{i}")).collect();
    let timeouts = timeouts();
    let mut detector = FailureDetector::default();
    let mut declared_dead: BTreeSet<usize> = BTreeSet::new();
    let mut first_after = Duration::MAX;
    let simulation_start = OUTAGE_START - OUTAGE_START.since(Timestamp::ZERO) / 2;
    let total_time = simulation_start.since(Timestamp::ZERO) + time_after_outage_start;
    let steps = to_micros(total_time) / to_micros(limits::EXPIRY_CHECK_INTERVAL);
    for step in 0..steps as u32 {
        let now = simulation_start + step * limits::EXPIRY_CHECK_INTERVAL;
        let observed: Vec<ObservedMachine> = (0..machines)
            .filter(|i| !declared_dead.contains(i))
            .map(|i| ObservedMachine {
                name: &names[i],
                zone: ZONES[i % 2],
                route: [None, Some(1), Some(2)][i % 3],
                previous_route: None,
                last_heartbeat_at: last_heartbeat_at(i, outage(i, machines), now),
                receives_no_responses: false,
                awaits_first_heartbeat: false,
                lost: false,
            })
            .collect();
        let unreachable_nodes = unreachable_node.filter(|_| now >= OUTAGE_START).into_iter().collect();
        detector.observe(now, &timeouts, &observed, &unreachable_nodes);
        for name in detector.declared_dead(now, &timeouts, &observed) {
            first_after = first_after.min(now.since(OUTAGE_START));
            declared_dead.extend(name[2..].parse::<usize>());
        }
    }
    DeclaredDead { machines: declared_dead.len(), first_after }
}

/// Guards against a zone that stays unreachable for ever after all its machines were deleted, for example
/// because the cloud's machine list named them as failed: no machine would be rented there again.
#[test]
fn unreachable_zone_is_reachable_again_when_its_last_machine_is_gone() {
    let timeouts = timeouts();
    let machine = |name, lost| ObservedMachine {
        name,
        zone: "a",
        route: None,
        previous_route: None,
        last_heartbeat_at: Timestamp::from_secs(1),
        receives_no_responses: false,
        awaits_first_heartbeat: false,
        lost,
    };
    let mut detector = FailureDetector::default();
    let all = ["x", "y", "z"].map(|name| machine(name, false));
    detector.observe(OUTAGE_START, &timeouts, &all, &BTreeSet::new());
    assert!(detector.zone_unreachable("a"));
    // The leases have expired and still no heartbeat arrives: the partition lasts.
    let all = ["x", "y", "z"].map(|name| machine(name, true));
    detector.observe(OUTAGE_START + 60 * SECOND, &timeouts, &all, &BTreeSet::new());
    assert!(detector.zone_unreachable("a"));
    detector.observe(OUTAGE_START + 61 * SECOND, &timeouts, &[], &BTreeSet::new());
    assert!(!detector.zone_unreachable("a"));
}

/// An outage and the machines that have to be declared dead in it.
struct Case {
    name: &'static str,
    outage: SilenceDuration,
    unreachable_node: Option<usize>,
    /// Number of machines to be declared dead, by the number of all machines.
    expected: fn(usize) -> usize,
    /// Longest time from the start of the outage to the first declaration.
    within: Duration,
}

impl Case {
    /// Failures without a common cause: each machine is declared dead as soon as it is silent.
    fn failures(name: &'static str, outage: SilenceDuration, expected: fn(usize) -> usize) -> Self {
        let within = limits::silence_timeout(3.0) + SECOND;
        Case { name, outage, unreachable_node: None, expected, within }
    }

    /// No outage, or silence with a common cause: no machine is declared dead.
    fn none_dead(name: &'static str, outage: SilenceDuration) -> Self {
        Case { name, outage, unreachable_node: None, expected: |_| 0, within: Duration::MAX }
    }
}

fn cases() -> [Case; 10] {
    [
        Case::none_dead("no outage", |_, _| Duration::ZERO),
        Case::failures("a machine fails", |i, _| if i == 5 { PERMANENT } else { Duration::ZERO }, |_| 1),
        Case::failures(
            "a tenth fails",
            |i, _| if i % 10 == 4 { PERMANENT } else { Duration::ZERO },
            |n| n / 10,
        ),
        Case::failures(
            "a tenth hangs past its lease",
            |i, _| if i % 10 == 4 { 25 * SECOND } else { Duration::ZERO },
            |n| n / 10,
        ),
        // A third of the machines of one route fail: in a small cluster this may be chance.
        Case::failures(
            "a ninth fails, all of one route",
            |i, _| if i % 9 == 1 { PERMANENT } else { Duration::ZERO },
            |n| (n + 7) / 9,
        ),
        Case::none_dead(
            "a third of each zone at once",
            |i, _| if i % 6 < 2 { PERMANENT } else { Duration::ZERO },
        ),
        Case::none_dead(
            "a zone is partitioned",
            |i, _| if i % 2 == 1 { 45 * SECOND } else { Duration::ZERO },
        ),
        Case::none_dead(
            "a zone is silent permanently",
            |i, _| if i % 2 == 1 { PERMANENT } else { Duration::ZERO },
        ),
        Case::none_dead("all are silent", |_, _| 45 * SECOND),
        // The leaseholder responds without the leader. The leader hears from its machines again when they
        // have changed their route after the shard lease ended: here, they are silent for 25 s.
        Case {
            unreachable_node: Some(1),
            ..Case::none_dead("the leader cannot reach a leaseholder", |i, _| {
                if i % 3 == 1 {
                    25 * SECOND
                } else {
                    Duration::ZERO
                }
            })
        },
    ]
}

#[test]
fn only_failures_without_a_common_cause_are_declared_dead_at_every_size() {
    for machines in CLUSTER_SIZES {
        for Case { name, outage, unreachable_node, expected, within } in cases() {
            let dead = simulate(machines, outage, unreachable_node, 90 * SECOND);
            let expected = expected(machines);
            let first = dead.first_after;
            assert_eq!(dead.machines, expected, "{name}, {machines} machines");
            assert!(expected == 0 || first <= within, "{name}, {machines} machines: after {first:?}");
        }
    }
}

/// Machines that stay silent after the partition of their zone are declared dead; those that send heartbeats
/// again are not.
#[test]
fn machines_missing_after_a_zone_partition_are_declared_dead_at_every_size() {
    let partition = |i: usize, n: usize| match i % 2 {
        1 if i > n - n / 10 => PERMANENT,
        1 => 45 * SECOND,
        _ => Duration::ZERO,
    };
    for machines in CLUSTER_SIZES {
        let dead = simulate(machines, partition, None, 90 * SECOND);
        let expected = (0..machines).filter(|i| partition(*i, machines) == PERMANENT).count();
        let first = dead.first_after;
        assert!(expected < machines / 2 / 2, "fewer than half of the zone must stay silent");
        assert_eq!(dead.machines, expected, "a partition, {machines} machines");
        // The outage ends 45 s after its start and was last observed one check before its end.
        assert!(first >= 44 * SECOND + limits::FAILOVER_GRACE_PERIOD, "{machines} machines: after {first:?}");
    }
}
