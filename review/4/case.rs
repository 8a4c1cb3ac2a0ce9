//! A zone is cut off with the leader in it. A user cancels a waiting job through the controller outside, and is told
//! that it is cancelled. Does the leader in the cut zone start it afterwards?

#[path = "../lib-2/world.rs"]
mod world;

use std::time::Instant;
use world::{job, kupari, play, vasara, with_trouble, Settings, World};

const ZONE: &str = "oulu-halli";

fn main() {
    // Workers' times and limits of kupari-oulu-fleet, whose page names the trouble.
    let fleet = Settings {
        report_s: 3.0,
        lease_s: 17.5,
        cancel_s: 47.5,
        state: [600.0, 150.0, 8.0, 12.0],
        cloud: [4.0, 8.0],
        resources: (0.144, 188.0, 2831),
        ..kupari()
    };
    play(fleet, vec![vasara()], case)
}

fn case(world: &std::sync::Arc<World>) -> Result<bool, String> {
    world.prepare()?;
    // One machine with two places, in the zone that will be cut off.
    world.cloud.set_capacity(ZONE, true, 1);
    // The two controllers of that zone come up first, so that one of them leads.
    world.start_nodes(&[0, 2])?;
    world.start_node(1)?;
    let team = world.settings.team;
    let all = [0, 1, 2];
    // Two tasks fill the machine; the second job waits for their places.
    let here = obj![("quay", ZONE), ("loads", 2), ("passage_s", 22.0)];
    world.submit(&all, job("job-000101", team, here.clone()))?;
    world.wait_for("the first job runs", 30.0, || world.machines_of("job-000101").len() == 2)?;
    world.submit(&all, job("job-000102", team, here))?;
    // Controllers that have just started confirm no cancellation for some seconds.
    world.sleep(12.0);
    if world.leader().is_none_or(|leader| leader == 1) {
        return Err("the leader is in the other zone".to_string());
    }
    if with_trouble() {
        world.cut_zone(ZONE, true);
    }
    world.sleep(1.0);
    // Users reach the controller outside only.
    let (status, state) = world.insist(&[1], "POST", "/submissions/job-000102/withdraw", "")?;
    let confirmed = Instant::now();
    if (status, state.get("status").text()) != (200, "aborted") {
        return Err("the cancellation was not confirmed".to_string());
    }
    world.sleep(30.0);
    // A command in the answer to a report that was sent after the confirmation was not in flight then.
    let late: Vec<_> = world.events().into_iter()
        .filter(|event| event.what == "run" && event.load.starts_with("job-000102/") && event.asked_at > confirmed)
        .collect();
    for event in &late {
        let after = (event.asked_at - confirmed).as_secs_f64();
        world.note(&format!("case: {} started on {}, asked for {after:.1} s after its job was confirmed as cancelled", event.load, event.machine));
    }
    Ok(!late.is_empty())
}
