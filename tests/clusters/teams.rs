//! Teams with guarantees and limits, over a change of leader: what may run counts against a limit, and only that.

use crate::cluster::Cluster;
use crate::common::spec;
use dockpier::scheduler::model::{JobSpec, Kind, Priority, Resources};
use dockpier::settings::Team;

fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team { name: name.into(), cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 }
}

fn job(id: u64, team: &str, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        team: team.into(),
        resource_request: Resources::rounded_up(1.0, 0.0, 1.0),
        ..spec(id, Kind::Array, priority, tasks)
    }
}

/// Every team waited for the last machine of the earlier leader's, which had died: no work began for half a
/// minute on a fleet of hundreds whose teams were far from their limits.
#[test]
fn a_machine_that_has_not_reported_to_a_new_leader_counts_in_full_and_no_more() {
    let limit = 12.0;
    let mut cluster = Cluster::new(5, vec![team("t", 0.0, limit)]);
    // The last leader had filled machine 0 for a job of this team.
    cluster.change_leader();
    cluster.machines.remove(&0);
    cluster.submit(job(1, "t", Priority::Normal, 20));
    cluster.heartbeats(3);
    assert_eq!(cluster.running(1), 8, "what may run on the machine that is missing counts");
    cluster.machines.insert(0);
    cluster.heartbeats(4);
    assert_eq!(cluster.running(1), 12, "it has reported, and is empty");
}

/// A task of a job that is over, and of which a new leader knows nothing, is some team's until it has ended.
#[test]
fn a_task_of_an_unknown_job_counts_against_every_limit_until_it_has_ended() {
    let mut cluster = Cluster::new(3, vec![team("t", 0.0, 8.0)]);
    cluster.submit(job(1, "t", Priority::Normal, 8));
    cluster.heartbeats(2);
    assert_eq!(cluster.running(1), 8);
    // The job is cancelled as the leader changes, and its machines do not hear the stops yet.
    cluster.unreachable = [0, 1].into();
    cluster.change_leader();
    cluster.submit(job(2, "t", Priority::Normal, 8));
    for _ in 0..3 {
        cluster.heartbeats(1);
        assert_eq!((cluster.running(1), cluster.running(2)), (8, 0));
    }
    cluster.unreachable.clear();
    cluster.heartbeats(3);
    assert_eq!((cluster.running(1), cluster.running(2)), (0, 8));
}

/// What a team has borrowed goes back to one that is within its guarantee, and no more than was borrowed.
#[test]
fn borrowed_capacity_is_returned_down_to_the_guarantee_of_its_team() {
    let teams = vec![team("lender", 6.0, 0.0), team("borrower", 4.0, 0.0)];
    let mut cluster = Cluster::new(2, teams);
    cluster.submit(job(1, "borrower", Priority::High, 8));
    cluster.heartbeats(2);
    assert_eq!(cluster.running(1), 8, "unused capacity is lent");
    // Of a lower class, and within its team's guarantee all the same.
    cluster.submit(job(2, "lender", Priority::Low, 8));
    cluster.heartbeats(60);
    assert_eq!((cluster.running(1), cluster.running(2)), (4, 4));
}
