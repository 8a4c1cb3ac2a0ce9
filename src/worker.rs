//! The client for commands to workers' own addresses.

use crate::http::Http;
use crate::limits;
use crate::protocol::workers::{DirectCommands, HeartbeatRequest};
use crate::scheduler::model::Heartbeat;
use reqwest::Method;
use tracing::{debug, warn};

/// Sends direct commands; the worker's heartbeat after them, if it answers. Only stops go this way: a start that is
/// held up could be carried out minutes late.
pub async fn send_commands(http: &Http, address: &str, commands: &DirectCommands) -> Option<Heartbeat> {
    let address: std::net::SocketAddr = address.parse().ok()?;
    let body = serde_json::to_vec(commands).ok()?;
    let url = format!("http://{address}/orders");
    match http.call(Method::POST, &url, Some(body), limits::DIRECT_COMMAND_TIMEOUT).await {
        Ok(answer) if answer.status == 200 => {
            match serde_json::from_slice::<HeartbeatRequest>(&answer.body) {
                Ok(heartbeat_request) => Heartbeat::try_from(heartbeat_request)
                    .inspect_err(|error| warn!(%error, "heartbeat dropped"))
                    .ok(),
                Err(error) => {
                    warn!(%address, %error, "malformed answer from a worker");
                    None
                }
            }
        }
        Ok(answer) => {
            debug!(%address, status = answer.status, "worker refuses commands");
            None
        }
        Err(error) => {
            debug!(%address, %error, "worker");
            None
        }
    }
}
