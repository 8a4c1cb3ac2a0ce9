//! The HTTP client that the state service, the cloud and the workers share.

use crate::limits;
use crate::time::Timestamp;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be made: the request was not sent.
    #[error("not sent: {0}")]
    NotSent(#[source] reqwest::Error),
    /// The request may have been carried out, or may yet be.
    #[error("no answer: {0}")]
    NoAnswer(#[source] reqwest::Error),
}

impl From<reqwest::Error> for CallError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() {
            CallError::NotSent(error)
        } else {
            CallError::NoAnswer(error)
        }
    }
}

/// An HTTP client; clones share its connections.
#[derive(Clone)]
pub struct Http(reqwest::Client);

/// A response.
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// The body as received.
    pub body: Vec<u8>,
}

impl Http {
    /// A client that keeps idle connections for `limits::IDLE_CONNECTION_TIMEOUT`.
    ///
    /// # Errors
    /// The client can't be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        Self::builder().pool_idle_timeout(limits::IDLE_CONNECTION_TIMEOUT).build().map(Http)
    }

    /// A client for single requests to many hosts. It keeps no idle connection: one to every host would use up the
    /// sockets.
    ///
    /// # Errors
    /// As for [`Http::new`].
    pub fn to_many() -> Result<Self, reqwest::Error> {
        Self::builder().pool_max_idle_per_host(0).build().map(Http)
    }

    fn builder() -> reqwest::ClientBuilder {
        reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(limits::CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
    }

    /// Sends a request and reads the whole response within `timeout`. A response of any status is no error.
    ///
    /// # Errors
    /// There is no whole response; the error tells whether the request may have been carried out.
    pub async fn call(
        &self,
        method: reqwest::Method,
        url: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut request = self.0.request(method, url).timeout(timeout);
        if let Some(body) = body {
            request = request.header("content-type", "application/json").body(body);
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await.map_err(CallError::NoAnswer)?;
        Ok(Answer { status, body: body.to_vec() })
    }
}

/// The monotonic clock of this process. It starts at a random point, so that a time echoed by a peer to
/// an earlier incarnation of this node can't be taken for one of this incarnation.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    base: u64,
}

impl Clock {
    /// Starts a clock at a random point, so that times of different processes are not comparable by accident.
    pub fn start() -> Self {
        Clock { started: Instant::now(), base: rand::random_range((1 << 40)..(1 << 50)) }
    }

    /// The present instant of this process's monotonic clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.base) + self.started.elapsed()
    }
}

/// The time of day in milliseconds since 1970. It may be off by the settings' `skew_ms`, so that only ages of many seconds
/// mean anything.
pub fn wall_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
