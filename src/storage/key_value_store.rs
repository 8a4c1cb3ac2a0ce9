//! The client of the state service: reads, watches, compare-and-swap transactions and leases. It owns the time of the last response and the budgets of users' requests; clones share both.

use crate::http::{Answer, CallError, Clock, Http};
use crate::limits;
use crate::protocol::state_service::{
    Change, ChangeLog, Comparison, Lease, Page, Record, Revision, Transaction, Value,
};
use crate::settings::StateLimits;
use crate::time::{to_millis, AtomicTimestamp, Timestamp};
use crate::token_bucket::TokenBucket;
use reqwest::Method;
use serde::Deserialize;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tracing::debug;

/// The least capacity of a budget of users' requests: a cancellation takes two writes at once.
const MIN_USER_BURST: f64 = 2.0;
/// Seconds of the rate that users' requests, and their writes, may use at once.
const USER_REQUEST_BURST_S: f64 = 1.0;
const USER_WRITE_BURST_S: f64 = 2.0;
/// Keys of one page of a list.
const LIST_PAGE_KEYS: usize = 500;

/// Why a read, a watch or a lease request failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The service answered with this HTTP status.
    #[error("refused with {0}")]
    Refused(u16),
    /// The request was not sent, or got no answer.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The body of the answer, or a stored value, could not be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A value with the version that a compare-and-swap on its key compares.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedValue {
    /// The stored JSON.
    pub value: serde_json::Value,
    /// The revision of the store that wrote it.
    pub version: u64,
}

/// All records under a prefix.
#[derive(Debug)]
pub struct Listing {
    /// In the order of their keys.
    pub records: Vec<Record>,
    /// The revision from which to follow the prefix.
    pub revision: u64,
}

/// The outcome of a transaction.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All conditions held and all changes were made.
    Committed {
        /// The version of every key that it changed.
        version: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    /// Not carried out.
    Refused,
    /// No answer: the outcome is unknown until the keys are read back.
    Unknown,
}

/// What users' requests of this node may ask of the service.
struct UserBudgets {
    requests: TokenBucket,
    /// Puts and deletes.
    writes: TokenBucket,
}

impl UserBudgets {
    fn new(limits: &StateLimits, nodes: usize, now: Timestamp) -> Self {
        let bucket =
            |rate: f64, burst_s: f64| TokenBucket::new(rate, (rate * burst_s).max(MIN_USER_BURST), now);
        UserBudgets {
            requests: bucket(limits.rps * crate::limits::USER_STORE_REQUEST_SHARE, USER_REQUEST_BURST_S),
            writes: bucket(crate::limits::user_writes(limits.write_rps, nodes), USER_WRITE_BURST_S),
        }
    }

    /// Takes one request with `writes` puts and deletes. A request that the second bucket refuses has still taken
    /// its writes from the first.
    fn take(&mut self, now: Timestamp, writes: u32) -> bool {
        (writes == 0 || self.writes.refill_and_take(now, f64::from(writes)))
            && self.requests.refill_and_take(now, 1.0)
    }
}

/// The client of the state service. Clones share the connection pool, the time of the last response and the budgets.
#[derive(Clone)]
pub struct KeyValueStore {
    http: Http,
    base: String,
    clock: Clock,
    /// 0 before the first response.
    last_response_at: Arc<AtomicTimestamp>,
    max_value_bytes: usize,
    /// Held only while tokens are taken, never across an await.
    user_budgets: Arc<Mutex<UserBudgets>>,
}

fn json<T: for<'a> Deserialize<'a>>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// A change that puts `value` under `key`.
///
/// # Errors
/// The value has no JSON form.
pub fn write_change(key: &str, value: impl serde::Serialize) -> Result<Change, serde_json::Error> {
    Ok(Change::Write { key: key.into(), value: serde_json::to_value(value)?, lease: None })
}

/// A change that removes `key`.
pub fn remove_change(key: &str) -> Change {
    Change::Remove { key: key.into() }
}

/// The condition that `key` has this version; zero: that it does not exist.
pub fn compare_version(key: &str, version: u64) -> Comparison {
    Comparison { key: key.into(), version }
}

impl KeyValueStore {
    /// A client of the service at `address`. `nodes`: controllers that share the service's limits.
    pub fn new(
        http: Http,
        address: std::net::SocketAddr,
        clock: Clock,
        limits: &StateLimits,
        nodes: usize,
    ) -> Self {
        let user_budgets = UserBudgets::new(limits, nodes, clock.now());
        KeyValueStore {
            http,
            base: format!("http://{address}"),
            clock,
            last_response_at: Arc::default(),
            max_value_bytes: (limits.value_kb * 1024.0) as usize,
            user_budgets: Arc::new(Mutex::new(user_budgets)),
        }
    }

    /// The time of this process's steady clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The most bytes that a value may have.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// When the service last answered this node other than with 503; zero if it never did.
    pub fn last_response_at(&self) -> Timestamp {
        self.last_response_at.load()
    }

