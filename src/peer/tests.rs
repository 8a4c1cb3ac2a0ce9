//! Tests of `peer`.

use super::codec::status_of;
use super::layout::Head;
use super::*;
use crate::fencing_token::FencingToken;
use crate::scheduler::model::{JobId, JobSummary, ReportedTask, TaskCounts, TaskId};
use crate::time::Timestamp;
use std::time::Duration;

fn summary(job_id: u64, succeeded: u32, running: u32) -> JobSummary {
    JobSummary { job_id: JobId(job_id), counts: TaskCounts { succeeded, running } }
}

#[test]
fn frames_survive_the_trip_and_garbage_does_not() {
    let sender = Sender { node: 2, incarnation: 77 };
    let status = Status {
        store_answer_age: Duration::from_micros(5),
        worker_heartbeats: 9,
        ready_machines: 0,
        gives_attestations: true,
    };
    for message in [
        Message::Heartbeat { token: FencingToken(4), sent: Timestamp::from_micros(11) },
        Message::Grant { token: FencingToken(4), echo: Timestamp::from_micros(11) },
        Message::VoteRequest { sent: Timestamp::from_micros(3) },
        Message::Vote { echo: Timestamp::from_micros(3) },
        Message::HandOver { token: FencingToken(4), successor: 1 },
    ] {
        let bytes = encode(sender, 6, &Payload::Leadership(status, message));
        let Frame { node, incarnation, sequence, payload } = decode(&bytes).unwrap();
        assert_eq!((node, incarnation, sequence), (2, 77, 6));
        assert!(matches!(payload, Payload::Leadership(s, m) if s == status && m == message));
        assert!(decode(&bytes[..bytes.len() - 1]).is_err());
    }
    let bytes = encode(sender, 1, &Payload::Summary(vec![summary(412, 3, 1), summary(413, 0, 0)]));
    assert!(
        matches!(decode(&bytes).unwrap().payload, Payload::Summary(l) if l == [summary(412, 3, 1), summary(413, 0, 0)])
    );
    for (at, wrong) in [(8, 99), (0, bytes[0] ^ 1), (4, bytes[4] + 1)] {
        let mut bytes = bytes.clone();
        bytes[at] = wrong;
        assert!(decode(&bytes).is_err(), "byte {at}");
    }
}

#[test]
fn reports_and_orders_survive_the_trip_and_any_cut_of_them_is_refused() {
    let sender = Sender { node: 1, incarnation: 7 };
    let id = TaskId { job_id: JobId(412), task: 3 };
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
        tasks: (0..9).map(|code| ReportedTask { id, attempt: 5, status: status_of(code).unwrap() }).collect(),
    };
    assert!(fits_frame(&heartbeat));
    let bytes = encode(
        sender,
        1,
        &Payload::RelayedHeartbeat { id: 9, stamp: Timestamp::from_micros(11), heartbeat: heartbeat.clone() },
    );
    let Payload::RelayedHeartbeat { id: 9, stamp, heartbeat: back } = decode(&bytes).unwrap().payload else {
        panic!()
    };
    assert_eq!(stamp, Timestamp::from_micros(11));
    assert_eq!(format!("{back:?}"), format!("{heartbeat:?}"));
    let task_commands = vec![
        TaskCommand::Start { id, attempt: 6 },
        TaskCommand::Stop { id, attempt: 5, grace_s: 4.5 },
        TaskCommand::Forget { id, attempt: 4 },
    ];
    let reply = Payload::RelayedResponse {
        id: 9,
        token: Some(FencingToken(41)),
        leaseholder_may_respond: true,
        task_commands: task_commands.clone(),
    };
    let reply = encode(sender, 2, &reply);
    let Payload::RelayedResponse {
        id: 9,
        token: Some(FencingToken(41)),
        leaseholder_may_respond: true,
        task_commands: back,
    } = decode(&reply).unwrap().payload
    else {
        panic!()
    };
    assert_eq!(back, task_commands);
    let heard = Payload::ShardHeartbeat {
        id: 3,
        stamp: Timestamp::from_micros(4),
        complete: true,
        without_lease: false,
        machines: vec!["m-1".into(), "m-22".into()],
    };
    let heard = encode(sender, 3, &heard);
    assert!(
        matches!(decode(&heard).unwrap().payload, Payload::ShardHeartbeat { machines, .. } if machines.len() == 2)
    );
    // A frame whose head promises less than its body holds is refused as well as a short one.
    for whole in [bytes, reply, heard] {
        for cut in size_of::<Head>()..whole.len() {
            let mut part = whole[..cut].to_vec();
            let length = (cut - size_of::<Head>()) as u32;
            part[4..8].copy_from_slice(&length.to_le_bytes());
            let shorter = decode(&part);
            let fewer = matches!(
                &shorter,
                Ok(Frame { payload: Payload::RelayedResponse { task_commands, .. }, .. }) if task_commands.len() < 3
            ) || matches!(
                &shorter,
                Ok(Frame { payload: Payload::ShardHeartbeat { machines, .. }, .. }) if machines.len() < 2
            );
            assert!(shorter.is_err() || fewer, "cut at {cut}");
        }
    }
}
