//! The version in production and this one beside each other: frames and records that production made
//! (`tests/golden`, written by its own code) are read here, and what is sent here is laid out as production
//! reads it.

use dockpier::fencing_token::FencingToken;
use dockpier::leadership::{Message, Status};
use dockpier::lease::cancellation_log::Attestation;
use dockpier::peer::{decode, encode, Frame, Payload, Sender};
use dockpier::protocol::records::{Epoch, FinalRecord, LiveRecord, MachineRecord};
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobId, JobSummary, ReportedTask, TaskCommand, TaskCounts, TaskId, TaskStatus,
};
use dockpier::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

const GOLDEN: &str = include_str!("golden/frames-3f677f9.txt");
/// Of the first version with gangs, which may run somewhere as well.
const GOLDEN_WITH_GANGS: &str = include_str!("golden/frames-7be9135.txt");
const SENDER: Sender = Sender { node: 2, incarnation: 77 };
/// Of a head: the bytes that production leaves 0 and ignores, and its kind.
const ABILITIES: std::ops::Range<usize> = 10..12;
const KIND: usize = 8;
const HEAD: usize = 64;

fn summary(job_id: u64, succeeded: u32, running: u32) -> JobSummary {
    JobSummary { job_id: JobId(job_id), counts: TaskCounts { succeeded, running } }
}

fn golden() -> BTreeMap<&'static str, Vec<u8>> {
    frames(GOLDEN)
}

fn frames(golden: &'static str) -> BTreeMap<&'static str, Vec<u8>> {
    let byte = |at: usize, hex: &str| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap();
    let frame = |line: &'static str| {
        let (name, hex) = line.split_once(' ').unwrap();
        (name, (0..hex.len() / 2).map(|at| byte(at, hex)).collect())
    };
    golden.lines().map(frame).collect()
}

/// What production was asked to write.
fn payloads(gives_attestations: bool) -> Vec<(&'static str, Payload)> {
    let status = Status {
        store_answer_age: Duration::from_micros(5_000),
        worker_heartbeats: 9,
        ready_machines: 0,
        gives_attestations,
    };
    let id = TaskId { job_id: JobId(412), task: 3 };
    let statuses = [
        TaskStatus::Fetching,
        TaskStatus::Running,
        TaskStatus::Saving,
        TaskStatus::Exited(ExitReason::Done),
        TaskStatus::Exited(ExitReason::Stopped),
        TaskStatus::Exited(ExitReason::Error),
        TaskStatus::Exited(ExitReason::NoRoom),
        TaskStatus::Exited(ExitReason::Busy),
        TaskStatus::Exited(ExitReason::Unknown),
    ];
    let heartbeat = Heartbeat {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 2,
        sequence: 88,
        token: FencingToken(41),
        notice_s: Some(12.5),
        tasks: statuses.into_iter().map(|status| ReportedTask { id, attempt: 5, status }).collect(),
    };
    let task_commands = vec![
        TaskCommand::Start { id, attempt: 6 },
        TaskCommand::Stop { id, attempt: 5, grace_s: 4.5 },
        TaskCommand::Forget { id, attempt: 4 },
    ];
    let machines = vec!["m-1".to_string(), "m-22".to_string()];
    let leadership = |message| Payload::Leadership(status, message);
    vec![
        (
            "heartbeat",
            leadership(Message::Heartbeat { token: FencingToken(4), sent: Timestamp::from_micros(11) }),
        ),
        ("grant", leadership(Message::Grant { token: FencingToken(4), echo: Timestamp::from_micros(11) })),
        ("promise-request", leadership(Message::VoteRequest { sent: Timestamp::from_micros(3) })),
        ("promise", leadership(Message::Vote { echo: Timestamp::from_micros(3) })),
        ("release", leadership(Message::HandOver { token: FencingToken(4), successor: 1 })),
        ("summary", Payload::Summary(vec![summary(412, 3, 1), summary(413, 0, 0)])),
        ("report", Payload::RelayedHeartbeat { id: 9, stamp: Timestamp::from_micros(11), heartbeat }),
        (
            "reply",
            Payload::RelayedResponse {
                id: 9,
                token: Some(FencingToken(41)),
                leaseholder_may_respond: true,
                task_commands,
            },
        ),
        ("wake", Payload::WakeRequest(machines.clone())),
        (
            "heard",
            Payload::ShardHeartbeat {
                id: 3,
                stamp: Timestamp::from_micros(4),
                complete: true,
                without_lease: false,
                machines,
            },
        ),
        ("confirmed", Payload::ShardHeartbeatAck { id: 3, lease_ms: 20_000 }),
    ]
}

#[test]
fn what_production_sends_is_read_as_it_was_meant() {
    let golden = golden();
    assert_eq!(golden.len(), payloads(false).len());
    for (name, payload) in payloads(false) {
        let Frame { node, incarnation, sequence, payload: read } = decode(&golden[name]).unwrap();
        assert_eq!((node, incarnation, sequence), (2, 77, 6), "{name}");
        assert_eq!(format!("{read:?}"), format!("{payload:?}"), "{name}");
    }
}

/// Byte for byte what production writes, but for the bits that it ignores.
#[test]
fn what_is_sent_to_production_has_its_layout() {
    let golden = golden();
    for (name, payload) in payloads(true) {
        let mut bytes = encode(SENDER, 6, &payload);
        let leads = bytes[KIND] <= 5;
        assert_eq!(&bytes[ABILITIES], [u8::from(leads), 0], "{name}");
        bytes[ABILITIES].fill(0);
        assert_eq!(bytes, golden[name], "{name}");
    }
}

