//! Unit tests of the domain types. Rules that combine several objects are tested with the modules that own
//! the rules.

use super::*;
use crate::lease::renewal::LastRenewal;
use crate::limits::{self, SECOND};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// A change of a machine, and its name for the messages of failed assertions.
type NamedChange = (&'static str, fn(&mut Machine));

fn task_id(job_id: u64, task: u32) -> TaskId {
    TaskId { job_id: JobId(job_id), task }
}

fn placement(image: &str, status: TaskStatus) -> Placement {
    Placement {
        attempt: 1,
        resource_request: Resources::rounded_up(1.0, 0.0, 1.0),
        start_sent_in_response_to: None,
        confirmed: true,
        status,
        running_since: None,
        image: image.into(),
        placed_at: Timestamp::ZERO,
        stopping: None,
    }
}

fn pending_machine() -> Machine {
    let stored = StoredMachine {
        name: "m-000001".into(),
        machine_type: "large".into(),
        zone: "a".into(),
        spot: false,
        address: "address".into(),
        images: BTreeSet::new(),
    };
    Machine::new(
        &stored,
        Resources::rounded_down(4.0, 0.0, 16.0),
        Timestamp::from_secs(1),
        Timestamp::from_secs(60),
    )
}

#[test]
fn heartbeats_are_ordered_by_agent_epoch_first() {
    let number = |agent_epoch, sequence| HeartbeatNumber { agent_epoch, sequence };
    assert!(number(1, 9) < number(2, 1));
    assert!(number(2, 1) < number(2, 2));
}

#[test]
fn attempts_are_ordered_by_task_first() {
    let attempt = |id, attempt| TaskAttempt { task: id, attempt };
    assert!(attempt(task_id(1, 0), 9) < attempt(task_id(1, 1), 1));
    assert!(attempt(task_id(1, 1), 9) < attempt(task_id(2, 0), 1));
    assert!(attempt(task_id(1, 1), 1) < attempt(task_id(1, 1), 2));
}

#[test]
fn direct_response_increases_the_newest_number_but_not_the_periodic_sequence() {
    let mut heartbeats = HeartbeatTracker::default();
    let number = |sequence| HeartbeatNumber { agent_epoch: 1, sequence };
    heartbeats.record_newest(number(4), HeartbeatSource::Periodic);
    heartbeats.record_newest(number(6), HeartbeatSource::DirectResponse);
    assert_eq!((heartbeats.newest, heartbeats.last_periodic_sequence), (number(6), 4));
    // The periodic heartbeat that the direct response has overtaken arrives.
    heartbeats.record_periodic_arrival(5, Timestamp::from_secs(1));
    assert_eq!((heartbeats.newest, heartbeats.last_periodic_sequence), (number(6), 5));
    assert_eq!(heartbeats.last_at, Timestamp::from_secs(1));
}

#[test]
fn new_agent_epoch_resets_the_periodic_sequence() {
    let mut heartbeats = HeartbeatTracker::default();
    let number = |agent_epoch, sequence| HeartbeatNumber { agent_epoch, sequence };
    heartbeats.record_newest(number(1, 4), HeartbeatSource::Periodic);
    heartbeats.record_newest(number(2, 1), HeartbeatSource::DirectResponse);
    assert_eq!((heartbeats.newest, heartbeats.last_periodic_sequence), (number(2, 1), 0));
}

#[test]
fn changed_route_keeps_the_previous_route() {
    let mut route = Route::default();
    assert!(!route.record(None, Timestamp::from_secs(1)));
    assert_eq!(route.previous, None);
    assert!(route.record(Some(2), Timestamp::from_secs(2)));
    assert!(!route.record(Some(2), Timestamp::from_secs(3)));
    assert_eq!(route.relayed_by, Some(2));
    assert_eq!(route.previous, Some(PreviousRoute { relayed_by: None, left_at: Timestamp::from_secs(2) }));
}

#[test]
fn stop_is_overdue_after_its_grace_period_and_the_timeout() {
    let stop = StopRequest { requested_at: Timestamp::from_secs(1), grace_s: 2.0 };
    let overdue = 3 * SECOND + limits::STOP_TIMEOUT;
    assert!(!stop.is_overdue(Timestamp::ZERO + overdue - Duration::from_micros(1)));
    assert!(stop.is_overdue(Timestamp::ZERO + overdue));
}

#[test]
fn resources_of_a_stopping_task_are_available_soon_until_the_stop_is_overdue() {
    let mut machine = pending_machine();
    let mut stopping = placement("image", TaskStatus::Running);
    stopping.stopping = Some(StopRequest { requested_at: Timestamp::from_secs(1), grace_s: 2.0 });
    machine.tasks.insert(task_id(1, 0), stopping);
    machine.tasks.insert(task_id(1, 1), placement("image", TaskStatus::Running));
    assert_eq!(machine.available(), Resources::rounded_down(2.0, 0.0, 14.0));
    let overdue = 3 * SECOND + limits::STOP_TIMEOUT;
    assert_eq!(
        machine.available_after_stops(Timestamp::ZERO + overdue - Duration::from_micros(1)),
        Resources::rounded_down(3.0, 0.0, 15.0)
    );
    assert_eq!(machine.available_after_stops(Timestamp::ZERO + overdue), machine.available());
}

#[test]
fn image_fetches_include_each_other_image_that_is_being_fetched() {
    let mut machine = pending_machine();
    machine.image_cache.images.insert("cached".into());
    machine.tasks.insert(task_id(1, 0), placement("one", TaskStatus::Fetching));
    machine.tasks.insert(task_id(1, 1), placement("one", TaskStatus::Fetching));
    machine.tasks.insert(task_id(2, 0), placement("two", TaskStatus::Running));
    assert_eq!(machine.image_fetches("cached"), 0);
    assert_eq!(machine.image_fetches("one"), 1);
    assert_eq!(machine.image_fetches("three"), 2);
}

#[test]
fn machine_is_settled_only_while_nothing_is_under_way() {
    let mut settled = pending_machine();
    (settled.state, settled.accounted_for, settled.recorded) = (MachineState::Ready, true, true);
    settled.tasks.insert(task_id(1, 0), placement("image", TaskStatus::Running));
    assert!(settled.is_settled());
    assert_eq!(settled.last_renewal, LastRenewal::default());
    let unsettling_changes: [NamedChange; 7] = [
        ("lease expired", |machine| machine.state = MachineState::Lost),
        ("not accounted for", |machine| machine.accounted_for = false),
        ("not recorded", |machine| machine.recorded = false),
        ("recalled", |machine| machine.lifecycle.recall_at = Some(Timestamp::from_secs(1))),
        ("command unacknowledged", |machine| {
            machine.commands.unacknowledged.push(TaskCommand::Forget { id: task_id(1, 0), attempt: 1 })
        }),
        ("task of an unknown job", |machine| {
            machine.unplaced_tasks.orphaned.insert(TaskAttempt { task: task_id(9, 0), attempt: 1 });
        }),
        ("task not confirmed", |machine| {
            machine.tasks.values_mut().for_each(|placement| placement.confirmed = false)
        }),
    ];
    for (case, unsettle) in unsettling_changes {
        let mut machine = settled.clone();
        unsettle(&mut machine);
        assert!(!machine.is_settled(), "settled despite: {case}");
    }
}

#[test]
fn success_is_recorded_only_if_a_task_had_not_succeeded_before() {
    let mut progress = Progress { pending: BTreeSet::from([0, 1, 2]), ..Progress::default() };
    progress.record_succeeded(1..2, Timestamp::from_secs(1));
    assert_eq!(
        (&progress.pending, progress.unstored_since),
        (&BTreeSet::from([0, 2]), Some(Timestamp::from_secs(1)))
    );
    // The success is stored. A second report of the same task must not cause another write.
    progress.unstored.clear();
    progress.unstored_since = None;
    progress.record_succeeded(1..2, Timestamp::from_secs(2));
    assert!(progress.unstored.is_empty());
    assert_eq!(progress.unstored_since, None);
    progress.record_succeeded(0..3, Timestamp::from_secs(3));
    assert!(progress.pending.is_empty());
    assert_eq!(progress.unstored, BTreeSet::from([0, 1, 2]));
}

#[test]
fn placement_is_unsent_only_until_its_start_is_sent_or_a_heartbeat_lists_it() {
    let mut unsent = placement("image", TaskStatus::Fetching);
    unsent.confirmed = false;
    assert!(unsent.is_unsent());
    let sent = HeartbeatNumber { agent_epoch: 1, sequence: 1 };
    assert!(!Placement { start_sent_in_response_to: Some(sent), ..unsent.clone() }.is_unsent());
    assert!(!Placement { confirmed: true, ..unsent }.is_unsent());
}

#[test]
fn termination_proofs_are_displayed_as_log_texts() {
    let heartbeat = HeartbeatNumber { agent_epoch: 3, sequence: 7 };
    let expired = |relayed_by| TerminationProof::LeaseExpired {
        lease_renewed_at: Timestamp::from_secs(1),
        relayed_by,
        at: Timestamp::from_secs(13) + Duration::from_millis(500),
    };
    let texts = [
        (TerminationProof::NeverSent, "start command never sent"),
        (TerminationProof::Exited, "exit reported by the worker"),
        (TerminationProof::NotListed { heartbeat }, "not listed in heartbeat 7 of agent epoch 3"),
        (
            TerminationProof::NewAgentEpoch { agent_epoch: 4 },
            "worker began agent epoch 4, so its earlier tasks have ended",
        ),
        (expired(None), "lease expired 12.500 s after its last renewal"),
        (expired(Some(2)), "lease expired 12.500 s after its last renewal, last heartbeat via node 2"),
        (TerminationProof::Deleted, "deletion confirmed by the cloud"),
    ];
    for (proof, text) in texts {
        assert_eq!(proof.to_string(), text);
    }
}
