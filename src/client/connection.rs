//! Asks one node after the other until one answers, for a bounded time.

use super::ClientError;
use crate::http::{CallError, Http};
use crate::limits;
use reqwest::Method;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The nodes that a command may ask.
pub struct Connection {
    http: Http,
    nodes: Vec<SocketAddr>,
    patience: Duration,
}

/// What is known of a request that nobody answered with more than "later".
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// It reached nobody, or was refused for now.
    No,
    /// It may have been carried out.
    Perhaps,
}

impl Connection {
    /// A connection to any of these nodes; commands give up after `patience`.
    pub fn new(nodes: Vec<SocketAddr>, patience: Duration) -> Result<Self, ClientError> {
        let http = Http::new().map_err(|e| ClientError::Failed(format!("HTTP client: {e}")))?;
        Ok(Connection { http, nodes, patience })
    }

    /// Asks until a node answers, and reads the answer.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, ClientError> {
        let begun = Instant::now();
        let mut sent = Sent::No;
        let mut last = String::from("no node was asked");
        for node in self.nodes.iter().cycle() {
            if begun.elapsed() >= self.patience {
                break;
            }
            let url = format!("http://{node}{path}");
            match self.http.call(method.clone(), &url, body.clone(), limits::CLIENT_TIMEOUT).await {
                Ok(answer) if answer.status < 500 && answer.status != 429 => {
                    return read(answer.status, &answer.body);
                }
                Ok(answer) => last = format!("{node}: {} {}", answer.status, error_of(&answer.body)),
                Err(CallError::NotSent(why)) => last = format!("{node}: {why}"),
                Err(CallError::NoAnswer(why)) => {
                    sent = Sent::Perhaps;
                    last = format!("{node}: {why}");
                }
            }
            tokio::time::sleep(limits::CLIENT_RETRY_INTERVAL).await;
        }
        let changes = method != Method::GET;
        let done = match (changes, sent) {
            (false, _) => "",
            (true, Sent::No) => " Nothing was changed.",
            (true, Sent::Perhaps) => {
                " It is not known whether it was taken: the same command again does nothing twice."
            }
        };
        Err(ClientError::Unavailable(format!("no node answered ({last}).{done}")))
    }
}

fn error_of(body: &[u8]) -> String {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"].as_str().unwrap_or("no reason given").to_string()
}

fn read<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, ClientError> {
    match status {
        200 | 201 => serde_json::from_slice(body)
            .map_err(|e| ClientError::Failed(format!("an answer that can't be understood: {e}"))),
        400 | 422 => Err(ClientError::BadInput(error_of(body))),
        404 => Err(ClientError::NotFound(error_of(body))),
        409 => Err(ClientError::Conflict(error_of(body))),
        other => Err(ClientError::Failed(format!("unexpected answer {other}: {}", error_of(body)))),
    }
}
