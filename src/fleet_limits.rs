//! Warns operators of settings that are too small for the fleet. The service works on, and each warning says once what
//! the setting costs. The settings name no number of machines, so this shows only when the machines are there.

use crate::limits;
use crate::settings::Deployment;
use std::collections::BTreeSet;
use tracing::warn;

/// Processor time of one heartbeat, in seconds of a full core. Measured on simulated machines: a third of 4,000 workers
/// that heartbeat every 2.5 s take 0.07 of a core of a controller that does not lead.
const HEARTBEAT_CPU_S: f64 = 0.000_15;
/// Memory of a process without machines, in MB.
const BASE_MEMORY_MB: f64 = 24.0;
/// Memory of a process for each machine of the fleet, in MB. Measured: 80 MB at 4,000 machines.
const MACHINE_MEMORY_MB: f64 = 0.015;
/// The longest that recording all machines, or reading the whole machine list, should take, in seconds.
const MAX_PASS_S: f64 = 30.0;

/// A setting that is too small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SmallLimit {
    /// Its field in the platform's settings.
    pub field: &'static str,
    /// What the deployment suffers from it.
    pub cost: &'static str,
}

/// The settings that are too small for a fleet of this many machines.
pub fn too_small(machines: usize, deployment: &Deployment) -> Vec<SmallLimit> {
    let fleet = machines as f64;
    let resources = &deployment.resources;
    let records = fleet / limits::record_machines(deployment.state.value_kb) as f64;
    let writes = deployment.state.write_rps * limits::LEADER_WRITE_SHARE;
    let pages = fleet / f64::from(limits::MACHINE_LIST_PAGE_SIZE);
    let rules = [
        (
            resources.max_sockets < machines,
            "deployment.resources.max_sockets",
            "one controller can't serve every worker: while the others are away, leases of the rest run out",
        ),
        (
            resources.memory_mb < BASE_MEMORY_MB + fleet * MACHINE_MEMORY_MB,
            "deployment.resources.memory_mb",
            "a controller may be ended for memory when it leads",
        ),
        (
            resources.cpu < fleet / deployment.workers.report_s * HEARTBEAT_CPU_S,
            "deployment.resources.cpu",
            "one controller can't answer every worker in time: while the others are away, starts and answers wait",
        ),
        (
            records / writes > MAX_PASS_S,
            "deployment.state.write_rps",
            "new machines wait for their record before they get work",
        ),
        (
            pages * limits::MACHINE_LIST_PACE / deployment.cloud.rps > MAX_PASS_S,
            "deployment.cloud.rps",
            "the machine list takes long to read: machines that the cloud took are noticed late",
        ),
    ];
    let small = rules.into_iter().filter(|(small, ..)| *small);
    small.map(|(_, field, cost)| SmallLimit { field, cost }).collect()
}

/// Logs a warning of each setting that is too small, once.
#[derive(Debug, Default)]
pub struct LimitWarnings(BTreeSet<SmallLimit>);

impl LimitWarnings {
    /// Checks the settings against the present number of machines; returns the number of new warnings.
    pub fn judge(&mut self, machines: usize, deployment: &Deployment) -> usize {
        let before = self.0.len();
        for limit in too_small(machines, deployment) {
            if self.0.insert(limit) {
                warn!(field = limit.field, machines, cost = limit.cost, "setting too small for the fleet");
            }
        }
        self.0.len() - before
    }
}
