//! Tests of the schedule of rounds: due at once, on request, after the idle interval, or to resume.

use super::*;
use crate::time::Timestamp;
use std::time::Duration;

#[test]
fn first_round_is_due_at_once() {
    let mut rounds = RoundSchedule::new();
    assert!(rounds.is_requested());
    assert!(rounds.begin_if_due(Timestamp::ZERO));
    assert!(!rounds.is_requested(), "a round that has begun is not requested any more");
}

#[test]
fn requested_round_waits_for_the_pause_after_the_last_one() {
    let mut rounds = RoundSchedule::new();
    assert!(rounds.begin_if_due(Timestamp::from_secs(1)));
    rounds.end(Timestamp::from_secs(1), Duration::from_micros(50));
    rounds.request();
    assert!(!rounds.begin_if_due(Timestamp::from_secs(1) + Duration::from_micros(49)));
    assert!(rounds.is_requested());
    assert!(rounds.begin_if_due(Timestamp::from_secs(1) + Duration::from_micros(50)));
}

#[test]
fn round_without_request_waits_for_the_idle_interval() {
    let mut rounds = RoundSchedule::new();
    assert!(rounds.begin_if_due(Timestamp::from_secs(1)));
    rounds.end(Timestamp::from_secs(1), Duration::from_micros(50));
    assert!(!rounds
        .begin_if_due(Timestamp::from_secs(1) + limits::IDLE_ROUND_INTERVAL - Duration::from_micros(1)));
    assert!(rounds.begin_if_due(Timestamp::from_secs(1) + limits::IDLE_ROUND_INTERVAL));
}

#[test]
fn round_that_ran_out_of_budget_is_resumed_after_the_pause() {
    let mut rounds = RoundSchedule::new();
    assert!(rounds.begin_if_due(Timestamp::from_secs(1)));
    rounds.resume_from = Some(JobId(7));
    rounds.end(Timestamp::from_secs(1), Duration::from_micros(50));
    assert!(!rounds.begin_if_due(Timestamp::from_secs(1) + Duration::from_micros(49)));
    assert!(rounds.begin_if_due(Timestamp::from_secs(1) + Duration::from_micros(50)));
}
