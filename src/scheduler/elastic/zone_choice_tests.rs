//! The choice of the zone for a job whose tasks must all run in one zone.

use super::*;
use crate::scheduler::model::JobSpec;
use crate::scheduler::scoring::tests::{job, spec};

fn slots(image_fetches: i64, heartbeat_due_s: i64, count: i64) -> Slots {
    Slots { delay: StartDelay { may_fail: false, image_fetches, heartbeat_due_s }, count }
}

fn one_zone_job(kind: Kind, tasks: u32) -> Job {
    job(JobSpec { one_zone: true, ..spec(kind, tasks) })
}

#[test]
fn an_array_takes_the_zone_with_most_slots() {
    let array = one_zone_job(Kind::Array, 4);
    let (few, many) = (vec![slots(0, 0, 2)], vec![slots(0, 0, 2), slots(0, 0, 1)]);
    assert!(zone_score(&array, few) < zone_score(&array, many));
}

#[test]
fn a_gang_takes_the_zone_where_its_last_task_starts_first() {
    let gang = one_zone_job(Kind::Gang, 4);
    // The last of four tasks waits for an image in the cold zone, and for a heartbeat in the warm zone.
    let cold = vec![slots(1, 0, 8), slots(0, 0, 3)];
    let warm = vec![slots(0, 5, 2), slots(0, 1, 2)];
    assert!(zone_score(&gang, cold) < zone_score(&gang, warm.clone()));
    let earlier_heartbeat = vec![slots(0, 4, 2), slots(0, 1, 2)];
    assert!(zone_score(&gang, warm) < zone_score(&gang, earlier_heartbeat));
}

#[test]
fn a_zone_without_room_for_all_of_a_gang_comes_last() {
    let gang = one_zone_job(Kind::Gang, 4);
    let (too_small, large_enough) = (vec![slots(0, 0, 3)], vec![slots(2, 9, 4)]);
    assert!(zone_score(&gang, too_small) < zone_score(&gang, large_enough));
}
