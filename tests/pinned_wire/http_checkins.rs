//! Workers' check-ins over HTTP: every answer that a worker may get, and what the owner of the state is handed.

use crate::http_edge::{Edge, Owner, Setup};
use crate::on_runtime;
use crate::reports::CHECKIN;
use crate::transcript::{object, with, without, Transcript};

#[test]
fn check_ins_are_answered_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        for (title, owner) in [
            ("a leader with signals", Owner::Leads),
            ("a leader without signals", Owner::LeadsCalmly),
            ("a node that knows the leader", Owner::KnowsLeader),
            ("a node that knows no leader", Owner::KnowsNoLeader),
            ("a node that can't read a task", Owner::Refuses),
            ("a node whose owner does not answer", Owner::Silent),
            ("a node whose owner is gone", Owner::Gone),
        ] {
            let edge = Edge::start(Setup { owner, ..Setup::default() }, &[]).await;
            transcript.case(title, edge.answer("POST /checkin", &object(CHECKIN)).await);
            let handed_over = std::mem::take(&mut *edge.reports.lock().unwrap());
            transcript.case("handed over", handed_over.join("\n"));
        }
        transcript.must_equal(include_str!("../golden/http-checkins.txt"));
    });
}

#[test]
fn malformed_check_ins_are_refused_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let edge = Edge::start(Setup::default(), &[]).await;
        for (field, _) in CHECKIN {
            let body = without(CHECKIN, field);
            transcript.case(format!("{field} left out"), edge.answer("POST /checkin", &body).await);
            let body = with(CHECKIN, field, "{}");
            transcript.case(format!("{field}: an object"), edge.answer("POST /checkin", &body).await);
        }
        for body in ["", "nonsense", "{", "{}"] {
            transcript.case(format!("body {body:?}"), edge.answer("POST /checkin", body).await);
        }
        transcript.must_equal(include_str!("../golden/http-checkin-refusals.txt"));
    });
}
