//! Machines that are silent, unreachable or gone: told apart where they look alike in a small fleet.

use crate::fleet::{name, recorded, spec, Fleet, MACHINES, SLOTS};
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{Kind, Priority};
use dockpier::scheduler::{Command, Scheduler};
use std::collections::BTreeSet;

/// A machine came up, was recorded at its first heartbeat, and was deleted at once: it had been taken for
/// one of the last leader's that does not come.
#[test]
fn a_new_machine_is_not_taken_for_one_that_does_not_come() {
    let mut fleet = Fleet::new(0);
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 1));
    // Long after the leader's start, as a boot is.
    (0..5).for_each(|_| fleet.heartbeat());
    fleet.machines = 1;
    fleet.step(vec![Command::MachinesListed(vec![dockpier::scheduler::ListedMachine {
        machine: recorded(0),
        failed: false,
        age_s: 1.0,
    }])]);
    fleet.sequence = 0;
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
    assert_eq!(fleet.width(1), 1);
}

/// Reports arrive, answers do not: the starts sent there were taken for lost again and again, and the
/// machine, ever empty, stayed the best place for them.
#[test]
fn a_deaf_machine_gets_no_more_starts_and_is_deleted_and_the_work_goes_elsewhere() {
    let mut fleet = Fleet::new(12);
    fleet.unreachable.insert(name(3));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 44));
    (0..6).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted, BTreeSet::from([name(3)]));
    assert_eq!(fleet.width(1), 44);
}

/// When many seem deaf at once, the answers are lost on our side: deleting them would lose their work.
#[test]
fn machines_that_seem_deaf_together_are_kept() {
    let mut fleet = Fleet::new(12);
    fleet.unreachable.extend((0..6).map(name));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 40));
    (0..6).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
    fleet.unreachable.clear();
    (0..6).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.width(1), 40);
}

/// A leaseholder heard the leader no more while the leader still heard it: what the leader told machines through
/// it was lost, they seemed deaf, and 141 live machines were deleted.
#[test]
fn machines_that_do_not_hear_us_through_a_leaseholder_are_not_deaf() {
    let mut fleet = Fleet::new(12);
    fleet.scheduler.config.shard_lease = 14 * SECOND;
    fleet.leaseholder = Some(1);
    (0..2).for_each(|_| fleet.heartbeat());
    fleet.unreachable.extend((0..2).map(name));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 48));
    (0..5).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
}

/// The first machines to be missed after a leaseholder was lost were less than a quarter of its shard, and were
/// given up one by one as they fell due: 122 live machines.
#[test]
fn a_lost_leaseholder_does_not_take_its_block_with_it() {
    let mut fleet = Fleet::new(MACHINES);
    fleet.scheduler.config.shard_lease = 14 * SECOND;
    fleet.leaseholder = Some(1);
    fleet.submit(spec(1, Kind::Array, Priority::Normal, MACHINES as u32 * SLOTS as u32));
    (0..3).for_each(|_| fleet.heartbeat());
    fleet.machines = 0;
    for _ in 0..4 {
        fleet.heartbeat();
        assert!(fleet.deleted.is_empty());
    }
    // They come another way.
    (fleet.machines, fleet.leaseholder) = (MACHINES - 10, None);
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty() || fleet.deleted.iter().all(|m| *m >= name(MACHINES - 10)));
}

/// Thirty dead machines of 850 are their own fault, not our network's.
#[test]
fn a_mass_death_is_told_from_a_fault_of_our_own() {
    let mut fleet = Fleet::new(MACHINES);
    fleet.machines = MACHINES - 30;
    (0..4).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted.len(), 30);
}

/// After a takeover the machines that do not come were judged beside the few that heartbeat to the leader
/// itself, and seemed too many to be their own fault: inherited work waited for the end of their leases.
#[test]
fn machines_that_do_not_come_are_judged_against_all_that_do() {
    let mut fleet = Fleet::new(0);
    fleet.scheduler = Scheduler::new(fleet.scheduler.config.clone(), fleet.now);
    let records = vec![("1-1".to_string(), (0..16).map(recorded).collect())];
    fleet.step(vec![Command::StateLoaded { jobs: vec![], records }]);
    // Four of sixteen are dead, and all the others report to a leaseholder.
    (fleet.machines, fleet.leaseholder, fleet.sequence) = (12, Some(1), 0);
    (0..4).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted, (12..16).map(name).collect());
}
