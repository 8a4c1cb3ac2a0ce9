//! The scheduler against a plain model of the world: workers that really hold tasks, answers that get
//! lost, reports that arrive late, machines that die, changes of leader. The model keeps the truth and
//! checks the protocol's rules against it after every step; virtual time, fixed seeds.

#[path = "../common/mod.rs"]
mod common;

mod effects;
mod gangs;
mod invariants;
mod leaseholders;
mod machine_list;
mod messages;
mod partitions;
mod settings;
mod store;
mod troubles;
mod worker;
mod world;

use dockpier::scheduler::model::{JobId, Kind};
use rand::Rng;
use settings::Deployment;
use world::World;

fn play(seed: u64, deployment: Deployment) -> [u64; 6] {
    let mut world = World::new(seed, deployment);
    let mut job_id = 0;
    for round in 0..60 {
        if round < 45 && world.rng.random_bool(0.5) {
            job_id += 1;
            world.submit(job_id);
        }
        if round < 45 && world.rng.random_bool(0.3) {
            world.trouble();
        }
        if round < 45 && world.deployment.drains && world.rng.random_bool(0.3) {
            world.operate();
        }
        for _ in 0..world.rng.random_range(10..40) {
            world.step();
        }
    }
    // Services are cancelled, and everything else must come to its end.
    let services: Vec<JobId> =
        world.live.keys().copied().filter(|u| world.specs[u].kind == Kind::Service).collect();
    services.into_iter().for_each(|job_id| world.cancel(job_id));
    for _ in 0..4_000 {
        world.step();
        if world.live.is_empty() {
            break;
        }
    }
    let stuck: Vec<_> = world.live.keys().filter_map(|u| world.scheduler.jobs.get(u)).collect();
    assert!(world.live.is_empty(), "seed {seed}: never done: {stuck:#?} {}", world.scheduler.usage_line());
    assert!(world.answered_by_leaseholders > 20, "seed {seed}: {}", world.answered_by_leaseholders);
    let parts = world.drains.progress.values().flat_map(|parts| parts.values());
    let drained = parts.flat_map(|part| &part.machines).filter(|entry| entry.state.is_final()).count() as u64;
    let broken = world.gangs.len() as u64 - world.gangs_done;
    [world.starts, world.finished, world.gangs_done, broken, world.orders_of_former_leaders, drained]
}

/// Plays seeds; something must have gone on in them, else nothing was tested.
fn play_all(seeds: std::ops::Range<u64>, deployment: Deployment) {
    let count = seeds.end - seeds.start;
    let mut sums = [0; 6];
    for seed in seeds {
        sums.iter_mut().zip(play(seed, deployment.clone())).for_each(|(sum, n)| *sum += n);
    }
    let [starts, finished, gangs, broken, late_orders, drained] = sums;
    assert!(late_orders > 0, "no command of a former leader was carried out");
    assert!(starts > 40 * count && finished > 8 * count, "{starts} starts, {finished} jobs finished");
    assert!(!deployment.drains || drained > 10 * count, "{drained} machines drained");
    // Gangs ran to their end, and some were broken on the way.
    assert!(gangs > 2 * count && broken > count / 15, "{gangs} gangs, {broken} broken");
}

#[test]
fn the_rules_hold_and_every_job_ends_whatever_fails() {
    play_all(0..40, Deployment::of_one_team(0.0));
}

/// Whatever operators drain, pause and cancel meanwhile; and drains get somewhere.
#[test]
fn the_rules_hold_while_machines_are_drained() {
    play_all(500..540, Deployment::with_drains());
}

/// Changes of leader in every trouble, with the phase of the cold start: nothing runs twice, every job ends.
#[test]
fn the_rules_hold_while_leaders_reconcile() {
    play_all(600..630, Deployment::with_cold_start());
}

#[test]
fn the_rules_hold_when_answers_to_direct_commands_overtake_reports() {
    play_all(700..760, Deployment::with_slow_reports());
}

/// Guards against `ran_twice`: a leaseholder in a zone that is cut off twice renews leases under the token that the zone
/// learnt in between.
#[test]
fn the_rules_hold_when_a_zone_is_cut_off_twice() {
    play_all(800..860, Deployment::with_partitions());
}

/// Guards against a late copy of a command that was carried out before: a task ran on two machines, or once more after
/// its cancellation.
#[test]
fn the_rules_hold_when_direct_commands_arrive_once_more() {
    play_all(1_000..1_040, Deployment::with_late_copies());
}

/// The long run, started by hand: `cargo test --release --locked --test scheduler_rules -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn the_rules_hold_when_a_zone_is_cut_off_twice_in_many_days() {
    play_all(10_000..13_000, Deployment::with_partitions());
}

/// Guards against a broken team limit in the same partitions.
#[test]
fn a_team_limit_holds_when_a_zone_is_cut_off_twice() {
    play_all(
        900..930,
        Deployment { teams: Deployment::of_one_team(6.0).teams, ..Deployment::with_partitions() },
    );
}

#[test]
fn a_team_limit_holds_across_changes_of_leader() {
    play_all(100..130, Deployment::of_one_team(6.0));
}

#[test]
fn every_team_keeps_its_limit_while_jobs_are_cancelled_on_unreachable_machines() {
    play_all(200..240, Deployment::of_four_teams());
}

/// What is derived from critical services, from two zones or from GPUs must be nothing where there are none.
#[test]
fn one_zone_or_five_without_services_are_served_like_two_with_them() {
    play_all(400..415, Deployment::without_services(1));
    play_all(420..435, Deployment::without_services(5));
}

#[test]
fn machines_that_are_up_at_once_are_known_to_the_next_leader_though_writes_lag() {
    play_all(300..330, Deployment::of_quick_machines());
}
