//! Which machines are declared dead, by what is seen of them: a table of cases at several sizes.

use super::*;
use crate::limits::SECOND;

const REPORT: u64 = 3 * SECOND;
const SHARD_LEASE: u64 = 22 * SECOND;
/// When the trouble begins.
const FROM: u64 = 100 * SECOND;
const ZONES: [&str; 2] = ["a", "b"];

/// What befalls a machine: silent for so long from `FROM` on.
type Trouble = fn(usize, usize) -> u64;

/// Machines that heartbeat evenly over the interval, a third by each of three routes, and the trouble that some
/// have. Returns which are given up, and how long after its beginning the first is.
fn play(machines: usize, trouble: Trouble, lost_route: Option<usize>, time: u64) -> (usize, u64) {
    let names: Vec<String> = (0..machines).map(|i| format!("m-{i}")).collect();
    let timeouts = DetectionTimeouts {
        heartbeat_interval: REPORT,
        silence: limits::silence_timeout(3.0),
        shard_lease: SHARD_LEASE,
        started_at: SECOND,
    };
    let mut detector = FailureDetector::default();
    let mut declared_dead: BTreeSet<usize> = BTreeSet::new();
    let mut first = u64::MAX;
    for step in 0..(FROM / 2 + time) / limits::LEASE_EXPIRY_INTERVAL {
        let now = FROM / 2 + step * limits::LEASE_EXPIRY_INTERVAL;
        let heard = |i: usize| {
            let phase = i as u64 * 7_919 % 1_000 * REPORT / 1_000;
            let heartbeat = |at: u64| at.saturating_sub(phase) / REPORT * REPORT + phase;
            let until = FROM + trouble(i, machines);
            if now < FROM || trouble(i, machines) == 0 {
                heartbeat(now)
            } else if now < until {
                heartbeat(FROM)
            } else {
                // Back, all at once, as after a cut.
                heartbeat(now).max(until)
            }
        };
        let observed: Vec<ObservedMachine> = (0..machines)
            .filter(|i| !declared_dead.contains(i))
            .map(|i| ObservedMachine {
                name: &names[i],
                zone: ZONES[i % 2],
                route: [None, Some(1), Some(2)][i % 3],
                previous_route: None,
                last_heartbeat_at: heard(i),
                unresponsive: false,
                expected: false,
                lost: false,
            })
            .collect();
        let lost = lost_route.filter(|_| now >= FROM).into_iter().collect();
        detector.observe(now, &timeouts, &observed, &lost);
        for name in detector.declared_dead(now, &timeouts, &observed) {
            first = first.min(now - FROM);
            declared_dead.extend(name[2..].parse::<usize>());
        }
    }
    (declared_dead.len(), first)
}

/// A zone stayed unreachable for ever once the list had said that all its machines had failed.
#[test]
fn a_zone_without_machines_is_not_dark() {
    let timeouts = DetectionTimeouts {
        heartbeat_interval: REPORT,
        silence: limits::silence_timeout(3.0),
        shard_lease: SHARD_LEASE,
        started_at: SECOND,
    };
    let machine = |name, lost| ObservedMachine {
        name,
        zone: "a",
        route: None,
        previous_route: None,
        last_heartbeat_at: SECOND,
        unresponsive: false,
        expected: false,
        lost,
    };
    let mut detector = FailureDetector::default();
    let all = ["x", "y", "z"].map(|name| machine(name, false));
    detector.observe(FROM, &timeouts, &all, &BTreeSet::new());
    assert!(detector.zone_unreachable("a"));
    // Their leases are over, and still nobody hears them: the cut goes on.
    let all = ["x", "y", "z"].map(|name| machine(name, true));
    detector.observe(FROM + 60 * SECOND, &timeouts, &all, &BTreeSet::new());
    assert!(detector.zone_unreachable("a"));
    detector.observe(FROM + 61 * SECOND, &timeouts, &[], &BTreeSet::new());
    assert!(!detector.zone_unreachable("a"));
}

#[test]
fn silence_is_told_apart_at_every_size() {
    const LONG: u64 = 1_000 * SECOND;
    let at_once = limits::silence_timeout(3.0) + SECOND;
    let never = u64::MAX;
    let half = |n: usize| n / 2;
    type Size = fn(usize) -> usize;
    // What happens, to whom and for how long, a way that is lost, how many are to be given up, how soon.
    let cases: [(&str, Trouble, Option<usize>, Size, u64); 10] = [
        ("nothing", |_, _| 0, None, |_| 0, never),
        ("a machine dies", |i, _| if i == 5 { LONG } else { 0 }, None, |_| 1, at_once),
        ("a tenth dies", |i, _| if i % 10 == 4 { LONG } else { 0 }, None, |n| n / 10, at_once),
        (
            "a tenth hangs past its lease",
            |i, _| if i % 10 == 4 { 25 * SECOND } else { 0 },
            None,
            |n| n / 10,
            at_once,
        ),
        // A third of those that heartbeat one way: chance on a small fleet.
        (
            "a ninth dies, all of one route",
            |i, _| if i % 9 == 1 { LONG } else { 0 },
            None,
            |n| (n + 7) / 9,
            at_once,
        ),
        ("a third of each zone at once", |i, _| if i % 6 < 2 { LONG } else { 0 }, None, |_| 0, never),
        ("a zone is cut off", |i, _| if i % 2 == 1 { 45 * SECOND } else { 0 }, None, |_| 0, never),
        ("a zone for good", |i, _| if i % 2 == 1 { LONG } else { 0 }, None, |_| 0, never),
        ("all are silent", |_, _| 45 * SECOND, None, |_| 0, never),
        // Its leaseholder answers by itself; the machines come another way when its lease has ended.
        (
            "a leaseholder is out of touch",
            |i, _| if i % 3 == 1 { 25 * SECOND } else { 0 },
            Some(1),
            |_| 0,
            never,
        ),
    ];
    for machines in [20, 120, 1_900, 6_000] {
        for (what, trouble, lost, expected, soon) in &cases {
            let (declared_dead, first) = play(machines, *trouble, *lost, 90 * SECOND);
            let expected = expected(machines);
            assert_eq!(declared_dead, expected, "{what}, {machines} machines");
            assert!(expected == 0 || first <= *soon, "{what}, {machines} machines: after {first}");
        }
        // A zone comes back without some of its machines: those are dead, the others only needed time.
        let cut = |i: usize, n: usize| match i % 2 {
            1 if i > n - n / 10 => LONG,
            1 => 45 * SECOND,
            _ => 0,
        };
        let (declared_dead, first) = play(machines, cut, None, 90 * SECOND);
        let dead = (0..machines).filter(|i| cut(*i, machines) == LONG).count();
        assert!(dead < half(machines) / 2);
        assert_eq!(declared_dead, dead, "a cut, {machines} machines");
        assert!(first >= 44 * SECOND + limits::FAILOVER_GRACE_PERIOD, "{machines} machines: after {first}");
    }
}
