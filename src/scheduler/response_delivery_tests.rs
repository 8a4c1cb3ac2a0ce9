//! A heartbeat acknowledges the response before it by showing the effect of one of its commands.

use super::super::model::{ExitReason, JobId, ReportedTask, TaskId};
use super::*;
use crate::fencing_token::FencingToken;

const TOKEN: u64 = 40;
const TASK: TaskId = TaskId { job_id: JobId(1), task: 0 };

fn heartbeat(agent_epoch: u64, token: FencingToken, status: Option<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "m-000001".into(),
        address: String::new(),
        machine_type: "large".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch,
        sequence: 1,
        token,
        notice_s: None,
        tasks: status.into_iter().map(|status| ReportedTask { id: TASK, attempt: 3, status }).collect(),
    }
}

/// `responses_without_effect` after a response with this command and then a heartbeat that lists the task
/// with this status (None: does not list it).
fn responses_without_effect_after(command: TaskCommand, status: Option<TaskStatus>) -> u32 {
    let mut commands = CommandTracker { unacknowledged: vec![command], ..CommandTracker::default() };
    commands.assess_response_delivery(1, &heartbeat(1, FencingToken(TOKEN), status), FencingToken(TOKEN));
    assert!(commands.unacknowledged.is_empty(), "each response is judged once");
    commands.responses_without_effect
}

#[test]
fn start_is_acknowledged_when_the_task_is_listed() {
    let start = TaskCommand::Start { id: TASK, attempt: 3 };
    assert_eq!(responses_without_effect_after(start.clone(), Some(TaskStatus::Fetching)), 0);
    assert_eq!(responses_without_effect_after(start.clone(), Some(TaskStatus::Exited(ExitReason::Busy))), 0);
    assert_eq!(responses_without_effect_after(start, None), 1);
}

#[test]
fn stop_is_acknowledged_when_the_task_does_not_run() {
    let stop = TaskCommand::Stop { id: TASK, attempt: 3, grace_s: 0.0 };
    assert_eq!(responses_without_effect_after(stop.clone(), None), 0);
    assert_eq!(responses_without_effect_after(stop.clone(), Some(TaskStatus::Saving)), 0);
    assert_eq!(responses_without_effect_after(stop.clone(), Some(TaskStatus::Running)), 1);
    assert_eq!(responses_without_effect_after(stop, Some(TaskStatus::Fetching)), 1);
}

#[test]
fn forget_is_acknowledged_when_the_task_is_not_listed() {
    let forget = TaskCommand::Forget { id: TASK, attempt: 3 };
    assert_eq!(responses_without_effect_after(forget.clone(), None), 0);
    assert_eq!(responses_without_effect_after(forget, Some(TaskStatus::Exited(ExitReason::Done))), 1);
}

#[test]
fn other_attempt_of_the_task_acknowledges_no_start() {
    let start = TaskCommand::Start { id: TASK, attempt: 4 };
    assert_eq!(responses_without_effect_after(start, Some(TaskStatus::Running)), 1);
}

#[test]
fn first_response_is_acknowledged_by_the_fencing_token() {
    let mut commands = CommandTracker { awaits_token_echo: true, ..CommandTracker::default() };
    commands.assess_response_delivery(1, &heartbeat(1, FencingToken(TOKEN - 1), None), FencingToken(TOKEN));
    assert_eq!(commands.responses_without_effect, 1);
    commands.awaits_token_echo = true;
    commands.assess_response_delivery(1, &heartbeat(1, FencingToken(TOKEN), None), FencingToken(TOKEN));
    assert_eq!(commands.responses_without_effect, 0);
}

#[test]
fn heartbeat_after_an_empty_response_leaves_the_count_unchanged() {
    let mut commands = CommandTracker { responses_without_effect: 2, ..CommandTracker::default() };
    commands.assess_response_delivery(1, &heartbeat(1, FencingToken(TOKEN), None), FencingToken(TOKEN));
    assert_eq!(commands.responses_without_effect, 2);
}

#[test]
fn new_agent_epoch_with_unacknowledged_commands_counts_as_response_without_effect() {
    let start = TaskCommand::Start { id: TASK, attempt: 3 };
    for (previous_agent_epoch, expected) in [(0, 0), (1, 1)] {
        let mut commands =
            CommandTracker { unacknowledged: vec![start.clone()], ..CommandTracker::default() };
        commands.assess_response_delivery(
            previous_agent_epoch,
            &heartbeat(2, FencingToken(TOKEN), None),
            FencingToken(TOKEN),
        );
        assert_eq!(commands.responses_without_effect, expected, "after epoch {previous_agent_epoch}");
    }
}
