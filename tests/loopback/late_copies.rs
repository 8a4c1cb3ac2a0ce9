//! Late copies of frames between controllers, start commands among them, while controllers are killed and are back at
//! once. No worker may get a start twice, since after a `reap` it would carry it out once more.

use crate::draining::{running, wait_until};
use crate::standins::{copying_link, CloudState, Seen};
use crate::{free_addresses, on_runtime, standins, start_with_links, submission, Node, User};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// PROTOCOL: a worker drops a response that takes longer. A start may be on its way for so long when the cancellation
/// of its job is confirmed.
const RESPONSE_LIMIT: Duration = Duration::from_secs(4);

/// Every node is restarted at least twice, and some starts must have been copied.
const MIN_ROUNDS: u64 = 8;
const MAX_ROUNDS: u64 = 40;
const MIN_COPIED_STARTS: usize = 10;

/// `links[i][j]`: where controller `i` reaches controller `j`, by way of a link that copies frames.
async fn copying_links(peers: &[SocketAddr], copied_starts: &Arc<AtomicUsize>) -> Vec<Vec<SocketAddr>> {
    let mut links = Vec::new();
    for _ in peers {
        let mut from = Vec::new();
        for peer in peers {
            from.push(copying_link(*peer, copied_starts.clone()).await);
        }
        links.push(from);
    }
    links
}

/// No task is on two machines at once, and none is started twice under one attempt.
fn check_starts(seen: &[Seen]) {
    let mut on: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut started = BTreeSet::new();
    for event in seen {
        let machines = on.entry(&event.task).or_default();
        if !event.begins {
            machines.remove(event.machine.as_str());
            continue;
        }
        assert!(machines.is_empty(), "{} starts on {} while on {machines:?}", event.task, event.machine);
        machines.insert(&event.machine);
        let is_first = started.insert((&event.machine, &event.task, event.launch));
        assert!(is_first, "{} is started twice on {}, attempt {}", event.task, event.machine, event.launch);
    }
}

/// Tasks that began on more than one machine.
fn moved_tasks(seen: &[Seen]) -> usize {
    let mut machines: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for event in seen.iter().filter(|event| event.begins) {
        machines.entry(&event.task).or_default().insert(&event.machine);
    }
    machines.values().filter(|machines| machines.len() > 1).count()
}

/// A machine that runs a task of this job.
fn machine_of(cloud: &CloudState, job: &str) -> Option<String> {
    let on = running(&cloud.seen);
    let (_, machines) = on.iter().find(|(task, on)| task.starts_with(job) && !on.is_empty())?;
    machines.first().map(|machine| machine.to_string())
}

/// Guards against a late copy of a start that was carried out and answered before: its task ran once more.
#[test]
fn a_late_copy_of_a_start_starts_no_task_again() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let direct_commands_at = standins::direct_commands(cloud.clone()).await;
        cloud.lock().unwrap().direct_commands_at = Some(direct_commands_at);
        let (copied_starts, addresses) = (Arc::new(AtomicUsize::new(0)), free_addresses::<6>());
        let links = copying_links(&addresses[3..], &copied_starts).await;
        let (mut nodes, public) =
            start_with_links("copies", state_at, cloud_at, &["a"], None, &addresses, &links);
        tokio::spawn(standins::roaming_workers(cloud.clone(), public.clone()));
        let user = User::new(public);
        let submit = |id: String, rig: &'static str, precedence: &'static str, tasks: u32| {
            let user = &user;
            async move {
                let mut body = submission(&id, rig, tasks);
                body["precedence"] = json!(precedence);
                // 200: repeated, since the first answer was lost.
                let (status, _) = user.insist("POST", "/submissions", &body.to_string()).await;
                assert!([200, 201].contains(&status), "{id}: {status}");
            }
        };
        // Tasks that run until they are stopped, and are: by jobs that come before them.
        submit("job-000900".into(), "sweep", "best_effort", 3).await;
        user.wait_for("job-000900", "running").await;
        let mut cancelled: Vec<(String, Instant)> = Vec::new();
        for round in 0..MAX_ROUNDS {
            if round >= MIN_ROUNDS && copied_starts.load(Ordering::Relaxed) >= MIN_COPIED_STARTS {
                break;
            }
            let (short, long) = (format!("job-{:06}", 100 + round), format!("job-{:06}", 910 + round));
            submit(short.clone(), "sweep", "high", 4).await;
            user.wait_for(&short, "done").await;
            submit(long.clone(), "sweep", "high", 2).await;
            tokio::time::sleep(Duration::from_millis(200 * (round % 4))).await;
            let (status, answer) = user.insist("POST", &format!("/submissions/{long}/withdraw"), "").await;
            assert_eq!((status, &answer["status"]), (200, &json!("aborted")), "{long}");
            cancelled.push((long, Instant::now()));
            if round == 1 {
                // The machine ends by itself, and its task moves.
                wait_until(&cloud, "a task runs", |cloud| machine_of(cloud, "job-000900/").is_some()).await;
                let mut cloud = cloud.lock().unwrap();
                let machine = machine_of(&cloud, "job-000900/").unwrap();
                cloud.machines.remove(&machine);
            }
            // Every node in turn, the leader among them, and in one round all of them.
            match round as usize {
                4 => nodes.iter_mut().for_each(Node::restart),
                round => nodes[round % 3].restart(),
            }
        }
        wait_until(&cloud, "a task moves", |cloud| moved_tasks(&cloud.seen) > 0).await;
        let (_, answer) = user.insist("POST", "/submissions/job-000900/withdraw", "").await;
        assert_eq!(answer["status"], "aborted");
        // The last copies.
        tokio::time::sleep(Duration::from_secs(7)).await;

        let cloud = cloud.lock().unwrap();
        check_starts(&cloud.seen);
        for (job_id, confirmed_at) in &cancelled {
            let late = cloud.seen.iter().find(|event| {
                let is_of_job = event.task.starts_with(&format!("{job_id}/"));
                event.begins && is_of_job && event.at > *confirmed_at + RESPONSE_LIMIT
            });
            assert!(late.is_none(), "starts after its cancellation: {late:?}");
        }
        let is_start = |body: &serde_json::Value| body.to_string().contains("\"run\"");
        assert!(!cloud.direct_commands.iter().any(is_start), "{:?}", cloud.direct_commands);
        assert!(!cloud.direct_commands.is_empty(), "no direct command arrived");
        assert!(
            copied_starts.load(Ordering::Relaxed) >= MIN_COPIED_STARTS,
            "{copied_starts:?} starts copied"
        );
    });
}
