//! What users submit, as it is read, and every refusal of a field; the states that they are told.

use crate::spell;
use crate::transcript::{object, outcome, with, without, Fields, Transcript};
use dockpier::protocol;
use dockpier::protocol::users::{JobState, JobStatus, Submission};
use dockpier::scheduler::model::{JobId, JobSpec};

/// The submission on the protocol's page.
pub const SUBMISSION: &Fields = &[
    ("uid", r#""job-000412""#),
    ("cargo", r#""train""#),
    ("crew", r#""vision""#),
    ("rig", r#""sweep""#),
    ("precedence", r#""high""#),
    ("loads", "16"),
    ("cores", "8.0"),
    ("gpus", "1.0"),
    ("memory_gb", "64.0"),
    ("manifest", r#""img-07""#),
    ("pull_gb", "6.2"),
    ("hulls", r#"["g8"]"#),
    ("quay", "null"),
    ("same_place", "true"),
    ("apart", "false"),
    ("driftwood", "true"),
    ("passage_s", "240.0"),
    ("logbook_s", "30.0"),
    ("stow_s", "4.0"),
    ("tide_s", "900.0"),
];

/// Values that fit some fields and not others.
const VALUES: &[&str] = &[
    "null",
    "7",
    "7.25",
    "-1",
    "0",
    "1e9",
    "999999999.5",
    "4294967296",
    "true",
    r#""""#,
    r#""x""#,
    "[]",
    "{}",
];

const SPECIAL: &[(&str, &str)] = &[
    ("uid", r#""job-412""#),
    ("uid", r#""job-0000412""#),
    ("uid", r#""job-1234567""#),
    ("uid", r#""job-00041x""#),
    ("uid", r#""Job-000412""#),
    ("uid", r#""job-18446744073709551615""#),
    ("uid", r#""job-18446744073709551616""#),
    ("rig", r#""gang""#),
    ("rig", r#""service""#),
    ("rig", r#""array""#),
    ("precedence", r#""critical""#),
    ("precedence", r#""normal""#),
    ("precedence", r#""best_effort""#),
    ("precedence", r#""low""#),
    ("loads", "100000"),
    ("loads", "100001"),
    ("loads", "16.0"),
    ("cores", "0.0001"),
    ("memory_gb", "1.00001"),
    ("hulls", r#"["g8","m4"]"#),
    ("hulls", r#"[""]"#),
    ("hulls", r#"["g8",7]"#),
    ("hulls", r#"["1","2","3","4","5","6","7","8","9","10","11","12","13","14","15","16"]"#),
    ("hulls", r#"["1","2","3","4","5","6","7","8","9","10","11","12","13","14","15","16","17"]"#),
    ("quay", r#""a""#),
];

/// Not a submission at all, or more than one.
const TEXTS: &[&str] = &["", " ", "nonsense", "{}", "{", "[{}]", "{}{}"];

fn read(text: &str) -> Result<JobSpec, String> {
    let submission = protocol::parse::<Submission>(text.as_bytes()).map_err(|error| error.to_string())?;
    JobSpec::try_from(&submission).map_err(|error| error.to_string())
}

pub fn read_text(text: &str) -> String {
    outcome(read(text), spell::job)
}

#[test]
fn submissions_are_read_as_ever() {
    let mut transcript = Transcript::default();
    transcript.case("the protocol's page", read_text(&object(SUBMISSION)));
    for (field, _) in SUBMISSION {
        transcript.case(format!("{field} left out"), read_text(&without(SUBMISSION, field)));
        for value in VALUES {
            transcript.case(format!("{field}: {value}"), read_text(&with(SUBMISSION, field, value)));
        }
    }
    for (field, value) in SPECIAL {
        transcript.case(format!("{field}: {value}"), read_text(&with(SUBMISSION, field, value)));
    }
    for text in TEXTS {
        transcript.case(format!("text {text:?}"), read_text(text));
    }
    transcript.must_equal(include_str!("../golden/wire-submissions.txt"));
}

fn with_name(field: &str, length: usize) -> String {
    object(SUBMISSION).replace(
        &format!("\"{field}\":{}", SUBMISSION.iter().find(|(name, _)| *name == field).unwrap().1),
        &format!("\"{field}\":\"{}\"", "n".repeat(length)),
    )
}

#[test]
fn the_bounds_of_names_stay_and_what_is_unknown_is_ignored() {
    let mut transcript = Transcript::default();
    for field in ["cargo", "crew", "manifest", "quay"] {
        for length in [128, 129] {
            let outcome = read_text(&with_name(field, length));
            transcript.case(format!("{field} of {length} bytes"), outcome);
        }
    }
    let text = object(SUBMISSION);
    let more = text.replacen('{', r#"{"later":{"x":[1]},"#, 1);
    transcript.case("a field that is not known", read_text(&more));
    transcript.case("a field twice", read_text(&text.replacen('{', r#"{"loads":3,"#, 1)));
    transcript.case("something behind it", read_text(&format!("{text}x")));
    transcript.case("space around it", read_text(&format!("\n {text} \n")));
    transcript.must_equal(include_str!("../golden/wire-submission-bounds.txt"));
}

#[test]
fn submissions_and_states_are_written_with_the_same_bytes() {
    let mut transcript = Transcript::default();
    let again = |text: &str| {
        let submission: Submission = protocol::parse(text.as_bytes()).unwrap();
        serde_json::to_string(&submission).unwrap()
    };
    transcript.case("submission", again(&object(SUBMISSION)));
    for (field, value) in [
        ("hulls", "null"),
        ("quay", r#""a""#),
        ("tide_s", "null"),
        ("rig", r#""gang""#),
        ("rig", r#""service""#),
        ("precedence", r#""critical""#),
        ("precedence", r#""normal""#),
        ("precedence", r#""best_effort""#),
    ] {
        transcript.case(format!("submission, {field}: {value}"), again(&with(SUBMISSION, field, value)));
    }
    let states = [JobStatus::Pending, JobStatus::Running, JobStatus::Done, JobStatus::Cancelled];
    for status in states {
        let bare = JobState::without_counts(JobId(412), status);
        transcript.case("state without counts", serde_json::to_string(&bare).unwrap());
        let counted = JobState { done: Some(3), running: Some(13), ..bare };
        transcript.case("state with counts", serde_json::to_string(&counted).unwrap());
    }
    for text in [
        r#"{"uid":"job-000412","status":"pending"}"#,
        r#"{"uid":"job-000412","status":"running","done":3,"running":13}"#,
        r#"{"uid":"job-000412","status":"done","done":16,"running":null,"later":1}"#,
        r#"{"uid":"job-000412","status":"aborted"}"#,
        r#"{"uid":"job-000412","status":"cancelled"}"#,
        r#"{"status":"done"}"#,
        r#"{"uid":"job-000412"}"#,
    ] {
        let state = protocol::parse::<JobState>(text.as_bytes());
        transcript.case(format!("read {text}"), outcome(state, spell::job_state));
    }
    transcript.must_equal(include_str!("../golden/wire-states.txt"));
}
