//! Changes of the key-value store that jobs and machines cost.

use crate::fleet::{spec, Fleet};
use dockpier::scheduler::model::{Kind, Priority};

/// The state service takes 30 changes a second where three arrays arrive in one: the floor is the submission,
/// and the final state with the removal of the live record.
#[test]
fn a_job_costs_few_changes_of_the_state_service() {
    let mut fleet = Fleet::new(400);
    let machines = fleet.machine_writes;
    // Machines share records: as many as fit a value, once more when a new one joins.
    assert!(machines <= 2 * 400 / 12 + 2, "{machines} changes for 400 machines");
    for job_id in 0..40 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 30));
    }
    (0..3).for_each(|_| fleet.heartbeat());
    (0..40).for_each(|job_id| fleet.complete(job_id));
    (0..6).for_each(|_| fleet.heartbeat());
    assert!(fleet.scheduler.jobs.is_empty());
    // All its tasks end within one interval of reports here; results are kept on the workers meanwhile.
    assert!(fleet.job_writes <= 40 * 4, "{} changes for 40 jobs", fleet.job_writes);
    let images = fleet.machine_writes - machines;
    assert!(images <= 2 * 400 / 12, "{images} changes for the machines' images");
}

/// One-task jobs come four a second for minutes, and a quarter of them is cancelled: ended jobs cost two changes
/// each of the leader's half of fifteen a second, so that nothing piles up, and nobody is left behind.
#[test]
fn a_stream_of_one_task_jobs_ends_as_fast_as_it_comes() {
    const A_ROUND: u64 = 16;
    let mut fleet = Fleet::with_writes(100, 15.0);
    let mut most = 0;
    for round in 0..45 {
        let ids = |round: u64| round * A_ROUND..(round + 1) * A_ROUND;
        for id in ids(round) {
            fleet.submit(spec(id, Kind::Array, Priority::Normal, 1));
        }
        if round > 0 {
            for id in ids(round - 1) {
                // Some are cancelled while they run, some before they do.
                match id % 4 {
                    0 => fleet.finish(id + if id % 8 == 0 { A_ROUND } else { 0 }),
                    _ => fleet.complete(id),
                }
            }
        }
        fleet.heartbeat();
        most = most.max(fleet.scheduler.jobs.len());
    }
    assert!(most <= 4 * A_ROUND as usize, "{most} jobs known at once");
    (0..45 * A_ROUND).for_each(|id| fleet.complete(id));
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.scheduler.jobs.is_empty(), "{} jobs never ended", fleet.scheduler.jobs.len());
    assert!(fleet.job_writes <= 2 * 45 * A_ROUND as usize, "{} changes", fleet.job_writes);
}
