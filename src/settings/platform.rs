//! The platform's settings file (JSON): its fields and their defaults.

use super::check::{check, InvalidField};
use super::{read, SettingsError};
use crate::limits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The platform's file. Fields that it may gain later are ignored.
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
    pub resources: ProcessResources,
}

/// What this process may use of its machine. `expecting` keeps the name under which refusals have always shown it.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, expecting = "struct Machine")]
pub struct ProcessResources {
    /// Share of one processor core.
    pub cpu: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

impl Default for ProcessResources {
    fn default() -> Self {
        ProcessResources { cpu: 1.0, memory_mb: 256.0, max_sockets: 4_096 }
    }
}

/// A team's quota: what it is guaranteed, and the most that it may have; 0: none.
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
    /// Tasks of a cancelled job must have ended this long after the cancellation was confirmed to its user.
    pub cancel_s: f64,
    /// How long a task of a gang waits for the others.
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
    /// Lowers each limit to the next one where that is smaller: the change comes without notice, and a record that is
    /// too large for it could not be written again.
    pub(super) fn lower_to_next(&mut self) {
        let Some(next) = &self.next else { return };
        self.rps = next.rps.map_or(self.rps, |next| next.min(self.rps));
        self.write_rps = next.write_rps.map_or(self.write_rps, |next| next.min(self.write_rps));
        self.value_kb = next.value_kb.map_or(self.value_kb, |next| next.min(self.value_kb));
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops));
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

impl Settings {
    /// Reads and checks the platform's file.
    ///
    /// # Errors
    /// The file cannot be read, is not JSON of this form, or has a value that is not allowed.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(file)?, file)
    }

    /// Checks the text of the platform's file; `file` is named in errors.
    ///
    /// # Errors
    /// The text is not JSON of this form, or has a value that is not allowed.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Malformed {
                file: file.into(),
                field: error.path().to_string(),
                source: error.into_inner(),
            })?;
        check(&settings).map_err(|InvalidField { field, rule }| SettingsError::Invalid {
            file: file.into(),
            field,
            source: rule,
        })?;
        settings.deployment.state.lower_to_next();
        Ok(settings)
    }

    /// The names of all controllers in ascending order, which every node shares: a node's place in it is its number.
    pub fn node_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.members.iter().map(|member| member.node_name.clone()).collect();
        names.push(self.node_name.clone());
        names.sort();
        names
    }
}
