//! The HTTP endpoints of users, workers and operators. No decisions here: users' requests are decided by transactions on
//! the key-value store, heartbeats by the controller's event loop.
//!
//! `submissions` serves users, `heartbeats` workers, `operations` operators and the load balancer; `final_states` caches
//! the states of jobs that have ended; `refusal` is every error with its status and text; `routes` maps paths to these.

mod final_states;
mod heartbeats;
mod operations;
mod refusal;
mod routes;
mod submissions;

pub(crate) use refusal::{json, Conflict, Malformed, NotFound, Refusal, Unavailable};
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
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Semaphore, SemaphorePermit};

/// The settings that requests are checked against.
pub struct ApiSettings {
    /// The teams with their quotas.
    pub teams: Vec<Team>,
    /// The zones.
    pub zones: Vec<String>,
    /// Whether drains are accepted, and the teams' budgets.
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
    /// Each job's finished and running tasks, as last received from the leader.
    pub summary: watch::Receiver<Summary>,
    /// Queue of the controller's event loop. It is bounded: when it is full, requests are refused with `Retry-After`.
    pub events: mpsc::Sender<Event>,
    /// Written by the event loop, read by every request.
    pub health: Arc<Health>,
    /// Bounds the submissions, cancellations and changes of drains that are served at once.
    changes: Semaphore,
    /// Bounds the polls that are served at once.
    polls: Semaphore,
    final_states: Mutex<FinalStateCache>,
}

async fn read_body(body: Body) -> Result<Vec<u8>, Malformed> {
    Ok(body.into_bytes_limit(limits::MAX_BODY_BYTES).await?.into())
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
        capacity: limits::Capacity,
    ) -> Self {
        Api {
            live: LiveJobCache::start(
                store.clone(),
                capacity.concurrent_polls + capacity.concurrent_changes,
                events.clone(),
            ),
            store,
            settings,
            types,
            summary,
            events,
            health,
            changes: Semaphore::new(capacity.concurrent_changes),
            polls: Semaphore::new(capacity.concurrent_polls),
            final_states: Mutex::new(FinalStateCache::new(capacity.final_states)),
        }
    }

    /// A permit for one request of a user, refused at once where none is free. A node that is cut off from the state
    /// service refuses too, so that its users go to another node instead of waiting for this one.
    fn admit<'a>(&self, permits: &'a Semaphore) -> Result<SemaphorePermit<'a>, Unavailable> {
        if self.health.cut_off.load(Ordering::Relaxed) {
            return Err(Unavailable::CutOff);
        }
        permits.try_acquire().map_err(|_| Unavailable::TooManyRequests)
    }

    /// A permit for a request that changes something.
    pub(crate) fn admit_change(&self) -> Result<SemaphorePermit<'_>, Unavailable> {
        self.admit(&self.changes)
    }

    /// Takes one request to the state service, with so many writes, from the node's share of its limits.
    pub(crate) fn spend_store_budget(&self, writes: u32) -> Result<(), Unavailable> {
        match self.store.try_acquire_user_budget(writes) {
            true => Ok(()),
            false => Err(Unavailable::StoreBudgetSpent),
        }
    }

    /// Puts an event into the controller's queue and waits for the reply; `None`: none came within `timeout`, or the
    /// controller dropped the request.
    async fn ask<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> Event,
        timeout: Duration,
    ) -> Result<Option<T>, Unavailable> {
        let (reply_to, reply) = oneshot::channel();
        self.events.try_send(event(reply_to)).map_err(|_| Unavailable::TooManyEvents)?;
        match tokio::time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => Ok(Some(reply)),
            Ok(Err(_)) | Err(_) => Ok(None),
        }
    }
}
