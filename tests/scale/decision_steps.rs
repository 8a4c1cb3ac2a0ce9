//! Work of the scheduler, counted in decision steps: bounded by what changed, at any size of the fleet.

use crate::fleet::{spec, Fleet, MACHINES};
use dockpier::limits::{self, SECOND};
use dockpier::scheduler::model::{Kind, Priority};
use std::collections::BTreeMap;

/// A round used to look at every machine for every task, for every batch of heartbeats: the leader of 850
/// machines did nothing else. What nobody changed must cost nothing but the idle rounds, and an arrival a
/// few looks at the fleet.
#[test]
fn a_step_costs_by_what_changed_at_any_size() {
    [MACHINES, 4_000, 6_000].into_iter().for_each(a_step_costs_by_what_changed);
}

fn a_step_costs_by_what_changed(machines: usize) {
    let mut fleet = Fleet::new(machines);
    for job_id in 0..250 {
        fleet.submit(spec(job_id, Kind::Service, Priority::Critical, 4));
    }
    for job_id in 250..320 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 30));
    }
    // Each job looked at every machine: at 6,000 a fifth of a core took more than half a minute for these.
    (0..5).for_each(|_| fleet.heartbeat());
    let placed: usize = fleet.running.values().map(BTreeMap::len).sum();
    assert_eq!(placed, 250 * 4 + 70 * 30);

    let calm = fleet.scheduler.decision_steps;
    fleet.heartbeat();
    let idle_rounds = 4 * SECOND.as_micros() as u64 / limits::IDLE_ROUND_INTERVAL.as_micros() as u64 + 1;
    let each = 2 * machines as u64 + 320;
    assert!(
        fleet.scheduler.decision_steps - calm <= idle_rounds * each,
        "{} steps",
        fleet.scheduler.decision_steps - calm
    );

    let before = fleet.scheduler.decision_steps;
    fleet.now += SECOND;
    fleet.submit(spec(600, Kind::Array, Priority::Normal, 150));
    let used = fleet.scheduler.decision_steps - before;
    assert!(used <= 10 * machines as u64, "{used} steps for one arrival");
    (0..2).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.width(600), 150);
}

/// The plan walked every machine that was coming for every job that waited: five seconds a plan, while four
/// hundred jobs waited for a thousand machines, and fifty machines of an offer asked for in each.
#[test]
fn a_plan_costs_by_the_queue_and_asks_for_all_that_is_missing() {
    let mut fleet = Fleet::new(0);
    fleet.offers_machines = true;
    for job_id in 0..400 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 10));
    }
    for _ in 0..30 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    // Ten tasks fill two machines and half of a third, and the halves are filled by the next.
    assert_eq!(fleet.rented, 1_000);
    let before = fleet.scheduler.decision_steps;
    for _ in 0..10 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    let plans = fleet.scheduler.decision_steps - before;
    assert!(plans <= 10 * 400 * 12, "{plans} steps in ten plans and rounds");
}
