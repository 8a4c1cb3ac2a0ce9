//! Requests to the state service and its responses.

use serde::{Deserialize, Serialize};

/// A key and its value.
#[derive(Debug, Clone, Deserialize)]
pub struct Record {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
    /// The revision of the key's latest change.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// The value of one key that was asked for.
#[derive(Debug, Deserialize)]
pub struct Value {
    /// The value.
    pub value: serde_json::Value,
    /// The revision of the key's latest change.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// In the order of their keys.
    #[serde(rename = "items")]
    pub records: Vec<Record>,
    /// More follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// The revision that the page shows.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version; 0: it does not exist.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its version.
    #[serde(rename = "entry")]
    pub version: u64,
}

/// A change that a transaction makes.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Puts a value under a key.
    Write {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        value: serde_json::Value,
        /// The lease that the key is attached to: the key is removed when the lease expires.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Write { key, .. } | Change::Remove { key } => key,
        }
    }

    /// Whether the key exists after it.
    pub fn writes(&self) -> bool {
        matches!(self, Change::Write { .. })
    }
}

/// A compare-and-swap: changes that are made together, if all conditions hold.
#[derive(Debug, Serialize)]
pub struct Transaction {
    /// The conditions.
    #[serde(rename = "when")]
    pub conditions: Vec<Comparison>,
    /// The changes.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

/// The response to a transaction that was carried out.
#[derive(Debug, Deserialize)]
pub struct Revision {
    /// The version of every key that it changed.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// The response to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct Lease {
    /// The lease's number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// The changes under a prefix after a revision.
#[derive(Debug, Deserialize)]
pub struct ChangeLog {
    /// The revision up to which it goes.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Every change, in order.
    pub events: Vec<ChangeEvent>,
}

/// One change of a key: it was written, or removed.
#[derive(Debug, Deserialize)]
pub struct ChangeEvent {
    /// The key that was written.
    #[serde(rename = "write", default)]
    pub written: Option<String>,
    /// The key that was removed.
    #[serde(rename = "remove", default)]
    pub removed: Option<String>,
    /// The value that was written.
    #[serde(default)]
    pub value: serde_json::Value,
    /// The revision of the change.
    #[serde(rename = "entry")]
    pub version: u64,
}
