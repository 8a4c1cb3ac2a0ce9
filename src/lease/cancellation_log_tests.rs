//! Tests of `cancellation_log`: two logs that exchange attestations.

use super::{
    AppliedAttestation, Attestation, CancellationBounds, CancellationLog, ConfirmOutcome, StoreAccess,
};
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use crate::time::Timestamp;
use std::time::Duration;

const SECOND: Duration = limits::SECOND;
const NOW: Timestamp = Timestamp::from_micros(1 << 45);
const RETENTION: Duration = Duration::from_secs(80);
const BOUNDS: CancellationBounds =
    CancellationBounds { longest_autonomy: Duration::from_secs(10), retention: RETENTION };
const NOTHING_APPLIED: AppliedAttestation = AppliedAttestation { terminated: Vec::new(), has_new: false };

fn pair() -> (CancellationLog, CancellationLog) {
    let mut a = CancellationLog::new(2, 0, 70, NOW, BOUNDS);
    let mut b = CancellationLog::new(2, 1, 71, NOW, BOUNDS);
    for node in [&mut a, &mut b] {
        node.apply_live_jobs(NOW + SECOND, NOW + SECOND, true, &[JobId(1), JobId(2)], &[]);
    }
    (a, b)
}

/// Exchanges one heartbeat of `receiver` and the attestation of `sender` that answers it. Returns the jobs that turned
/// out to be over.
fn exchange(
    now: Timestamp,
    sender: &mut CancellationLog,
    receiver: &mut CancellationLog,
    store_access: StoreAccess,
) -> Vec<JobId> {
    sender.observe_heartbeat(receiver.local_node, receiver.incarnation, true, now);
    let attestation = sender.attest_to(now, receiver.local_node, store_access).unwrap();
    receiver.apply_attestation(now, sender.local_node, sender.incarnation, &attestation).terminated
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
    let (mut a, mut b) = pair();
    assert_eq!(b.stop_commands(&heartbeat(&[1, 2])), Some(Vec::new()));
    assert!(a.confirm(NOW + 2 * SECOND, JobId(1)).is_new);
    b.observe_heartbeat(0, 70, true, NOW);
    assert_eq!(exchange(NOW + 2 * SECOND, &mut a, &mut b, StoreAccess::Available), [JobId(1)]);
    let stop = TaskCommand::Stop { id: TaskId { job_id: JobId(1), task: 0 }, attempt: 3, grace_s: 0.0 };
    assert_eq!(b.stop_commands(&heartbeat(&[1, 2])), Some(vec![stop.clone()]));
    assert_eq!(b.with_stop_commands(vec![stop.clone()], &heartbeat(&[1, 2])), [stop]);
    // A job that the copy lacks may have been cancelled before this incarnation began: not to be kept alive.
    assert_eq!(b.stop_commands(&heartbeat(&[2, 9])), None);
    // A copy that lags behind the attestation does not bring the job back.
    b.apply_live_jobs(NOW + 3 * SECOND, NOW + 3 * SECOND, true, &[JobId(1), JobId(2)], &[]);
    assert!(b.is_terminated(JobId(1)) && !b.is_live(JobId(1)));
}

#[test]
fn attestations_of_a_new_incarnation_count_only_after_a_read_of_the_store() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    exchange(NOW + 2 * SECOND, &mut a, &mut b, StoreAccess::Available);
    assert_eq!(b.member_freshness(), NOW + 2 * SECOND);
    // A new incarnation of the member does not know what the last one confirmed before it ended.
    let mut a = CancellationLog::new(2, 0, 72, NOW + 4 * SECOND, BOUNDS);
    b.observe_heartbeat(0, 72, true, NOW);
    exchange(NOW + 5 * SECOND, &mut a, &mut b, StoreAccess::Available);
    assert_eq!(b.member_freshness(), NOW + 2 * SECOND);
    // Once the live jobs have been read since, its attestations count again.
    b.apply_live_jobs(NOW + 6 * SECOND, NOW + 6 * SECOND, false, &[], &[]);
    exchange(NOW + 7 * SECOND, &mut a, &mut b, StoreAccess::Available);
    assert_eq!(b.member_freshness(), NOW + 7 * SECOND);
}

