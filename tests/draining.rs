//! Planned draining in virtual time, judged by the workers' own records: budgets, reserved places, no task twice,
//! every machine replaced once, whatever fails on the way.

use dockpier::scheduler::model::*;
use dockpier::settings::{Draining, Operator, Team};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, Target};
use dockpier_drain::status::{DrainState, Summary, Wait};
use dockpier_simulation::{job, Fleet, Layout};
use std::collections::BTreeSet;

/// What a team agrees to: so many tasks at once, so many replica seconds in a window.
fn budget(tasks: u32, replica_s: f64, window_s: f64) -> Budget {
    Budget { tasks, cost: Cost { replica_s, work_s: 0.0 }, window_s }
}

fn layout_of(budgets: &[(&str, Budget)], at_once: u32) -> Layout {
    let mut agreed = Budgets::default();
    budgets.iter().for_each(|(team, budget)| agreed.add(team, *budget).unwrap());
    let draining = Draining::within(agreed, at_once);
    let team =
        |name: &&str| Team { name: name.to_string(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let base = Layout::default();
    Layout {
        teams: ["t", "u"].iter().map(team).collect(),
        operator: Operator { draining, ..base.operator.clone() },
        ..base
    }
}

fn request(id: &str, target: Target, replace: bool) -> DrainRequest {
    DrainRequest {
        id: DrainId::try_from(id.to_string()).unwrap(),
        target,
        share: None,
        reason: "firmware".into(),
        deadline: None,
        replace,
    }
}

fn summary<'a>(fleet: &'a Fleet, id: &str) -> Option<&'a Summary> {
    fleet.store.summaries.iter().find(|(known, _)| known.as_str() == id).map(|(_, summary)| summary)
}

fn is_finished(fleet: &Fleet, id: &str) -> bool {
    summary(fleet, id).is_some_and(|summary| summary.state == DrainState::Finished)
}

/// Services of this team in both zones, running.
fn with_services(layout: Layout, services: u64, replicas: u32) -> Fleet {
    let mut fleet = Fleet::new(layout);
    for id in 1..=services {
        fleet.submit(job(id, "t", Kind::Service, replicas));
    }
    assert!(fleet.run_until(60.0, |fleet| running(fleet, |id| id.0 <= services) as u64
        == services * u64::from(replicas)));
    fleet.run(5.0);
    fleet
}

fn running(fleet: &Fleet, of: impl Fn(JobId) -> bool) -> usize {
    let tasks = fleet.workers().flat_map(|(_, worker)| &worker.tasks);
    tasks.filter(|(id, task)| of(id.job_id) && task.status == TaskStatus::Running).count()
}

/// By the workers' records, nothing ran twice and the team's replicas were down no longer, and no more of them at
/// once, than agreed.
fn assert_kept(fleet: &Fleet, budget: Budget) {
    assert!(fleet.history.ran_twice.is_empty(), "ran twice: {:?}", fleet.history.ran_twice);
    let down = fleet.history.replica_s(fleet.now(), budget.window_s, |_| true);
    assert!(down <= budget.cost.replica_s, "{down} replica-s of {}", budget.cost.replica_s);
    let at_once = fleet.history.most_at_once(fleet.now(), |_| true);
    assert!(at_once <= budget.tasks as usize, "{at_once} replicas down at once");
}

