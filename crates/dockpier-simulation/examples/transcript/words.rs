//! The transcript's words for what the program names with types of its own.

use dockpier::lease::renewal::{LeaseRenewal, RenewalBasis};
use dockpier::scheduler::model::{Kind, Priority, TaskId};
use dockpier::scheduler::StoredMachine;

/// A task: its job's number and its own.
pub fn task(id: &TaskId) -> String {
    format!("{}/{}", id.job_id.0, id.task)
}

/// A kind of job.
pub fn job_kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Array => "array",
        Kind::Gang => "gang",
        Kind::Service => "service",
    }
}

/// A priority.
pub fn priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Critical => "critical",
    }
}

/// On what grounds an answer renews a lease.
pub fn renewal(renewal: Option<&LeaseRenewal>) -> &'static str {
    match renewal.map(LeaseRenewal::basis) {
        None => "none",
        Some(RenewalBasis::Leader) => "leader",
        Some(RenewalBasis::BeforeLoad) => "before-load",
        Some(RenewalBasis::KeepAlive) => "lease-keeper",
        Some(RenewalBasis::Leaseholder) => "lessee",
        Some(RenewalBasis::Relayed) => "relayed",
    }
}

/// A machine as it is stored.
pub fn stored_machine(machine: &StoredMachine) -> String {
    let StoredMachine { name, machine_type, zone, spot, address, images } = machine;
    let images: Vec<&str> = images.iter().map(String::as_str).collect();
    format!("{name}:{machine_type}:{zone}:{spot}:{address}:{}", images.join("+"))
}