#[test]
fn suspended_confirmations_cover_a_restart_and_last_until_members_acknowledge() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    exchange(NOW + 20 * SECOND, &mut a, &mut b, StoreAccess::Lost);
    assert_eq!(
        a.confirm(NOW + 21 * SECOND, JobId(1)),
        ConfirmOutcome { is_new: true, is_permitted: false },
        "suspension promised, and not acknowledged"
    );
    exchange(NOW + 22 * SECOND, &mut a, &mut b, StoreAccess::Lost);
    a.observe_heartbeat(1, 71, true, NOW);
    exchange(NOW + 22 * SECOND, &mut b, &mut a, StoreAccess::Lost);
    assert_eq!(a.confirm(NOW + 22 * SECOND, JobId(1)), ConfirmOutcome { is_new: false, is_permitted: true });
    // Its next incarnation keeps the promise, so that no gap is left.
    let mut a = CancellationLog::new(2, 0, 72, NOW + 28 * SECOND, BOUNDS);
    assert_eq!(a.confirm(NOW + 29 * SECOND, JobId(2)), ConfirmOutcome { is_new: true, is_permitted: false });
    b.observe_heartbeat(0, 72, true, NOW);
    exchange(NOW + 29 * SECOND, &mut a, &mut b, StoreAccess::Available);
    let promised = NOW + 22 * SECOND + limits::shortened(limits::CONFIRMATION_SUSPENSION);
    assert_eq!(b.member_freshness(), promised.max(NOW + 29 * SECOND));
    assert!(a.confirm(NOW + 28 * SECOND + limits::CONFIRMATION_SUSPENSION, JobId(2)).is_permitted);
}

#[test]
fn attestations_for_or_from_another_incarnation_are_ignored() {
    let (mut a, mut b) = pair();
    assert!(a.confirm(NOW + 2 * SECOND, JobId(1)).is_new);
    a.observe_heartbeat(1, 71, true, NOW + 2 * SECOND);
    let attestation = a.attest_to(NOW + 2 * SECOND, 1, StoreAccess::Available).unwrap();
    // Its sender has not shown that it attests, or is another incarnation of that node.
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    b.observe_heartbeat(0, 72, true, NOW);
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    b.observe_heartbeat(0, 70, true, NOW);
    let other = Attestation { for_incarnation: 73, ..attestation.clone() };
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &other), NOTHING_APPLIED);
    let early = Attestation { echo: NOW - Duration::from_micros(1), ..attestation.clone() };
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &early), NOTHING_APPLIED);
    assert_eq!(
        b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation),
        AppliedAttestation { terminated: vec![JobId(1)], has_new: true }
    );
    // A repeated attestation has nothing new: an answer to it would be answered in turn, without end.
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), NOTHING_APPLIED);
    // Earlier versions drop the connection at a frame that they do not know.
    a.observe_heartbeat(1, 71, false, NOW + 3 * SECOND);
    assert_eq!(a.attest_to(NOW + 3 * SECOND, 1, StoreAccess::Available), None);
}

#[test]
fn without_a_read_of_the_store_in_this_incarnation_no_worker_is_kept_alive() {
    let mut b = CancellationLog::new(2, 1, 71, NOW, BOUNDS);
    let mut a = CancellationLog::new(2, 0, 70, NOW, BOUNDS);
    b.observe_heartbeat(0, 70, true, NOW);
    exchange(NOW + 2 * SECOND, &mut a, &mut b, StoreAccess::Lost);
    assert_eq!(b.keep_alive_until(), Timestamp::ZERO);
}

/// More cancellations than a frame holds are not attested: the other members' bound stands, so workers' leases expire
/// rather than keep a cancelled task alive. Attestations continue once the cancellations are past their retention.
#[test]
fn more_cancellations_than_a_frame_holds_suspend_attestations_until_retention_ends() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    a.observe_heartbeat(1, 71, true, NOW);
    let most = limits::MAX_ATTESTED_CANCELLATIONS as u64;
    for id in 0..most {
        assert!(a.confirm(NOW + SECOND, JobId(id)).is_new);
    }
    assert!(a.attest_to(NOW + SECOND, 1, StoreAccess::Available).is_some(), "as many as a frame holds");
    assert!(a.confirm(NOW + SECOND, JobId(most)).is_new);
    assert_eq!(a.attest_to(NOW + SECOND, 1, StoreAccess::Available), None);
    let known = b.member_freshness();
    a.apply_live_jobs(NOW + SECOND + RETENTION, NOW + SECOND + RETENTION, false, &[], &[]);
    assert!(a.attest_to(NOW + SECOND + RETENTION, 1, StoreAccess::Available).is_some());
    assert_eq!(b.member_freshness(), known, "nothing was attested meanwhile");
}
