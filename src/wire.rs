//! The protocols' JSON, with their odd words, mapped at this edge to the domain's names.

use crate::core::model::{Cause, JobSpec, Kind, Priority, Resources, TaskId, TaskStatus, Uid};
use crate::core::StoredMachine;
use crate::limits;
use serde::{Deserialize, Serialize};

/// A submission as users send it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub uid: String,
    pub cargo: String,
    pub crew: String,
    pub rig: Rig,
    pub precedence: Precedence,
    pub loads: u32,
    pub cores: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub manifest: String,
    pub pull_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hulls: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quay: Option<String>,
    pub same_place: bool,
    pub apart: bool,
    pub driftwood: bool,
    pub passage_s: f64,
    pub logbook_s: f64,
    pub stow_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tide_s: Option<f64>,
}

/// `live/<uid>`: a job as submitted, and when, so that its age outlives a change of leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    #[serde(flatten)]
    pub submission: Submission,
    /// Milliseconds of the time of day.
    #[serde(default)]
    pub accepted_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rig {
    Sweep,
    /// Tasks that only run together.
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precedence {
    Critical,
    High,
    Normal,
    BestEffort,
}

/// Reads JSON and names the field that is wrong.
pub fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value =
        serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string().as_str() {
            "." => e.inner().to_string(),
            path => format!("{path}: {}", e.inner()),
        })?;
    json.end().map_err(|e| e.to_string())?;
    Ok(value)
}