/// Every machine of the drain was given back, and one rented for each.
fn assert_replaced_once(fleet: &Fleet, machines: &[String]) {
    let returned: BTreeSet<&String> = fleet.history.returned.iter().collect();
    assert!(machines.iter().all(|machine| returned.contains(machine)));
    let rented: usize =
        fleet.rentals().iter().filter(|(name, _)| name.starts_with("drain-")).map(|(_, m)| m.len()).sum();
    assert_eq!(rented, machines.len(), "{:?}", fleet.rentals().keys());
}

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
    let told = summary(&fleet, "busy").unwrap();
    assert!(told.never && told.counts.waiting == busy.len(), "{told:?}");
    assert!(told.waits.iter().any(|wait| matches!(wait, Wait::Budget { team, tasks: 1, .. } if team == "t")));
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
    let told = summary(&fleet, "all").unwrap();
    assert_eq!(told.counts.waiting, 2, "{told:?}");
    assert!(told.waits.iter().any(|wait| matches!(wait, Wait::NoRoom { .. })), "{told:?}");
    assert!(fleet.history.disruptions.is_empty());
}

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
    let told = summary(&fleet, "all").unwrap();
    assert!(told.waits.iter().any(|wait| matches!(wait, Wait::Budget { .. })), "{told:?}");
}

/// A machine that dies, one that hangs beyond its lease, one that the cloud takes: each is drained by its faster way,
/// and the drain ends with all others.
#[test]
fn machines_that_fail_while_they_are_emptied_do_not_stop_the_drain() {
    let agreed = budget(3, 1_000.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 3), 4, 4);
    let machines = fleet.machine_names();
    fleet.drain(request("all", Target::All {}, true));
    let begun = |fleet: &Fleet, nth: usize| {
        let parts = fleet.store.progress.values().flat_map(|chunks| chunks.values());
        let entries = parts.flat_map(|chunk| &chunk.machines);
        let mut cordoned = entries.filter(|entry| matches!(entry.state, MachineDrainState::Cordoned { .. }));
        let well = |name: &String| fleet.workers().any(|(n, w)| n == name && !w.dead && !w.tasks.is_empty());
        cordoned.by_ref().map(|entry| entry.machine.clone()).filter(well).nth(nth)
    };
    assert!(fleet.run_until(60.0, |fleet| begun(fleet, 0).is_some()));
    let dies = begun(&fleet, 0).unwrap();
    fleet.kill_machine(&dies);
    assert!(fleet.run_until(60.0, |fleet| begun(fleet, 0).is_some_and(|name| name != dies)));
    let hangs = begun(&fleet, 0).unwrap();
    fleet.hang_machine(&hangs, 40.0);
    fleet.run(20.0);
    if let Some(taken) = begun(&fleet, 0).filter(|name| *name != hangs) {
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
    let told = summary(&fleet, "one").unwrap();
    assert_eq!((told.counts.returned, told.counts.replaced), (1, 1));
    assert!(!fleet.machine_names().contains(&machine));
}

/// Two drains that overlap share budgets and steps; neither starves, also where the other can't go on.
#[test]
fn two_drains_share_and_neither_starves() {
    let agreed = budget(1, 400.0, 3_600.0);
    let mut fleet = with_services(layout_of(&[("t", agreed)], 1), 2, 4);
    fleet.submit(JobSpec { priority: Priority::High, ..job(50, "u", Kind::Service, 4) });
    assert!(fleet.run_until(60.0, |fleet| running(fleet, |id| id.0 == 50) == 4));
    fleet.run(3.0);
    let with_u: Vec<String> = fleet
        .workers()
        .filter(|(_, worker)| worker.tasks.keys().any(|id| id.job_id.0 == 50))
        .map(|(name, _)| name.to_string())
        .collect();
    // The team of these machines agreed to nothing.
    fleet.drain(request("stuck", Target::Machines(with_u.clone()), true));
    fleet.run(5.0);
    fleet.drain(request("all", Target::All {}, true));
    let others = fleet.machine_names().len() - with_u.len();
    let most_done = |fleet: &Fleet| summary(fleet, "all").is_some_and(|s| s.counts.returned >= others);
    assert!(fleet.run_until(900.0, most_done), "{:?}", summary(&fleet, "all"));
    let told = summary(&fleet, "stuck").unwrap();
    assert!(told.never && told.state == DrainState::Running, "{told:?}");
    assert!(fleet.history.disruptions.iter().all(|d| d.task.job_id.0 != 50));
}

