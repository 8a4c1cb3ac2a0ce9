//! Workers' heartbeats, answered by the controller's event loop.

use super::refusal::{json, Malformed, Refusal, Unavailable};
use super::{read_body, Api};
use crate::limits;
use crate::node_events::{Event, HeartbeatReply};
use crate::protocol;
use crate::protocol::workers::{HeartbeatRequest, Redirect};
use poem::http::StatusCode;
use poem::{Body, Response};
use tracing::warn;

impl Api {
    /// Hands a worker's heartbeat to the event loop and waits for its reply.
    ///
    /// # Errors
    /// The heartbeat is malformed, or the event loop may not answer it or did not in time.
    pub(super) async fn heartbeat(&self, body: Body) -> Result<Response, Refusal> {
        let bytes = read_body(body).await?;
        let heartbeat_request: HeartbeatRequest = protocol::parse(&bytes).map_err(|error| {
            warn!(why = error.to_string(), "malformed heartbeat");
            Malformed::from(error)
        })?;
        let event = |reply_to| Event::Heartbeat(heartbeat_request, reply_to);
        match self.ask(event, limits::HEARTBEAT_RESPONSE_TIMEOUT).await? {
            Some(HeartbeatReply::Accepted(response)) => Ok(json(StatusCode::OK, &response)),
            Some(HeartbeatReply::Malformed) => Err(Malformed::TaskName.into()),
            Some(HeartbeatReply::Redirected(leader)) => {
                Ok(json(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader }))
            }
            None => Err(Unavailable::NoAuthority.into()),
        }
    }
}
