//! The client of the state service.

use crate::http::{Answer, CallError, Clock, Http};
use crate::limits;
use crate::protocol::records::Epoch;
use crate::protocol::state_service::{
    Change, ChangeLog, Comparison, Lease, Page, Record, Revision, Transaction, Value,
};
use crate::settings::StateLimits;
use reqwest::Method;
use serde::Deserialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tracing::debug;

#[derive(Debug, Error)]
pub enum StoreError {
    #[error("refused with {0}")]
    Refused(u16),
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    Committed {
        /// The version of every key that it changed.
        version: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    /// Not carried out.
    Refused,
    /// No answer: of unknown outcome until read back.
    Unknown,
}

/// A bucket of requests per second.
struct Budget {
    rate: f64,
    most: f64,
    tokens: f64,
    at: u64,
}

impl Budget {
    fn new(rate: f64, burst_s: f64, now: u64) -> Self {
        let most = (rate * burst_s).max(2.0);
        Budget { rate, most, tokens: most, at: now }
    }

    fn take(&mut self, now: u64, count: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / limits::SECOND as f64;
        self.at = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.most);
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

#[derive(Clone)]
pub struct KeyValueStore {
    http: Http,
    base: String,
    clock: Clock,
    last_response_at: Arc<AtomicU64>,
    /// Bytes that a value may have.
    max_value_bytes: usize,
    /// What users' requests of this node may ask of the service: requests, and puts and deletes.
    user_budgets: Arc<Mutex<(Budget, Budget)>>,
}

fn json<T: for<'a> Deserialize<'a>>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|e| StoreError::Malformed(e.to_string()))
}

pub fn write(key: &str, value: impl serde::Serialize) -> Result<Change, serde_json::Error> {
    Ok(Change::Write { key: key.into(), value: serde_json::to_value(value)?, lease: None })
}

pub fn remove(key: &str) -> Change {
    Change::Remove { key: key.into() }
}

pub fn compare(key: &str, version: u64) -> Comparison {
    Comparison { key: key.into(), version }
}

impl KeyValueStore {
    pub fn new(
        http: Http,
        address: std::net::SocketAddr,
        clock: Clock,
        limits: &StateLimits,
        nodes: usize,
    ) -> Self {
        let now = clock.now();
        let requests = Budget::new(limits.rps * crate::limits::USER_STORE_REQUEST_SHARE, 1.0, now);
        let writes = Budget::new(crate::limits::user_writes(limits.write_rps, nodes), 2.0, now);
        KeyValueStore {
            http,
            base: format!("http://{address}"),
            clock,
            last_response_at: Arc::new(AtomicU64::new(0)),
            max_value_bytes: (limits.value_kb * 1024.0) as usize,
            user_budgets: Arc::new(Mutex::new((requests, writes))),
        }
    }

    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// When it last answered this node.
    pub fn last_response_at(&self) -> u64 {
        self.last_response_at.load(Ordering::Relaxed)
    }

