//! Replaces whole fleets: in steps within budgets, and in the simple ways that steps are compared with.

use dockpier::scheduler::model::Kind;
use dockpier::settings::{Draining, Operator};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use dockpier_drain::ledger::Ledger;
use dockpier_drain::request::{DrainId, DrainRequest, Target};
use dockpier_drain::status::DrainState;
use dockpier_simulation::{job, Fleet, Layout};
use std::fmt;

/// How the machines of a fleet are replaced.
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
    /// The ways that are measured on thousands of machines.
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

/// How many machines were replaced at a time.
#[derive(Debug, Clone, Copy)]
pub struct CurvePoint {
    /// Seconds since the beginning.
    pub at_s: f64,
    /// Machines replaced, or gone.
    pub replaced: usize,
}

/// The figures of a run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Machines of the fleet.
    pub machines: usize,
    /// Replicas on them.
    pub replicas: usize,
    /// How they were replaced.
    pub way: Way,
    /// Seconds until every machine was replaced; `None`: not within the run.
    pub took_s: Option<f64>,
    /// Replica seconds as estimated before the stops.
    pub planned_s: f64,
    /// Replica seconds as the leader observed them, unplanned losses included.
    pub observed_s: f64,
    /// Replica seconds by the workers' records.
    pub happened_s: f64,
    /// The most replicas down at once.
    pub at_once: usize,
    /// Machines replaced over time.
    pub curve: Vec<CurvePoint>,
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

/// The longest that a run goes on, in seconds of virtual time.
const MAX_RUN_S: f64 = 4.0 * 3_600.0;
/// Interval between two readings of a run, in seconds of virtual time.
const READING_INTERVAL_S: f64 = 2.0;
/// The longest that the fleet is given until all replicas run, in seconds of virtual time: at first, and after machines
/// were deleted by hand.
const MAX_START_S: f64 = 600.0;
const MAX_RESTART_S: f64 = 300.0;
/// Replicas of a service.
const SERVICE_REPLICAS: usize = 4;
const TEAM: &str = "t";

/// Machines of four slots in two zones, half of their slots taken by services of four replicas.
fn layout(machines: usize, replicas: usize, way: Way) -> Layout {
    let (share, at_once) = match way {
        Way::Budget(share) => (share, (machines / 10).max(2)),
        Way::OneByOne => (1.0, 1),
        Way::AllAtOnce => (1.0, machines),
    };
    let tasks = ((replicas as f64 * share) as u32).max(1);
    let cost = Cost { replica_s: 1e9, work_s: 1e9 };
    let mut budgets = Budgets::default();
    // The budget of this layout is valid, and no team is named twice.
    let _ = budgets.add(TEAM, Budget { tasks, cost, window_s: 3_600.0 });
    let base = Layout::default();
    Layout {
        machines: machines / 2,
        capacity: machines + 50,
        operator: Operator { draining: Draining::within(budgets, at_once as u32), ..base.operator.clone() },
        write_rps: 300.0,
        max_value_bytes: 16_384,
        report_s: if machines > 1_000 { 4.0 } else { 1.0 },
        ..base
    }
}

/// Replaces every machine of a fleet.
pub fn replace_fleet(machines: usize, way: Way) -> Run {
    let started = std::time::Instant::now();
    let replicas = machines * 2;
    let mut fleet = Fleet::new(layout(machines, replicas, way));
    for id in 0..replicas / SERVICE_REPLICAS {
        fleet.submit(job(id as u64 + 1, TEAM, Kind::Service, SERVICE_REPLICAS as u32));
    }
    fleet.run_until(MAX_START_S, |fleet| fleet.history.running_now() >= replicas);
    fleet.run(10.0);
    let lost_before = lost_replica_s(&fleet);
    let replacement = match way {
        Way::AllAtOnce => replace_by_hand(&mut fleet, usize::MAX),
        Way::OneByOne => replace_by_hand(&mut fleet, 1),
        Way::Budget(_) => replace_in_steps(&mut fleet),
    };
    fleet.run(30.0);
    let ledgers = ledger_totals(&fleet);
    Run {
        machines,
        replicas,
        way,
        took_s: replacement.took_s,
        planned_s: ledgers.planned_s,
        observed_s: ledgers.observed_s,
        happened_s: lost_replica_s(&fleet) - lost_before,
        at_once: fleet.history.most_at_once(fleet.now(), |_| true),
        curve: replacement.curve,
        real_s: started.elapsed().as_secs_f64(),
    }
}

/// Replica seconds lost so far, by the workers' records.
fn lost_replica_s(fleet: &Fleet) -> f64 {
    fleet.history.replica_s(fleet.now(), MAX_RUN_S, |_| true)
}

/// Replica seconds in the teams' ledgers.
struct LedgerTotals {
    planned_s: f64,
    observed_s: f64,
}

fn ledger_totals(fleet: &Fleet) -> LedgerTotals {
    let budget = Budget { window_s: MAX_RUN_S, ..Budget::NONE };
    let mut sums = LedgerTotals { planned_s: 0.0, observed_s: 0.0 };
    for record in fleet.store.ledgers.values() {
        let totals = Ledger::restore(record).totals(fleet.day_ms(), &budget);
        sums.planned_s += totals.planned.replica_s;
        sums.observed_s += totals.observed.plus(totals.unplanned).replica_s;
    }
    sums
}

/// The course of a replacement.
#[derive(Default)]
struct Replacement {
    /// Seconds until every machine was replaced; `None`: not within the run.
    took_s: Option<f64>,
    curve: Vec<CurvePoint>,
}

/// The scheduler drains the machines within the budgets.
fn replace_in_steps(fleet: &mut Fleet) -> Replacement {
    let mut replacement = Replacement::default();
    // The name is valid.
    let Ok(id) = DrainId::try_from("all".to_string()) else { return replacement };
    let began_at = fleet.now();
    fleet.drain(DrainRequest {
        id,
        target: Target::All {},
        share: None,
        reason: "measurement".into(),
        deadline: None,
        replace: true,
    });
    while fleet.seconds_since(began_at) < MAX_RUN_S && replacement.took_s.is_none() {
        fleet.run(READING_INTERVAL_S);
        let Some(summary) = fleet.store.summaries.values().next() else { continue };
        let at_s = fleet.seconds_since(began_at);
        replacement.curve.push(CurvePoint { at_s, replaced: summary.counts.returned + summary.counts.gone });
        if summary.state == DrainState::Finished {
            replacement.took_s = Some(at_s);
        }
    }
    replacement
}

/// Machines are deleted under their tasks, so many at once, without budgets; the scheduler rents new ones by itself.
fn replace_by_hand(fleet: &mut Fleet, at_once: usize) -> Replacement {
    let mut replacement = Replacement::default();
    let (began_at, machines) = (fleet.now(), fleet.machine_names());
    let at_once = at_once.min(machines.len());
    let replicas = fleet.history.running_now();
    for (done, deleted) in machines.chunks(at_once).enumerate() {
        deleted.iter().for_each(|name| fleet.kill_machine(name));
        fleet.run_until(MAX_RESTART_S, |fleet| fleet.history.running_now() >= replicas);
        let at_s = fleet.seconds_since(began_at);
        replacement.curve.push(CurvePoint { at_s, replaced: (done + 1) * at_once });
        if at_s > MAX_RUN_S {
            return replacement;
        }
    }
    replacement.took_s = Some(fleet.seconds_since(began_at));
    replacement
}