fn attestation() -> Attestation {
    Attestation {
        for_incarnation: 7,
        echo: Timestamp::from_micros(11),
        incarnation_age: Duration::from_micros(13),
        confirmations_suspended: true,
        start_promise: Duration::ZERO,
        acknowledged: 3,
        last_number: 5,
        cancelled: vec![412, 9],
        requested: vec![],
    }
}

/// The first version with gangs attests as this one does: every frame is the same both ways.
#[test]
fn frames_of_the_first_version_with_gangs_are_written_and_read_as_they_were() {
    let golden = frames(GOLDEN_WITH_GANGS);
    let mut payloads = payloads(true);
    payloads.push(("attestation", Payload::Attestation(attestation())));
    assert_eq!(golden.len(), payloads.len());
    for (name, payload) in payloads {
        assert_eq!(encode(SENDER, 6, &payload), golden[name], "{name}");
        assert_eq!(format!("{:?}", decode(&golden[name]).unwrap().payload), format!("{payload:?}"), "{name}");
    }
}

/// Earlier versions write zeros where the promise about starts and the number of requests lie now, and pass over what
/// lies there. They are sent no requests.
#[test]
fn what_attestations_hold_about_starts_lies_in_bytes_that_earlier_versions_leave_zero() {
    let promising = Attestation { start_promise: Duration::from_millis(20_000), ..attestation() };
    let bytes = encode(SENDER, 6, &Payload::Attestation(promising.clone()));
    assert!(matches!(decode(&bytes).unwrap().payload, Payload::Attestation(read) if read == promising));
    let earlier = &frames(GOLDEN_WITH_GANGS)["attestation"];
    let differing: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != earlier[*at]).collect();
    let requesting = Attestation { requested: vec![17], ..promising };
    let read = decode(&encode(SENDER, 6, &Payload::Attestation(requesting.clone()))).unwrap().payload;
    assert!(matches!(read, Payload::Attestation(read) if read == requesting));
    // The last bytes before the two jobs.
    let jobs_at = bytes.len() - 2 * size_of::<u64>();
    let reserved = jobs_at - 7..jobs_at;
    assert!(!differing.is_empty() && differing.iter().all(|at| reserved.contains(at)), "{differing:?}");
}

/// Production drops a connection at a kind that it does not know: a kind of its own, for those that have shown
/// that they take it.
#[test]
fn attestations_survive_the_trip_and_have_a_kind_that_production_has_not() {
    let attestation = attestation();
    let bytes = encode(SENDER, 6, &Payload::Attestation(attestation.clone()));
    assert!(golden().values().all(|frame| frame[KIND] < bytes[KIND]));
    assert!(matches!(decode(&bytes).unwrap().payload, Payload::Attestation(read) if read == attestation));
    for cut in HEAD..bytes.len() {
        let mut part = bytes[..cut].to_vec();
        part[4..8].copy_from_slice(&((cut - HEAD) as u32).to_le_bytes());
        let fewer = |p: &Payload| matches!(p, Payload::Attestation(a) if a.cancelled.len() < 2);
        assert!(decode(&part).is_err() || decode(&part).is_ok_and(|f| fewer(&f.payload)), "cut at {cut}");
    }
}

/// Records as production stored them are read, and written again as they were.
#[test]
fn records_of_production_are_read_and_kept() {
    fn same<T: serde::Serialize + serde::de::DeserializeOwned>(record: &str) {
        let read: T = serde_json::from_str(record).unwrap();
        let stored: serde_json::Value = serde_json::from_str(record).unwrap();
        assert_eq!(serde_json::to_value(&read).unwrap(), stored);
    }
    same::<LiveRecord>(
        r#"{"accepted_ms":1764645000000,"apart":false,"cargo":"train","cores":2.0,"crew":"vision","driftwood":false,
        "gpus":0.0,"loads":3,"logbook_s":20.0,"manifest":"img-07","memory_gb":6.4,"passage_s":30.0,
        "precedence":"high","pull_gb":1.0,"rig":"gang","same_place":true,"stow_s":3.0,"uid":"job-000412"}"#,
    );
    same::<Vec<MachineRecord>>(
        r#"[{"vessel":"m-000231","hull":"g8","quay":"a","driftwood":true,"address":"10.1.0.232:9000",
        "images":["img-07"]}]"#,
    );
    same::<Epoch>(r#"{"token":41,"node":"berth-2","incarnation":77}"#);
    same::<FinalRecord>(r#"{"status":"aborted","tasks":3}"#);
}

/// Whatever the production version lists and writes lies under these; it leaves the records of drains alone, and they
/// never seem to be its own.
#[test]
fn records_of_drains_lie_outside_what_the_production_version_reads() {
    use dockpier::drains::records;
    let read_by_production = ["leader/", "live/", "done/", "over/", "fleet/"];
    let prefixes = [records::REQUESTS, records::PROGRESS, records::SUMMARIES, records::LEDGERS];
    let strange = records::ledger_key("team/../live/ä b");
    assert!(strange.starts_with(records::LEDGERS) && strange.bytes().all(|b| b.is_ascii_graphic()));
    assert!(records::ledger_key(&"x/".repeat(128)).len() <= 200);
    assert_ne!(records::ledger_key(&"x".repeat(200)), records::ledger_key(&"x".repeat(201)));
    for prefix in prefixes {
        assert!(read_by_production
            .iter()
            .all(|known| !prefix.starts_with(known) && !known.starts_with(prefix)));
    }
}
