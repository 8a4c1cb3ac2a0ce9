//! Budgets and reserved places: a drain goes on within them, waits where it would pass them, and says why.

use crate::drain_fleet::{
    assert_kept, assert_replaced_once, budget, is_finished, layout_of, request, running, summary,
    with_services,
};
use dockpier_drain::request::Target;
use dockpier_drain::status::Wait;
use dockpier_simulation::{Fleet, Layout};

#[test]
fn a_fleet_is_replaced_in_steps_within_the_budget() {
    let agreed = budget(1, 200.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 2), 4, 4);
    let machines = fleet.machine_names();
    fleet.drain(request("all", Target::All {}, true));
    let finished = fleet.run_until(900.0, |fleet| is_finished(fleet, "all"));
    assert!(finished, "{:?}", summary(&fleet, "all"));
    assert_kept(&fleet, agreed);
    assert_replaced_once(&fleet, &machines);
    assert_eq!(running(&fleet, |_| true), 16);
    // Each service had at least one replica in each zone all the while.
    assert!(fleet.history.fewest.values().all(|fewest| *fewest >= 1), "{:?}", fleet.history.fewest);
}

/// The budget covers four moves a window: the drain waits for the window, says so with its numbers, and goes on.
#[test]
fn a_step_that_would_pass_the_budget_waits_and_says_why() {
    // A move is estimated at 6.5 s here: two reports, the round, and a fetch of two seconds.
    let agreed = budget(1, 20.0, 120.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 2), 2, 6);
    fleet.drain(request("all", Target::All {}, true));
    let waits_for_budget = |fleet: &Fleet| {
        let waits = summary(fleet, "all").map(|summary| summary.waits.clone()).unwrap_or_default();
        waits.iter().any(|wait| matches!(wait, Wait::Budget { team, .. } if team == "t"))
    };
    assert!(fleet.run_until(300.0, waits_for_budget), "{:?}", summary(&fleet, "all"));
    assert!(!summary(&fleet, "all").unwrap().never, "a later window has room");
    let mut kept = true;
    let finished = fleet.run_until(3_000.0, |fleet| {
        kept &= fleet.history.replica_s(fleet.now(), agreed.window_s, |_| true) <= agreed.cost.replica_s;
        is_finished(fleet, "all")
    });
    assert!(finished, "{:?}", summary(&fleet, "all"));
    assert!(kept, "the budget of some window was passed");
    assert!(fleet.history.most_at_once(fleet.now(), |_| true) <= 1);
}

/// Nothing was agreed to: the replicas stay, and it is said at once that this will not change.
#[test]
fn a_drain_that_can_never_finish_says_so_with_the_numbers() {
    let mut fleet = with_services(layout_of(&[], 2), 1, 4);
    let busy: Vec<String> = fleet
        .workers()
        .filter(|(_, worker)| !worker.tasks.is_empty())
        .map(|(name, _)| name.to_string())
        .collect();
    fleet.drain(request("busy", Target::Machines(busy.clone()), true));
    fleet.run(20.0);
    let summary = summary(&fleet, "busy").unwrap();
    assert!(summary.never && summary.counts.waiting == busy.len(), "{summary:?}");
    assert!(summary
        .waits
        .iter()
        .any(|wait| matches!(wait, Wait::Budget { team, tasks: 1, .. } if team == "t")));
    assert!(fleet.history.disruptions.is_empty());
    // A team without a budget still lets its machines go that run no replicas.
    let idle: Vec<String> = fleet.machine_names().into_iter().filter(|name| !busy.contains(name)).collect();
    fleet.drain(request("idle", Target::Machines(idle), false));
    assert!(fleet.run_until(60.0, |fleet| is_finished(fleet, "idle")));
}

/// Without room on other machines, and without replacements, nothing is cordoned that could not be emptied.
#[test]
fn replicas_without_another_place_stay_where_they_are() {
    let layout = Layout { machines: 1, ..layout_of(&[("t", budget(4, 1_000.0, 600.0))], 4) };
    let mut fleet = with_services(layout, 1, 8);
    fleet.drain(request("all", Target::All {}, false));
    fleet.run(60.0);
    let summary = summary(&fleet, "all").unwrap();
    assert_eq!(summary.counts.waiting, 2, "{summary:?}");
    assert!(summary.waits.iter().any(|wait| matches!(wait, Wait::NoRoom { .. })), "{summary:?}");
    assert!(fleet.history.disruptions.is_empty());
}

