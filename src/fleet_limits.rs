//! Warns operators of settings that are too small for the fleet. The service keeps working, and each warning
//! is logged once with the consequence. The settings do not state the number of machines, so the check is
//! possible only while the service runs. Called by the leader's `controller::health`.

use crate::limits;
use crate::settings::Deployment;
use std::collections::BTreeSet;
use tracing::warn;

/// Processor time of one heartbeat, in seconds of a full core, rounded up: a controller that does not lead
/// uses 0.07 of a core to respond to a third of 4,000 workers, each with a heartbeat every 2.5 s (533
/// heartbeats a second).
const HEARTBEAT_CPU_S: f64 = 0.000_15;
/// Memory of a process without machines, in MB.
const BASE_MEMORY_MB: f64 = 24.0;
/// Memory of a process for each machine of the fleet, in MB: a process takes 80 MB at 4,000 machines.
const MACHINE_MEMORY_MB: f64 = 0.015;
/// The longest time that recording all machines, or reading the whole machine list, should take, in seconds.
const MAX_PASS_S: f64 = 30.0;

/// A setting that is too small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SmallLimit {
    /// Its path in the platform's settings.
    pub setting: &'static str,
    /// What goes wrong in the deployment because of it.
    pub consequence: &'static str,
}

/// The settings that are too small for a fleet of this many machines.
pub fn settings_too_small(machines: usize, deployment: &Deployment) -> Vec<SmallLimit> {
    let machine_count = machines as f64;
    let resources = &deployment.resources;
    let records = machine_count / limits::machines_per_record(deployment.state.value_kb) as f64;
    let leader_writes_per_s = deployment.state.write_rps * limits::LEADER_WRITE_SHARE;
    let pages = machine_count / f64::from(limits::MACHINE_LIST_PAGE_SIZE);
    // Whether the setting is too small, its path, and the consequence.
    let checks = [
        (
            resources.max_sockets < machines,
            "deployment.resources.max_sockets",
            "one controller can't serve every worker: while the others are down, some workers' leases expire",
        ),
        (
            resources.memory_mb < BASE_MEMORY_MB + machine_count * MACHINE_MEMORY_MB,
            "deployment.resources.memory_mb",
            "the leader may be killed for exceeding its memory limit",
        ),
        (
            resources.cpu < machine_count / deployment.workers.report_s * HEARTBEAT_CPU_S,
            "deployment.resources.cpu",
            "one controller can't keep up: while the others are down, responses and task starts are late",
        ),
        (
            records / leader_writes_per_s > MAX_PASS_S,
            "deployment.state.write_rps",
            "recording all machines takes too long: new machines get no tasks until they are recorded",
        ),
        (
            pages * limits::MACHINE_LIST_INTERVAL_FACTOR / deployment.cloud.rps > MAX_PASS_S,
            "deployment.cloud.rps",
            "reading the machine list takes too long: machines that the cloud reclaimed are noticed late",
        ),
    ];
    let failed = checks.into_iter().filter(|(is_too_small, ..)| *is_too_small);
    failed.map(|(_, setting, consequence)| SmallLimit { setting, consequence }).collect()
}

/// Logs one warning for each setting that is too small.
#[derive(Debug, Default)]
pub struct LimitWarnings(BTreeSet<SmallLimit>);

impl LimitWarnings {
    /// Checks the settings against the current number of machines. Returns the number of new warnings.
    pub fn warn_of_new(&mut self, machines: usize, deployment: &Deployment) -> usize {
        let warned_before = self.0.len();
        for limit in settings_too_small(machines, deployment) {
            if self.0.insert(limit) {
                warn!(
                    setting = limit.setting,
                    machines,
                    consequence = limit.consequence,
                    "setting too small for the fleet"
                );
            }
        }
        self.0.len() - warned_before
    }
}
