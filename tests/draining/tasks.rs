//! Tasks of a drained machine: cancelled, saved, let finish, and replicas whose new place is reserved.

use crate::drain_fleet::{budget, is_finished, layout_of, request, running, summary, with_services};
use dockpier::scheduler::model::{JobSpec, Kind, TaskId};
use dockpier_drain::budget::{Budget, Cost};
use dockpier_drain::request::Target;
use dockpier_simulation::{job, Fleet, Layout};

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
    let saving = JobSpec {
        checkpoint_interval_s: 10.0,
        checkpoint_save_s: 2.0,
        estimate_s: 300.0,
        ..job(1, "t", Kind::Array, 4)
    };
    let plain = JobSpec { estimate_s: 45.0, ..job(2, "t", Kind::Array, 4) };
    let gang = JobSpec {
        checkpoint_interval_s: 10.0,
        checkpoint_save_s: 2.0,
        estimate_s: 300.0,
        ..job(3, "t", Kind::Gang, 4)
    };
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
