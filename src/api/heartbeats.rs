//! What workers send: heartbeats, answered by the controller's event loop.

use super::refusal::{json, Refusal};
use super::{read_body, Api};
use crate::limits;
use crate::node_events::{Event, HeartbeatReply};
use crate::protocol;
use crate::protocol::workers::{HeartbeatRequest, Redirect};
use poem::http::StatusCode;
use poem::{Body, Response};
use tokio::sync::oneshot;
use tracing::warn;

impl Api {
    /// Hands a worker's heartbeat to the event loop and waits for its reply.
    pub(super) async fn heartbeat(&self, body: Body) -> Result<Response, Refusal> {
        let bytes = read_body(body).await?;
        let heartbeat_request: HeartbeatRequest = protocol::parse(&bytes).map_err(|why| {
            warn!(why, "malformed heartbeat");
            Refusal::Malformed(why)
        })?;
        let (to, answer) = oneshot::channel();
        self.events
            .try_send(Event::Heartbeat(heartbeat_request, to))
            .map_err(|_| Refusal::Later("too many events at once".into()))?;
        match tokio::time::timeout(limits::HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
            Ok(Ok(HeartbeatReply::Accepted(answer))) => Ok(json(StatusCode::OK, &answer)),
            Ok(Ok(HeartbeatReply::Malformed)) => Err(Refusal::Malformed("loads: unreadable task".into())),
            Ok(Ok(HeartbeatReply::Redirected(leader))) => {
                Ok(json(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader }))
            }
            _ => Err(Refusal::Later("not entitled to act now".into())),
        }
    }
}
