//! Tests of `cancellation_log`: the logs of two nodes that exchange attestations.

use super::{
    AppliedAttestation, Attestation, CancellationBounds, CancellationCommit, CancellationLog, ConfirmOutcome,
    EpochLeader, EpochReading, MemberHeartbeat, StoreAccess,
};
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use crate::time::Timestamp;
use std::time::Duration;

const SECOND: Duration = limits::SECOND;
const NOW: Timestamp = Timestamp::from_micros(1 << 45);
const START_PROMISE: Duration = Duration::from_secs(13);
const RETENTION: Duration = Duration::from_secs(80);
const BOUNDS: CancellationBounds = CancellationBounds {
    longest_autonomy: Duration::from_secs(10),
    start_promise: START_PROMISE,
    retention: RETENTION,
};
const NOTHING_APPLIED: AppliedAttestation = AppliedAttestation { cancelled_jobs: Vec::new(), has_new: false };

/// The logs of nodes 0 and 1, of incarnations 70 and 71. Both have read jobs 1 and 2 as live.
fn two_nodes() -> (CancellationLog, CancellationLog) {
    let mut node_0 = CancellationLog::new(2, 0, 70, NOW, BOUNDS);
    let mut node_1 = CancellationLog::new(2, 1, 71, NOW, BOUNDS);
    for log in [&mut node_0, &mut node_1] {
        log.apply_live_jobs(NOW + SECOND, NOW + SECOND, true, &[JobId(1), JobId(2)], &[]);
    }
    (node_0, node_1)
}

/// A heartbeat of the member `from`, sent at `stamp` on its clock, arrives at `log` at the same reading of its own.
fn observe_heartbeat(
    log: &mut CancellationLog,
    from: usize,
    incarnation: u64,
    gives_attestations: bool,
    stamp: Timestamp,
) {
    let heartbeat =
        MemberHeartbeat { incarnation, sent: stamp, gives_attestations, store_answer_age: Duration::ZERO };
    log.observe_heartbeat(stamp, from, heartbeat);
}

/// `asker` sends `attester` a heartbeat, and `attester` answers with an attestation. Returns the jobs that
/// `asker` did not yet know to be cancelled.
fn exchange(
    now: Timestamp,
    attester: &mut CancellationLog,
    asker: &mut CancellationLog,
    store_access: StoreAccess,
) -> Vec<JobId> {
    observe_heartbeat(attester, asker.local_node, asker.incarnation, true, now);
    let attestation = attester.attest_to(now, asker.local_node, store_access).unwrap();
    asker.apply_attestation(now, attester.local_node, attester.incarnation, &attestation).cancelled_jobs
}

fn heartbeat(job_ids: &[u64]) -> Heartbeat {
    let status = TaskStatus::Running;
    let task =
        |job_id: &u64| ReportedTask { id: TaskId { job_id: JobId(*job_id), task: 0 }, attempt: 3, status };
    Heartbeat {
        machine: "m".into(),
        address: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        agent_epoch: 1,
        sequence: 1,
        token: FencingToken(1),
        notice_s: None,
        tasks: job_ids.iter().map(task).collect(),
    }
}

#[test]
fn an_attested_cancellation_adds_stop_commands_to_every_response() {
    let (mut node_0, mut node_1) = two_nodes();
    assert_eq!(node_1.stop_commands(&heartbeat(&[1, 2])), Some(Vec::new()));
    assert!(
        node_0.confirm(NOW + 2 * SECOND, JobId(1), CancellationCommit::Unknown, EpochReading::NONE).is_new
    );
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    assert_eq!(exchange(NOW + 2 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available), [JobId(1)]);
    let stop = TaskCommand::Stop { id: TaskId { job_id: JobId(1), task: 0 }, attempt: 3, grace_s: 0.0 };
    assert_eq!(node_1.stop_commands(&heartbeat(&[1, 2])), Some(vec![stop.clone()]));
    assert_eq!(node_1.with_cancellations_applied(vec![stop.clone()], &heartbeat(&[1, 2])), [stop]);
    // A job that is not among the live jobs may have been cancelled before this incarnation began: it is not
    // kept alive.
    assert_eq!(node_1.stop_commands(&heartbeat(&[2, 9])), None);
    // A reading of the store that lags behind the attestation does not make the job live again.
    node_1.apply_live_jobs(NOW + 3 * SECOND, NOW + 3 * SECOND, true, &[JobId(1), JobId(2)], &[]);
    assert!(node_1.is_terminated(JobId(1)) && !node_1.is_live(JobId(1)));
}

