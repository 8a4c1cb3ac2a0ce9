//! One cold start of a fleet.

use dockpier::scheduler::model::{JobSpec, Kind};
use dockpier::settings::{ColdStartSettings, Operator};
use dockpier::time::as_seconds;
use dockpier_simulation::{job, Fleet, Layout};

/// Controllers are away for less, and for more, than a worker's lease.
pub const SHORT_S: f64 = 8.0;
/// See [`SHORT_S`].
pub const LONG_S: f64 = 30.0;
/// The longest that a run is played after the controllers are back.
const LONGEST_S: f64 = 600.0;
/// One machine in so many dies while nobody leads.
const DIES_OF: usize = 25;
/// Orders a second that the operators' default allows.
const PACE: f64 = 200.0;

/// The figures of a run, in the order of the columns.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Machines.
    pub machines: i64,
    /// Seconds for which nobody led.
    pub away_s: f64,
    /// The phase was turned on.
    pub enabled: bool,
    /// Seconds until every machine was accounted for.
    pub reconciled_s: f64,
    /// Seconds until every service served.
    pub services_s: f64,
    /// Seconds until everything ran.
    pub whole_s: f64,
    /// Orders at the workers.
    pub orders: i64,
    /// The most orders in one second.
    pub peak_orders: i64,
    /// Tasks that were lost.
    pub lost: i64,
    /// Tasks that were on two machines at once.
    pub ran_twice: i64,
    /// Changes of the state service.
    pub changes: i64,
}

fn layout(machines: usize, enabled: bool) -> Layout {
    let base = Layout::default();
    let cold_start = ColdStartSettings { enabled, pace: PACE };
    Layout {
        machines: machines / 2,
        capacity: machines / 2 + machines / 10 + 4,
        operator: Operator { cold_start, ..base.operator.clone() },
        report_s: if machines > 1_000 { 4.0 } else { 1.0 },
        write_rps: 300.0,
        value_most: 16_384,
        ..base
    }
}

/// Half of the slots run services, a quarter arrays.
pub fn cold_start(machines: usize, away_s: f64, enabled: bool) -> Run {
    let mut fleet = Fleet::new(layout(machines, enabled));
    let replicas = machines * 2;
    for id in 0..replicas / 4 {
        fleet.submit(job(id as u64 + 1, "t", Kind::Service, 4));
    }
    let arrays = machines / 20;
    for id in 0..arrays {
        fleet.submit(JobSpec { estimate_s: 7_200.0, ..job(1_000_000 + id as u64, "t", Kind::Array, 20) });
    }
    let all = replicas + arrays * 20;
    fleet.run_until(600.0, |fleet| fleet.history.running_tasks() >= all);
    fleet.run(8.0);
    let before = fleet.history.ordered();
    let writes = fleet.store.writes;
    for name in fleet.machine_names().into_iter().step_by(DIES_OF) {
        fleet.kill_machine(&name);
    }
    fleet.lose_all_controllers(away_s);
    let lost = all - fleet.history.running_tasks();
    let begun = fleet.now();
    let seconds = |fleet: &Fleet| as_seconds(fleet.now().since(begun));
    let (mut reconciled_s, mut services_s, mut whole_s) = (f64::NAN, f64::NAN, f64::NAN);
    let (mut peak, mut last) = (0, before);
    while seconds(&fleet) < LONGEST_S && whole_s.is_nan() {
        fleet.run(1.0);
        let ordered = fleet.history.ordered();
        (peak, last) = (peak.max(ordered - last), ordered);
        let first = |so_far: f64, now: bool| if so_far.is_nan() && now { seconds(&fleet) } else { so_far };
        reconciled_s = first(reconciled_s, fleet.scheduler.is_reconciled());
        services_s = first(services_s, fleet.history.running_now() >= replicas);
        whole_s = first(whole_s, fleet.history.running_tasks() >= all);
    }
    Run {
        machines: machines as i64,
        away_s,
        enabled,
        reconciled_s,
        services_s,
        whole_s,
        orders: (last - before) as i64,
        peak_orders: peak as i64,
        lost: lost as i64,
        ran_twice: fleet.history.ran_twice.len() as i64,
        changes: (fleet.store.writes - writes) as i64,
    }
}
