//! Leader, jobs, machines and catalog in the state service: keys and values, written and read.

use crate::domain::{full_submission, machine_records, plain_submission};
use crate::golden;
use dockpier::fencing_token::FencingToken;
use dockpier::protocol::cloud::{Catalog, CatalogEntry};
use dockpier::protocol::records::{Epoch, FinalRecord, LiveRecord, MachineRecord};
use dockpier::protocol::users::{JobKind, JobPriority, JobStatus, Submission};
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::StoredMachine;
use dockpier::storage::keys;

const FILE: &str = "job-records.txt";

fn epoch() -> Epoch {
    Epoch { token: FencingToken(41), node: "berth-2".into(), incarnation: 77 }
}

/// A job of each kind and priority.
fn submissions() -> Vec<(u64, Submission)> {
    let plain =
        |number: u64, kind, priority| (number, plain_submission(&format!("job-{number:06}"), kind, priority));
    vec![
        (412, full_submission()),
        plain(413, JobKind::Array, JobPriority::Critical),
        plain(414, JobKind::Service, JobPriority::Normal),
        plain(415, JobKind::Gang, JobPriority::BestEffort),
    ]
}

/// A type with every field, and one without spot machines and unknown rates.
fn catalog() -> Catalog {
    let full = CatalogEntry {
        name: "g8".into(),
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 100.5,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: Some(3.6),
        boot_s: 60.0,
        zones: vec!["a".into(), "b".into()],
    };
    let plain = CatalogEntry {
        name: "m4".into(),
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        spot_price: None,
        ..full.clone()
    };
    Catalog { machine_types: vec![full, plain] }
}

fn written() -> String {
    let mut lines =
        golden::write_line(keys::LEADER_EPOCH, epoch()) + &golden::write_line(keys::LEADER_LOCK, epoch());
    for (number, submission) in submissions() {
        let record = LiveRecord { submission, accepted_ms: 1_764_645_000_000 };
        lines += &golden::write_line(&keys::live_job(JobId(number)), record);
    }
    for (number, status, tasks) in [
        (412, JobStatus::Done, 3),
        (413, JobStatus::Cancelled, 100_000),
        (414, JobStatus::Pending, 1),
        (415, JobStatus::Running, 1),
    ] {
        lines += &golden::write_line(&keys::final_state(JobId(number)), FinalRecord { status, tasks });
    }
    lines += &golden::write_line(&keys::finished_tasks(JobId(412), 0), "d00f");
    lines += &golden::write_line(&keys::finished_tasks(JobId(1_234_567), 24), "1");
    lines += &golden::write_line(&format!("{}41-1", keys::MACHINE_RECORDS), machine_records());
    lines += &golden::write_line(keys::MACHINE_TYPE_CATALOG, catalog());
    lines
}

#[test]
fn job_records_are_written_as_ever() {
    golden::check(FILE, &written());
}

#[test]
fn stored_leaders_and_the_catalog_are_read_as_they_were_meant() {
    assert_eq!(golden::read::<Epoch>(FILE, "leader/epoch"), epoch());
    assert_eq!(golden::read::<Epoch>(FILE, "leader/lock"), epoch());
    assert_eq!(golden::read::<Catalog>(FILE, "fleet/catalog"), catalog());
}

#[test]
fn stored_jobs_are_read_as_they_were_meant() {
    for (number, submission) in submissions() {
        let record: LiveRecord = golden::read(FILE, &format!("live/job-{number:06}"));
        assert_eq!(record.submission, submission);
        assert_eq!(record.accepted_ms, 1_764_645_000_000);
    }
    assert_eq!(LiveRecord::tasks_of(&golden::stored(FILE, "live/job-000412")), 3);
    let mut early = golden::stored(FILE, "live/job-000413");
    early.as_object_mut().unwrap().remove("accepted_ms");
    let early: LiveRecord = serde_json::from_value(early).unwrap();
    assert_eq!(early.accepted_ms, 0, "records of the first versions have no time");
}

#[test]
fn stored_ends_are_read_as_they_were_meant() {
    for (key, status, tasks) in [
        ("over/job-000412", JobStatus::Done, 3),
        ("over/job-000413", JobStatus::Cancelled, 100_000),
        ("over/job-000414", JobStatus::Pending, 1),
        ("over/job-000415", JobStatus::Running, 1),
    ] {
        let record: FinalRecord = golden::read(FILE, key);
        assert_eq!((record.status, record.tasks), (status, tasks), "{key}");
    }
}

#[test]
fn stored_machines_are_read_as_they_were_meant() {
    let stored =
        |name: &str, machine_type: &str, zone: &str, spot, address: &str, images: &[&str]| StoredMachine {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            address: address.into(),
            images: images.iter().map(|image| image.to_string()).collect(),
        };
    let expected = [
        stored("m-000231", "g8", "a", true, "10.1.0.232:9000", &["img-07", "img-08"]),
        stored("m-000232", "m4", "b", false, "10.1.0.233:9000", &[]),
    ];
    let records: Vec<MachineRecord> = golden::read(FILE, "fleet/machines/41-1");
    let read: Vec<StoredMachine> = records.into_iter().map(StoredMachine::from).collect();
    assert_eq!(read, expected);
    let again: Vec<MachineRecord> = read.into_iter().map(MachineRecord::from).collect();
    let again = golden::write_line("fleet/machines/41-1", again);
    assert!(golden::text(FILE).contains(&again), "{again}");
}

/// Which keys begin which listing.
#[test]
fn prefixes_of_jobs_and_machines_are_as_ever() {
    assert_eq!(
        (keys::LIVE_JOBS, keys::FINISHED_TASKS, keys::MACHINE_RECORDS),
        ("live/", "done/", "fleet/machines/")
    );
    assert_eq!((keys::LEADER_EPOCH, keys::LEADER_LOCK), ("leader/epoch", "leader/lock"));
    assert_eq!((keys::MACHINE_TYPE_CATALOG, keys::COLD_START_REPORT), ("fleet/catalog", "cold-start/report"));
}
