use super::*;
use crate::scheduler::model::{ReportedTask, TaskId};

const SECOND: u64 = limits::SECOND;
const NOW: u64 = 1 << 45;
const AUTONOMY: u64 = 10 * SECOND;
const KEPT: u64 = 80 * SECOND;

fn pair() -> (CancellationLog, CancellationLog) {
    let mut a = CancellationLog::new(2, 0, 70, NOW, AUTONOMY, KEPT);
    let mut b = CancellationLog::new(2, 1, 71, NOW, AUTONOMY, KEPT);
    for node in [&mut a, &mut b] {
        node.apply_live_jobs(NOW + SECOND, NOW + SECOND, true, &[JobId(1), JobId(2)], &[]);
    }
    (a, b)
}

/// One heartbeat of `to` that `from` answers.
fn say(
    now: u64,
    from: (&mut CancellationLog, usize, u64),
    to: (&mut CancellationLog, usize, u64),
    lost: bool,
) -> Vec<JobId> {
    from.0.observe_heartbeat(to.1, to.2, true, now);
    let attestation = from.0.attest_to(now, to.1, lost).unwrap();
    to.0.apply_attestation(now, from.1, from.2, &attestation).0
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
        token: 1,
        notice_s: None,
        tasks: job_ids.iter().map(task).collect(),
    }
}

#[test]
fn a_cancellation_reaches_the_others_and_no_answer_leaves_without_its_stop() {
    let (mut a, mut b) = pair();
    assert_eq!(b.stop_commands(&heartbeat(&[1, 2])), Some(Vec::new()));
    a.confirm(NOW + 2 * SECOND, JobId(1));
    b.observe_heartbeat(0, 70, true, NOW);
    assert_eq!(say(NOW + 2 * SECOND, (&mut a, 0, 70), (&mut b, 1, 71), false), [JobId(1)]);
    let stop = TaskCommand::Stop { id: TaskId { job_id: JobId(1), task: 0 }, attempt: 3, grace_s: 0.0 };
    assert_eq!(b.stop_commands(&heartbeat(&[1, 2])), Some(vec![stop.clone()]));
    assert_eq!(b.with_stop_commands(vec![stop.clone()], &heartbeat(&[1, 2])), [stop]);
    // What the copy lacks may have been cancelled before this life began: not to be kept alive.
    assert_eq!(b.stop_commands(&heartbeat(&[2, 9])), None);
    // A copy that lags behind the word does not bring the job back.
    b.apply_live_jobs(NOW + 3 * SECOND, NOW + 3 * SECOND, true, &[JobId(1), JobId(2)], &[]);
    assert!(b.is_terminated(JobId(1)) && !b.is_live(JobId(1)));
}

#[test]
fn words_must_follow_one_another_without_a_gap() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    say(NOW + 2 * SECOND, (&mut a, 0, 70), (&mut b, 1, 71), false);
    assert_eq!(b.member_freshness(), NOW + 2 * SECOND);
    // Another life of the member does not know what the last one confirmed before it ended.
    let mut a = CancellationLog::new(2, 0, 72, NOW + 4 * SECOND, AUTONOMY, KEPT);
    b.observe_heartbeat(0, 72, true, NOW);
    say(NOW + 5 * SECOND, (&mut a, 0, 72), (&mut b, 1, 71), false);
    assert_eq!(b.member_freshness(), NOW + 2 * SECOND);
    // Once the live jobs have been read since, its words count again.
    b.apply_live_jobs(NOW + 6 * SECOND, NOW + 6 * SECOND, false, &[], &[]);
    say(NOW + 7 * SECOND, (&mut a, 0, 72), (&mut b, 1, 71), false);
    assert_eq!(b.member_freshness(), NOW + 7 * SECOND);
}

