//! Refusals of the HTTP interface, with status, head and body.

use crate::http_edge::{Edge, Owner, Script, Setup};
use crate::on_runtime;
use crate::submissions::SUBMISSION;
use crate::transcript::{object, with, without, Fields, Transcript};
use crate::wire::{nobody, StandIn};

/// Bodies may have so many bytes.
const BODY_MOST: usize = 64 * 1024;

const OVER_DONE: Script = &[("GET /store/over/", 200, r#"{"value":{"status":"done","tasks":16},"entry":9}"#)];

#[test]
fn malformed_submissions_are_refused_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[]).await;
        for body in ["", "nonsense", "{", "{}"] {
            transcript.case(format!("body {body:?}"), edge.answer("POST /submissions", body).await);
        }
        for (field, _) in SUBMISSION {
            let body = without(SUBMISSION, field);
            transcript.case(format!("{field} left out"), edge.answer("POST /submissions", &body).await);
            let body = with(SUBMISSION, field, "{}");
            transcript.case(format!("{field}: an object"), edge.answer("POST /submissions", &body).await);
        }
        for (field, value) in INVALID {
            let body = with(SUBMISSION, field, value);
            transcript.case(format!("{field}: {value}"), edge.answer("POST /submissions", &body).await);
        }
        for length in [BODY_MOST, BODY_MOST + 1] {
            let answer = edge.answer("POST /submissions", &"x".repeat(length)).await;
            transcript.case(format!("a body of {length} bytes"), answer);
            let answer = edge.answer("POST /checkin", &"x".repeat(length)).await;
            transcript.case(format!("a check-in of {length} bytes"), answer);
        }
        transcript.case("transactions", edge.transactions());
        transcript.must_equal(include_str!("../golden/http-malformed-submissions.txt"));
    });
}

const INVALID: &Fields = &[
    ("uid", r#""job-412""#),
    ("cargo", r#""""#),
    ("loads", "0"),
    ("loads", "100001"),
    ("cores", "-1"),
    ("tide_s", "1e9"),
    ("hulls", "[]"),
    ("quay", r#""""#),
    ("rig", r#""array""#),
];

/// Jobs that can never run.
const NEVER: &Fields = &[
    ("crew", r#""nobody""#),
    ("cores", "64.001"),
    ("cores", "64"),
    ("gpus", "8.5"),
    ("memory_gb", "768.5"),
    ("hulls", r#"["m4"]"#),
    ("quay", r#""c""#),
    ("rig", r#""service""#),
    ("rig", r#""gang""#),
];

#[test]
fn jobs_that_can_never_run_are_refused_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        for (field, value) in NEVER {
            let body = with(SUBMISSION, field, value);
            let edge = Edge::start(Setup::default(), &[]).await;
            transcript.case(format!("{field}: {value}"), edge.answer("POST /submissions", &body).await);
            let edge = Edge::start(Setup::default(), OVER_DONE).await;
            let answer = edge.answer("POST /submissions", &body).await;
            transcript.case(format!("{field}: {value}, known already"), answer);
        }
        let narrow = Setup { value_kb: 0.25, ..Setup::default() };
        let answer = Edge::start(narrow, &[]).await.answer("POST /submissions", &object(SUBMISSION)).await;
        transcript.case("a record that is too long", answer);
        transcript.must_equal(include_str!("../golden/http-never.txt"));
    });
}

/// Requests that belong nowhere, and of jobs that nobody has submitted.
const LOST: &[&str] = &[
    "GET /submissions/job-000412",
    "GET /submissions/job-412",
    "GET /submissions/nonsense",
    "GET /submissions/",
    "GET /submissions/job-000412/3",
    "POST /submissions/job-000412/withdraw",
    "POST /submissions/nonsense/withdraw",
    "GET /submissions/job-000412/withdraw",
    "DELETE /submissions/job-000412",
    "GET /submissions",
    "PUT /submissions",
    "GET /checkin",
    "POST /healthz",
    "GET /",
    "GET /nowhere",
    "POST /nowhere",
    "GET /healthz/x",
    "POST /orders",
    "GET /cold-start",
    "GET /drains",
    "POST /drains",
    "GET /drain-budgets",
];

#[test]
fn what_belongs_nowhere_is_refused_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[]).await;
        for line in LOST {
            transcript.case(line, edge.answer(line, "").await);
        }
        transcript.must_equal(include_str!("../golden/http-lost.txt"));
    });
}

const EACH: &[&str] = &[
    "POST /submissions",
    "GET /submissions/job-000412",
    "POST /submissions/job-000412/withdraw",
    "GET /healthz",
];

/// Every kind of request under one setup.
async fn ask_each(transcript: &mut Transcript, title: &str, edge: &Edge) {
    for line in EACH {
        let body = if *line == "POST /submissions" { object(SUBMISSION) } else { String::new() };
        let answer = edge.answer(line, &body).await;
        let answer = answer.replace(&edge.state.address.to_string(), "ADDRESS");
        transcript.case(format!("{title}: {line}"), answer);
    }
}

#[test]
fn what_is_to_come_back_later_is_told_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let setups = [
            ("able to take requests", Setup::default()),
            ("not able to take requests", Setup { healthy: false, ..Setup::default() }),
            ("cut off", Setup { cut_off: true, healthy: false, ..Setup::default() }),
            ("machine types not known", Setup { types: false, ..Setup::default() }),
            ("no turns of changes", Setup { turns: (0, 8), ..Setup::default() }),
            ("no turns of polls", Setup { turns: (8, 0), ..Setup::default() }),
            ("few writes", Setup { state_rps: (1_000.0, 1e-6), ..Setup::default() }),
        ];
        for (title, setup) in setups {
            let edge = Edge::start(setup, &[]).await;
            ask_each(&mut transcript, title, &edge).await;
        }
        let few = Edge::start(Setup { state_rps: (1e-6, 500.0), ..Setup::default() }, &[]).await;
        for time in ["first", "second", "third"] {
            let answer = few.answer("GET /submissions/job-000412", "").await;
            transcript.case(format!("few requests: the {time} poll"), answer);
        }
        transcript.must_equal(include_str!("../golden/http-later.txt"));
    });
}

#[test]
fn a_state_service_in_trouble_is_told_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        for status in [400, 429, 500, 503] {
            let state = StandIn::answering(status, r#"{"error":"trouble"}"#).await;
            let edge = Edge::over(Setup::default(), state).await;
            ask_each(&mut transcript, &format!("state service answers {status}"), &edge).await;
        }
        let state = StandIn::answering(200, "nonsense").await;
        let edge = Edge::over(Setup::default(), state).await;
        ask_each(&mut transcript, "state service answers nonsense", &edge).await;
        let mut gone = StandIn::answering(200, "").await;
        gone.address = nobody();
        let edge = Edge::over(Setup { owner: Owner::Silent, ..Setup::default() }, gone).await;
        ask_each(&mut transcript, "no state service", &edge).await;
        transcript.must_equal(include_str!("../golden/http-state-trouble.txt"));
    });
}
