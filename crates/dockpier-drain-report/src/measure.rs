//! Replaces whole fleets, in steps under budgets and in the plain ways that steps are compared with.

use dockpier::scheduler::model::Kind;
use dockpier::settings::{Draining, Operator};
use dockpier::time::{as_seconds, Timestamp};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use dockpier_drain::request::{DrainId, DrainRequest, Target};
use dockpier_drain::status::DrainState;
use dockpier_simulation::{job, Fleet, Layout};
use std::fmt;

/// How a fleet is emptied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// In steps, within a budget that allows this share of the replicas to be down at once.
    Budget(f64),
    /// One machine after the other, whatever it holds.
    OneByOne,
    /// All machines at the same time, whatever they hold.
    AllAtOnce,
}

impl Way {
    /// The ways that are played with thousands of machines.
    pub const OF_LARGE_FLEETS: [Way; 2] = [Way::Budget(0.05), Way::AllAtOnce];

    /// The ways that are compared.
    pub fn all() -> [Way; 5] {
        [Way::Budget(0.02), Way::Budget(0.05), Way::Budget(0.2), Way::OneByOne, Way::AllAtOnce]
    }
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Way::Budget(share) => write!(f, "budget {:.0}% at once", share * 100.0),
            Way::OneByOne => write!(f, "one by one"),
            Way::AllAtOnce => write!(f, "all at once"),
        }
    }
}

/// What a run showed.
#[derive(Debug, Clone)]
pub struct Run {
    /// Machines of the fleet.
    pub machines: usize,
    /// Replicas on them.
    pub replicas: usize,
    /// How it was emptied.
    pub way: Way,
    /// Seconds until every machine was replaced; `None`: not within the time that was played.
    pub took_s: Option<f64>,
    /// Replica seconds: as estimated, as the leader observed them, and by the workers' records.
    pub planned_s: f64,
    pub observed_s: f64,
    pub happened_s: f64,
    /// The most replicas down at once.
    pub at_once: usize,
    /// Machines done over time, in seconds.
    pub curve: Vec<(f64, usize)>,
    /// Seconds of real time that the run took.
    pub real_s: f64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let took = self.took_s.map_or("not finished".to_string(), |took| format!("{took:.0} s"));
        write!(
            f,
            "{} machines, {} replicas, {}: {took}; replica-s planned {:.0}, observed {:.0}, happened {:.0}; {} down at \
             once; played in {:.1} s",
            self.machines,
            self.replicas,
            self.way,
            self.planned_s,
            self.observed_s,
            self.happened_s,
            self.at_once,
            self.real_s
        )
    }
}

/// The longest that a run is played, in seconds of its own time.
const LONGEST_S: f64 = 4.0 * 3_600.0;
/// Between two looks at a run.
const LOOK_S: f64 = 2.0;
const TEAM: &str = "t";

/// Machines of four slots in two zones, half of their slots taken by services of four replicas.
fn layout(machines: usize, replicas: usize, way: Way) -> Layout {
    let share = match way {
        Way::Budget(share) => share,
        Way::OneByOne | Way::AllAtOnce => 1.0,
    };
    let tasks = ((replicas as f64 * share) as u32).max(1);
    let cost = Cost { replica_s: 1e9, work_s: 1e9 };
    let mut budgets = Budgets::default();
    // The budget of this layout is valid, and no team is named twice.
    let _ = budgets.add(TEAM, Budget { tasks, cost, window_s: 3_600.0 });
    let at_once = match way {
        Way::OneByOne => 1,
        Way::Budget(_) => (machines / 10).max(2),
        Way::AllAtOnce => machines,
    };
    let base = Layout::default();
    Layout {
        machines: machines / 2,
        capacity: machines + 50,
        operator: Operator { draining: Draining::within(budgets, at_once as u32), ..base.operator.clone() },
        write_rps: 300.0,
        value_most: 16_384,
        report_s: if machines > 1_000 { 4.0 } else { 1.0 },
        ..base
    }
}

/// Replaces every machine of a fleet.
pub fn replace_fleet(machines: usize, way: Way) -> Run {
    let begun = std::time::Instant::now();
    let replicas = machines * 2;
    let mut fleet = Fleet::new(layout(machines, replicas, way));
    for id in 0..replicas / 4 {
        fleet.submit(job(id as u64 + 1, TEAM, Kind::Service, 4));
    }
    fleet.run_until(600.0, |fleet| fleet.history.running_now() >= replicas);
    fleet.run(10.0);
    let (from, lost_before) = (fleet.now(), fleet.history.replica_s(fleet.now(), LONGEST_S, |_| true));
    let old = fleet.machine_names();
    let mut run = Run {
        machines,
        replicas,
        way,
        took_s: None,
        planned_s: 0.0,
        observed_s: 0.0,
        happened_s: 0.0,
        at_once: 0,
        curve: Vec::new(),
        real_s: 0.0,
    };
    match way {
        // Without budgets and holds: the machine is deleted under its tasks, as by hand.
        Way::AllAtOnce | Way::OneByOne => by_hand(&mut fleet, &old, way, from, &mut run),
        Way::Budget(_) => in_steps(&mut fleet, from, &mut run),
    }
    fleet.run(30.0);
    for record in fleet.store.ledgers.values() {
        let ledger = dockpier_drain::ledger::Ledger::restore(record);
        let budget = Budget { window_s: LONGEST_S, ..Budget::NONE };
        let totals = ledger.totals(fleet.day_ms(), &budget);
        run.planned_s += totals.planned.replica_s;
        run.observed_s += totals.observed.plus(totals.unplanned).replica_s;
    }
    run.happened_s = fleet.history.replica_s(fleet.now(), LONGEST_S, |_| true) - lost_before;
    run.at_once = fleet.history.most_at_once(fleet.now(), |_| true);
    run.real_s = begun.elapsed().as_secs_f64();
    run
}

fn seconds(fleet: &Fleet, from: Timestamp) -> f64 {
    as_seconds(fleet.now().since(from))
}

fn in_steps(fleet: &mut Fleet, from: Timestamp, run: &mut Run) {
    let Ok(id) = DrainId::try_from("all".to_string()) else { return };
    fleet.drain(DrainRequest {
        id,
        target: Target::All {},
        share: None,
        reason: "measurement".into(),
        deadline: None,
        replace: true,
    });
    while seconds(fleet, from) < LONGEST_S && run.took_s.is_none() {
        fleet.run(LOOK_S);
        let Some(summary) = fleet.store.summaries.values().next() else { continue };
        run.curve.push((seconds(fleet, from), summary.counts.returned + summary.counts.gone));
        if summary.state == DrainState::Finished {
            run.took_s = Some(seconds(fleet, from));
        }
    }
}

/// One machine, or all, are given back with what is on them; the scheduler finds new ones by itself.
fn by_hand(fleet: &mut Fleet, old: &[String], way: Way, from: Timestamp, run: &mut Run) {
    let together = if way == Way::OneByOne { 1 } else { old.len() };
    let all = fleet.history.running_now();
    for (done, machines) in old.chunks(together).enumerate() {
        machines.iter().for_each(|name| fleet.kill_machine(name));
        fleet.run_until(300.0, |fleet| fleet.history.running_now() >= all);
        run.curve.push((seconds(fleet, from), (done + 1) * together));
        if seconds(fleet, from) > LONGEST_S {
            return;
        }
    }
    run.took_s = Some(seconds(fleet, from));
}