#[test]
fn a_promise_to_be_quiet_covers_a_restart_and_binds_until_the_others_hold_what_is_told() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    say(NOW + 20 * SECOND, (&mut a, 0, 70), (&mut b, 1, 71), true);
    assert_eq!(a.confirm(NOW + 21 * SECOND, JobId(1)), (true, false), "promised, and not held there");
    say(NOW + 22 * SECOND, (&mut a, 0, 70), (&mut b, 1, 71), true);
    a.observe_heartbeat(1, 71, true, NOW);
    say(NOW + 22 * SECOND, (&mut b, 1, 71), (&mut a, 0, 70), true);
    assert_eq!(a.confirm(NOW + 22 * SECOND, JobId(1)), (false, true));
    // Its next life keeps the promise, so that no gap is left.
    let mut a = CancellationLog::new(2, 0, 72, NOW + 28 * SECOND, AUTONOMY, KEPT);
    assert_eq!(a.confirm(NOW + 29 * SECOND, JobId(2)), (true, false));
    b.observe_heartbeat(0, 72, true, NOW);
    say(NOW + 29 * SECOND, (&mut a, 0, 72), (&mut b, 1, 71), false);
    let promised = NOW + 22 * SECOND + limits::shortened(limits::CONFIRMATION_SUSPENSION);
    assert_eq!(b.member_freshness(), promised.max(NOW + 29 * SECOND));
    assert!(a.confirm(NOW + 28 * SECOND + limits::CONFIRMATION_SUSPENSION, JobId(2)).1);
}

#[test]
fn words_for_another_life_or_from_one_that_has_ended_count_for_nothing() {
    let (mut a, mut b) = pair();
    a.confirm(NOW + 2 * SECOND, JobId(1));
    a.observe_heartbeat(1, 71, true, NOW + 2 * SECOND);
    let attestation = a.attest_to(NOW + 2 * SECOND, 1, false).unwrap();
    // Its sender has not shown that it attests, or is another life of it.
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), (vec![], false));
    b.observe_heartbeat(0, 72, true, NOW);
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), (vec![], false));
    b.observe_heartbeat(0, 70, true, NOW);
    let other = Attestation { for_incarnation: 73, ..attestation.clone() };
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &other), (vec![], false));
    let early = Attestation { echo: NOW - 1, ..attestation.clone() };
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &early), (vec![], false));
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), (vec![JobId(1)], true));
    // A copy is no news: answered, it would be answered in turn, for ever.
    assert_eq!(b.apply_attestation(NOW + 2 * SECOND, 0, 70, &attestation), (vec![], false));
    // Earlier versions drop the connection at a frame that they do not know.
    a.observe_heartbeat(1, 71, false, NOW + 3 * SECOND);
    assert_eq!(a.attest_to(NOW + 3 * SECOND, 1, false), None);
}

#[test]
fn without_a_reading_in_this_life_nothing_is_known() {
    let mut b = CancellationLog::new(2, 1, 71, NOW, AUTONOMY, KEPT);
    let mut a = CancellationLog::new(2, 0, 70, NOW, AUTONOMY, KEPT);
    b.observe_heartbeat(0, 70, true, NOW);
    say(NOW + 2 * SECOND, (&mut a, 0, 70), (&mut b, 1, 71), true);
    assert_eq!(b.keep_alive_until(), 0);
}

/// More cancellations than a frame holds are attested by none: the others' bound stands, and so workers' leases run
/// out rather than keep a cancelled task alive. Once nothing hangs on them any more, attestations go on.
#[test]
fn a_burst_beyond_one_frame_is_attested_by_nothing_until_it_is_forgotten() {
    let (mut a, mut b) = pair();
    b.observe_heartbeat(0, 70, true, NOW);
    a.observe_heartbeat(1, 71, true, NOW);
    let most = limits::MAX_ATTESTED_CANCELLATIONS as u64;
    (0..most).for_each(|id| {
        a.confirm(NOW + SECOND, JobId(id));
    });
    assert!(a.attest_to(NOW + SECOND, 1, false).is_some(), "as many as a frame holds");
    a.confirm(NOW + SECOND, JobId(most));
    assert_eq!(a.attest_to(NOW + SECOND, 1, false), None);
    let known = b.member_freshness();
    a.apply_live_jobs(NOW + SECOND + KEPT, NOW + SECOND + KEPT, false, &[], &[]);
    assert!(a.attest_to(NOW + SECOND + KEPT, 1, false).is_some());
    assert_eq!(b.member_freshness(), known, "nothing was attested meanwhile");
}
