//! Operators' requests: which machines are drained, why, until when, and whether each is replaced.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// The name of a drain. Whoever asks chooses it: the same request under the same name is one drain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct DrainId(String);

/// Longest name of a drain, so that every key that contains it is allowed.
const MAX_ID_BYTES: usize = 64;

impl DrainId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DrainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for DrainId {
    type Error = RequestError;

    fn try_from(id: String) -> Result<Self, RequestError> {
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        match !id.is_empty() && id.len() <= MAX_ID_BYTES && id.chars().all(plain) {
            true => Ok(DrainId(id)),
            false => Err(RequestError::new("id", "must be 1 to 64 lowercase letters, digits and hyphens")),
        }
    }
}

impl From<DrainId> for String {
    fn from(id: DrainId) -> String {
        id.0
    }
}

/// Which machines are drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// These machines.
    Machines(Vec<String>),
    /// Every machine of a type in a zone.
    Kind {
        /// The machine type.
        machine_type: String,
        /// The zone.
        zone: String,
    },
    /// Every machine.
    All {},
}

/// A request to drain machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Its name.
    pub id: DrainId,
    /// Which machines.
    pub target: Target,
    /// The share of them that may be under way at the same time; without it the controllers' own limit counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Why, for whoever reads it later.
    pub reason: String,
    /// When it should be done, in seconds of the time of day. From then on tasks that can't save are stopped too, as
    /// far as budgets allow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<f64>,
    /// Whether a machine like it is rented for each, before it is emptied.
    #[serde(default)]
    pub replace: bool,
}

/// What is wrong with a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {why}")]
pub struct RequestError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: String,
}

impl RequestError {
    /// An error in a field.
    pub fn new(field: &'static str, why: impl Into<String>) -> Self {
        RequestError { field, why: why.into() }
    }
}

/// Longest reason.
const MAX_REASON_BYTES: usize = 500;

/// What exists, as far as the node that takes a request knows.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    /// Names of machines.
    pub machines: BTreeSet<String>,
    /// Machine types that the cloud has.
    pub machine_types: BTreeSet<String>,
    /// Zones.
    pub zones: BTreeSet<String>,
}

impl DrainRequest {
    /// Checks the request by itself. `now` is the time of day in seconds.
    ///
    /// # Errors
    /// The first field that has a value that is not allowed.
    pub fn check(&self, now: f64) -> Result<(), RequestError> {
        let refuse = |field, why: &str| Err(RequestError::new(field, why));
        if self.reason.trim().is_empty() || self.reason.len() > MAX_REASON_BYTES {
            return refuse("reason", "must be 1 to 500 bytes of text");
        }
        if self.share.is_some_and(|share| !(share > 0.0 && share <= 1.0)) {
            return refuse("share", "must be above 0 and at most 1");
        }
        if self.deadline.is_some_and(|deadline| !deadline.is_finite()) {
            return refuse("deadline", "must be a time");
        }
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            return refuse("deadline", "lies in the past");
        }
        match &self.target {
            Target::Machines(names) if names.is_empty() => refuse("target.machines", "must name a machine"),
            Target::Machines(names) if names.iter().collect::<BTreeSet<_>>().len() < names.len() => {
                refuse("target.machines", "names a machine twice")
            }
            Target::Machines(_) | Target::Kind { .. } | Target::All {} => Ok(()),
        }
    }

    /// Checks that the machines, type and zone that it names exist.
    ///
    /// # Errors
    /// The first name that is not in the inventory.
    pub fn check_against(&self, inventory: &Inventory) -> Result<(), RequestError> {
        let unknown = |field, name: &str| Err(RequestError::new(field, format!("`{name}` is not known")));
        match &self.target {
            Target::Machines(names) => match names.iter().find(|name| !inventory.machines.contains(*name)) {
                Some(name) => unknown("target.machines", name),
                None => Ok(()),
            },
            Target::Kind { machine_type, .. } if !inventory.machine_types.contains(machine_type) => {
                unknown("target.kind.machine_type", machine_type)
            }
            Target::Kind { zone, .. } if !inventory.zones.contains(zone) => unknown("target.kind.zone", zone),
            Target::Kind { .. } | Target::All {} => Ok(()),
        }
    }

    /// Whether a machine is among those to be drained.
    pub fn covers(&self, machine: &str, machine_type: &str, zone: &str) -> bool {
        match &self.target {
            Target::Machines(names) => names.iter().any(|name| name == machine),
            Target::Kind { machine_type: wanted, zone: there } => wanted == machine_type && there == zone,
            Target::All {} => true,
        }
    }

    /// How many of the drain's `machines` may be under way at the same time; at least one.
    pub fn at_once(&self, machines: usize) -> usize {
        self.share.map_or(machines, |share| ((machines as f64 * share) as usize).max(1))
    }
}

/// The state that operators want a drain to be in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// It goes on.
    Run,
    /// No further step, and no further stop; what is cordoned stays so.
    Pause,
    /// It ends; cordoned machines are given back.
    Cancel,
}

/// A drain as it is stored: the request, and the state that is wanted now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// The request.
    pub request: DrainRequest,
    /// When it was accepted, in milliseconds of the time of day.
    pub accepted: u64,
    /// The state that is wanted.
    #[serde(rename = "wish")]
    pub desired_state: DesiredState,
}