    /// Whether a user's request of this node may ask once more now, with so many puts and deletes.
    pub fn try_acquire_user_budget(&self, writes: u32) -> bool {
        let now = self.clock.now();
        let Ok(mut budgets) = self.user_budgets.lock() else { return true };
        let (requests, puts) = &mut *budgets;
        (writes == 0 || puts.take(now, f64::from(writes))) && requests.take(now, 1.0)
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
            Ok(a) if a.status != 503 => self.last_response_at.store(self.clock.now(), Ordering::Relaxed),
            Ok(_) => debug!(path, "state service answers 503"),
            Err(error) => debug!(path, %error, "state service"),
        }
        answer
    }

    pub async fn get(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<(serde_json::Value, u64)>, StoreError> {
        let answer = self.call(Method::GET, &format!("/store/{key}"), None, timeout).await?;
        match answer.status {
            200 => json::<Value>(&answer).map(|found| Some((found.value, found.version))),
            404 => Ok(None),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Everything under a prefix, and the revision from which to follow it.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Record>, u64), StoreError> {
        let mut records: Vec<Record> = Vec::new();
        let mut revision = None;
        loop {
            let from = records.last().map(|r| format!("&from={}", r.key)).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{from}&limit=500");
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
                return Ok((records, first));
            }
        }
    }

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

    pub async fn create_lease(&self, life_ms: u64) -> Result<u64, StoreError> {
        let body = serde_json::json!({ "life_ms": life_ms }).to_string().into_bytes();
        let answer = self.call(Method::POST, "/grants", Some(body), limits::STORE_TIMEOUT).await?;
        match answer.status {
            200 => json::<Lease>(&answer).map(|granted| granted.lease),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Whether the lease still runs; an error leaves it open.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/grants/{lease}/extend");
        let answer = self.call(Method::POST, &path, Some(b"{}".to_vec()), limits::STORE_TIMEOUT).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            other => Err(StoreError::Refused(other)),
        }
    }

    pub async fn revoke_lease(&self, lease: u64) {
        // Best effort: the lease ends by itself soon after.
        let path = format!("/grants/{lease}");
        let _ = self.call(Method::DELETE, &path, None, limits::STORE_TIMEOUT).await;
    }

    /// Changes under a prefix, waiting for the first of them; None when `from` is too old and the keys
    /// must be read again.
    pub async fn follow(
        &self,
        prefix: &str,
        from: u64,
        wait_ms: u64,
    ) -> Result<Option<ChangeLog>, StoreError> {
        let path = format!("/follow?prefix={prefix}&from={from}&wait_ms={wait_ms}");
        let timeout = match wait_ms {
            0 => limits::POLL_TIMEOUT,
            _ => Duration::from_millis(wait_ms) + limits::STORE_WATCH_MARGIN,
        };
        let answer = self.call(Method::GET, &path, None, timeout).await?;
        match answer.status {
            200 => json(&answer).map(Some),
            410 => Ok(None),
            other => Err(StoreError::Refused(other)),
        }
    }

    pub async fn read_epoch(&self) -> Result<(Option<(Epoch, u64)>, bool), StoreError> {
        // The lock first: an epoch read after an absent lock is at least as new as its end.
        let locked = self.get(LOCK, limits::STORE_TIMEOUT).await?.is_some();
        let epoch = self.get(EPOCH, limits::STORE_TIMEOUT).await?;
        let epoch = epoch
            .map(|(value, version)| {
                serde_json::from_value(value)
                    .map(|epoch| (epoch, version))
                    .map_err(|e| StoreError::Malformed(e.to_string()))
            })
            .transpose()?;
        Ok((epoch, locked))
    }

    /// The takeover transaction. The error carries the lease to be ended, if there is one.
    pub async fn take_over(
        &self,
        epoch: &Epoch,
        version: u64,
        over_lock: bool,
    ) -> Result<(u64, u64, u64), Option<u64>> {
        let sent = self.clock.now();
        let lease = self.create_lease(limits::LOCK_LEASE_MS).await.map_err(|_| None)?;
        let mut conditions = vec![compare(EPOCH, version)];
        if !over_lock {
            conditions.push(compare(LOCK, 0));
        }
        let value = serde_json::to_value(epoch).map_err(|_| Some(lease))?;
        let changes = vec![
            Change::Write { key: EPOCH.into(), value: value.clone(), lease: None },
            Change::Write { key: LOCK.into(), value, lease: Some(lease) },
        ];
        match self.commit(conditions, changes).await {
            CommitOutcome::Committed { version } => Ok((lease, version, sent)),
            _ => Err(Some(lease)),
        }
    }
}

pub const EPOCH: &str = "leader/epoch";
pub const LOCK: &str = "leader/lock";
pub const CATALOG: &str = "fleet/catalog";
/// The heartbeat of the last cold start, written by the leader.
pub const COLD_START: &str = "cold-start/report";
pub const LIVE: &str = "live/";
pub const DONE: &str = "done/";
pub const FLEET: &str = "fleet/machines/";

pub fn live(job_id: impl std::fmt::Display) -> String {
    format!("{LIVE}{job_id}")
}

pub fn over(job_id: impl std::fmt::Display) -> String {
    format!("over/{job_id}")
}

pub fn done(job_id: impl std::fmt::Display, chunk: u32) -> String {
    format!("{DONE}{job_id}/{chunk}")
}
