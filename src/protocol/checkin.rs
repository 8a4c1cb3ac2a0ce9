//! A worker's heartbeat as JSON. The rest of the code calls these types [`HeartbeatRequest`] and [`HeartbeatTask`]. They
//! have their own names here because serde writes a type's name into the refusals of malformed heartbeats, which must not
//! change; `expecting` is no way around it, since it drops the number of fields from one of the texts.
//!
//! [`HeartbeatRequest`]: super::workers::HeartbeatRequest
//! [`HeartbeatTask`]: super::workers::HeartbeatTask

use crate::fencing_token::FencingToken;
use serde::{Deserialize, Serialize};

/// A worker's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Checkin {
    /// The machine's name.
    #[serde(rename = "vessel")]
    pub machine: String,
    /// Where the worker takes direct commands.
    pub address: String,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Rises each time the worker's lease has expired.
    #[serde(rename = "watch")]
    pub agent_epoch: u64,
    /// Rises with every heartbeat of an agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud preempts the machine.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included until they are forgotten.
    #[serde(rename = "loads", default)]
    pub tasks: Vec<CheckinTask>,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckinTask {
    /// The job's id and the task's number.
    #[serde(rename = "load")]
    pub task: String,
    /// Tells one start of the task from another.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// The task's state, as a word.
    pub status: String,
    /// Why an exited task ended, as a word.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// A stopped task has saved its progress.
    #[serde(default)]
    pub saved: bool,
}