/// A leader's start that was on its way reached the worker after the cancellation of its job was confirmed, though
/// the leaseholder that passed it on knew of the cancellation.
#[test]
fn a_start_of_a_job_that_is_known_as_cancelled_is_not_passed_on() {
    let (mut node_0, mut node_1) = two_nodes();
    let start = |job_id| TaskCommand::Start { id: TaskId { job_id: JobId(job_id), task: 0 }, attempt: 4 };
    let from_leader = vec![start(1), start(2)];
    assert_eq!(node_1.with_cancellations_applied(from_leader.clone(), &heartbeat(&[])), from_leader);
    assert!(
        node_0.confirm(NOW + 2 * SECOND, JobId(1), CancellationCommit::Unknown, EpochReading::NONE).is_new
    );
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    exchange(NOW + 2 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available);
    assert_eq!(node_1.with_cancellations_applied(from_leader, &heartbeat(&[])), [start(2)]);
    // A command to forget an exited task of the job is passed on.
    let forget = TaskCommand::Forget { id: TaskId { job_id: JobId(1), task: 0 }, attempt: 3 };
    assert_eq!(node_1.with_cancellations_applied(vec![forget.clone()], &heartbeat(&[])), [forget]);
}

#[test]
fn attestations_of_a_new_incarnation_apply_only_after_a_read_of_the_store() {
    let (mut node_0, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    exchange(NOW + 2 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available);
    assert_eq!(node_1.known_until_by_members(), NOW + 2 * SECOND);
    // A new incarnation of the member does not know what the previous one confirmed before it ended.
    let mut node_0 = CancellationLog::new(2, 0, 72, NOW + 4 * SECOND, BOUNDS);
    observe_heartbeat(&mut node_1, 0, 72, true, NOW);
    exchange(NOW + 5 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available);
    assert_eq!(node_1.known_until_by_members(), NOW + 2 * SECOND);
    // Its attestations apply again once the live jobs have been read after its start.
    node_1.apply_live_jobs(NOW + 6 * SECOND, NOW + 6 * SECOND, false, &[], &[]);
    exchange(NOW + 7 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available);
    assert_eq!(node_1.known_until_by_members(), NOW + 7 * SECOND);
}

#[test]
fn suspended_confirmations_cover_a_restart_and_last_until_members_acknowledge() {
    let (mut node_0, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    exchange(NOW + 20 * SECOND, &mut node_0, &mut node_1, StoreAccess::Lost);
    assert_eq!(
        node_0.confirm(NOW + 21 * SECOND, JobId(1), CancellationCommit::Unknown, EpochReading::NONE),
        ConfirmOutcome { is_new: true, is_permitted: false },
        "confirmations are suspended, and the cancellation is not acknowledged"
    );
    exchange(NOW + 22 * SECOND, &mut node_0, &mut node_1, StoreAccess::Lost);
    observe_heartbeat(&mut node_0, 1, 71, true, NOW);
    exchange(NOW + 22 * SECOND, &mut node_1, &mut node_0, StoreAccess::Lost);
    assert_eq!(
        node_0.confirm(NOW + 22 * SECOND, JobId(1), CancellationCommit::Unknown, EpochReading::NONE),
        ConfirmOutcome { is_new: false, is_permitted: true }
    );
    // The member's next incarnation keeps the promise, so that there is no gap.
    let mut node_0 = CancellationLog::new(2, 0, 72, NOW + 28 * SECOND, BOUNDS);
    assert_eq!(
        node_0.confirm(NOW + 29 * SECOND, JobId(2), CancellationCommit::Unknown, EpochReading::NONE),
        ConfirmOutcome { is_new: true, is_permitted: false }
    );
    observe_heartbeat(&mut node_1, 0, 72, true, NOW);
    exchange(NOW + 29 * SECOND, &mut node_0, &mut node_1, StoreAccess::Available);
    let promised = NOW + 22 * SECOND + limits::minus_clock_drift(limits::CONFIRMATION_SUSPENSION);
    assert_eq!(node_1.known_until_by_members(), promised.max(NOW + 29 * SECOND));
    // No other node leads, so only the promise holds the confirmation back.
    let reading = EpochReading { requested_at: NOW + 30 * SECOND, leader: EpochLeader::LocalNode };
    let promise_ends_at = NOW + 28 * SECOND + limits::CONFIRMATION_SUSPENSION;
    for time in [NOW + 30 * SECOND, promise_ends_at - Duration::from_micros(1)] {
        assert!(!node_0.confirm(time, JobId(2), CancellationCommit::Unknown, reading).is_permitted);
    }
    assert!(node_0.confirm(promise_ends_at, JobId(2), CancellationCommit::Unknown, reading).is_permitted);
}

#[test]
fn attestations_for_or_from_another_incarnation_are_ignored() {
    let (mut node_0, mut node_1) = two_nodes();
    assert!(
        node_0.confirm(NOW + 2 * SECOND, JobId(1), CancellationCommit::Unknown, EpochReading::NONE).is_new
    );
    observe_heartbeat(&mut node_0, 1, 71, true, NOW + 2 * SECOND);
    let attestation = node_0.attest_to(NOW + 2 * SECOND, 1, StoreAccess::Available).unwrap();
    // No heartbeat has shown that the sender attests, or the last one was of another incarnation of the
    // sender.
    assert_eq!(node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    observe_heartbeat(&mut node_1, 0, 72, true, NOW);
    assert_eq!(node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    let for_other_incarnation = Attestation { for_incarnation: 73, ..attestation.clone() };
    assert_eq!(node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &for_other_incarnation), NOTHING_APPLIED);
    let before_start = Attestation { echo: NOW - Duration::from_micros(1), ..attestation.clone() };
    assert_eq!(node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &before_start), NOTHING_APPLIED);
    assert_eq!(
        node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation),
        AppliedAttestation { cancelled_jobs: vec![JobId(1)], has_new: true }
    );
    // A repeated attestation has nothing new: if it were answered, the answers would be answered in turn,
    // without end.
    assert_eq!(node_1.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    // Members of earlier versions get no attestation: they close the connection at a frame that they do not
    // know.
    observe_heartbeat(&mut node_0, 1, 71, false, NOW + 3 * SECOND);
    assert_eq!(node_0.attest_to(NOW + 3 * SECOND, 1, StoreAccess::Available), None);
}

#[test]
fn without_a_read_of_the_store_in_this_incarnation_no_worker_is_kept_alive() {
    let mut node_1 = CancellationLog::new(2, 1, 71, NOW, BOUNDS);
    let mut node_0 = CancellationLog::new(2, 0, 70, NOW, BOUNDS);
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    exchange(NOW + 2 * SECOND, &mut node_0, &mut node_1, StoreAccess::Lost);
    assert_eq!(node_1.may_keep_alive_until(), Timestamp::ZERO);
}

/// If a node has more cancellations than one frame holds, it sends no attestations, so that workers' leases
/// expire rather than keep a cancelled task alive: the time up to which the other members know every
/// cancellation does not advance. Attestations resume once the cancellations are older than their retention.
#[test]
fn more_cancellations_than_a_frame_holds_stop_attestations_until_retention_ends() {
    let (mut node_0, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, true, NOW);
    observe_heartbeat(&mut node_0, 1, 71, true, NOW);
    let max_attested = limits::MAX_ATTESTED_CANCELLATIONS as u64;
    for job_id in 0..max_attested {
        assert!(
            node_0
                .confirm(NOW + SECOND, JobId(job_id), CancellationCommit::Unknown, EpochReading::NONE)
                .is_new
        );
    }
    assert!(node_0.attest_to(NOW + SECOND, 1, StoreAccess::Available).is_some(), "as many as a frame holds");
    assert!(
        node_0
            .confirm(NOW + SECOND, JobId(max_attested), CancellationCommit::Unknown, EpochReading::NONE)
            .is_new
    );
    assert_eq!(node_0.attest_to(NOW + SECOND, 1, StoreAccess::Available), None);
    let known_until = node_1.known_until_by_members();
    node_0.apply_live_jobs(NOW + SECOND + RETENTION, NOW + SECOND + RETENTION, false, &[], &[]);
    assert!(node_0.attest_to(NOW + SECOND + RETENTION, 1, StoreAccess::Available).is_some());
    assert_eq!(node_1.known_until_by_members(), known_until, "nothing was attested meanwhile");
}

/// How long a leaseholder may still pass on a start, as the confirming node counts it.
fn relay_time() -> Duration {
    limits::plus_clock_drift(limits::RELAY_TIMEOUT)
}

fn reading(requested_at: Timestamp, leader: EpochLeader) -> EpochReading {
    EpochReading { requested_at, leader }
}

/// Whether `log` may confirm at `now` that the job is cancelled, whoever cancelled it.
fn permits(log: &mut CancellationLog, now: Timestamp, job_id: JobId, epoch: EpochReading) -> bool {
    log.confirm(now, job_id, CancellationCommit::Unknown, epoch).is_permitted
}

/// Node 1 tells node 0 at `now`, with an attestation, what it recorded, and node 0 acknowledges it.
fn tell_and_acknowledge(now: Timestamp, node_1: &mut CancellationLog, node_0: &mut CancellationLog) {
    exchange(now, node_1, node_0, StoreAccess::Available);
    exchange(now, node_0, node_1, StoreAccess::Available);
}

/// The logs of nodes 0 and 1 as of `NOW + 20 s`: node 0 may start tasks under the promise of node 1.
fn node_0_starts_under_promise() -> (CancellationLog, CancellationLog) {
    let (mut node_0, mut node_1) = two_nodes();
    for log in [&mut node_0, &mut node_1] {
        log.apply_live_jobs(NOW + 20 * SECOND, NOW + 20 * SECOND, false, &[], &[]);
    }
    observe_heartbeat(&mut node_0, 1, 71, true, NOW + 20 * SECOND);
    tell_and_acknowledge(NOW + 20 * SECOND, &mut node_1, &mut node_0);
    (node_0, node_1)
}

#[test]
fn a_node_confirms_a_cancellation_unknown_to_the_leader_only_once_its_promise_to_the_leader_has_ended() {
    let (node_0, mut node_1) = node_0_starts_under_promise();
    let cancelled_at = NOW + 21 * SECOND;
    let starts_end_at = node_0.may_start_tasks_until();
    assert_eq!(starts_end_at, NOW + 20 * SECOND + limits::minus_clock_drift(START_PROMISE));
    assert!(!permits(&mut node_1, cancelled_at, JobId(1), EpochReading::NONE));
    let promise_ends_at = NOW + 20 * SECOND + limits::plus_clock_drift(START_PROMISE);
    // A reading of the epoch that was requested before the commit proves nothing.
    let before_commit = reading(NOW + 20 * SECOND, EpochLeader::LocalNode);
    node_1.rule_out_starts(cancelled_at, before_commit);
    assert!(!permits(&mut node_1, cancelled_at + 2 * relay_time(), JobId(1), before_commit));
    for (time, epoch) in [
        (starts_end_at, reading(starts_end_at, EpochLeader::Member(0))),
        (promise_ends_at, reading(NOW + 20 * SECOND, EpochLeader::LocalNode)),
        (promise_ends_at + relay_time() - Duration::from_micros(1), EpochReading::NONE),
    ] {
        assert!(!permits(&mut node_1, time, JobId(1), epoch), "at {time}");
    }
    assert!(permits(&mut node_1, promise_ends_at + relay_time(), JobId(1), EpochReading::NONE));
}

#[test]
fn a_cancellation_that_the_leader_has_not_acknowledged_is_confirmed_once_another_node_leads() {
    let (_, mut node_1) = node_0_starts_under_promise();
    let cancelled_at = NOW + 21 * SECOND;
    assert!(!permits(&mut node_1, cancelled_at, JobId(1), EpochReading::NONE));
    // Node 1 itself was elected.
    let elected_at = cancelled_at + 5 * SECOND;
    node_1.rule_out_starts(elected_at, reading(elected_at, EpochLeader::LocalNode));
    assert!(!permits(&mut node_1, elected_at, JobId(1), EpochReading::NONE), "a start may be relayed");
    assert!(permits(&mut node_1, elected_at + relay_time(), JobId(1), EpochReading::NONE));
}

#[test]
fn a_promise_that_was_given_with_a_cancellation_does_not_hold_it_back() {
    let (_, mut node_1) = node_0_starts_under_promise();
    assert!(!permits(&mut node_1, NOW + 21 * SECOND, JobId(1), EpochReading::NONE));
    // A heartbeat of node 0 gets through; the attestation with the cancellation, or its answer, is lost.
    observe_heartbeat(&mut node_1, 0, 70, true, NOW + 30 * SECOND);
    assert!(node_1.attest_to(NOW + 30 * SECOND, 0, StoreAccess::Available).is_some());
    let promise_ends_at = NOW + 20 * SECOND + limits::plus_clock_drift(START_PROMISE);
    node_1.rule_out_starts(promise_ends_at, EpochReading::NONE);
    assert!(permits(&mut node_1, promise_ends_at + relay_time(), JobId(1), EpochReading::NONE));
    // A later cancellation waits for the later promise.
    let (first, second) = (JobId(1), JobId(2));
    assert!(permits(&mut node_1, promise_ends_at + 2 * SECOND, first, EpochReading::NONE));
    assert!(!permits(&mut node_1, promise_ends_at + 2 * SECOND, second, EpochReading::NONE));
}

#[test]
fn a_restarted_node_keeps_the_promise_of_its_earlier_process() {
    let restarted_at = NOW + 40 * SECOND;
    let mut node_1 = CancellationLog::new(2, 1, 72, restarted_at, BOUNDS);
    observe_heartbeat(&mut node_1, 0, 70, true, restarted_at);
    let attestation = Attestation {
        for_incarnation: 72,
        echo: restarted_at + SECOND,
        start_promise: START_PROMISE,
        ..Attestation::default()
    };
    let _ = node_1.apply_attestation(restarted_at + 2 * SECOND, 0, 70, &attestation);
    let leads = reading(restarted_at + 2 * SECOND, EpochLeader::Member(0));
    let promise_ends_at = restarted_at + limits::plus_clock_drift(START_PROMISE);
    for time in [restarted_at + 2 * SECOND, promise_ends_at - SECOND] {
        assert!(!permits(&mut node_1, time, JobId(1), leads));
    }
    node_1.rule_out_starts(promise_ends_at, leads);
    assert!(permits(&mut node_1, promise_ends_at + relay_time(), JobId(1), leads));
}

/// Version 3f677f9, in production, gives no attestations, makes no such promises and limits no starts.
#[test]
fn beside_an_earlier_version_a_leader_starts_tasks_only_shortly_after_a_reading_of_the_live_jobs() {
    let (mut node_0, _) = two_nodes();
    observe_heartbeat(&mut node_0, 1, 71, false, NOW + 2 * SECOND);
    let after_reading = limits::minus_clock_drift(limits::START_TIME_AFTER_READING);
    assert_eq!(node_0.may_start_tasks_until(), NOW + SECOND + after_reading);
}

#[test]
fn a_cancellation_waits_for_a_leader_of_an_earlier_version_until_the_store_has_answered_it_or_it_can_not_lead(
) {
    let (_, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, false, NOW + 20 * SECOND);
    // Its last heartbeat is from before the commit: it may have been cut off since.
    let cancelled_at = NOW + 21 * SECOND;
    let leads = reading(cancelled_at, EpochLeader::Member(0));
    assert!(!permits(&mut node_1, cancelled_at, JobId(1), leads));
    let autonomy = limits::plus_clock_drift(BOUNDS.longest_autonomy + limits::LOCK_LEASE);
    assert!(!permits(&mut node_1, cancelled_at + autonomy - Duration::from_micros(1), JobId(1), leads));
    node_1.rule_out_starts(cancelled_at + autonomy, leads);
    assert!(permits(&mut node_1, cancelled_at + autonomy + relay_time(), JobId(1), leads));
    // The key-value store has answered it since, so that it follows the change.
    let later = cancelled_at + 60 * SECOND;
    assert!(!permits(&mut node_1, later, JobId(2), EpochReading::NONE));
    observe_heartbeat(&mut node_1, 0, 70, false, later);
    assert!(permits(&mut node_1, later, JobId(2), EpochReading::NONE));
}

#[test]
fn a_cancellation_does_not_wait_for_a_follower_of_an_earlier_version_that_is_in_contact() {
    let (_, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, false, NOW + 20 * SECOND);
    let cancelled_at = NOW + 20 * SECOND + limits::PEER_TIMEOUT - Duration::from_micros(1);
    let leads = |at| reading(at, EpochLeader::LocalNode);
    assert!(permits(&mut node_1, cancelled_at, JobId(1), leads(cancelled_at)));
    let out_of_contact = cancelled_at + Duration::from_micros(1);
    assert!(!permits(&mut node_1, out_of_contact, JobId(2), leads(out_of_contact)));
}

#[test]
fn a_member_that_knows_the_request_starts_nothing_and_the_cancellation_is_confirmed_without_a_wait() {
    let (mut node_0, mut node_1) = node_0_starts_under_promise();
    let requested_at = NOW + 21 * SECOND;
    assert!(node_1.request(requested_at, JobId(1), 7));
    assert!(!node_1.request(requested_at, JobId(1), 7), "known already");
    tell_and_acknowledge(requested_at, &mut node_1, &mut node_0);
    let start = |job_id| TaskCommand::Start { id: TaskId { job_id: JobId(job_id), task: 0 }, attempt: 4 };
    assert!(node_0.forbids(&start(1)) && !node_0.forbids(&start(2)));
    assert!(!node_0.is_terminated(JobId(1)), "its tasks are not stopped before it is cancelled");
    let committed = CancellationCommit::InEpoch(7);
    assert!(node_1.confirm(requested_at, JobId(1), committed, EpochReading::NONE).is_permitted);
    // It becomes known as cancelled with the next attestation.
    exchange(requested_at + SECOND, &mut node_1, &mut node_0, StoreAccess::Available);
    assert!(node_0.is_terminated(JobId(1)));
}

/// A leader that was elected between the request and the commit may be a new process of the member that acknowledged
/// the request, and may have read the job as live.
#[test]
fn an_acknowledged_request_does_not_count_for_another_epoch_another_commit_or_after_a_restart() {
    for case in 0..4 {
        let (mut node_0, mut node_1) = node_0_starts_under_promise();
        let requested_at = NOW + 21 * SECOND;
        assert!(node_1.request(requested_at, JobId(1), 7));
        tell_and_acknowledge(requested_at, &mut node_1, &mut node_0);
        let (mut now, mut commit) = (requested_at, CancellationCommit::InEpoch(7));
        match case {
            0 => commit = CancellationCommit::InEpoch(8),
            1 => commit = CancellationCommit::Unknown,
            2 => observe_heartbeat(&mut node_1, 0, 72, true, requested_at),
            _ => now = requested_at + limits::CANCELLATION_REQUEST_VALIDITY,
        }
        assert!(!node_1.confirm(now, JobId(1), commit, EpochReading::NONE).is_permitted, "case {case}");
    }
}

#[test]
fn a_job_whose_cancellation_was_refused_is_held_until_a_later_reading_shows_it_live() {
    let (mut node_0, mut node_1) = node_0_starts_under_promise();
    let requested_at = NOW + 21 * SECOND;
    assert!(node_1.request(requested_at, JobId(1), 7));
    tell_and_acknowledge(requested_at, &mut node_1, &mut node_0);
    let released_at = requested_at + limits::CANCELLATION_REQUEST_HOLD;
    for (read_at, is_held) in [(released_at - Duration::from_micros(1), true), (released_at, false)] {
        for log in [&mut node_0, &mut node_1] {
            log.apply_live_jobs(released_at, read_at, false, &[], &[]);
            assert_eq!(log.held_jobs().any(|job_id| job_id == JobId(1)), is_held);
            assert!(log.is_live(JobId(1)));
        }
    }
}

/// An earlier version would take the job for cancelled.
#[test]
fn requests_are_told_only_to_members_that_promise_about_starts() {
    let (_, mut node_1) = two_nodes();
    observe_heartbeat(&mut node_1, 0, 70, true, NOW + 20 * SECOND);
    assert!(node_1.request(NOW + 21 * SECOND, JobId(1), 7));
    let attestation = node_1.attest_to(NOW + 21 * SECOND, 0, StoreAccess::Available).unwrap();
    assert_eq!((attestation.requested.len(), attestation.last_number), (0, 1));
    // The acknowledgement of that attestation does not count, even if it shows that the member would accept requests.
    let answer = Attestation {
        for_incarnation: 71,
        echo: NOW + 21 * SECOND,
        acknowledged: 1,
        start_promise: START_PROMISE,
        ..Attestation::default()
    };
    let _ = node_1.apply_attestation(NOW + 21 * SECOND, 0, 70, &answer);
    let commit = CancellationCommit::InEpoch(7);
    assert!(!node_1.confirm(NOW + 21 * SECOND, JobId(1), commit, EpochReading::NONE).is_permitted);
}

/// The earlier process may have confirmed cancellations that it no longer knows.
#[test]
fn a_promise_of_a_restarted_member_counts_only_once_its_earlier_cancellations_are_known() {
    let (mut node_0, _) = node_0_starts_under_promise();
    let by_reading = |read_at| read_at + limits::minus_clock_drift(limits::START_TIME_AFTER_READING);
    let promise_ended_at = NOW + 20 * SECOND + START_PROMISE;
    let mut node_1 = CancellationLog::new(2, 1, 72, promise_ended_at + SECOND, BOUNDS);
    observe_heartbeat(&mut node_0, 1, 72, true, promise_ended_at + SECOND);
    exchange(promise_ended_at + 2 * SECOND, &mut node_1, &mut node_0, StoreAccess::Available);
    assert!(node_0.may_start_tasks_until() < promise_ended_at + 2 * SECOND);
    let read_at = promise_ended_at + 3 * SECOND;
    node_0.apply_live_jobs(read_at, read_at, false, &[], &[]);
    assert_eq!(node_0.may_start_tasks_until(), by_reading(read_at));
    exchange(read_at, &mut node_1, &mut node_0, StoreAccess::Available);
    assert_eq!(node_0.may_start_tasks_until(), read_at + limits::minus_clock_drift(START_PROMISE));
}

#[test]
fn a_restarted_node_waits_for_a_leader_it_has_not_heard_but_not_beyond_its_users_patience() {
    for (longest_autonomy, expected) in
        [(BOUNDS.longest_autonomy, BOUNDS.longest_autonomy + limits::LOCK_LEASE), (300 * SECOND, 30 * SECOND)]
    {
        let bounds = CancellationBounds { longest_autonomy, ..BOUNDS };
        let mut node_1 = CancellationLog::new(2, 1, 72, NOW, bounds);
        let cancelled_at = NOW + 5 * SECOND;
        let leads = reading(cancelled_at, EpochLeader::Member(0));
        let starts_end_at = cancelled_at + limits::plus_clock_drift(expected);
        for time in [cancelled_at, starts_end_at - Duration::from_micros(1)] {
            assert!(!permits(&mut node_1, time, JobId(1), leads));
        }
        node_1.rule_out_starts(starts_end_at, leads);
        assert!(!permits(&mut node_1, starts_end_at, JobId(1), leads));
        assert!(permits(&mut node_1, starts_end_at + relay_time(), JobId(1), leads));
    }
}
