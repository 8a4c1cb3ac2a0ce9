//! The leader's part of `/overview` as its scheduler makes it: words for priorities, phases and reasons to wait, and pages.

use crate::golden;
use crate::node_api::machine_type;
use dockpier::fencing_token::FencingToken;
use dockpier::limits;
use dockpier::scheduler::model::{Heartbeat, JobId, JobSpec, Kind, Priority, Resources};
use dockpier::scheduler::overview::PageStart;
use dockpier::scheduler::{Command, Config, Scheduler, StoredJob, StoredMachine};
use dockpier::settings::{Operator, Team, Workers};
use dockpier::time::Timestamp;
use std::time::Duration;

const SECOND: u64 = 1_000_000;

fn config() -> Config {
    Config {
        token: FencingToken(41),
        operator: Operator::default(),
        workers: Workers {
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 40.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        teams: vec![Team { name: "vision".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        zones: vec!["a".into(), "b".into()],
        list_lag_s: 3.0,
        round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: 1.0,
        write_rps: 1000.0,
        record_machines: 3,
        value_most: 4_096,
        rentals_at_once: 10,
        shard_lease: Duration::ZERO,
    }
}

fn job(number: u64, kind: Kind, priority: Priority, zone: &str) -> StoredJob {
    let spec = JobSpec {
        job_id: JobId(number),
        class: "train".into(),
        team: "vision".into(),
        kind,
        priority,
        tasks: 2,
        resource_request: Resources::needed(1.0, 1.0, 1.0),
        image: "img-07".into(),
        image_gb: 0.0,
        types: None,
        zone: Some(zone.into()),
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    StoredJob { spec, version: number, age: Duration::ZERO, succeeded: [0].into() }
}

fn machine(name: &str, spot: bool) -> StoredMachine {
    StoredMachine {
        name: name.into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        address: "10.1.0.232:9000".into(),
        images: Default::default(),
    }
}

fn report(name: &str, sequence: u64) -> Command {
    let report = Heartbeat {
        machine: name.into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: FencingToken(41),
        notice_s: None,
        tasks: Vec::new(),
    };
    Command::Heartbeat { reply: sequence, heartbeat: report, via: None }
}

/// A leader that inherited a job of each priority and two machines, of which one reports for twenty seconds.
fn views() -> Vec<String> {
    let mut core = Scheduler::new(config(), Timestamp::ZERO);
    let jobs = vec![
        job(1, Kind::Service, Priority::Critical, "a"),
        job(2, Kind::Gang, Priority::High, "b"),
        job(3, Kind::Array, Priority::Normal, "a"),
        job(4, Kind::Array, Priority::Low, "nowhere"),
    ];
    let machines = vec![machine("m-000001", false), machine("m-000002", true)];
    let load = Command::Load { jobs, records: vec![("40-1".into(), machines)] };
    drop(core.step(Timestamp::from_micros(SECOND), vec![Command::Types(vec![machine_type()]), load]));
    let mut views = vec![page(&core, &PageStart::default())];
    for second in 2..22 {
        drop(core.step(Timestamp::from_micros(second * SECOND), vec![report("m-000001", second)]));
        if [2, 21].contains(&second) {
            views.push(page(&core, &PageStart::default()));
        }
    }
    let start = PageStart { after_job: Some("job-000002".into()), after_machine: Some("m-000001".into()) };
    views.push(page(&core, &start));
    views
}

fn page(core: &Scheduler, start: &PageStart) -> String {
    serde_json::to_string_pretty(&core.overview(start)).unwrap() + "\n"
}

#[test]
fn the_leaders_view_is_as_ever() {
    golden::check("leader-views.txt", &views().concat());
}