/// Machines that die count against the same budget: a drain waits while a trouble lasts.
#[test]
fn unplanned_losses_take_from_the_same_budget() {
    // The two machines take some 17 replica seconds with them, and a move takes 6.5.
    let agreed = budget(2, 20.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 2), 4, 4);
    let busy = |fleet: &Fleet| {
        let mut by_tasks: Vec<_> =
            fleet.workers().map(|(name, w)| (w.tasks.len(), name.to_string())).collect();
        by_tasks.sort();
        by_tasks.pop().unwrap().1
    };
    for _ in 0..2 {
        let machine = busy(&fleet);
        fleet.kill_machine(&machine);
        fleet.run(40.0);
    }
    let lost = fleet.history.disruptions.len();
    assert!(lost >= 4, "{lost} replicas lost");
    fleet.drain(request("all", Target::All {}, true));
    fleet.run(120.0);
    assert_eq!(fleet.history.disruptions.len(), lost, "a replica was stopped beyond the budget");
    let summary = summary(&fleet, "all").unwrap();
    assert!(summary.waits.iter().any(|wait| matches!(wait, Wait::Budget { .. })), "{summary:?}");
}

/// However many tasks a team allows at once: of each service one replica moves at a time, the others carry on.
#[test]
fn replicas_of_a_service_move_one_at_a_time() {
    let agreed = budget(16, 1_000.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 8), 4, 4);
    fleet.drain(request("all", Target::All {}, true));
    assert!(fleet.run_until(600.0, |fleet| is_finished(fleet, "all")), "{:?}", summary(&fleet, "all"));
    assert!(fleet.history.most_at_once(fleet.now(), |_| true) > 1, "services move side by side");
    for service in 1..=4 {
        let at_once = fleet.history.most_at_once(fleet.now(), |id| id.0 == service);
        assert!(at_once <= 1, "{at_once} replicas of service {service} were down at once");
    }
}

/// Machines without work are places of critical services too: a drain leaves each zone as many as are reserved.
#[test]
fn a_zone_keeps_its_reserved_places() {
    let mut layout = layout_of(&[("t", budget(2, 1_000.0, 3_600.0))], 4);
    layout.operator.reserve_services = 1;
    (layout.machines, layout.capacity) = (3, 3);
    let mut fleet = with_services(layout, 1, 4);
    fleet.drain(request("all", Target::All {}, false));
    // Two replicas run in each zone, and room for two more is reserved: of three machines of four slots, one stays.
    let free_in = |fleet: &Fleet, zone: &str| {
        let here = fleet.workers().filter(|(_, worker)| worker.zone == zone);
        here.map(|(_, worker)| 4 - worker.tasks.len()).sum::<usize>()
    };
    let mut fewest = usize::MAX;
    fleet.run_until(120.0, |fleet| {
        fewest = fewest.min(free_in(fleet, "a")).min(free_in(fleet, "b"));
        false
    });
    assert!(fewest >= 2, "a zone was left with {fewest} places");
    let summary = summary(&fleet, "all").unwrap();
    assert_eq!(summary.counts.returned, 4, "{summary:?}");
    assert!(summary.waits.iter().any(|wait| matches!(wait, Wait::ReservedPlaces { .. })), "{summary:?}");
}

/// What can't be known counts high: a ledger that can't be read is a budget spent, for a window.
#[test]
fn a_ledger_that_can_t_be_read_counts_as_spent() {
    let agreed = budget(1, 100.0, 120.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 2), 2, 4);
    fleet.store.unreadable_ledgers = vec!["t".into()];
    fleet.change_leader();
    fleet.store.unreadable_ledgers.clear();
    fleet.drain(request("all", Target::All {}, true));
    fleet.run(60.0);
    assert!(fleet.history.disruptions.is_empty());
    assert!(fleet.run_until(900.0, |fleet| is_finished(fleet, "all")), "{:?}", summary(&fleet, "all"));
}
