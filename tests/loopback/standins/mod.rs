//! Stand-ins for the state service, the cloud and workers, written from the protocol, on loopback.

mod cloud;
mod peer_links;
mod state_service;
mod workers;

pub use cloud::{cloud, CloudState, Seen};
pub use peer_links::copying_link;
pub use state_service::{state_service, State, Trouble};
pub use workers::{direct_commands, roaming_workers, workers};

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::Response;
use serde_json::Value;
use std::net::SocketAddr;

fn reply(status: u16, body: Value) -> Response {
    let status = StatusCode::from_u16(status).unwrap();
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

async fn listen() -> (TcpAcceptor, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (TcpAcceptor::from_tokio(listener).unwrap(), address)
}
