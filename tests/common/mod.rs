//! What the tests of the scheduler share.

use dockpier::fencing_token::FencingToken;
use dockpier::limits;
use dockpier::scheduler::model::{JobId, JobSpec, Kind, Priority, Resources};
use dockpier::scheduler::Config;
use dockpier::settings::{Operator, Team, Workers};
use std::time::Duration;

/// A leader of one team without limits, in two zones, with no leaseholders and nothing scarce.
pub fn config() -> Config {
    Config {
        token: FencingToken(1),
        operator: Operator::default(),
        workers: Workers {
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 40.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        zones: vec!["a".into(), "b".into()],
        list_lag_s: 3.0,
        max_round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: 1.0,
        write_rps: 1000.0,
        max_machines_per_record: 3,
        max_value_bytes: 4_096,
        max_concurrent_rentals: 10,
        shard_lease: Duration::ZERO,
    }
}

/// A job of one-slot tasks that may run anywhere.
pub fn spec(job_id: u64, kind: Kind, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        job_id: JobId(job_id),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority,
        tasks,
        resource_request: Resources::rounded_up(1.0, 1.0, 1.0),
        image: "i".into(),
        image_gb: 0.0,
        allowed_machine_types: None,
        required_zone: None,
        one_zone: false,
        spread: false,
        allows_spot: false,
        estimate_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}
