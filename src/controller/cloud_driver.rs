//! Requests to the cloud, within its limits: rentals and deletions, the list of machines, the catalog of machine types.
//! The catalog's task belongs to the process; the others to one leadership, which aborts them when it ends.

use crate::cloud::{self, Cloud};
use crate::fencing_token::FencingToken;
use crate::http::Clock;
use crate::limits;
use crate::node_events::{Event, Types};
use crate::protocol::cloud::{Catalog, RentalRequest};
use crate::scheduler::{Command, ListedMachine, RequestOutcome};
use crate::settings::CloudLimits;
use crate::storage::key_value_store::{compare_version, write_change, CommitOutcome, KeyValueStore};
use crate::storage::keys;
use crate::time::AtomicTimestamp;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// How often a rental without an answer is repeated.
const MAX_RENTAL_RETRIES: usize = 2;
/// Bounds of the seconds between two machine lists.
const MIN_LIST_INTERVAL_S: f64 = 4.0;
const MAX_LIST_INTERVAL_S: f64 = 30.0;
/// Time between two attempts to read the catalog.
const CATALOG_RETRY_DELAY: Range<Duration> = Duration::from_millis(1_500)..Duration::from_secs(3);

/// Whether this node may still act as the leader. Checked right before a request is sent: a process may be paused for
/// half a minute anywhere, and be deposed meanwhile.
#[derive(Clone)]
pub(super) struct AuthorityGate {
    pub(super) clock: Clock,
    /// Updated by the controller after each batch of events.
    pub(super) until: Arc<AtomicTimestamp>,
}

impl AuthorityGate {
    pub(super) fn is_open(&self) -> bool {
        self.clock.now() < self.until.load()
    }
}

/// A change of the fleet.
pub(super) enum CloudRequest {
    /// Rents machines. `name` makes the request idempotent.
    Rent { request: u64, name: String, machine_type: String, zone: String, spot: bool, count: u32 },
    /// Deletes the machines of these names.
    Delete(Vec<String>),
}

/// Publishes the machine types: first from the state service, so that a node need not wait for the cloud, then from
/// the cloud, again and again.
pub(super) async fn keep_catalog(
    cloud: Cloud,
    store: KeyValueStore,
    types: watch::Sender<Types>,
    events: mpsc::Sender<Event>,
) {
    let stored = stored_catalog(&store).await;
    let mut is_stored = stored.is_some();
    if let Some(catalog) = &stored {
        // The controller ends only with the process.
        let _ = events.send(publish_types(catalog, &types)).await;
    }
    loop {
        let Some(catalog) = cloud.catalog().await else {
            tokio::time::sleep(rand::random_range(CATALOG_RETRY_DELAY)).await;
            continue;
        };
        if events.send(publish_types(&catalog, &types)).await.is_err() {
            return;
        }
        if !is_stored {
            is_stored = store_catalog(&store, &catalog).await;
        }
        tokio::time::sleep(limits::CATALOG_REFRESH_INTERVAL).await;
    }
}

/// The catalog that some node stored, if it can be read.
async fn stored_catalog(store: &KeyValueStore) -> Option<Catalog> {
    let stored = store.get(keys::MACHINE_TYPE_CATALOG, limits::STORE_TIMEOUT).await.ok()??;
    serde_json::from_value(stored.value).ok()
}

/// Stores the catalog if no node has; returns whether it is stored. A conflict means that another node stored it.
async fn store_catalog(store: &KeyValueStore, catalog: &Catalog) -> bool {
    let Ok(change) = write_change(keys::MACHINE_TYPE_CATALOG, catalog) else { return false };
    let absent = compare_version(keys::MACHINE_TYPE_CATALOG, 0);
    let outcome = store.commit(vec![absent], vec![change]).await;
    matches!(outcome, CommitOutcome::Committed { .. } | CommitOutcome::Conflict)
}

/// Publishes the machine types to this node's API; returns the event that publishes them to the controller.
fn publish_types(catalog: &Catalog, types: &watch::Sender<Types>) -> Event {
    let by_name = cloud::types(catalog)
        .into_iter()
        .map(|machine_type| (machine_type.name.clone(), machine_type))
        .collect();
    let known: Types = Arc::new(by_name);
    types.send_replace(known.clone());
    Event::Types(known)
}

