//! Configuration of the scheduler under test, the deployments that a world can play in, and drawn jobs.

use super::common;
use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::model::{JobSpec, Kind, MachineType, Priority, Resources};
use dockpier::scheduler::Config;
use dockpier::settings::{ColdStartSettings, Draining, Operator, Team, Workers};
use dockpier_drain::budget::{Budget, Budgets, Cost, ANY_TEAM};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;

pub(super) const LEASE_S: f64 = 10.0;
pub(super) const STEP: Duration = Duration::from_millis(100);
pub(super) const SHARD_LEASE: Duration = Duration::from_secs(8);

/// Where a world plays: its teams, its zones, and how long a machine takes to boot.
#[derive(Clone)]
pub(super) struct Deployment {
    pub(super) teams: Vec<Team>,
    pub(super) zones: Vec<String>,
    pub(super) machines: usize,
    pub(super) boot_s: std::ops::Range<u64>,
    /// Arrays of three priorities, so that they preempt one another.
    pub(super) mixed_priorities: bool,
    /// Some jobs are critical services.
    pub(super) services: bool,
    /// How long a write to the state service may take, in steps.
    pub(super) write_steps: std::ops::Range<u64>,
    /// Operators drain machines, pause and cancel drains.
    pub(super) drains: bool,
    /// Leaders keep unknown tasks until the store was asked, and order inherited ones at a pace.
    pub(super) cold_start: bool,
    /// Some heartbeats take long to arrive while their worker waits, and direct commands are answered meanwhile.
    pub(super) slow_reports: bool,
    /// Zone `b` is cut off twice within seconds while the leader changes, again and again.
    pub(super) partitions: bool,
    /// Each direct command is carried out once more, up to half a minute later.
    pub(super) late_copies: bool,
    /// Interval between heartbeats, in seconds.
    pub(super) report_s: f64,
}

impl Deployment {
    /// Two zones and one team, whose limit is in GPUs (0: none).
    pub(super) fn of_one_team(gpus_max: f64) -> Self {
        Deployment {
            teams: vec![Team { name: "team".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max }],
            zones: vec!["a".into(), "b".into()],
            machines: 14,
            boot_s: 3..8,
            mixed_priorities: false,
            services: true,
            write_steps: 1..3,
            drains: false,
            cold_start: false,
            slow_reports: false,
            partitions: false,
            late_copies: false,
            report_s: 1.0,
        }
    }

    /// Three zones and four teams, each with a guarantee and a limit that its jobs reach again and again.
    pub(super) fn of_four_teams() -> Self {
        let team = |i: usize| Team {
            name: format!("team-{i}"),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: [0.0, 2.0, 3.0, 2.0][i],
            gpus_max: [3.0, 4.0, 5.0, 6.0][i],
        };
        Deployment {
            teams: (0..4).map(team).collect(),
            zones: ["a", "b", "c"].map(String::from).to_vec(),
            mixed_priorities: true,
            ..Deployment::of_one_team(0.0)
        }
    }

    /// So many zones, and nothing critical.
    pub(super) fn without_services(zones: usize) -> Self {
        let zones = ["a", "b", "c", "d", "e"][..zones].iter().map(|zone| zone.to_string()).collect();
        Deployment { zones, services: false, ..Deployment::of_one_team(0.0) }
    }

    /// One team that has agreed to be moved about.
    pub(super) fn with_drains() -> Self {
        Deployment { drains: true, ..Deployment::of_one_team(0.0) }
    }

    /// The same with the cold start's phase, at a pace that is felt.
    pub(super) fn with_cold_start() -> Self {
        Deployment { cold_start: true, ..Deployment::with_drains() }
    }

    /// Answers to direct commands overtake reports that left before them.
    pub(super) fn with_slow_reports() -> Self {
        Deployment { slow_reports: true, report_s: 3.0, ..Deployment::of_one_team(0.0) }
    }

    /// Zone `b` with its leaseholder is cut off twice.
    pub(super) fn with_partitions() -> Self {
        Deployment { partitions: true, ..Deployment::of_one_team(0.0) }
    }

    /// Copies of direct commands arrive late, between changes of leader, moves and cancellations.
    pub(super) fn with_late_copies() -> Self {
        Deployment { late_copies: true, mixed_priorities: true, ..Deployment::with_slow_reports() }
    }

    /// Machines are up within two seconds, and writes lag for up to four.
    pub(super) fn of_quick_machines() -> Self {
        Deployment { boot_s: 0..2, write_steps: 1..40, ..Deployment::of_one_team(0.0) }
    }
}

pub(super) fn config(token: FencingToken, deployment: &Deployment) -> Config {
    Config {
        token,
        workers: Workers {
            report_s: deployment.report_s,
            lease_s: LEASE_S,
            cancel_s: 40.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        teams: deployment.teams.clone(),
        zones: deployment.zones.clone(),
        shard_lease: SHARD_LEASE,
        operator: Operator {
            draining: draining(deployment.drains),
            cold_start: ColdStartSettings { enabled: deployment.cold_start, pace: 2.0 },
            ..Operator::default()
        },
        ..common::config()
    }
}

fn draining(enabled: bool) -> Draining {
    let mut budgets = Budgets::default();
    let cost = Cost { replica_s: 10_000.0, work_s: 10_000.0 };
    budgets.add(ANY_TEAM, Budget { tasks: 4, cost, window_s: 600.0 }).unwrap();
    match enabled {
        true => Draining::within(budgets, 3),
        false => Draining::default(),
    }
}

pub(super) fn types(deployment: &Deployment) -> Vec<MachineType> {
    vec![MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(12.0, 2.0, 48.0),
        price: 4.0,
        spot_price: Some(1.0),
        boot_s: 5.0,
        fetch_gb_per_s: 1.0,
        zones: deployment.zones.clone(),
    }]
}

pub(super) fn job(rng: &mut SmallRng, job_id: u64, deployment: &Deployment) -> JobSpec {
    let service = deployment.services && rng.random_bool(0.3);
    let kinds = [Kind::Array, Kind::Array, Kind::Gang];
    let kind = if service { Kind::Service } else { kinds[rng.random_range(0..3)] };
    let lower = [Priority::Low, Priority::Normal, Priority::High];
    let lower = if deployment.mixed_priorities { lower[rng.random_range(0..3)] } else { Priority::Low };
    let priority = if service { Priority::Critical } else { lower };
    let team = &deployment.teams[rng.random_range(0..deployment.teams.len())];
    // What could never run within its team's limit is refused at its submission.
    let most = if team.gpus_max > 0.0 && kind != Kind::Array { team.gpus_max as u32 } else { 5 };
    let tasks = rng.random_range(1..6).min(most);
    JobSpec {
        team: team.name.clone(),
        resource_request: Resources::rounded_up(4.0, 1.0, 14.0),
        image: format!("i{}", rng.random_range(0..3)),
        image_gb: 1.0,
        required_zone: rng.random_bool(0.1).then(|| "a".into()),
        one_zone: !service && rng.random_bool(0.2),
        spread: service,
        allows_spot: !service,
        estimate_s: 8.0,
        ..common::spec(job_id, kind, priority, tasks)
    }
}
