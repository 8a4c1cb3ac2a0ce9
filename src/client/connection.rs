//! Asks one node after the other until one answers, for a bounded time.

use super::{ClientError, Effect, RefusalKind};
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

/// Whether a request may have been carried out although no node answered it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// It reached no node, or was refused for now.
    NotCarriedOut,
    /// It may have been carried out.
    Unknown,
}

impl Connection {
    /// A connection to any of these nodes; requests are given up after `patience`.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(nodes: Vec<SocketAddr>, patience: Duration) -> Result<Self, ClientError> {
        let http = Http::new().map_err(ClientError::HttpClient)?;
        Ok(Connection { http, nodes, patience })
    }

    /// Asks one node after the other until one answers with more than "later", and reads the response.
    ///
    /// # Errors
    /// No node answers in time, or one refuses.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, ClientError> {
        let started = Instant::now();
        let mut delivery = Delivery::NotCarriedOut;
        let mut last = String::from("no node was asked");
        for node in self.nodes.iter().cycle() {
            if started.elapsed() >= self.patience {
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
                    delivery = Delivery::Unknown;
                    last = format!("{node}: {why}");
                }
            }
            tokio::time::sleep(limits::CLIENT_RETRY_INTERVAL).await;
        }
        Err(ClientError::NoAnswer { last, effect: effect(&method, delivery) })
    }
}

fn effect(method: &Method, delivery: Delivery) -> Effect {
    if *method == Method::GET {
        return Effect::ReadOnly;
    }
    match delivery {
        Delivery::NotCarriedOut => Effect::Nothing,
        Delivery::Unknown => Effect::Unknown,
    }
}

/// The reason in a refusal's body.
fn error_of(body: &[u8]) -> String {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"].as_str().unwrap_or("no reason given").to_string()
}

fn read<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, ClientError> {
    let refused = |kind| Err(ClientError::Refused { kind, why: error_of(body) });
    match status {
        200 | 201 => serde_json::from_slice(body).map_err(ClientError::Unreadable),
        400 | 422 => refused(RefusalKind::BadInput),
        404 => refused(RefusalKind::NotFound),
        409 => refused(RefusalKind::Conflict),
        status => Err(ClientError::UnexpectedStatus { status, why: error_of(body) }),
    }
}
