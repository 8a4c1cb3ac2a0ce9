//! Every controller is killed under fifty workers and started again; orders are counted on the workers.

use crate::draining::{ask, job, running, wait_until};
use crate::{on_runtime, standins, start_in_zones, Node, User};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const OPERATOR: &str =
    "((cold-start 1) (cold-start-pace 20) (reserve-services 0) (idle-s 600) (idle-spot-s 600))";
const TASKS: usize = 50;
const DEAD: usize = 5;

#[test]
fn fifty_workers_are_reconciled_and_only_what_is_missing_is_ordered_once() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        {
            let mut cloud = cloud.lock().unwrap();
            (cloud.zones, cloud.capacity, cloud.at_once) = (vec!["a".into(), "b".into()], 70, 50);
        }
        let (mut nodes, public) =
            start_in_zones("cold-start", state_at, cloud_at, &["a", "b"], Some(OPERATOR)).await;
        tokio::spawn(standins::workers(cloud.clone(), public.clone()));
        let user = User::new(public.clone());
        // Every task takes a machine, and runs until it is stopped.
        for number in 900..908 {
            let body = job(&format!("job-{number:06}"), "service", 4).to_string();
            assert_eq!(user.insist("POST", "/submissions", &body).await.0, 201);
        }
        for (id, rig, tasks) in [("job-000950", "sweep", 12), ("job-000960", "gang", 6)] {
            assert_eq!(user.insist("POST", "/submissions", &job(id, rig, tasks).to_string()).await.0, 201);
        }
        wait_until(&cloud, "everything runs", |cloud| running(&cloud.seen).len() == TASKS).await;
        tokio::time::sleep(Duration::from_secs(3)).await;

        nodes.iter_mut().for_each(Node::kill);
        // Some workers die while nobody leads; not the gang's, which would end as a whole.
        let lost: BTreeSet<String> = {
            let mut cloud = cloud.lock().unwrap();
            let on = running(&cloud.seen);
            let others = on.iter().filter(|(task, _)| !task.starts_with("job-000960"));
            let chosen: Vec<(String, String)> = others
                .step_by(9)
                .take(DEAD)
                .map(|(task, machines)| (task.to_string(), machines.first().unwrap().to_string()))
                .collect();
            chosen.iter().for_each(|(_, machine)| drop(cloud.machines.remove(machine)));
            chosen.into_iter().map(|(task, _)| task).collect()
        };
        assert_eq!(lost.len(), DEAD);
        tokio::time::sleep(Duration::from_secs(3)).await;
        let seen_before = cloud.lock().unwrap().seen.len();
        nodes.iter_mut().for_each(Node::restart);

        let started_at = Instant::now();
        let reported = loop {
            let (code, text, complaint) = ask(&public, &["cold-start", "--json"]).await;
            assert!(code == 0 || code == 3 || code == 4, "{complaint}");
            let reported: Value = serde_json::from_str(&text).unwrap_or_default();
            if reported["phase"] == "ended" && reported["machines"]["heard"].as_u64() >= Some(40) {
                break reported;
            }
            assert!(started_at.elapsed() < Duration::from_secs(90), "{text}{complaint}");
            tokio::time::sleep(Duration::from_millis(500)).await;
        };
        wait_until(&cloud, "everything runs again", |cloud| running(&cloud.seen).len() == TASKS).await;
        let cloud = cloud.lock().unwrap();
        let mut starts: BTreeMap<&str, usize> = BTreeMap::new();
        for seen in cloud.seen[seen_before..].iter().filter(|seen| seen.begins) {
            *starts.entry(&seen.task).or_default() += 1;
        }
        let expected: BTreeMap<&str, usize> = lost.iter().map(|task| (task.as_str(), 1)).collect();
        assert_eq!(starts, expected, "{reported}");
        assert_eq!(reported["verdicts"]["missing"], DEAD as u64, "{reported}");
        assert_eq!(reported["verdicts"]["running"], (TASKS - DEAD) as u64, "{reported}");
        assert_eq!(
            (&reported["orders"], &reported["not_ordered"]),
            (&Value::from(DEAD), &Value::from(0)),
            "{reported}"
        );
        assert_eq!(reported["machines"]["unheard"], 0, "{reported}");
    });
}
