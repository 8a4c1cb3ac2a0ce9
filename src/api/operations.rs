//! Overview, cold start and health, for operators and the load balancer. Drains are in `drains::endpoint`.

use super::refusal::{json, NotFound, Refusal, Unavailable};
use super::Api;
use crate::limits;
use crate::node_events::Event;
use crate::scheduler::overview::PageStart;
use crate::storage::keys;
use poem::http::StatusCode;
use poem::Response;
use std::sync::atomic::Ordering;

impl Api {
    /// The report of the last cold start, as the leader stored it.
    ///
    /// # Errors
    /// There is none, or the state service can't be asked now.
    pub(super) async fn cold_start(&self) -> Result<Response, Refusal> {
        self.spend_store_budget(0)?;
        match self.store.get(keys::COLD_START_REPORT, limits::STORE_TIMEOUT).await? {
            Some(report) => Ok(json(StatusCode::OK, &report.value)),
            None => Err(NotFound::ColdStartReport.into()),
        }
    }

    /// Who leads; on the leader also a page of the queue with the reason each job waits, the machines and recent
    /// decisions.
    ///
    /// # Errors
    /// The event loop did not reply in time.
    pub(super) async fn overview(&self, start: PageStart) -> Result<Response, Refusal> {
        let view = self.ask(|reply_to| Event::Overview(start, reply_to), limits::HEARTBEAT_RESPONSE_TIMEOUT);
        let view = view.await?.ok_or(Unavailable::TooManyEvents)?;
        let text = serde_json::to_string_pretty(&view).map_err(|_| Unavailable::TooManyEvents)?;
        Ok(Response::builder().content_type("application/json").body(text))
    }

    /// Whether this node takes requests, for the load balancer.
    ///
    /// # Errors
    /// It does not.
    pub(super) fn health(&self) -> Result<Response, Refusal> {
        if self.health.healthy.load(Ordering::Relaxed) {
            Ok(json(StatusCode::OK, &serde_json::json!({ "status": "ok" })))
        } else {
            Err(Unavailable::NotHealthy.into())
        }
    }
}
