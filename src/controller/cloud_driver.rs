//! Drives the cloud: rentals and deletions within its limit, the list of machines, the catalog of machine types.

use crate::cloud::{self, Cloud};
use crate::http::Clock;
use crate::limits;
use crate::node_events::{Event, Types};
use crate::protocol::cloud::{Catalog, RentalRequest};
use crate::scheduler::{Command, ListedMachine, WriteOutcome};
use crate::settings::CloudLimits;
use crate::storage::key_value_store::{compare_version, write_change, CommitOutcome, KeyValueStore};
use crate::storage::keys;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Asked right before bytes leave: a process may stand still for half a minute anywhere, and what it had in
/// hand then is a deposed leader's.
#[derive(Clone)]
pub(super) struct Gate {
    pub(super) clock: Clock,
    pub(super) until: Arc<AtomicU64>,
}

impl Gate {
    pub(super) fn open(&self) -> bool {
        self.clock.now() < self.until.load(Ordering::Relaxed)
    }
}

pub(super) enum CloudRequest {
    Rent { request: u64, name: String, machine_type: String, zone: String, spot: bool, count: u32 },
    Delete(Vec<String>),
}

/// Keeps the machine types known: from the state service at first, so that a node need not wait for
/// the cloud, then from the cloud.
pub(super) async fn keep_catalog(
    cloud: Cloud,
    store: KeyValueStore,
    types: watch::Sender<Types>,
    events: mpsc::Sender<Event>,
) {
    let publish = |catalog: &Catalog| {
        let by_name = cloud::types(catalog).into_iter().map(|t| (t.name.clone(), t)).collect();
        let known: Types = Arc::new(by_name);
        types.send_replace(known.clone());
        Event::Types(known)
    };
    let stored = store.get(keys::MACHINE_TYPE_CATALOG, limits::STORE_TIMEOUT).await;
    let mut kept = false;
    if let Ok(Some((value, _))) = &stored {
        if let Ok(catalog) = serde_json::from_value(value.clone()) {
            kept = true;
            let _ = events.send(publish(&catalog)).await;
        }
    }
    loop {
        let Some(catalog) = cloud.catalog().await else {
            let pause = rand::random_range(1_500..3_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            continue;
        };
        if events.send(publish(&catalog)).await.is_err() {
            return;
        }
        if !kept {
            // Whoever comes first; losing the race changes nothing.
            if let Ok(change) = write_change(keys::MACHINE_TYPE_CATALOG, &catalog) {
                let outcome =
                    store.commit(vec![compare_version(keys::MACHINE_TYPE_CATALOG, 0)], vec![change]).await;
                kept = matches!(outcome, CommitOutcome::Committed { .. } | CommitOutcome::Conflict);
            }
        }
        tokio::time::sleep(limits::CATALOG_REFRESH_INTERVAL).await;
    }
}

/// Sends rentals and deletions within the cloud's limit; deletions first, since machines cost money and tasks
/// wait for the proof that they are gone. None waits for the answer to another: one that hangs must hold
/// nothing up.
pub(super) async fn drive_cloud(
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<CloudRequest>,
    token: u64,
    rps: f64,
    gate: Gate,
) {
    // Half of the limit: lists and the other nodes' catalogs need some too.
    let pace = Duration::from_secs_f64(2.0 / rps.max(0.1));
    let mut waiting: VecDeque<CloudRequest> = VecDeque::new();
    // Ended with this task, and so with the leadership.
    let mut under_way = JoinSet::new();
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(request) => waiting.push_back(request),
                None => return,
            }
        }
        while let Ok(request) = queue.try_recv() {
            waiting.push_back(request);
        }
        while under_way.try_join_next().is_some() {}
        let at = waiting.iter().position(|r| matches!(r, CloudRequest::Delete(_))).unwrap_or(0);
        let Some(request) = waiting.remove(at) else { continue };
        let (cloud, events, gate) = (cloud.clone(), events.clone(), gate.clone());
        under_way.spawn(async move {
            let command = ask_cloud(cloud, request, pace, gate).await;
            let _ = events.send(Event::Scheduler(token, command)).await;
        });
        tokio::time::sleep(pace).await;
    }
}

async fn ask_cloud(cloud: Cloud, request: CloudRequest, pace: Duration, gate: Gate) -> Command {
    match request {
        // Not sent: if this node leads still, it will ask again.
        CloudRequest::Delete(machines) if !gate.open() => {
            Command::Deleted { machines, outcome: WriteOutcome::Refused }
        }
        CloudRequest::Rent { request, .. } if !gate.open() => {
            Command::Rented { request, machines: None, outcome: WriteOutcome::Refused }
        }
        CloudRequest::Delete(machines) => {
            let outcome = cloud.delete(&machines).await;
            Command::Deleted { machines, outcome }
        }
        CloudRequest::Rent { request, name, machine_type, zone, spot, count } => {
            let rental =
                RentalRequest { request_id: &name, machine_type: &machine_type, zone: &zone, spot, count };
            let mut answer = cloud.rent(&rental).await;
            for _ in 0..2 {
                if answer.0 == WriteOutcome::Unknown && gate.open() {
                    // The same name again rents nothing twice.
                    tokio::time::sleep(pace * 2).await;
                    answer = cloud.rent(&rental).await;
                }
            }
            let (outcome, names) = answer;
            Command::Rented { request, machines: Some(names), outcome }
        }
    }
}

/// Reads the machine list again and again; it lags, so there is no point in hurrying.
pub(super) async fn list_machines(
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    token: u64,
    allowed: CloudLimits,
) {
    let every = Duration::from_secs_f64(allowed.list_lag_s.clamp(4.0, 30.0));
    let pace = Duration::from_secs_f64(limits::MACHINE_LIST_PACE / allowed.rps.max(0.1));
    loop {
        // Half a list would make machines seem missing.
        if let Some(all) = whole_list(&cloud, pace).await {
            if events.send(Event::Scheduler(token, Command::Listed(all))).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(every).await;
    }
}

/// Every page of the list, one after the other. The list of 6,000 machines is twelve calls: all at once they would
/// pass the limit of a cloud that allows two a second, and a list given up at its first refusal is never whole.
async fn whole_list(cloud: &Cloud, pace: Duration) -> Option<Vec<ListedMachine>> {
    let mut all: Vec<ListedMachine> = Vec::new();
    let mut refusals = 0;
    loop {
        let from = all.last().map(|m| m.machine.name.clone()).unwrap_or_default();
        match cloud.page(&from).await {
            Some((page, more)) => {
                let ended = !more || page.is_empty();
                all.extend(page);
                if ended {
                    return Some(all);
                }
            }
            None if refusals < limits::MAX_LIST_REFUSALS => refusals += 1,
            None => return None,
        }
        tokio::time::sleep(pace).await;
    }
}
