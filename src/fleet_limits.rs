//! Tells operators of settings that are too small for the fleet: the service still serves, and says once what that
//! costs. The settings name no number of machines, so that this shows only when they are there.

use crate::limits;
use crate::settings::Deployment;
use std::collections::BTreeSet;
use tracing::warn;

/// Processor time that a heartbeat takes, in seconds of a full core: on simulated machines, a third of 4,000 workers
/// that heartbeat every 2.5 s take 0.07 of a core of a controller that does not lead.
const REPORT_COST_S: f64 = 0.000_15;
/// Memory that a process takes by itself, and for each machine of the fleet, in MB: 80 MB were seen at 4,000.
const MEMORY_MB: f64 = 24.0;
const MACHINE_MB: f64 = 0.015;
/// Recording all machines, or reading the whole list, should take no longer, in seconds.
const PATIENCE_S: f64 = 30.0;

/// A setting that is too small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SmallLimit {
    /// Its field in the platform's settings.
    pub field: &'static str,
    /// What that costs.
    pub cost: &'static str,
}

/// The settings that are too small for so many machines.
pub fn too_small(machines: usize, deployment: &Deployment) -> Vec<SmallLimit> {
    let fleet = machines as f64;
    let resources = &deployment.resources;
    let records = fleet / limits::record_machines(deployment.state.value_kb) as f64;
    let writes = deployment.state.write_rps * limits::LEADER_WRITE_SHARE;
    let pages = fleet / f64::from(limits::MACHINE_LIST_PAGE_SIZE);
    let judged = [
        (
            resources.max_sockets < machines,
            "deployment.resources.max_sockets",
            "one controller can't serve every worker: while the others are away, leases of the rest run out",
        ),
        (
            resources.memory_mb < MEMORY_MB + fleet * MACHINE_MB,
            "deployment.resources.memory_mb",
            "a controller may be ended for memory when it leads",
        ),
        (
            resources.cpu < fleet / deployment.workers.report_s * REPORT_COST_S,
            "deployment.resources.cpu",
            "one controller can't answer every worker in time: while the others are away, starts and answers wait",
        ),
        (
            records / writes > PATIENCE_S,
            "deployment.state.write_rps",
            "new machines wait for their record before they get work",
        ),
        (
            pages * limits::MACHINE_LIST_PACE / deployment.cloud.rps > PATIENCE_S,
            "deployment.cloud.rps",
            "the machine list takes long to read: machines that the cloud took are noticed late",
        ),
    ];
    let small = judged.into_iter().filter(|(small, ..)| *small);
    small.map(|(_, field, cost)| SmallLimit { field, cost }).collect()
}

/// Says of each setting once that it is too small.
#[derive(Debug, Default)]
pub struct LimitWarnings(BTreeSet<SmallLimit>);

impl LimitWarnings {
    /// Judges the settings by the machines that there are now; returns how many are newly said.
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