/// Pause, resume, cancel: no stop while paused; cancelled machines take work again.
#[test]
fn a_paused_drain_rests_and_a_cancelled_one_gives_its_machines_back() {
    let mut fleet = with_services(layout_of(&[("t", budget(1, 500.0, 3_600.0))], 2), 2, 4);
    // Paused before its first step: nothing is rented, nothing given back.
    fleet.drain(request("rests", Target::All {}, true));
    fleet.set_desired_state("rests", DesiredState::Pause);
    let there = fleet.machine_names();
    fleet.run(30.0);
    assert_eq!(fleet.machine_names(), there);
    fleet.set_desired_state("rests", DesiredState::Cancel);
    fleet.drain(request("all", Target::All {}, true));
    assert!(fleet.run_until(60.0, |fleet| !fleet.history.disruptions.is_empty()));
    fleet.set_desired_state("all", DesiredState::Pause);
    fleet.run(5.0);
    let (told, there) = (fleet.history.disruptions.len(), fleet.machine_names().len());
    fleet.run(40.0);
    assert_eq!(fleet.history.disruptions.len(), told);
    assert_eq!(fleet.machine_names().len(), there, "a machine was given back while paused");
    assert_eq!(summary(&fleet, "all").unwrap().state, DrainState::Paused);
    fleet.set_desired_state("all", DesiredState::Cancel);
    fleet.run(5.0);
    assert_eq!(summary(&fleet, "all").unwrap().state, DrainState::Cancelled);
    // All room is there again: 32 slots, 8 of them taken.
    let slots = there * 4;
    fleet.submit(job(70, "t", Kind::Array, (slots - 8) as u32));
    assert!(fleet.run_until(60.0, |fleet| running(fleet, |id| id.0 == 70) == slots - 8));
}

/// A user cancels the job whose replica is on its way: nothing of it starts, and its place is free again.
#[test]
fn a_job_cancelled_while_it_moves_ends_and_the_drain_goes_on() {
    let mut fleet = with_services(layout_of(&[("t", budget(1, 500.0, 3_600.0))], 2), 2, 4);
    fleet.drain(request("all", Target::All {}, true));
    assert!(fleet.run_until(90.0, |fleet| fleet.history.disruptions.iter().any(|d| d.until.is_none())));
    let moving = fleet.history.disruptions.last().unwrap().task.job_id;
    fleet.cancel(moving.0);
    fleet.run(2.0);
    let starts = fleet.history.starts.clone();
    assert!(fleet.run_until(600.0, |fleet| is_finished(fleet, "all")), "{:?}", summary(&fleet, "all"));
    let of_moving = |all: &std::collections::BTreeMap<TaskId, usize>| {
        all.iter().filter(|(id, _)| id.job_id == moving).map(|(_, starts)| starts).sum::<usize>()
    };
    assert_eq!(of_moving(&starts), of_moving(&fleet.history.starts), "a task of a cancelled job was started");
    assert_eq!(running(&fleet, |id| id == moving), 0);
}

