//! What operators and the load balancer ask: overview, cold start, health. Drains are in `drains::endpoint`.

use super::refusal::{json, Refusal};
use super::Api;
use crate::limits;
use crate::node_events::Event;
use crate::scheduler::overview::PageStart;
use crate::storage::keys;
use poem::http::StatusCode;
use poem::Response;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

impl Api {
    /// The report of the last cold start, as the leader stored it.
    pub(super) async fn cold_start(&self) -> Result<Response, Refusal> {
        self.may_ask(0)?;
        match self.store.get(keys::COLD_START_REPORT, limits::STORE_TIMEOUT).await? {
            Some((report, _)) => Ok(json(StatusCode::OK, &report)),
            None => Err(Refusal::NotFound("no cold start has been reported".into())),
        }
    }

    /// Who leads; of the leader also the queue with the reason each job waits, the machines and recent decisions.
    pub(super) async fn overview(&self, start: PageStart) -> Result<Response, Refusal> {
        let busy = || Refusal::Later("too many events at once".into());
        let (to, view) = oneshot::channel();
        self.events.try_send(Event::Overview(start, to)).map_err(|_| busy())?;
        let Ok(Ok(view)) = tokio::time::timeout(limits::HEARTBEAT_RESPONSE_TIMEOUT, view).await else {
            return Err(busy());
        };
        let text = serde_json::to_string_pretty(&view).map_err(|_| busy())?;
        Ok(Response::builder().content_type("application/json").body(text))
    }

    /// Whether this node takes requests, for the load balancer.
    pub(super) fn health(&self) -> Result<Response, Refusal> {
        if self.health.healthy.load(Ordering::Relaxed) {
            Ok(json(StatusCode::OK, &serde_json::json!({ "status": "ok" })))
        } else {
            Err(Refusal::Later("cannot take requests now".into()))
        }
    }
}
