//! Requests: two drains at once, paused, cancelled, and none at all.

use crate::drain_fleet::{budget, layout_of, request, running, summary, with_services};
use dockpier::scheduler::model::{JobSpec, Kind, Priority};
use dockpier_drain::request::{DesiredState, Target};
use dockpier_drain::status::DrainState;
use dockpier_simulation::{job, Fleet};

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
    let summary = summary(&fleet, "stuck").unwrap();
    assert!(summary.never && summary.state == DrainState::Running, "{summary:?}");
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
    let (disruptions, machines) = (fleet.history.disruptions.len(), fleet.machine_names().len());
    fleet.run(40.0);
    assert_eq!(fleet.history.disruptions.len(), disruptions);
    assert_eq!(fleet.machine_names().len(), machines, "a machine was given back while paused");
    assert_eq!(summary(&fleet, "all").unwrap().state, DrainState::Paused);
    fleet.set_desired_state("all", DesiredState::Cancel);
    fleet.run(5.0);
    assert_eq!(summary(&fleet, "all").unwrap().state, DrainState::Cancelled);
    // All room is there again: 32 slots, 8 of them taken.
    let slots = machines * 4;
    fleet.submit(job(70, "t", Kind::Array, (slots - 8) as u32));
    assert!(fleet.run_until(60.0, |fleet| running(fleet, |id| id.0 == 70) == slots - 8));
}

/// Turned on and without a drain, the same events lead to the same decisions as turned off.
#[test]
fn without_a_drain_no_decision_differs() {
    let play = |enabled: bool| {
        let mut layout = layout_of(&[("t", budget(1, 10.0, 600.0))], 2);
        layout.operator.draining.enabled = enabled;
        let mut fleet = Fleet::new(layout);
        let mut effects = Vec::new();
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
            effects.push(decisions.filter(|effect| !effect.starts_with("WriteDrain")).collect::<Vec<_>>());
        }
        effects
    };
    let (on, off) = (play(true), play(false));
    for (step, (on, off)) in on.iter().zip(&off).enumerate() {
        assert_eq!(on, off, "decisions differ in step {step}");
    }
}
