//! Failures while a drain runs: the leader ends, the key-value store is out, machines die or never boot.

use crate::drain_fleet::{
    assert_kept, assert_replaced_once, budget, is_finished, layout_of, request, running, summary,
    with_services,
};
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::Target;
use dockpier_simulation::{Fleet, Layout};

/// The leader ends at one moment after the other of a drain; the next one goes on at the same step. No step is taken
/// twice, none is forgotten, and no budget begins anew.
#[test]
fn a_drain_goes_on_whenever_the_leader_ends() {
    let agreed = budget(1, 150.0, 3_600.0);
    for moment in 0..24 {
        let mut fleet = with_services(layout_of(&[("t", agreed)], 2), 2, 2);
        let machines: Vec<String> = fleet.machine_names().into_iter().take(4).collect();
        fleet.drain(request("some", Target::Machines(machines.clone()), true));
        fleet.run(f64::from(moment) * 0.7);
        fleet.change_leader();
        let finished = fleet.run_until(600.0, |fleet| is_finished(fleet, "some"));
        assert!(finished, "leader ended after {moment}: {:?}", summary(&fleet, "some"));
        assert_kept(&fleet, agreed);
        assert_replaced_once(&fleet, &machines);
        assert!(fleet.history.start_commands.values().all(|orders| *orders == 1), "an order was repeated");
    }
}

/// What the last leader spent stays spent, and what it had set aside too.
#[test]
fn a_new_leader_does_not_begin_a_budget_anew() {
    let agreed = budget(1, 14.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 4), 4, 4);
    fleet.drain(request("all", Target::All {}, true));
    let mut down = 0.0;
    for _ in 0..6 {
        fleet.run(40.0);
        fleet.change_leader();
        down = fleet.history.replica_s(fleet.now(), agreed.window_s, |_| true);
        assert!(down <= agreed.cost.replica_s, "{down} replica-s down");
    }
    assert!(down > 0.0, "nothing was moved at all");
    assert!(!is_finished(&fleet, "all"));
}

/// The state service takes no changes: what was told goes on, and nothing new is told before its estimate is stored.
#[test]
fn no_stop_is_told_while_its_estimate_is_not_stored() {
    // Two machines in each zone hold four replicas each.
    let layout = Layout { machines: 2, ..layout_of(&[("t", budget(1, 500.0, 3_600.0))], 1) };
    let mut fleet = with_services(layout, 4, 4);
    fleet.drain(request("all", Target::All {}, true));
    assert!(fleet.run_until(120.0, |fleet| !fleet.history.disruptions.is_empty()));
    fleet.store.out = true;
    fleet.run(60.0);
    assert!(fleet.history.disruptions.len() <= 2, "stops went on without the state service");
    assert!(fleet.history.disruptions.iter().all(|d| d.until.is_some()), "what was told goes on");
    fleet.store.out = false;
    fleet.store.answers_lost = true;
    fleet.run(30.0);
    fleet.store.answers_lost = false;
    assert!(fleet.run_until(900.0, |fleet| is_finished(fleet, "all")), "{:?}", summary(&fleet, "all"));
    assert_kept(&fleet, budget(1, 500.0, 3_600.0));
}

/// A machine that dies, one that hangs beyond its lease, one that the cloud takes: each is drained by its faster way,
/// and the drain ends with all others.
#[test]
fn machines_that_fail_while_they_are_emptied_do_not_stop_the_drain() {
    let agreed = budget(3, 1_000.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 3), 4, 4);
    let machines = fleet.machine_names();
    fleet.drain(request("all", Target::All {}, true));
    let nth_cordoned = |fleet: &Fleet, nth: usize| {
        let parts = fleet.store.progress.values().flat_map(|chunks| chunks.values());
        let entries = parts.flat_map(|chunk| &chunk.machines);
        let mut cordoned = entries.filter(|entry| matches!(entry.state, MachineDrainState::Cordoned { .. }));
        let well = |name: &String| fleet.workers().any(|(n, w)| n == name && !w.dead && !w.tasks.is_empty());
        cordoned.by_ref().map(|entry| entry.machine.clone()).filter(well).nth(nth)
    };
    assert!(fleet.run_until(60.0, |fleet| nth_cordoned(fleet, 0).is_some()));
    let dies = nth_cordoned(&fleet, 0).unwrap();
    fleet.kill_machine(&dies);
    assert!(fleet.run_until(60.0, |fleet| nth_cordoned(fleet, 0).is_some_and(|name| name != dies)));
    let hangs = nth_cordoned(&fleet, 0).unwrap();
    fleet.hang_machine(&hangs, 40.0);
    fleet.run(20.0);
    if let Some(taken) = nth_cordoned(&fleet, 0).filter(|name| *name != hangs) {
        fleet.announce_loss(&taken, 5.0);
    }
    assert!(fleet.run_until(900.0, |fleet| is_finished(fleet, "all")), "{:?}", summary(&fleet, "all"));
    assert!(fleet.history.ran_twice.is_empty());
    assert!(machines.iter().all(|machine| !fleet.machine_names().contains(machine)));
    fleet.run(30.0);
    assert_eq!(running(&fleet, |_| true), 16, "every replica serves again");
}

/// A replacement that never boots is rented anew, under another name, and counts once.
#[test]
fn a_replacement_that_never_boots_is_rented_again() {
    let mut fleet = with_services(layout_of(&[("t", budget(1, 500.0, 3_600.0))], 1), 1, 2);
    let machine = fleet.machine_names().remove(0);
    fleet.never_boot = 1;
    fleet.drain(request("one", Target::Machines(vec![machine.clone()]), true));
    assert!(fleet.run_until(300.0, |fleet| is_finished(fleet, "one")), "{:?}", summary(&fleet, "one"));
    let names: Vec<&String> = fleet.rentals().keys().filter(|name| name.starts_with("drain-")).collect();
    assert_eq!(names.len(), 2, "{names:?}");
    let summary = summary(&fleet, "one").unwrap();
    assert_eq!((summary.counts.returned, summary.counts.replaced), (1, 1));
    assert!(!fleet.machine_names().contains(&machine));
}
