//! Workers of which it is known which tasks end: at once, or not before they are stopped.

use crate::standins::CloudState;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two reports of a worker.
const REPORT: Duration = Duration::from_millis(50);

/// A worker for every machine that the cloud has rented out, and what they began to run: task and machine.
#[derive(Clone)]
pub struct Workers {
    cloud: Arc<Mutex<CloudState>>,
    controller: SocketAddr,
    client: reqwest::Client,
    pub begun: Arc<Mutex<Vec<(String, String)>>>,
}

/// A task on a machine: its launch, and why it ended.
type Tasks = BTreeMap<String, (Value, Option<&'static str>)>;

/// Tasks of jobs up to number 900 end at once, and the first one of each other array; services never.
fn ends_at_once(task: &str) -> bool {
    task < "job-000900" || task == "job-000902/0"
}

impl Workers {
    /// They work until the test ends.
    pub fn start(cloud: Arc<Mutex<CloudState>>, controller: SocketAddr) -> Self {
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let workers = Workers { cloud, controller, client, begun: Arc::default() };
        tokio::spawn(workers.clone().watch_machines());
        workers
    }

    /// The machine on which a task began.
    pub fn machine_of(&self, task: &str) -> Option<String> {
        let begun = self.begun.lock().unwrap();
        begun.iter().find(|(begun, _)| begun == task).map(|(_, machine)| machine.clone())
    }

    async fn watch_machines(self) {
        let mut known = BTreeSet::new();
        loop {
            let machines = self.cloud.lock().unwrap().machines.clone();
            for (name, machine) in machines {
                if known.insert(name.clone()) {
                    tokio::spawn(self.clone().work(name, machine));
                }
            }
            tokio::time::sleep(REPORT).await;
        }
    }

    async fn work(self, name: String, machine: Value) {
        let (mut tasks, mut helm) = (Tasks::new(), json!(0));
        for tally in 1u64.. {
            if !self.cloud.lock().unwrap().machines.contains_key(&name) {
                return;
            }
            let report = json!({"vessel": name, "address": "127.0.0.1:9", "hull": machine["hull"],
                "quay": machine["quay"], "driftwood": machine["driftwood"], "watch": 1, "tally": tally,
                "helm": helm, "recall_s": null, "loads": loads(&tasks)});
            if let Some(answer) = self.report(&report).await {
                helm = answer["helm"].clone();
                for signal in answer["signals"].as_array().unwrap() {
                    self.obey(&name, &mut tasks, signal);
                }
            }
            tokio::time::sleep(REPORT).await;
        }
    }

    async fn report(&self, report: &Value) -> Option<Value> {
        let request = self.client.post(format!("http://{}/checkin", self.controller));
        let answer = request.body(report.to_string()).timeout(Duration::from_secs(4)).send().await.ok()?;
        let accepted = answer.status() == 200;
        let body = answer.bytes().await.ok().filter(|_| accepted)?;
        serde_json::from_slice(&body).ok()
    }

    fn obey(&self, machine: &str, tasks: &mut Tasks, signal: &Value) {
        let task = signal["load"].as_str().unwrap().to_string();
        match signal["signal"].as_str().unwrap() {
            "run" if !tasks.contains_key(&task) => {
                self.begun.lock().unwrap().push((task.clone(), machine.to_string()));
                let end = ends_at_once(&task).then_some("done");
                tasks.insert(task, (signal["launch"].clone(), end));
            }
            "stop" => {
                if let Some((_, end)) = tasks.get_mut(&task) {
                    end.get_or_insert("halted");
                }
            }
            "reap" => drop(tasks.remove(&task)),
            _ => {}
        }
    }
}

fn loads(tasks: &Tasks) -> Vec<Value> {
    let load = |(task, (launch, end)): (&String, &(Value, Option<&str>))| {
        let status = if end.is_some() { "exited" } else { "running" };
        json!({"load": task, "launch": launch, "status": status, "cause": end})
    };
    tasks.iter().map(load).collect()
}
