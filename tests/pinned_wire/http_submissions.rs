//! Submissions, questions and withdrawals over HTTP: what users are told by what the state service has, and the bytes
//! of the transactions that follow.

use crate::http_edge::{Edge, Owner, Script, Setup};
use crate::on_runtime;
use crate::submissions::SUBMISSION;
use crate::transcript::{object, with, Transcript};

const LIVE_412: (&str, u16, &str) =
    ("GET /follow?", 200, r#"{"ledger":1,"events":[{"write":"live/job-000412","value":{},"entry":1}]}"#);
const LIVE_413: (&str, u16, &str) =
    ("GET /follow?", 200, r#"{"ledger":1,"events":[{"write":"live/job-000413","value":{},"entry":1}]}"#);
const OVER_DONE: (&str, u16, &str) =
    ("GET /store/over/", 200, r#"{"value":{"status":"done","tasks":16},"entry":9}"#);
const OVER_CANCELLED: (&str, u16, &str) =
    ("GET /store/over/", 200, r#"{"value":{"status":"aborted","tasks":16},"entry":9}"#);
const OVER_UNREADABLE: (&str, u16, &str) =
    ("GET /store/over/", 200, r#"{"value":{"status":"sunk"},"entry":9}"#);
const LIVE_RECORD: (&str, u16, &str) =
    ("GET /store/live/", 200, r#"{"value":{"uid":"job-000412","loads":16},"entry":7}"#);
const CONFLICT: (&str, u16, &str) = ("POST /multi", 409, r#"{"failed":["live/job-000412"],"ledger":2}"#);
const TROUBLE: (&str, u16, &str) = ("POST /multi", 503, r#"{"error":"trouble"}"#);
const MALFORMED: (&str, u16, &str) = ("POST /multi", 200, "nonsense");
const NO_KEYS: (&str, u16, &str) = ("GET /store/", 503, r#"{"error":"trouble"}"#);
const NO_LOG: (&str, u16, &str) = ("GET /follow?", 500, "{}");

/// What the state service has or does, under a title.
const STATES: &[(&str, Script)] = &[
    ("nothing known", &[]),
    ("live and running", &[LIVE_412, LIVE_RECORD, CONFLICT]),
    ("live, stored now", &[LIVE_412, LIVE_RECORD]),
    ("done", &[OVER_DONE, CONFLICT]),
    ("cancelled", &[OVER_CANCELLED, CONFLICT]),
    ("an unreadable end", &[OVER_UNREADABLE, CONFLICT]),
    ("live, changed meanwhile and over", &[LIVE_RECORD, OVER_DONE, CONFLICT]),
    ("live, changed meanwhile and gone", &[LIVE_RECORD, CONFLICT]),
    ("another job is live", &[LIVE_413]),
    ("transactions in trouble", &[LIVE_RECORD, TROUBLE]),
    ("transactions answered by nonsense", &[LIVE_RECORD, MALFORMED]),
    ("keys in trouble", &[NO_KEYS]),
    ("log in trouble", &[NO_LOG, CONFLICT]),
];

#[test]
fn users_are_answered_by_what_is_stored_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let submission = object(SUBMISSION);
        for (title, script) in STATES {
            for (line, body) in [
                ("POST /submissions", submission.as_str()),
                ("GET /submissions/job-000412", ""),
                ("POST /submissions/job-000412/withdraw", ""),
            ] {
                let edge = Edge::start(Setup::default(), script).await;
                transcript.case(format!("{title}: {line}"), edge.answer(line, body).await);
                transcript.case("transactions", edge.transactions());
            }
        }
        transcript.must_equal(include_str!("../golden/http-users.txt"));
    });
}

#[test]
fn what_was_told_once_is_told_again() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[LIVE_RECORD]).await;
        for line in ["POST /submissions/job-000412/withdraw", "GET /submissions/job-000412"] {
            for time in ["first", "second"] {
                transcript.case(format!("{line}, the {time} time"), edge.answer(line, "").await);
                transcript.case("transactions", edge.transactions());
            }
        }
        let waiting =
            Edge::start(Setup { owner: Owner::Silent, ..Setup::default() }, &[OVER_CANCELLED]).await;
        let answer = waiting.answer("GET /submissions/job-000412", "").await;
        transcript.case("cancelled, and not known to all controllers", answer);
        let waiting = Edge::start(Setup { owner: Owner::Silent, ..Setup::default() }, &[LIVE_RECORD]).await;
        let answer = waiting.answer("POST /submissions/job-000412/withdraw", "").await;
        transcript.case("withdrawn, and not known to all controllers", answer);
        let none_runs = Edge::start(Setup::default(), &[LIVE_413]).await;
        let answer = none_runs.answer("GET /submissions/job-000413", "").await;
        transcript.case("live, and none of its tasks runs", answer);
        transcript.must_equal(include_str!("../golden/http-users-again.txt"));
    });
}

#[test]
fn jobs_are_stored_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[]).await;
        for (field, value) in [
            ("hulls", "null"),
            ("quay", r#""a""#),
            ("tide_s", "null"),
            ("rig", r#""gang""#),
            ("precedence", r#""best_effort""#),
            ("crew", r#""free""#),
            ("pull_gb", "6"),
        ] {
            let body = with(SUBMISSION, field, value);
            transcript.case(format!("{field}: {value}"), edge.answer("POST /submissions", &body).await);
            transcript.case("transactions", edge.transactions());
        }
        transcript.must_equal(include_str!("../golden/http-stored-jobs.txt"));
    });
}
