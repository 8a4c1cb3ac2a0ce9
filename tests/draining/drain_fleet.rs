//! A fleet in virtual time with services, drains of it, and what the workers' records must show.

use dockpier::scheduler::model::{JobId, Kind, TaskStatus};
use dockpier::settings::{Draining, Operator, Team};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use dockpier_drain::request::{DrainId, DrainRequest, Target};
use dockpier_drain::status::{DrainState, Summary};
use dockpier_simulation::{job, Fleet, Layout};
use std::collections::BTreeSet;

/// What a team agrees to: so many tasks at once, so many replica seconds in a window.
pub fn budget(tasks: u32, replica_s: f64, window_s: f64) -> Budget {
    Budget { tasks, cost: Cost { replica_s, work_s: 0.0 }, window_s }
}

pub fn layout_of(budgets: &[(&str, Budget)], at_once: u32) -> Layout {
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

pub fn request(id: &str, target: Target, replace: bool) -> DrainRequest {
    DrainRequest {
        id: DrainId::try_from(id.to_string()).unwrap(),
        target,
        share: None,
        reason: "firmware".into(),
        deadline: None,
        replace,
    }
}

pub fn summary<'a>(fleet: &'a Fleet, id: &str) -> Option<&'a Summary> {
    fleet.store.summaries.iter().find(|(known, _)| known.as_str() == id).map(|(_, summary)| summary)
}

pub fn is_finished(fleet: &Fleet, id: &str) -> bool {
    summary(fleet, id).is_some_and(|summary| summary.state == DrainState::Finished)
}

/// Services of this team in both zones, running.
pub fn with_services(layout: Layout, services: u64, replicas: u32) -> Fleet {
    let mut fleet = Fleet::new(layout);
    for id in 1..=services {
        fleet.submit(job(id, "t", Kind::Service, replicas));
    }
    assert!(fleet.run_until(60.0, |fleet| running(fleet, |id| id.0 <= services) as u64
        == services * u64::from(replicas)));
    fleet.run(5.0);
    fleet
}

pub fn running(fleet: &Fleet, of: impl Fn(JobId) -> bool) -> usize {
    let tasks = fleet.workers().flat_map(|(_, worker)| &worker.tasks);
    tasks.filter(|(id, task)| of(id.job_id) && task.status == TaskStatus::Running).count()
}

/// By the workers' records, nothing ran twice and the team's replicas were down no longer, and no more of them at
/// once, than agreed.
pub fn assert_kept(fleet: &Fleet, budget: Budget) {
    assert!(fleet.history.ran_twice.is_empty(), "ran twice: {:?}", fleet.history.ran_twice);
    let down = fleet.history.replica_s(fleet.now(), budget.window_s, |_| true);
    assert!(down <= budget.cost.replica_s, "{down} replica-s of {}", budget.cost.replica_s);
    let at_once = fleet.history.most_at_once(fleet.now(), |_| true);
    assert!(at_once <= budget.tasks as usize, "{at_once} replicas down at once");
}

/// Every machine of the drain was given back, and one rented for each.
pub fn assert_replaced_once(fleet: &Fleet, machines: &[String]) {
    let returned: BTreeSet<&String> = fleet.history.returned.iter().collect();
    assert!(machines.iter().all(|machine| returned.contains(machine)));
    let rented: usize =
        fleet.rentals().iter().filter(|(name, _)| name.starts_with("drain-")).map(|(_, m)| m.len()).sum();
    assert_eq!(rented, machines.len(), "{:?}", fleet.rentals().keys());
}
