//! The platform's settings file (JSON), checked.

mod operator;

use crate::limits;
pub use operator::{ColdStartSettings, Draining, Operator};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a settings file is refused. The text names file, field or line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A field is missing or invalid.
    #[error("{file}: field `{field}`: {why}")]
    Field {
        /// The file.
        file: PathBuf,
        /// The field, with its path.
        field: String,
        /// What is wrong with it.
        why: String,
    },
    /// A line is invalid.
    #[error("{file}: line {line}: {why}")]
    Line {
        /// The file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        why: String,
    },
}

/// What the platform hands over. Fields it may add later are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    pub node_name: String,
    /// Zone of this node.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where users and workers connect.
    pub public_addr: SocketAddr,
    /// Where the other controllers connect.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the cloud and the key-value store.
    pub external: External,
    /// What all nodes of the deployment share.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name.
    pub node_name: String,
    /// Where it takes frames.
    pub peer_addr: SocketAddr,
}

/// Services that the platform runs.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The key-value store.
    pub state: SocketAddr,
}

/// The deployment: zones, teams and the limits of the services around it.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Times that the workers keep to.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(default)]
    pub resources: Machine,
}

/// What this process may use of its machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Machine {
    /// Share of one processor core.
    pub cpu: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Machine { cpu: 1.0, memory_mb: 256.0, max_sockets: 4_096 }
    }
}

/// A team's guarantee and limit; 0: none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// The most processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Times that the workers keep to, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats.
    pub report_s: f64,
    /// A worker's lease: its tasks end when no heartbeat sent within this time was answered.
    pub lease_s: f64,
    /// Tasks of a cancelled job must have ended this long after its user was told.
    pub cancel_s: f64,
    /// How long a task of a gang waits for the others, and how soon it notices that one is gone.
    #[serde(default = "Workers::gang_wait_s")]
    pub gang_wait_s: f64,
    /// How soon a task of a gang notices that another one is gone.
    #[serde(default = "Workers::gang_peer_s")]
    pub gang_peer_s: f64,
}

impl Workers {
    fn gang_wait_s() -> f64 {
        limits::GANG_WAIT_S
    }

    fn gang_peer_s() -> f64 {
        limits::GANG_PEER_S
    }
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
    /// What the limits will be from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that are missing stay as they are.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NextLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    pub write_rps: Option<f64>,
    /// Size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Puts and deletes in one transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The smaller of now and next: the change comes without notice, and a record that is too large for it
    /// could not be written again.
    fn lowered(&mut self) {
        let Some(next) = &self.next else { return };
        self.rps = next.rps.map_or(self.rps, |v| v.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |v| v.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |v| v.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |v| v.min(self.txn_ops));
    }
}

/// Limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// By how many seconds the machine list lags.
    pub list_lag_s: f64,
}

pub(crate) fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable { file: file.into(), source })
}

impl Settings {
    /// Reads and checks the platform's file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(file)?, file)
    }

    /// Checks the text of the platform's file; `file` is named in errors.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|e| SettingsError::Field {
                file: file.into(),
                field: e.path().to_string(),
                why: e.inner().to_string(),
            })?;
        let refused = |(field, why): (&str, &str)| SettingsError::Field {
            file: file.into(),
            field: field.into(),
            why: why.into(),
        };
        settings.check().map_err(refused)?;
        settings.deployment.state.lowered();
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let d = &self.deployment;
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let amount = |v: f64| v.is_finite() && v >= 0.0;
        // A limit of 0 is none.
        let within = |guarantee: f64, limit: f64| limit <= 0.0 || guarantee <= limit;
        let next = d.state.next.as_ref();
        let rules: [(&'static str, bool, &'static str); 23] = [
            ("deployment.resources.cpu", positive(d.resources.cpu), "must be above 0"),
            ("deployment.resources.memory_mb", positive(d.resources.memory_mb), "must be above 0"),
            ("deployment.resources.max_sockets", d.resources.max_sockets > 0, "must be above 0"),
            ("node_name", !self.node_name.is_empty(), "must not be empty"),
            (
                "members",
                self.members.iter().all(|m| m.node_name != self.node_name),
                "must not name this node itself",
            ),
            ("deployment.zones", !d.zones.is_empty(), "must name a zone"),
            ("deployment.teams", !d.teams.is_empty(), "must name a team"),
            (
                "deployment.teams",
                d.teams.iter().all(|t| [t.cpus, t.cpus_max, t.gpus, t.gpus_max].into_iter().all(amount)),
                "guarantees and limits must be amounts of 0 or more",
            ),
            (
                "deployment.teams.name",
                d.teams.iter().enumerate().all(|(i, team)| {
                    !team.name.is_empty() && d.teams[..i].iter().all(|other| other.name != team.name)
                }),
                "must not be empty, and each team is named once",
            ),
            (
                "deployment.teams",
                d.teams.iter().all(|t| within(t.cpus, t.cpus_max) && within(t.gpus, t.gpus_max)),
                "a guarantee must not be above its limit (cpus_max, gpus_max)",
            ),
            ("deployment.workers.report_s", positive(d.workers.report_s), "must be above 0"),
            (
                "deployment.workers.lease_s",
                positive(d.workers.lease_s) && d.workers.lease_s > d.workers.report_s,
                "must be above report_s",
            ),
            ("deployment.workers.cancel_s", positive(d.workers.cancel_s), "must be above 0"),
            (
                "deployment.state",
                positive(d.state.rps) && positive(d.state.write_rps),
                "rps and write_rps must be above 0",
            ),
            ("deployment.state.value_kb", d.state.value_kb >= 2.0, "records need at least 2"),
            ("deployment.state.txn_ops", d.state.txn_ops >= 3, "a transaction needs at least 3 changes"),
            (
                "deployment.workers.gang_wait_s",
                positive(d.workers.gang_wait_s) && d.workers.gang_wait_s > d.workers.gang_peer_s,
                "must be above gang_peer_s",
            ),
            ("deployment.workers.gang_peer_s", positive(d.workers.gang_peer_s), "must be above 0"),
            ("deployment.state.next.rps", next.is_none_or(|n| n.rps.is_none_or(positive)), "must be above 0"),
            (
                "deployment.state.next.write_rps",
                next.is_none_or(|n| n.write_rps.is_none_or(positive)),
                "must be above 0",
            ),
            (
                "deployment.state.next.value_kb",
                next.is_none_or(|n| n.value_kb.is_none_or(|v| v.is_finite() && v >= 2.0)),
                "records need at least 2",
            ),
            (
                "deployment.state.next.txn_ops",
                next.is_none_or(|n| n.txn_ops.is_none_or(|v| v >= 3)),
                "a transaction needs at least 3 changes",
            ),
            ("deployment.cloud", positive(d.cloud.rps) && amount(d.cloud.list_lag_s), "rps must be above 0"),
        ];
        match rules.into_iter().find(|(_, holds, _)| !holds) {
            Some((field, _, why)) => Err((field, why)),
            None => Ok(()),
        }
    }

    /// All controllers' names in one order that every node shares; a node's place in it is its number.
    pub fn node_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.members.iter().map(|m| m.node_name.clone()).collect();
        names.push(self.node_name.clone());
        names.sort();
        names
    }
}

#[cfg(test)]
mod tests;