impl Submission {
    /// Checks what the types do not, and gives the domain's form.
    pub fn check(&self) -> Result<JobSpec, String> {
        let uid = Uid::parse(&self.uid).ok_or("uid: must look like job-000412")?;
        let names = [("cargo", &self.cargo), ("crew", &self.crew), ("manifest", &self.manifest)];
        for (field, name) in names {
            if name.is_empty() || name.len() > limits::NAME_MOST {
                return Err(format!("{field}: must have 1 to {} bytes", limits::NAME_MOST));
            }
        }
        let amounts = [
            ("cores", self.cores),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("pull_gb", self.pull_gb),
            ("passage_s", self.passage_s),
            ("logbook_s", self.logbook_s),
            ("stow_s", self.stow_s),
            ("tide_s", self.tide_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(amount.is_finite() && (0.0..1e9).contains(&amount)) {
                return Err(format!("{field}: must be an amount of 0 or more"));
            }
        }
        if self.loads == 0 || self.loads > limits::TASKS_MOST {
            return Err(format!("loads: must be 1 to {}", limits::TASKS_MOST));
        }
        let types = self.hulls.iter().flatten();
        if self.hulls.as_ref().is_some_and(|t| t.is_empty() || t.len() > limits::TYPES_MOST) {
            return Err(format!("hulls: must name 1 to {} types, or be null", limits::TYPES_MOST));
        }
        if types.chain(&self.quay).any(|name| name.is_empty() || name.len() > limits::NAME_MOST) {
            return Err("hulls, quay: names must not be empty or overlong".into());
        }
        Ok(JobSpec {
            uid,
            class: self.cargo.clone(),
            team: self.crew.clone(),
            kind: match self.rig {
                Rig::Sweep => Kind::Array,
                Rig::Gang => Kind::Gang,
                Rig::Service => Kind::Service,
            },
            priority: match self.precedence {
                Precedence::Critical => Priority::Critical,
                Precedence::High => Priority::High,
                Precedence::Normal => Priority::Normal,
                Precedence::BestEffort => Priority::Low,
            },
            tasks: self.loads,
            needs: Resources::needed(self.cores, self.gpus, self.memory_gb),
            image: self.manifest.clone(),
            image_gb: self.pull_gb,
            types: self.hulls.clone(),
            zone: self.quay.clone(),
            one_zone: self.same_place,
            spread: self.apart,
            spot: self.driftwood,
            estimate_s: self.passage_s,
            checkpoint_s: self.logbook_s,
            save_s: self.stow_s,
            deadline_s: self.tide_s,
        })
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobState {
    pub uid: String,
    pub status: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Checkin {
    pub vessel: String,
    pub address: String,
    pub hull: String,
    pub quay: String,
    #[serde(default)]
    pub driftwood: bool,
    pub watch: u64,
    pub tally: u64,
    #[serde(default)]
    pub helm: u64,
    #[serde(default)]
    pub recall_s: Option<f64>,
    #[serde(default)]
    pub loads: Vec<CheckinTask>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckinTask {
    pub load: String,
    pub launch: u64,
    pub status: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    #[serde(default)]
    pub saved: bool,
}

impl CheckinTask {
    pub fn status(&self) -> TaskStatus {
        match (self.status.as_str(), self.cause.as_deref()) {
            ("fetching" | "waiting", _) => TaskStatus::Fetching,
            ("flushing", _) => TaskStatus::Saving,
            ("exited", Some("done")) => TaskStatus::Exited(Cause::Done),
            // A gang's task whose mates are gone or never came has not failed.
            ("exited", Some("halted" | "mates_gone" | "incomplete")) => TaskStatus::Exited(Cause::Stopped),
            ("exited", Some("no_room")) => TaskStatus::Exited(Cause::NoRoom),
            ("exited", Some("in_use")) => TaskStatus::Exited(Cause::Busy),
            ("exited", Some("unknown")) => TaskStatus::Exited(Cause::Unknown),
            ("exited", _) => TaskStatus::Exited(Cause::Error),
            // A state we do not know still occupies its machine.
            _ => TaskStatus::Running,
        }
    }

    pub fn id(&self) -> Option<TaskId> {
        let (uid, task) = self.load.split_once('/')?;
        Some(TaskId { uid: Uid::parse(uid)?, task: task.parse().ok()? })
    }
}

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(tag = "signal", rename_all = "snake_case")]
pub enum Signal {
    Run { load: String, launch: u64 },
    Stop { load: String, launch: u64, mooring_s: f64 },
    Reap { load: String, launch: u64 },
}

#[derive(Debug, Serialize)]
pub struct CheckinAnswer {
    pub helm: u64,
    pub signals: Vec<Signal>,
}

#[derive(Debug, Serialize)]
pub struct Orders {
    pub helm: u64,
    pub watch: u64,
    pub signals: Vec<Signal>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    pub hulls: Vec<Hull>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hull {
    pub label: String,
    pub cores: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    #[serde(default)]
    pub spot_price: Option<f64>,
    pub boot_s: f64,
    pub quays: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct Rental<'a> {
    pub charter: &'a str,
    pub hull: &'a str,
    pub quay: &'a str,
    pub driftwood: bool,
    pub how_many: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Names {
    pub vessels: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct Rentals {
    pub vessels: Vec<Vessel>,
    #[serde(default)]
    pub has_next: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Vessel {
    pub uid: String,
    #[serde(default)]
    pub address: String,
    pub hull: String,
    pub quay: String,
    #[serde(default)]
    pub driftwood: bool,
    pub status: String,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Record {
    pub path: String,
    pub value: serde_json::Value,
    pub entry: u64,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    pub items: Vec<Record>,
    #[serde(default)]
    pub has_next: bool,
    pub ledger: u64,
}

#[derive(Debug, Serialize)]
pub struct Compare {
    pub path: String,
    pub entry: u64,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        value: serde_json::Value,
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Remove {
        remove: String,
    },
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Change::Write { write: key, .. } | Change::Remove { remove: key } => key,
        }
    }

    pub fn writes(&self) -> bool {
        matches!(self, Change::Write { .. })
    }
}

#[derive(Debug, Serialize)]
pub struct Transaction {
    pub when: Vec<Compare>,
    pub then: Vec<Change>,
}

#[derive(Debug, Deserialize)]
pub struct Ledger {
    pub ledger: u64,
}

#[derive(Debug, Deserialize)]
pub struct Permit {
    pub permit: u64,
}

#[derive(Debug, Deserialize)]
pub struct Follow {
    pub ledger: u64,
    pub events: Vec<FollowEvent>,
}

#[derive(Debug, Deserialize)]
pub struct FollowEvent {
    #[serde(default)]
    pub write: Option<String>,
    #[serde(default)]
    pub remove: Option<String>,
    #[serde(default)]
    pub value: serde_json::Value,
    pub entry: u64,
}

/// `leader/epoch`: who leads, and with which token.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Epoch {
    pub token: u64,
    pub node: String,
    pub incarnation: u64,
}

/// `over/<uid>`: how a job ended.
#[derive(Debug, Serialize, Deserialize)]
pub struct Over {
    pub status: String,
    pub tasks: u32,
}

/// `fleet/machines/<key>`: a list of machines that may have been given tasks.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetRecord {
    pub vessel: String,
    pub hull: String,
    pub quay: String,
    pub driftwood: bool,
    pub address: String,
    /// Images that it has fetched, as far as the leader saw.
    #[serde(default)]
    pub images: Vec<String>,
}

impl From<StoredMachine> for FleetRecord {
    fn from(machine: StoredMachine) -> Self {
        FleetRecord {
            vessel: machine.name,
            hull: machine.machine_type,
            quay: machine.zone,
            driftwood: machine.spot,
            address: machine.address,
            images: machine.images.into_iter().collect(),
        }
    }
}

impl From<FleetRecord> for StoredMachine {
    fn from(record: FleetRecord) -> Self {
        StoredMachine {
            name: record.vessel,
            machine_type: record.hull,
            zone: record.quay,
            spot: record.driftwood,
            address: record.address,
            images: record.images.into_iter().collect(),
        }
    }
}
