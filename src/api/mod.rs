//! The HTTP endpoints of users, workers and operators. No decisions here: users' requests are decided by transactions on
//! the key-value store, heartbeats by the controller's event loop.
//!
//! `submissions` is what users ask, `heartbeats` what workers send, `operations` what operators ask;
//! `final_states` remembers jobs that have ended; `refusal` is every error with its status and text.

mod final_states;
mod heartbeats;
mod operations;
mod refusal;
mod routes;
mod submissions;

pub(crate) use refusal::{json, Refusal};
pub use routes::routes;

use crate::limits;
use crate::node_events::{Event, Health, Summary, Types};
use crate::settings::{Draining, Team};
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::live_job_cache::LiveJobCache;
use final_states::FinalStateCache;
use poem::Body;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch, Semaphore, SemaphorePermit};

/// What the settings say that requests are checked against.
pub struct ApiSettings {
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The zones.
    pub zones: Vec<String>,
    /// Whether drains are taken, and the teams' budgets.
    pub draining: Draining,
}

/// The HTTP endpoints of a node and what they share.
pub struct Api {
    /// Client of the key-value store.
    pub store: KeyValueStore,
    live: LiveJobCache,
    /// What requests are checked against.
    pub settings: ApiSettings,
    /// The machine types last read.
    pub types: watch::Receiver<Types>,
    /// The counts of tasks last received from the leader.
    pub summary: watch::Receiver<Summary>,
    /// Queue of the controller's event loop. It is bounded: when it is full, requests are refused with `Retry-After`.
    pub events: mpsc::Sender<Event>,
    /// Written by the event loop, read by every request.
    pub health: Arc<Health>,
    /// Turns of submissions and cancellations, and of polls.
    changes: Semaphore,
    polls: Semaphore,
    final_states: Mutex<FinalStateCache>,
}

async fn read_body(body: Body) -> Result<Vec<u8>, Refusal> {
    body.into_bytes_limit(limits::MAX_BODY_BYTES)
        .await
        .map(Into::into)
        .map_err(|e| Refusal::Malformed(format!("body: {e}")))
}

impl Api {
    /// Endpoints for one node; `capacity` bounds the requests that are served at once.
    pub fn new(
        store: KeyValueStore,
        settings: ApiSettings,
        types: watch::Receiver<Types>,
        summary: watch::Receiver<Summary>,
        events: mpsc::Sender<Event>,
        health: Arc<Health>,
        room: limits::Capacity,
    ) -> Self {
        Api {
            live: LiveJobCache::start(store.clone(), room.polls + room.changes, events.clone()),
            store,
            settings,
            types,
            summary,
            events,
            health,
            changes: Semaphore::new(room.changes),
            polls: Semaphore::new(room.polls),
            final_states: Mutex::new(FinalStateCache::new(room.over)),
        }
    }

    /// A user's turn, which is not waited for. A node that is cut off from the state service sends its
    /// users elsewhere at once instead of letting them wait for it.
    fn admit<'a>(&self, turns: &'a Semaphore) -> Result<SemaphorePermit<'a>, Refusal> {
        if self.health.cut_off.load(Ordering::Relaxed) {
            return Err(Refusal::Later("this node is cut off from the state service".into()));
        }
        turns.try_acquire().map_err(|_| Refusal::Later("too many requests at once".into()))
    }

    /// A turn among those that change something.
    pub(crate) fn admit_change(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        self.admit(&self.changes)
    }

    /// A request to the state service for one user alone, within the node's share of its limit.
    pub(crate) fn may_ask(&self, writes: u32) -> Result<(), Refusal> {
        let busy = || Refusal::Later("too many requests to the state service".into());
        self.store.try_acquire_user_budget(writes).then_some(()).ok_or_else(busy)
    }
}
