//! A leader that may have missed a cancellation starts nothing, and goes on with everything else.

use crate::cluster::Cluster;
use crate::common::{config, spec};
use dockpier::scheduler::model::{JobId, Kind, Priority};
use dockpier::scheduler::StartPermission;

fn permission<const N: usize>(may_start_tasks: bool, held_jobs: [u64; N]) -> StartPermission {
    StartPermission { may_start_tasks, held_jobs: held_jobs.map(JobId).into() }
}

/// A leader that was cut off answered a heartbeat with starts of a job that another node had confirmed as cancelled.
#[test]
fn a_leader_without_permission_to_start_tasks_sends_no_start_and_starts_them_once_it_has_it() {
    let mut cluster = Cluster::new(2, config().teams);
    cluster.submit(spec(1, Kind::Array, Priority::Normal, 3));
    cluster.heartbeats(2);
    assert_eq!(cluster.running(1), 3);
    // Placed, and not sent yet, when the permission ends.
    cluster.submit(spec(2, Kind::Array, Priority::Normal, 2));
    cluster.scheduler.record_start_permission(permission(false, []));
    cluster.submit(spec(3, Kind::Array, Priority::High, 3));
    cluster.heartbeats(20);
    assert_eq!(
        (cluster.running(1), cluster.running(2), cluster.running(3)),
        (3, 0, 0),
        "nothing stops either"
    );
    cluster.scheduler.record_start_permission(permission(true, []));
    cluster.heartbeats(4);
    assert_eq!((cluster.running(1), cluster.running(2), cluster.running(3)), (3, 2, 3));
    assert!(cluster.deleted.is_empty(), "machines without starts are not taken for unreachable");
}

#[test]
fn no_task_of_a_job_that_a_user_asked_to_cancel_is_started_and_other_jobs_are() {
    let mut cluster = Cluster::new(1, config().teams);
    cluster.scheduler.record_start_permission(permission(true, [1]));
    for job_id in [1, 2] {
        cluster.submit(spec(job_id, Kind::Array, Priority::Normal, 2));
    }
    cluster.heartbeats(20);
    assert_eq!((cluster.running(1), cluster.running(2)), (0, 2));
    // The transaction was refused: the job is still to run.
    cluster.scheduler.record_start_permission(permission(true, []));
    cluster.heartbeats(2);
    assert_eq!((cluster.running(1), cluster.running(2)), (2, 2));
    assert!(cluster.deleted.is_empty());
}