    /// Whether a user's request of this node may send one more request now, with `writes` puts and deletes; takes them
    /// from the budgets.
    #[must_use]
    pub fn try_acquire_user_budget(&self, writes: u32) -> bool {
        let now = self.clock.now();
        // A poisoned lock must not shut users out.
        let Ok(mut budgets) = self.user_budgets.lock() else { return true };
        budgets.take(now, writes)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let answer = self.http.call(method, &format!("{}{path}", self.base), body, timeout).await;
        match &answer {
            Ok(response) if response.status != 503 => self.last_response_at.store(self.clock.now()),
            Ok(_) => debug!(path, "state service answers 503"),
            Err(error) => debug!(path, %error, "state service"),
        }
        answer
    }

    /// The value of a key and its version; `None`: the key does not exist.
    ///
    /// # Errors
    /// No answer, a refusal, or an answer that can't be read.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<VersionedValue>, StoreError> {
        let answer = self.call(Method::GET, &format!("/store/{key}"), None, timeout).await?;
        match answer.status {
            200 => json::<Value>(&answer)
                .map(|found| Some(VersionedValue { value: found.value, version: found.version })),
            404 => Ok(None),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Every record under a prefix.
    ///
    /// # Errors
    /// As [`KeyValueStore::get`]; what was read before the error is dropped.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut records: Vec<Record> = Vec::new();
        let mut revision = None;
        loop {
            let from = records.last().map(|last| format!("&from={}", last.key)).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{from}&limit={LIST_PAGE_KEYS}");
            let answer = self.call(Method::GET, &path, None, limits::STORE_TIMEOUT).await?;
            if answer.status != 200 {
                return Err(StoreError::Refused(answer.status));
            }
            let page: Page = json(&answer)?;
            // Changes between two pages are seen again when following from the first.
            let first = *revision.get_or_insert(page.revision);
            let more = page.has_more && !page.records.is_empty();
            records.extend(page.records);
            if !more {
                return Ok(Listing { records, revision: first });
            }
        }
    }

    /// Makes all changes if all conditions hold.
    pub async fn commit(&self, conditions: Vec<Comparison>, changes: Vec<Change>) -> CommitOutcome {
        let body = match serde_json::to_vec(&Transaction { conditions, changes }) {
            Ok(body) => body,
            Err(_) => return CommitOutcome::Refused,
        };
        match self.call(Method::POST, "/multi", Some(body), limits::STORE_TIMEOUT).await {
            Ok(answer) => match answer.status {
                200 => json::<Revision>(&answer).map_or(CommitOutcome::Unknown, |done| {
                    CommitOutcome::Committed { version: done.revision }
                }),
                409 => CommitOutcome::Conflict,
                _ => CommitOutcome::Refused,
            },
            Err(CallError::NotSent(_)) => CommitOutcome::Refused,
            Err(CallError::NoAnswer(_)) => CommitOutcome::Unknown,
        }
    }

    /// Creates a lease of this duration; returns its number.
    ///
    /// # Errors
    /// As [`KeyValueStore::get`].
    pub async fn create_lease(&self, duration: Duration) -> Result<u64, StoreError> {
        let body = serde_json::json!({ "life_ms": to_millis(duration) }).to_string().into_bytes();
        let answer = self.call(Method::POST, "/grants", Some(body), limits::STORE_TIMEOUT).await?;
        match answer.status {
            200 => json::<Lease>(&answer).map(|granted| granted.lease),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Renews a lease; returns whether it still runs.
    ///
    /// # Errors
    /// As [`KeyValueStore::get`]; the lease may or may not have been renewed.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/grants/{lease}/extend");
        let answer = self.call(Method::POST, &path, Some(b"{}".to_vec()), limits::STORE_TIMEOUT).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Ends a lease now, and removes the keys that hang on it. Best effort: without it the lease expires soon after.
    pub async fn revoke_lease(&self, lease: u64) {
        let path = format!("/grants/{lease}");
        // A failure is logged by `call`, and needs no other action.
        let _ = self.call(Method::DELETE, &path, None, limits::STORE_TIMEOUT).await;
    }

    /// Changes under a prefix after the revision `from`. Waits up to `wait` for the first of them; zero: does not wait.
    /// `None`: the log no longer goes back to `from`, and the keys must be listed again.
    ///
    /// # Errors
    /// As [`KeyValueStore::get`].
    pub async fn follow(
        &self,
        prefix: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Option<ChangeLog>, StoreError> {
        let wait_ms = to_millis(wait);
        let path = format!("/follow?prefix={prefix}&from={from}&wait_ms={wait_ms}");
        let timeout = if wait.is_zero() { limits::POLL_TIMEOUT } else { wait + limits::STORE_WATCH_MARGIN };
        let answer = self.call(Method::GET, &path, None, timeout).await?;
        match answer.status {
            200 => json(&answer).map(Some),
            410 => Ok(None),
            other => Err(StoreError::Refused(other)),
        }
    }
}
