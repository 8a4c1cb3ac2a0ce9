//! What workers are told: answers to check-ins, where to report instead, and orders sent straight to a worker's
//! address with what is made of its answer.

use crate::reports::CHECKIN;
use crate::transcript::{object, Transcript};
use crate::wire::{nobody, StandIn};
use crate::{on_runtime, spell};
use dockpier::fencing_token::FencingToken;
use dockpier::http::Http;
use dockpier::lease::renewal::LastRenewal;
use dockpier::protocol::workers::{
    DirectCommands, HeartbeatRequest, HeartbeatResponse, Redirect, WorkerCommand,
};
use dockpier::scheduler::model::{JobId, TaskId};
use dockpier::scheduler::TaskCommand;
use dockpier::time::Timestamp;
use dockpier::worker::send_commands;

fn task(job: u64, task: u32) -> TaskId {
    TaskId { job_id: JobId(job), task }
}

/// The signals on the protocol's page, in its order.
pub fn orders() -> Vec<TaskCommand> {
    vec![
        TaskCommand::Start { id: task(412, 4), attempt: 2 },
        TaskCommand::Stop { id: task(377, 1), attempt: 1, grace_s: 10.0 },
        TaskCommand::Forget { id: task(398, 0), attempt: 1 },
    ]
}

/// Numbers at their bounds.
fn extreme_orders() -> Vec<TaskCommand> {
    vec![
        TaskCommand::Start { id: task(u64::MAX, u32::MAX), attempt: u64::MAX },
        TaskCommand::Stop { id: task(1, 0), attempt: 0, grace_s: 0.0 },
        TaskCommand::Stop { id: task(1_234_567, 0), attempt: 3, grace_s: 4.25 },
        TaskCommand::Stop { id: task(1, 0), attempt: 3, grace_s: 1e20 },
    ]
}

/// An answer to a check-in under a token.
pub fn answer(token: u64, orders: &[TaskCommand]) -> HeartbeatResponse {
    HeartbeatResponse::new(
        FencingToken(token),
        LastRenewal::default().record(Timestamp::from_micros(1)),
        orders,
    )
}

fn direct(token: u64, session: u64, orders: &[TaskCommand]) -> DirectCommands {
    DirectCommands {
        token: FencingToken(token),
        agent_epoch: session,
        commands: orders.iter().map(WorkerCommand::from).collect(),
    }
}

#[test]
fn answers_to_check_ins_are_written_with_the_same_bytes() {
    let mut transcript = Transcript::default();
    let written = |token, orders: &[TaskCommand]| serde_json::to_string(&answer(token, orders)).unwrap();
    transcript.case("answer without signals", written(41, &[]));
    transcript.case("answer with signals", written(41, &orders()));
    transcript.case("answer with numbers at their bounds", written(u64::MAX, &extreme_orders()));
    for leader in [Some("berth-2"), Some("a \"b\""), None] {
        let redirect = Redirect { leader: leader.map(String::from) };
        transcript.case(format!("redirect to {leader:?}"), serde_json::to_string(&redirect).unwrap());
    }
    let written =
        |session, orders: &[TaskCommand]| serde_json::to_string(&direct(41, session, orders)).unwrap();
    transcript.case("direct orders", written(1, &orders()));
    transcript.case("direct orders with numbers at their bounds", written(u64::MAX, &extreme_orders()));
    let checkin: HeartbeatRequest = serde_json::from_str(&object(CHECKIN)).unwrap();
    transcript.case("check-in, written again", serde_json::to_string(&checkin).unwrap());
    for signal in [
        r#"{"signal":"run","load":"job-000412/4","launch":2}"#,
        r#"{"signal":"stop","load":"job-000377/1","launch":1,"mooring_s":10}"#,
        r#"{"signal":"reap","load":"job-000398/0","launch":1}"#,
        r#"{"signal":"forget","load":"job-000398/0","launch":1}"#,
    ] {
        let again = serde_json::from_str::<WorkerCommand>(signal).map(|c| serde_json::to_string(&c).unwrap());
        transcript.case(
            format!("signal {signal}, read and written"),
            again.unwrap_or_else(|e| format!("refused: {e}")),
        );
    }
    transcript.must_equal(include_str!("../golden/wire-worker-answers.txt"));
}

#[test]
fn direct_orders_go_out_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let http = Http::to_many().unwrap();
        let unreadable = object(CHECKIN).replace("job-000412/3", "job-412/3");
        let answers = [
            ("executed", 200, object(CHECKIN)),
            ("executed, with an unreadable task", 200, unreadable),
            ("executed, malformed", 200, "{}".into()),
            ("a lower token", 409, object(CHECKIN)),
            ("incomplete", 400, r#"{"error":"helm"}"#.into()),
        ];
        for (title, status, body) in answers {
            let worker = StandIn::answering(status, &body).await;
            let address = worker.address.to_string();
            let report = send_commands(&http, &address, &direct(41, 1, &orders())).await;
            transcript.case(format!("{title}: sent"), worker.asked_text());
            let report = report.as_ref().map_or("nothing".into(), spell::report);
            transcript.case(format!("{title}: taken from the answer {status}"), report);
        }
        for address in [nobody().to_string(), "nowhere:1".into(), String::new()] {
            let report = send_commands(&http, &address, &direct(41, 1, &orders())).await;
            let report = report.as_ref().map_or("nothing".into(), spell::report);
            transcript.case("an address where nobody answers", report);
        }
        transcript.must_equal(include_str!("../golden/wire-direct-orders.txt"));
    });
}
