//! Refusals in which serde names one of our own types ("expected struct Submission"). Users and operators see these
//! bytes too, so they stay; they are held apart from the others because a renamed type moves them. Whoever renames one
//! keeps the word by `#[serde(expecting = "struct Submission")]`.

use crate::http_edge::{Edge, Setup};
use crate::reports::{self, CHECKIN};
use crate::settings_file::{self, FULL};
use crate::transcript::{replaced, with, Transcript};
use crate::{on_runtime, submissions};

/// JSON of another kind than the message.
const NOT_OBJECTS: &[&str] = &["null", "7", "7.5", "true", r#""x""#, "[]"];

#[test]
fn messages_of_another_kind_are_refused_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[]).await;
        for body in NOT_OBJECTS {
            transcript.case_naming_type(format!("submission {body}"), submissions::read_text(body));
            transcript.case_naming_type(format!("check-in {body}"), reports::read_text(body));
            for line in ["POST /submissions", "POST /checkin"] {
                transcript.case_naming_type(format!("{line} {body}"), edge.answer(line, body).await);
            }
        }
        for loads in ["[7]", "[null]", r#"["x"]"#] {
            let body = with(CHECKIN, "loads", loads);
            transcript.case_naming_type(format!("loads: {loads}"), reports::read_text(&body));
            let answer = edge.answer("POST /checkin", &body).await;
            transcript.case_naming_type(format!("POST /checkin, loads: {loads}"), answer);
        }
        transcript.must_equal(include_str!("../golden/type-names-messages.txt"));
    });
}

/// Parts of the settings, and the beginning that stays before what stands in their place.
const PARTS: &[(&str, &str)] = &[
    ("", r#"{"node_name": "berth-3", "site": "c", "peer_addr": "10.0.0.3:9003"}"#),
    (r#""external": "#, r#"{"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"}"#),
    ("", r#"{"name": "text"}"#),
    (
        r#""workers": "#,
        r#"{"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0, "gang_wait_s": 25.0, "gang_peer_s": 5.0}"#,
    ),
    (r#""cloud": "#, r#"{"rps": 3.0, "list_lag_s": 8.0}"#),
    (r#""resources": "#, r#"{"cpu": 0.25, "memory_mb": 128.0, "max_sockets": 1800}"#),
    (r#""next": "#, r#"{"rps": 100.0, "write_rps": 30.0, "value_kb": 4.0, "txn_ops": 6}"#),
];

#[test]
fn settings_of_another_kind_are_refused_with_the_same_bytes() {
    let mut transcript = Transcript::default();
    for text in NOT_OBJECTS {
        transcript.case_naming_type(format!("settings {text}"), settings_file::read(text));
    }
    for (begins, part) in PARTS {
        for other in ["7", r#""x""#] {
            let text = replaced(FULL, &format!("{begins}{part}"), &format!("{begins}{other}"));
            transcript.case_naming_type(format!("{begins}{part} -> {other}"), settings_file::read(&text));
        }
    }
    let deployment = FULL.find("{\n    \"zones\"").unwrap();
    for other in ["7", "[]"] {
        let text = format!("{}{other}}}", &FULL[..deployment]);
        transcript.case_naming_type(format!("deployment: {other}"), settings_file::read(&text));
    }
    let least = FULL.find("{\"rps\": 150.0").unwrap();
    let text = format!("{}7", &FULL[..least]);
    transcript.case_naming_type("state: 7", settings_file::read(&text));
    transcript.must_equal(include_str!("../golden/type-names-settings.txt"));
}
