//! What the cloud offers for rent.

use crate::scheduler::model::{Machine, StoredMachine};
use std::collections::BTreeSet;

/// A kind of machine that the cloud may have. Ordered by type, then by zone, ordinary before spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKind {
    /// Name of the machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

impl MachineKind {
    /// The offer by which this machine was rented.
    pub fn of(machine: &Machine) -> Self {
        MachineKind {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    /// A machine that was just rented under this name.
    pub fn machine_named(&self, name: String) -> StoredMachine {
        StoredMachine {
            name,
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            address: String::new(),
            images: BTreeSet::new(),
        }
    }
}
