//! A leader that may have missed a cancellation starts nothing, and goes on with everything else.

use crate::cluster::Cluster;
use crate::common::{config, spec};
use dockpier::scheduler::model::{Kind, Priority};

/// A leader that was cut off answered a heartbeat with starts of a job that another node had confirmed as cancelled.
#[test]
fn a_leader_without_permission_to_start_tasks_sends_no_start_and_starts_them_once_it_has_it() {
    let mut cluster = Cluster::new(2, config().teams);
    cluster.submit(spec(1, Kind::Array, Priority::Normal, 3));
    cluster.heartbeats(2);
    assert_eq!(cluster.running(1), 3);
    // Placed, and not sent yet, when the permission ends.
    cluster.submit(spec(2, Kind::Array, Priority::Normal, 2));
    cluster.scheduler.record_start_permission(false);
    cluster.submit(spec(3, Kind::Array, Priority::High, 3));
    cluster.heartbeats(20);
    assert_eq!(
        (cluster.running(1), cluster.running(2), cluster.running(3)),
        (3, 0, 0),
        "nothing stops either"
    );
    cluster.scheduler.record_start_permission(true);
    cluster.heartbeats(4);
    assert_eq!((cluster.running(1), cluster.running(2), cluster.running(3)), (3, 2, 3));
    assert!(cluster.deleted.is_empty(), "machines without starts are not taken for unreachable");
}
