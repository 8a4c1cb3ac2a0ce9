//! Workers' reports, as they are read, and every refusal of a field.

use crate::spell;
use crate::transcript::{object, outcome, with, without, Fields, Transcript};
use dockpier::protocol;
use dockpier::protocol::workers::HeartbeatRequest;
use dockpier::scheduler::model::Heartbeat;

/// The check-in on the protocol's page.
pub const CHECKIN: &Fields = &[
    ("vessel", r#""m-000231""#),
    ("address", r#""10.1.0.232:9000""#),
    ("hull", r#""g8""#),
    ("quay", r#""a""#),
    ("driftwood", "true"),
    ("watch", "1"),
    ("tally", "88"),
    ("helm", "41"),
    ("recall_s", "null"),
    (
        "loads",
        r#"[{"load":"job-000412/3","launch":2,"status":"running"},{"load":"job-000398/0","launch":1,"status":"exited","cause":"done"}]"#,
    ),
];

/// A task of a report.
const TASK: &Fields = &[
    ("load", r#""job-000412/3""#),
    ("launch", "2"),
    ("status", r#""exited""#),
    ("cause", r#""halted""#),
    ("saved", "true"),
];

const VALUES: &[&str] = &[
    "null",
    "7",
    "12.5",
    "-1",
    "18446744073709551615",
    "18446744073709551616",
    "true",
    r#""""#,
    r#""x""#,
    "[]",
    "{}",
];

/// States, and causes of those that ended.
const STATES: &[&str] =
    &["fetching", "waiting", "running", "flushing", "exited", "saving", "done", "", "later"];
const CAUSES: &[&str] = &[
    "done",
    "halted",
    "error",
    "no_room",
    "in_use",
    "unknown",
    "mates_gone",
    "incomplete",
    "stopped",
    "busy",
    "",
    "later",
];

/// Names of tasks, most of them not in their only form.
const TASKS: &[&str] = &[
    "job-000412/0",
    "job-000412/4294967295",
    "job-000412/4294967296",
    "job-000412/+3",
    "job-000412/03",
    "job-000412/-1",
    "job-000412/",
    "job-000412",
    "job-412/3",
    "job-000412/3/4",
    "/3",
    "",
];

fn read(text: &str) -> Result<Heartbeat, String> {
    let checkin: HeartbeatRequest = protocol::parse(text.as_bytes()).map_err(|error| error.to_string())?;
    Heartbeat::try_from(checkin).map_err(|unreadable| unreadable.to_string())
}

pub fn read_text(text: &str) -> String {
    outcome(read(text), spell::report)
}

fn with_task(task: &str) -> String {
    let base = with(CHECKIN, "loads", "[TASK]");
    base.replace("TASK", task)
}

#[test]
fn check_ins_are_read_as_ever() {
    let mut transcript = Transcript::default();
    transcript.case("the protocol's page", read_text(&object(CHECKIN)));
    for (field, _) in CHECKIN {
        transcript.case(format!("{field} left out"), read_text(&without(CHECKIN, field)));
        for value in VALUES {
            transcript.case(format!("{field}: {value}"), read_text(&with(CHECKIN, field, value)));
        }
    }
    for (field, value) in [("recall_s", "0"), ("recall_s", "1e400")] {
        transcript.case(format!("{field}: {value}"), read_text(&with(CHECKIN, field, value)));
    }
    for text in ["", "nonsense", "{}", "{", "{}{}"] {
        transcript.case(format!("text {text:?}"), read_text(text));
    }
    let more = object(CHECKIN).replacen('{', r#"{"later":{"x":[1]},"#, 1);
    transcript.case("a field that is not known", read_text(&more));
    transcript.must_equal(include_str!("../golden/wire-checkins.txt"));
}

#[test]
fn reported_tasks_are_read_as_ever() {
    let mut transcript = Transcript::default();
    for (field, _) in TASK {
        transcript.case(format!("{field} left out"), read_text(&with_task(&without(TASK, field))));
        for value in VALUES {
            transcript.case(format!("{field}: {value}"), read_text(&with_task(&with(TASK, field, value))));
        }
    }
    for state in STATES {
        let task = format!(r#"{{"load":"job-000412/3","launch":2,"status":"{state}"}}"#);
        transcript.case(format!("state {state:?}"), read_text(&with_task(&task)));
    }
    for state in ["exited", "running"] {
        for cause in CAUSES {
            let task =
                format!(r#"{{"load":"job-000412/3","launch":2,"status":"{state}","cause":"{cause}"}}"#);
            transcript.case(format!("state {state:?} cause {cause:?}"), read_text(&with_task(&task)));
        }
    }
    for name in TASKS {
        let task = format!(r#"{{"load":"{name}","launch":2,"status":"running"}}"#);
        transcript.case(format!("task {name:?}"), read_text(&with_task(&task)));
    }
    transcript.must_equal(include_str!("../golden/wire-reported-tasks.txt"));
}
