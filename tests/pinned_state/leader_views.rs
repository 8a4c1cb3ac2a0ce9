//! The leader's part of `/overview` as its scheduler makes it: words for priorities, phases and reasons to wait, and pages.

use crate::node_api::machine_type;
use crate::{common, golden};
use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::model::{Heartbeat, JobSpec, Kind, Priority};
use dockpier::scheduler::overview::PageStart;
use dockpier::scheduler::{Command, Config, Scheduler, StoredJob, StoredMachine};
use dockpier::settings::Team;
use dockpier::time::Timestamp;
use std::time::Duration;

fn config() -> Config {
    let teams = vec![Team { name: "vision".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }];
    Config { token: FencingToken(41), teams, ..common::config() }
}

fn job(number: u64, kind: Kind, priority: Priority, zone: &str) -> StoredJob {
    let spec = JobSpec {
        class: "train".into(),
        team: "vision".into(),
        image: "img-07".into(),
        required_zone: Some(zone.into()),
        ..common::spec(number, kind, priority, 2)
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
    Command::Heartbeat { response_id: sequence, heartbeat: report, relayed_by: None }
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
    let load = Command::StateLoaded { jobs, records: vec![("40-1".into(), machines)] };
    drop(core.step(Timestamp::from_secs(1), vec![Command::MachineTypes(vec![machine_type()]), load]));
    let mut views = vec![page(&core, &PageStart::default())];
    for second in 2..22 {
        drop(core.step(Timestamp::from_secs(second), vec![report("m-000001", second)]));
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