/// Sends rentals and deletions within the cloud's limit of `rps` requests a second. Deletions go first: machines cost
/// money, and tasks are replaced only once their machine is proved to be deleted. Requests run side by side, so that
/// one without an answer does not delay the others.
pub(super) async fn drive_cloud(
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    mut queue: mpsc::UnboundedReceiver<CloudRequest>,
    token: FencingToken,
    rps: f64,
    gate: AuthorityGate,
) {
    // Half of the limit: lists and the other nodes' catalogs need some too.
    let pace = Duration::from_secs_f64(2.0 / rps.max(0.1));
    let mut waiting: VecDeque<CloudRequest> = VecDeque::new();
    // Aborted with this task, and so with the leadership.
    let mut in_flight = JoinSet::new();
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
        while in_flight.try_join_next().is_some() {}
        let next = waiting.iter().position(|request| matches!(request, CloudRequest::Delete(_))).unwrap_or(0);
        let Some(request) = waiting.remove(next) else { continue };
        let (cloud, events, gate) = (cloud.clone(), events.clone(), gate.clone());
        in_flight.spawn(async move {
            let command = send_request(cloud, request, pace, gate).await;
            // The controller ends only with the process.
            let _ = events.send(Event::Scheduler(token, command)).await;
        });
        tokio::time::sleep(pace).await;
    }
}

/// Sends one request and returns its outcome for the scheduler.
async fn send_request(cloud: Cloud, request: CloudRequest, pace: Duration, gate: AuthorityGate) -> Command {
    match request {
        // Not sent. If this node still leads, the scheduler repeats the request.
        CloudRequest::Delete(machines) if !gate.is_open() => {
            Command::Deleted { machines, outcome: RequestOutcome::Refused }
        }
        CloudRequest::Rent { request, .. } if !gate.is_open() => {
            Command::Rented { request, machines: None, outcome: RequestOutcome::Refused }
        }
        CloudRequest::Delete(machines) => {
            let outcome = cloud.delete(&machines).await;
            Command::Deleted { machines, outcome }
        }
        CloudRequest::Rent { request, name, machine_type, zone, spot, count } => {
            let rental =
                RentalRequest { request_id: &name, machine_type: &machine_type, zone: &zone, spot, count };
            let mut answer = cloud.rent(&rental).await;
            for _ in 0..MAX_RENTAL_RETRIES {
                if answer.0 == RequestOutcome::Unknown && gate.is_open() {
                    // A repeated name rents nothing twice.
                    tokio::time::sleep(pace * 2).await;
                    answer = cloud.rent(&rental).await;
                }
            }
            let (outcome, names) = answer;
            Command::Rented { request, machines: Some(names), outcome }
        }
    }
}

/// Reads the machine list again and again. The cloud's list lags, so a shorter interval would show nothing new.
pub(super) async fn list_machines(
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    token: FencingToken,
    allowed: CloudLimits,
) {
    let interval =
        Duration::from_secs_f64(allowed.list_lag_s.clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S));
    let pace = Duration::from_secs_f64(limits::MACHINE_LIST_INTERVAL_FACTOR / allowed.rps.max(0.1));
    loop {
        // With a partial list machines would seem missing.
        if let Some(machines) = complete_list(&cloud, pace).await {
            if events.send(Event::Scheduler(token, Command::MachinesListed(machines))).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// Reads every page of the list, one after the other; `None` after too many refusals. The list of 6,000 machines takes
/// twelve calls: all at once would exceed the limit of a cloud that allows two a second, and a list that is given up at
/// its first refusal is never complete.
async fn complete_list(cloud: &Cloud, pace: Duration) -> Option<Vec<ListedMachine>> {
    let mut machines: Vec<ListedMachine> = Vec::new();
    let mut refusals = 0;
    loop {
        let from = machines.last().map(|last| last.machine.name.clone()).unwrap_or_default();
        match cloud.page(&from).await {
            Some((page, more)) => {
                let is_last = !more || page.is_empty();
                machines.extend(page);
                if is_last {
                    return Some(machines);
                }
            }
            None if refusals < limits::MAX_LIST_REFUSALS => refusals += 1,
            None => return None,
        }
        tokio::time::sleep(pace).await;
    }
}
