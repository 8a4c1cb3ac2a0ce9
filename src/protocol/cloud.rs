//! Requests to the cloud and its responses.

use crate::scheduler::model::{MachineType, Resources};
use crate::scheduler::{ListedMachine, StoredMachine};
use serde::{Deserialize, Serialize};

/// The machine types that the cloud has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// One entry a type.
    #[serde(rename = "hulls")]
    pub machine_types: Vec<CatalogEntry>,
}

/// A machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogEntry {
    /// The type's name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processor cores.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Room for images in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine, an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Present price of a spot machine, an hour; `None`: there are none.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
    /// The zones that have it.
    #[serde(rename = "quays")]
    pub zones: Vec<String>,
}

impl From<&CatalogEntry> for MachineType {
    fn from(entry: &CatalogEntry) -> Self {
        MachineType {
            name: entry.name.clone(),
            capacity: Resources::rounded_down(entry.cpus, entry.gpus, entry.memory_gb),
            price: entry.price,
            spot_price: entry.spot_price,
            boot_s: entry.boot_s,
            fetch_gb_per_s: entry.fetch_gb_per_s,
            zones: entry.zones.clone(),
        }
    }
}

/// A request for machines.
#[derive(Debug, Serialize)]
pub struct RentalRequest<'a> {
    /// Its name. The request is idempotent: the same name again rents nothing more.
    #[serde(rename = "charter")]
    pub request_id: &'a str,
    /// The type wanted.
    #[serde(rename = "hull")]
    pub machine_type: &'a str,
    /// The zone wanted.
    #[serde(rename = "quay")]
    pub zone: &'a str,
    /// Spot machines are wanted.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many are wanted.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Machines by name: those rented, or those to be deleted.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "vessels")]
    pub machines: Vec<String>,
}

/// A page of the list of machines.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// In the order of their names.
    #[serde(rename = "vessels")]
    pub machines: Vec<MachineListEntry>,
    /// More follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}

/// The status of a machine that stopped on its own.
pub const FAILED: &str = "failed";

/// A machine in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineListEntry {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub name: String,
    /// Where its worker takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// The machine's state, as a word.
    pub status: String,
    /// Seconds since it was asked for, as of the moment that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

impl From<MachineListEntry> for ListedMachine {
    fn from(entry: MachineListEntry) -> Self {
        ListedMachine {
            failed: entry.status == FAILED,
            age_s: entry.age_s,
            machine: StoredMachine {
                name: entry.name,
                machine_type: entry.machine_type,
                zone: entry.zone,
                spot: entry.spot,
                address: entry.address,
                // The cloud does not know which images a machine has fetched.
                images: Default::default(),
            },
        }
    }
}
