//! The order in which waiting jobs are served: by width, by the work that is left, and by image on a machine.

use crate::fleet::{spec, Fleet};
use dockpier::scheduler::model::{Kind, Priority};

/// A wide array stood behind a stream of narrow ones, of its class or a higher one, for as long as the
/// stream was more than the fleet could serve.
#[test]
fn the_widest_job_begins_within_four_minutes_under_a_stream_of_narrow_ones() {
    for stream in [Priority::Low, Priority::High] {
        let mut fleet = Fleet::new(3);
        let mut next = 10;
        let mut alive: Vec<u64> = Vec::new();
        let mut wide_since = None;
        let mut began = None;
        for round in 0..100 {
            // Two jobs of a task each a second where twelve places turn over every twelve seconds.
            for _ in 0..8 {
                fleet.submit(spec(next, Kind::Array, stream, 1));
                alive.push(next);
                next += 1;
            }
            let done: Vec<u64> =
                alive.iter().copied().filter(|job_id| fleet.width(*job_id) == 1).take(4).collect();
            for job_id in done {
                fleet.finish(job_id);
                alive.retain(|u| *u != job_id);
            }
            if round == 10 {
                fleet.submit(spec(1, Kind::Array, Priority::Low, 90));
                wide_since = Some(fleet.now);
            }
            fleet.heartbeat();
            if fleet.width(1) > 0 && began.is_none() {
                began = Some(fleet.now);
                // A beginning, and what a round turns over, is not all that it asks for.
                assert!(fleet.width(1) <= 4);
            }
        }
        let waited = began.zip(wide_since).map(|(at, since)| at.since(since).as_secs());
        assert!(waited.is_some_and(|s| s < 240), "stream of {stream:?}: began after {waited:?} s");
    }
}

/// First come, first served made all jobs of a burst alike late. The short ones pass, and the long one still
/// gets its turn: it ages too, only slower.
#[test]
fn of_jobs_that_wait_the_one_with_less_work_left_goes_first_but_not_for_ever() {
    let mut fleet = Fleet::new(1);
    let array = |job_id, tasks| spec(job_id, Kind::Array, Priority::Low, tasks);
    fleet.submit(array(1, 4));
    fleet.heartbeat();
    // The fleet is full. The long job comes first, the short one later.
    fleet.submit(array(2, 200));
    fleet.heartbeat();
    fleet.submit(array(3, 2));
    (0..2).for_each(|_| fleet.heartbeat());
    fleet.finish(1);
    fleet.heartbeat();
    assert_eq!((fleet.width(2), fleet.width(3)), (0, 2));
    fleet.heartbeat();
    assert_eq!(fleet.width(2), 2);
    // An endless row of short ones does not keep the long one out.
    fleet.finish(3);
    fleet.finish(2);
    fleet.submit(array(4, 200));
    for job_id in 10..70 {
        fleet.submit(array(job_id, 2));
        fleet.heartbeat();
        fleet.finish(job_id.saturating_sub(2));
    }
    assert!(fleet.width(4) > 0);
}

/// Four images fetched together on one machine were all there after four fetches; one after the other, the
/// first is there after one. A fetch that hangs must keep nobody out for ever.
#[test]
fn a_machine_fetches_one_image_at_a_time_for_a_while() {
    let mut fleet = Fleet::new(1);
    fleet.fetching = true;
    // Different images: `spec` names them by the job's number.
    (1..4).for_each(|job_id| fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 1)));
    (0..3).for_each(|_| fleet.heartbeat());
    let running = |fleet: &Fleet| (1..4).map(|job_id| fleet.width(job_id)).sum::<usize>();
    assert_eq!(running(&fleet), 1);
    (0..12).for_each(|_| fleet.heartbeat());
    assert_eq!(running(&fleet), 3);
}
