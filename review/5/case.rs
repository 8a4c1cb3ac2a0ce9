//! Arrays of small tasks come several times as often. Does every answer to a worker keep to lines of 64 KiB, and are
//! the jobs done?

#[path = "../lib-2/world.rs"]
mod world;

use world::cloud::Type;
use world::{job, kupari, play, with_trouble, World};

fn main() {
    // The machine type of the protocol page.
    let g8 = Type { name: "g8", cores: 96.0, gpus: 8.0, memory_gb: 768.0 };
    play(kupari(), vec![g8], case)
}

fn case(world: &std::sync::Arc<World>) -> Result<bool, String> {
    world.prepare()?;
    // The record shows the first task of each job, and the size of every answer with commands.
    world.brief.store(true, std::sync::atomic::Ordering::Relaxed);
    world.cloud.set_capacity("oulu-halli", true, 1);
    world.cloud.set_capacity("oulu-halli", false, 1);
    world.start_nodes(&[0, 1, 2])?;
    let (team, all) = (world.settings.team, [0, 1, 2]);
    // Three times as many, as on most days of the site files.
    let jobs = if with_trouble() { 3 } else { 1 };
    let uids: Vec<String> = (0..jobs).map(|number| format!("job-{:06}", 101 + number)).collect();
    for uid in &uids {
        world.submit(&all, job(uid, team, obj![("loads", 430), ("cores", 0.07), ("gpus", 0.0), ("memory_gb", 0.5),
            ("quay", "oulu-halli"), ("passage_s", 20.0), ("logbook_s", 0.0), ("stow_s", 0.0)]))?;
    }
    let done = |uid: &String| world.poll(&all, uid).get("status").text() == "done";
    let all_done = world.wait_for("every job is done", 85.0, || uids.iter().all(done)).is_ok();
    for uid in &uids {
        world.note(&format!("case: {}", world.poll(&all, uid)));
    }
    let (report, answer) = *world.longest.lock().unwrap();
    world.note(&format!("case: longest report {report} bytes, longest answer to one {answer} bytes"));
    // The controllers' own part: the line that they sent. What the worker then reports is too long for a request.
    Ok(!all_done && answer > 64 * 1024)
}