/// Elastic tasks that save go at once and lose nothing; those that can't are let finish; a gang is stopped whole.
#[test]
fn elastic_work_is_saved_or_let_finish() {
    let agreed = Budget { cost: Cost { replica_s: 0.0, work_s: 10_000.0 }, ..budget(8, 0.0, 3_600.0) };
    let mut fleet = Fleet::new(layout_of(&[("t", agreed)], 8));
    let saving =
        JobSpec { checkpoint_s: 10.0, save_s: 2.0, estimate_s: 300.0, ..job(1, "t", Kind::Array, 4) };
    let plain = JobSpec { estimate_s: 45.0, ..job(2, "t", Kind::Array, 4) };
    let gang = JobSpec { checkpoint_s: 10.0, save_s: 2.0, estimate_s: 300.0, ..job(3, "t", Kind::Gang, 4) };
    [saving, plain, gang].into_iter().for_each(|spec| fleet.submit(spec));
    assert!(fleet.run_until(30.0, |fleet| running(fleet, |_| true) == 12));
    let machines: Vec<String> = fleet
        .workers()
        .filter(|(_, worker)| !worker.tasks.is_empty())
        .map(|(name, _)| name.to_string())
        .collect();
    fleet.drain(request("busy", Target::Machines(machines), true));
    assert!(fleet.run_until(300.0, |fleet| is_finished(fleet, "busy")), "{:?}", summary(&fleet, "busy"));
    assert!(fleet.history.lost_work.is_empty(), "{:?}", fleet.history.lost_work);
    let starts = |job: u64| {
        let own = fleet.history.starts.iter().filter(|(id, _)| id.job_id.0 == job);
        own.map(|(_, starts)| *starts).max().unwrap_or(0)
    };
    assert_eq!(starts(2), 1, "a task that can't save was let finish");
    assert!(starts(1) >= 2 && starts(3) >= 2, "those that save were moved");
    assert!(fleet.history.ran_twice.is_empty());
}

/// Turned on and without a drain, the same events lead to the same decisions as turned off.
#[test]
fn without_a_drain_no_decision_differs() {
    let play = |enabled: bool| {
        let mut layout = layout_of(&[("t", budget(1, 10.0, 600.0))], 2);
        layout.operator.draining.enabled = enabled;
        let mut fleet = Fleet::new(layout);
        let mut told = Vec::new();
        for step in 0..200u64 {
            match step {
                5 => fleet.submit(job(1, "t", Kind::Service, 6)),
                20 => fleet.submit(job(2, "t", Kind::Array, 30)),
                60 => fleet.submit(job(3, "u", Kind::Gang, 4)),
                90 => fleet.kill_machine("m-000002"),
                130 => fleet.change_leader(),
                160 => fleet.cancel(1),
                _ => {}
            }
            fleet.run(0.5);
            let decisions = fleet.last_effects.iter().map(|effect| format!("{effect:?}"));
            told.push(decisions.filter(|effect| !effect.starts_with("WriteDrain")).collect::<Vec<_>>());
        }
        told
    };
    let (on, off) = (play(true), play(false));
    for (step, (on, off)) in on.iter().zip(&off).enumerate() {
        assert_eq!(on, off, "decisions differ in step {step}");
    }
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
    let told = summary(&fleet, "all").unwrap();
    assert_eq!(told.counts.returned, 4, "{told:?}");
    assert!(told.waits.iter().any(|wait| matches!(wait, Wait::ReservedPlaces { .. })), "{told:?}");
}

/// Work that comes while a replica is on its way takes every place but the one that is kept for it.
#[test]
fn the_place_of_a_replica_on_its_way_is_kept() {
    let layout = Layout { machines: 2, capacity: 2, ..layout_of(&[("t", budget(1, 500.0, 3_600.0))], 1) };
    let mut fleet = with_services(layout, 2, 4);
    let busiest = fleet.workers().max_by_key(|(_, worker)| worker.tasks.len()).unwrap().0.to_string();
    fleet.drain(request("one", Target::Machines(vec![busiest]), false));
    let on_its_way = |fleet: &Fleet| fleet.history.disruptions.iter().any(|d| d.until.is_none());
    assert!(fleet.run_until(60.0, on_its_way));
    fleet.submit(JobSpec { estimate_s: 600.0, ..job(9, "t", Kind::Array, 16) });
    fleet.run(12.0);
    assert_eq!(running(&fleet, |id| id.0 <= 2), 8, "the replica that moved does not serve");
    let ordered = fleet.history.start_commands.keys().filter(|(id, _)| id.job_id.0 == 9).count();
    assert_eq!(running(&fleet, |id| id.0 == 9), ordered, "a task was stopped for its place");
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
