//! What users send and are told.

use crate::limits;
use crate::scheduler::model::{JobId, JobSpec, Kind, Priority, Resources};
use serde::{Deserialize, Serialize};

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by the user.
    #[serde(rename = "uid")]
    pub job_id: String,
    /// The class of jobs that it belongs to.
    #[serde(rename = "cargo")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks run.
    #[serde(rename = "rig")]
    pub kind: JobKind,
    /// Its class of priority.
    #[serde(rename = "precedence")]
    pub priority: JobPriority,
    /// How many tasks it has.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// Processor cores of one task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, in GB.
    pub memory_gb: f64,
    /// The image that a machine needs before it runs a task.
    #[serde(rename = "manifest")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Machine types that it may use; `None`: any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that it may use.
    #[serde(rename = "quay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All its tasks must be in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of its tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Its owner's estimate of a task's run time, in seconds.
    #[serde(rename = "passage_s")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0: it never saves.
    #[serde(rename = "logbook_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Seconds from the submission until it should be complete.
    #[serde(rename = "tide_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// How the tasks of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Each task runs to its end by itself.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time, or none does.
    Gang,
    /// Tasks run until the job is cancelled.
    Service,
}

/// The classes of priority.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPriority {
    /// Before everything else.
    Critical,
    /// Before normal jobs.
    High,
    /// The ordinary class.
    Normal,
    /// After everything else.
    BestEffort,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All its tasks are done.
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// A job's state, as its user is told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobState {
    /// The job's id.
    #[serde(rename = "uid")]
    pub job_id: String,
    /// How far it has come.
    pub status: JobStatus,
    /// Tasks that are done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that are running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl JobState {
    /// A state without counts of tasks.
    pub fn without_counts(job_id: JobId, status: JobStatus) -> Self {
        JobState { job_id: job_id.to_string(), status, done: None, running: None }
    }
}

/// The longest amount that is taken: anything longer is a mistake.
const AMOUNT_MOST: f64 = 1e9;

impl Submission {
    /// Checks what the types do not, and gives the domain's form. The error names the field as users know it.
    pub fn check(&self) -> Result<JobSpec, String> {
        let job_id = JobId::parse(&self.job_id).ok_or("uid: must look like job-000412")?;
        self.check_names()?;
        self.check_amounts()?;
        self.check_places()?;
        Ok(JobSpec {
            job_id,
            class: self.class.clone(),
            team: self.team.clone(),
            kind: self.kind.into(),
            priority: self.priority.into(),
            tasks: self.tasks,
            resource_request: Resources::needed(self.cpus, self.gpus, self.memory_gb),
            image: self.image.clone(),
            image_gb: self.image_gb,
            types: self.machine_types.clone(),
            zone: self.zone.clone(),
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            estimate_s: self.estimate_s,
            checkpoint_s: self.checkpoint_s,
            save_s: self.save_s,
            deadline_s: self.deadline_s,
        })
    }

    fn check_names(&self) -> Result<(), String> {
        let names = [("cargo", &self.class), ("crew", &self.team), ("manifest", &self.image)];
        for (field, name) in names {
            if name.is_empty() || name.len() > limits::MAX_NAME_BYTES {
                return Err(format!("{field}: must have 1 to {} bytes", limits::MAX_NAME_BYTES));
            }
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), String> {
        let amounts = [
            ("cores", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("pull_gb", self.image_gb),
            ("passage_s", self.estimate_s),
            ("logbook_s", self.checkpoint_s),
            ("stow_s", self.save_s),
            ("tide_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(amount.is_finite() && (0.0..AMOUNT_MOST).contains(&amount)) {
                return Err(format!("{field}: must be an amount of 0 or more"));
            }
        }
        if self.tasks == 0 || self.tasks > limits::MAX_JOB_TASKS {
            return Err(format!("loads: must be 1 to {}", limits::MAX_JOB_TASKS));
        }
        Ok(())
    }

    fn check_places(&self) -> Result<(), String> {
        if self
            .machine_types
            .as_ref()
            .is_some_and(|t| t.is_empty() || t.len() > limits::MAX_JOB_MACHINE_TYPES)
        {
            return Err(format!("hulls: must name 1 to {} types, or be null", limits::MAX_JOB_MACHINE_TYPES));
        }
        let mut names = self.machine_types.iter().flatten().chain(&self.zone);
        if names.any(|name| name.is_empty() || name.len() > limits::MAX_NAME_BYTES) {
            return Err("hulls, quay: names must not be empty or overlong".into());
        }
        Ok(())
    }
}

impl From<JobKind> for Kind {
    fn from(kind: JobKind) -> Self {
        match kind {
            JobKind::Array => Kind::Array,
            JobKind::Gang => Kind::Gang,
            JobKind::Service => Kind::Service,
        }
    }
}

impl From<JobPriority> for Priority {
    fn from(priority: JobPriority) -> Self {
        match priority {
            JobPriority::Critical => Priority::Critical,
            JobPriority::High => Priority::High,
            JobPriority::Normal => Priority::Normal,
            JobPriority::BestEffort => Priority::Low,
        }
    }
}
