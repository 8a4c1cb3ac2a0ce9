//! Random layouts, jobs and drains.

use dockpier::scheduler::model::{JobSpec, Kind, Priority, Resources};
use dockpier::settings::ColdStartSettings;
use dockpier::settings::{Draining, Operator, Team};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, Target};
use dockpier_simulation::{job, Layout, MACHINE_TYPE};
use rand::rngs::SmallRng;
use rand::Rng;

/// One of these.
pub fn one_of<T: Clone>(rng: &mut SmallRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())].clone()
}

/// A fleet.
pub fn layout(rng: &mut SmallRng) -> Layout {
    let zones = ["a", "b", "c"].map(String::from);
    let teams: Vec<Team> = ["t", "u", "v"].iter().map(|name| team(rng, name)).collect();
    Layout {
        zones: zones[..rng.random_range(2..=3)].to_vec(),
        machines: rng.random_range(2..=5),
        capacity: rng.random_range(5..=12),
        slots: one_of(rng, &[2.0, 4.0, 6.0]),
        operator: operator(rng, &teams),
        teams,
        report_s: one_of(rng, &[0.5, 1.0, 2.0, 3.0]),
        boot_s: rng.random_range(2.0..12.0),
        write_rps: one_of(rng, &[2.0, 10.0, 200.0]),
        max_value_bytes: one_of(rng, &[2_048, 4_096, 16_384]),
    }
}

fn team(rng: &mut SmallRng, name: &str) -> Team {
    let guaranteed = if rng.random_bool(0.5) { rng.random_range(2.0..12.0) } else { 0.0 };
    let most = if rng.random_bool(0.3) { guaranteed + rng.random_range(8.0..30.0) } else { 0.0 };
    Team { name: name.into(), cpus: guaranteed, cpus_max: most, gpus: guaranteed, gpus_max: most }
}

fn operator(rng: &mut SmallRng, teams: &[Team]) -> Operator {
    let draining = if rng.random_bool(0.6) { draining(rng, teams) } else { Draining::default() };
    Operator {
        rescale_gap_s: one_of(rng, &[3.0, 10.0]),
        aging_s: one_of(rng, &[60.0, 300.0]),
        reserve_services: rng.random_range(0..=2),
        idle_s: one_of(rng, &[20.0, 25.0, 36_000.0]),
        draining,
        cold_start: ColdStartSettings {
            enabled: rng.random_bool(0.5),
            pace: one_of(rng, &[1.0, 5.0, 200.0]),
        },
        ..Operator::default()
    }
}

fn draining(rng: &mut SmallRng, teams: &[Team]) -> Draining {
    let mut budgets = Budgets::default();
    for team in teams {
        if rng.random_bool(0.2) {
            continue;
        }
        let cost = Cost { replica_s: rng.random_range(20.0..400.0), work_s: rng.random_range(20.0..600.0) };
        let window_s = one_of(rng, &[60.0, 120.0, 600.0]);
        let budget = Budget { tasks: rng.random_range(1..=6), cost, window_s };
        budgets.add(&team.name, budget).expect("the budget is valid and the team's first");
    }
    Draining::within(budgets, rng.random_range(1..=4))
}

/// A job of any kind.
pub fn spec(rng: &mut SmallRng, id: u64, zones: &[String], slots: f64) -> JobSpec {
    let kind = one_of(rng, &[Kind::Array, Kind::Array, Kind::Service, Kind::Gang]);
    let tasks = match kind {
        Kind::Array => rng.random_range(1..=30),
        Kind::Gang => rng.random_range(2..=6),
        Kind::Service => rng.random_range(1..=6),
    };
    let team = one_of(rng, &["t", "u", "v"]);
    let mut spec = job(id, team, kind, tasks);
    spec.class = one_of(rng, &["c", "d", "e"]).into();
    spec.priority =
        one_of(rng, &[Priority::Low, Priority::Normal, Priority::Normal, Priority::High, Priority::Critical]);
    let size: f64 = one_of(rng, &[0.5, 1.0, 1.0, 1.5, 2.0]);
    let size = size.min(slots);
    spec.resource_request = Resources::rounded_up(size, one_of(rng, &[0.0, 0.5, size]), size);
    spec.image = format!("image-{}", rng.random_range(1..=6));
    spec.spread = kind == Kind::Service && rng.random_bool(0.6);
    spec.one_zone = kind == Kind::Gang || !spec.spread && rng.random_bool(0.2);
    spec.required_zone = rng.random_bool(0.15).then(|| one_of(rng, zones)).filter(|_| !spec.spread);
    spec.allowed_machine_types = rng.random_bool(0.1).then(|| vec![MACHINE_TYPE.to_string()]);
    spec.allows_spot = kind != Kind::Service && rng.random_bool(0.15);
    if kind != Kind::Service {
        spec.estimate_s = rng.random_range(5.0..120.0);
        spec.deadline_s = rng.random_bool(0.2).then(|| rng.random_range(30.0..300.0));
    }
    if rng.random_bool(0.4) {
        spec.checkpoint_interval_s = rng.random_range(5.0..40.0);
        spec.checkpoint_save_s = rng.random_range(1.0..6.0);
    }
    spec
}

/// A request to drain some machines; `day_s` is the time of day.
pub fn drain(
    rng: &mut SmallRng,
    number: u64,
    machines: &[String],
    zones: &[String],
    day_s: f64,
) -> DrainRequest {
    let target = match rng.random_range(0..10) {
        0 => Target::All {},
        1..=3 => Target::Kind { machine_type: MACHINE_TYPE.into(), zone: one_of(rng, zones) },
        _ => Target::Machines(machines.iter().filter(|_| rng.random_bool(0.3)).cloned().collect()),
    };
    DrainRequest {
        id: DrainId::try_from(format!("drain-{number}")).expect("the name is allowed"),
        target,
        share: rng.random_bool(0.4).then(|| rng.random_range(0.1..1.0)),
        reason: "maintenance".into(),
        deadline: rng.random_bool(0.5).then(|| day_s + rng.random_range(10.0..200.0)),
        replace: rng.random_bool(0.5),
    }
}

/// What an operator may want of a drain.
pub fn wish(rng: &mut SmallRng) -> DesiredState {
    one_of(rng, &[DesiredState::Run, DesiredState::Pause, DesiredState::Cancel])
}
