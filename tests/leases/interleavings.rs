//! Every order in which the messages around one lease can arrive, up to a depth: a worker that reports to the leader or
//! through a leaseholder, stops that go straight to it, their answers, heartbeats of the leaseholder and confirmations. After
//! each order the worker is silent, everything under way is lost, and its task must not be started elsewhere before the
//! lease that it really has has ended.

mod message;
mod worker;
mod world;

use dockpier::limits::SECOND;
use dockpier::scheduler::model::{JobId, TaskId};
use std::time::Duration;
use world::World;

/// Long against the margin of a lease, so that one heartbeat that is not noted shows.
const REPORT: Duration = Duration::from_secs(6);
const LEASE: Duration = Duration::from_secs(20);
const SHARD_LEASE: Duration = Duration::from_secs(8);
/// How long a worker waits for the answer to a heartbeat.
const ANSWER_PATIENCE: Duration = Duration::from_secs(4);
/// Events of an order, each a message delivered or a step of time, and steps of time among them at most.
const DEPTH: usize = 6;
const TICKS: usize = 1;
/// The leaseholder's number among the nodes.
const LEASEHOLDER: usize = 1;

/// The worker whose lease is looked at, and the empty one beside it.
const WATCHED: &str = "m-000001";
const EMPTY: &str = "m-000002";
/// The replica that must never run twice, and the job beside it that is cancelled.
const REPLICA: TaskId = TaskId { job_id: JobId(1), task: 0 };
const CANCELLED: JobId = JobId(2);

/// The world after an order of events: 0 lets a second pass, any other delivers the message of that number.
fn play(by_leaseholder: bool, order: &[usize]) -> World {
    let mut world = World::new(by_leaseholder);
    for event in order {
        match event {
            0 => world.tick(SECOND),
            number => world.deliver(number - 1),
        }
    }
    world
}

/// Plays every order that begins like this one; returns how many there are.
fn play_all(by_leaseholder: bool, leaseholder_reachable: bool, order: &mut Vec<usize>) -> u64 {
    let world = play(by_leaseholder, order);
    let messages = world.under_way.len();
    world.end(order, leaseholder_reachable);
    let mut played = 1;
    if order.len() == DEPTH {
        return played;
    }
    let ticks = order.iter().filter(|event| **event == 0).count();
    for event in usize::from(ticks == TICKS)..=messages {
        order.push(event);
        played += play_all(by_leaseholder, leaseholder_reachable, order);
        order.pop();
    }
    played
}

fn no_order_ends_a_lease_early(by_leaseholder: bool, leaseholder_reachable: bool, at_least: u64) {
    let played = play_all(by_leaseholder, leaseholder_reachable, &mut Vec::new());
    println!(
        "by_leaseholder {by_leaseholder}, leaseholder_reachable {leaseholder_reachable}: {played} orders of messages up to {DEPTH} events"
    );
    assert!(played >= at_least, "{played} orders of messages: too little was tested");
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_workers_report_to_the_leader() {
    no_order_ends_a_lease_early(false, true, 2_000);
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_workers_report_through_a_leaseholder() {
    no_order_ends_a_lease_early(true, true, 15_000);
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_the_leaseholder_falls_silent_too() {
    no_order_ends_a_lease_early(true, false, 15_000);
}
