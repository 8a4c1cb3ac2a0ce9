//! One cold start of a fleet.

use dockpier::scheduler::model::{JobSpec, Kind};
use dockpier::settings::{ColdStartSettings, Operator};
use dockpier_simulation::{job, Fleet, Layout};

/// An outage of all controllers that is shorter than a worker's lease, in seconds.
pub const SHORT_OUTAGE_S: f64 = 8.0;
/// An outage of all controllers that is longer than a worker's lease, in seconds.
pub const LONG_OUTAGE_S: f64 = 30.0;
/// The longest that the fleet is given until all its tasks run, before the outage, in seconds.
const MAX_START_S: f64 = 600.0;
/// Time that the fleet runs on with all its tasks before the outage, in seconds.
const SETTLING_S: f64 = 8.0;
/// The longest that a run goes on after the outage, in seconds.
const MAX_RECOVERY_S: f64 = 600.0;
/// Interval between two readings after the outage, in seconds.
const READING_INTERVAL_S: f64 = 1.0;
/// One machine of so many dies during the outage.
const MACHINES_PER_LOSS: usize = 25;
/// Commands a second to start inherited tasks, as the operators' default allows.
const PACE: f64 = 200.0;
/// Tasks of a service, and of an array.
const SERVICE_REPLICAS: usize = 4;
const ARRAY_TASKS: usize = 20;

/// The figures of a run, in the order of the columns.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Machines.
    pub machines: i64,
    /// Seconds for which no controller led.
    pub away_s: f64,
    /// Whether the cold start's phase was turned on.
    pub enabled: bool,
    /// Seconds until every machine was accounted for; `None`: not within the run.
    pub reconciled_s: Option<f64>,
    /// Seconds until every replica of a service ran; `None`: not within the run.
    pub services_s: Option<f64>,
    /// Seconds until every task ran; `None`: not within the run.
    pub whole_s: Option<f64>,
    /// Commands that reached workers.
    pub orders: i64,
    /// The most commands within one second.
    pub peak_orders: i64,
    /// Tasks that were lost in the outage.
    pub lost: i64,
    /// Tasks that ran on two machines at once.
    pub ran_twice: i64,
    /// Changes of the state service.
    pub changes: i64,
}

/// Plays an outage of all controllers, `away_s` long, and the cold start after it.
pub fn cold_start(machines: usize, away_s: f64, enabled: bool) -> Run {
    let mut fleet = Fleet::new(layout(machines, enabled));
    let workload = submit_workload(&mut fleet, machines);
    fleet.run_until(MAX_START_S, |fleet| fleet.history.running_tasks() >= workload.tasks);
    fleet.run(SETTLING_S);
    let (commands, writes) = (fleet.history.ordered(), fleet.store.writes);
    for name in fleet.machine_names().into_iter().step_by(MACHINES_PER_LOSS) {
        fleet.kill_machine(&name);
    }
    fleet.lose_all_controllers(away_s);
    let lost = workload.tasks - fleet.history.running_tasks();
    let recovery = watch_recovery(&mut fleet, &workload, commands);
    Run {
        machines: machines as i64,
        away_s,
        enabled,
        reconciled_s: recovery.reconciled_s,
        services_s: recovery.services_s,
        whole_s: recovery.complete_s,
        orders: (recovery.commands - commands) as i64,
        peak_orders: recovery.peak_commands as i64,
        lost: lost as i64,
        ran_twice: fleet.history.ran_twice.len() as i64,
        changes: (fleet.store.writes - writes) as i64,
    }
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
        max_value_bytes: 16_384,
        ..base
    }
}

/// The tasks of a fleet.
struct Workload {
    /// Replicas of services.
    replicas: usize,
    /// All tasks, replicas included.
    tasks: usize,
}

/// Half of the slots run services, a quarter arrays.
fn submit_workload(fleet: &mut Fleet, machines: usize) -> Workload {
    let replicas = machines * 2;
    for id in 0..replicas / SERVICE_REPLICAS {
        fleet.submit(job(id as u64 + 1, "t", Kind::Service, SERVICE_REPLICAS as u32));
    }
    let arrays = machines / 20;
    for id in 0..arrays {
        let array = job(1_000_000 + id as u64, "t", Kind::Array, ARRAY_TASKS as u32);
        fleet.submit(JobSpec { estimate_s: 7_200.0, ..array });
    }
    Workload { replicas, tasks: replicas + arrays * ARRAY_TASKS }
}

/// What was seen after the outage. Times are in seconds since its end; `None`: not within the run.
struct Recovery {
    reconciled_s: Option<f64>,
    services_s: Option<f64>,
    complete_s: Option<f64>,
    /// Commands that had reached workers at the end, since the fleet began.
    commands: usize,
    /// The most commands between two readings.
    peak_commands: usize,
}

/// Runs the fleet until all tasks run again. `commands`: those that had reached workers before the outage.
fn watch_recovery(fleet: &mut Fleet, workload: &Workload, commands: usize) -> Recovery {
    let began_at = fleet.now();
    let mut recovery =
        Recovery { reconciled_s: None, services_s: None, complete_s: None, commands, peak_commands: 0 };
    while fleet.seconds_since(began_at) < MAX_RECOVERY_S && recovery.complete_s.is_none() {
        fleet.run(READING_INTERVAL_S);
        recovery.read(fleet, workload, fleet.seconds_since(began_at));
    }
    recovery
}

impl Recovery {
    fn read(&mut self, fleet: &Fleet, workload: &Workload, now_s: f64) {
        let commands = fleet.history.ordered();
        self.peak_commands = self.peak_commands.max(commands - self.commands);
        self.commands = commands;
        let first = |so_far: Option<f64>, holds: bool| so_far.or(holds.then_some(now_s));
        self.reconciled_s = first(self.reconciled_s, fleet.scheduler.all_machines_accounted_for());
        self.services_s = first(self.services_s, fleet.history.running_now() >= workload.replicas);
        self.complete_s = first(self.complete_s, fleet.history.running_tasks() >= workload.tasks);
    }
}
