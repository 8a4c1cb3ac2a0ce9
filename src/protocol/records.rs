//! Records in the state service. Earlier versions of the program read and write the same records, so no serde name here
//! may change.

use super::users::{JobStatus, Submission};
use crate::fencing_token::FencingToken;
use crate::scheduler::StoredMachine;
use serde::{Deserialize, Serialize};

/// `live/<job id>`: a job as submitted, and when, so that its age outlives a change of leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    /// The submission as its user sent it.
    #[serde(flatten)]
    pub submission: Submission,
    /// When it was accepted, in milliseconds since 1970; 0: not known.
    #[serde(default)]
    pub accepted_ms: u64,
}

impl LiveRecord {
    /// The number of tasks of a stored job, also where the rest of its record can't be read; 0 where it has none.
    pub fn tasks_of(stored: &serde_json::Value) -> u32 {
        stored.get("loads").and_then(serde_json::Value::as_u64).unwrap_or(0) as u32
    }
}

/// `leader/epoch`: the leader and its fencing token.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Epoch {
    /// The fencing token; it rises with every change of leader.
    pub token: FencingToken,
    /// The name of the node that leads.
    pub node: String,
    /// The incarnation of that node's process.
    pub incarnation: u64,
}

/// `over/<job id>`: how a job ended.
#[derive(Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// The final state: done or cancelled.
    pub status: JobStatus,
    /// How many tasks the job had.
    pub tasks: u32,
}

/// `fleet/machines/<key>` holds a list of these: machines that may have been assigned tasks.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The machine's name.
    #[serde(rename = "vessel")]
    pub machine: String,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "quay")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Where its worker takes direct commands.
    pub address: String,
    /// Images that it has fetched, as far as the leader knows.
    #[serde(default)]
    pub images: Vec<String>,
}

impl From<StoredMachine> for MachineRecord {
    fn from(machine: StoredMachine) -> Self {
        MachineRecord {
            machine: machine.name,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            address: machine.address,
            images: machine.images.into_iter().collect(),
        }
    }
}

impl From<MachineRecord> for StoredMachine {
    fn from(record: MachineRecord) -> Self {
        StoredMachine {
            name: record.machine,
            machine_type: record.machine_type,
            zone: record.zone,
            spot: record.spot,
            address: record.address,
            images: record.images.into_iter().collect(),
        }
    }
}
