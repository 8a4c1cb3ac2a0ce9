//! Workers' heartbeats.

use super::{TaskId, TaskStatus};

/// A worker's heartbeat.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    pub machine: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    pub id: TaskId,
    pub attempt: u64,
    pub status: TaskStatus,
}
