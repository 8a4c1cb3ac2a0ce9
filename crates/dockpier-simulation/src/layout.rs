//! What a fleet is made of, and the settings that follow from it.

use dockpier::fencing_token::FencingToken;
use dockpier::limits;
use dockpier::scheduler::model::{JobId, JobSpec, Kind, Priority, Resources};
use dockpier::scheduler::Config;
use dockpier::settings::{Operator, Team, Workers};
use std::time::Duration;

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Its zones.
    pub zones: Vec<String>,
    /// Machines of each zone at the start.
    pub machines: usize,
    /// Machines that the cloud has in each zone.
    pub capacity: usize,
    /// Slots of a machine: processor cores, GPUs and GB alike.
    pub slots: f64,
    /// Teams.
    pub teams: Vec<Team>,
    /// The operators' settings.
    pub operator: Operator,
    /// Interval between heartbeats, in seconds.
    pub report_s: f64,
    /// Time that a machine takes to boot, in seconds.
    pub boot_s: f64,
    /// Changes a second that the state service takes.
    pub write_rps: f64,
    /// Bytes of a value of the state service.
    pub max_value_bytes: usize,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            zones: vec!["a".into(), "b".into()],
            machines: 4,
            capacity: 64,
            slots: 4.0,
            teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
            // Machines without work are kept: here they are there to be looked at.
            operator: Operator { idle_s: 36_000.0, reserve_services: 0, ..Operator::default() },
            report_s: 1.0,
            boot_s: 5.0,
            write_rps: 200.0,
            max_value_bytes: 4_096,
        }
    }
}

/// The type of every machine.
pub const MACHINE_TYPE: &str = "m";

pub(crate) fn config(layout: &Layout) -> Config {
    Config {
        token: FencingToken(1),
        operator: layout.operator.clone(),
        workers: Workers {
            report_s: layout.report_s,
            lease_s: 10.0 + 2.0 * layout.report_s,
            cancel_s: 60.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        teams: layout.teams.clone(),
        zones: layout.zones.clone(),
        list_lag_s: 3.0,
        max_round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: 1.0,
        write_rps: layout.write_rps,
        max_machines_per_record: limits::machines_per_record(layout.max_value_bytes as f64 / 1_024.0),
        max_value_bytes: layout.max_value_bytes,
        max_concurrent_rentals: 10,
        shard_lease: Duration::ZERO,
    }
}

/// A job of tasks that take a slot each.
pub fn job(id: u64, team: &str, kind: Kind, tasks: u32) -> JobSpec {
    let service = kind == Kind::Service;
    JobSpec {
        job_id: JobId(id),
        class: "c".into(),
        team: team.into(),
        kind,
        priority: if service { Priority::Critical } else { Priority::Normal },
        tasks,
        resource_request: Resources::rounded_up(1.0, 1.0, 1.0),
        image: format!("image-{id}"),
        image_gb: 1.0,
        allowed_machine_types: None,
        required_zone: None,
        one_zone: kind == Kind::Gang,
        spread: service,
        allows_spot: false,
        estimate_s: if service { 0.0 } else { 60.0 },
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}
