//! Users' submissions, and the states of jobs as users see them.

use crate::limits;
use crate::scheduler::model::{JobId, JobSpec, Kind, Priority, Resources};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by the user.
    #[serde(rename = "uid")]
    pub job_id: String,
    /// The class of jobs that it belongs to.
    #[serde(rename = "cargo")]
    pub class: String,
    /// The team whose quota applies.
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

/// The state of a job.
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

/// A job's state, as its user sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobState {
    /// The job's id.
    #[serde(rename = "uid")]
    pub job_id: String,
    /// The job's state.
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

/// Amounts from here on are taken for mistakes.
const MAX_AMOUNT: f64 = 1e9;

/// Why a submission is refused although its types are right. The text names the field as users know it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidSubmission {
    /// The job's id has another form.
    #[error("uid: must look like job-000412")]
    JobId,
    /// A name that is empty or too long.
    #[error("{field}: must have 1 to {} bytes", limits::MAX_NAME_BYTES)]
    Name {
        /// The field.
        field: &'static str,
    },
    /// An amount that is negative, too large or not a number.
    #[error("{field}: must be an amount of 0 or more")]
    Amount {
        /// The field.
        field: &'static str,
    },
    /// No task, or too many.
    #[error("loads: must be 1 to {}", limits::MAX_JOB_TASKS)]
    TaskCount,
    /// An empty list of machine types, or one that is too long.
    #[error("hulls: must name 1 to {} types, or be null", limits::MAX_JOB_MACHINE_TYPES)]
    MachineTypeCount,
    /// A machine type or zone whose name is empty or too long.
    #[error("hulls, quay: names must not be empty or overlong")]
    PlaceName,
}

impl TryFrom<&Submission> for JobSpec {
    type Error = InvalidSubmission;

    fn try_from(submission: &Submission) -> Result<Self, InvalidSubmission> {
        let job_id = JobId::parse(&submission.job_id).ok_or(InvalidSubmission::JobId)?;
        submission.check_names()?;
        submission.check_amounts()?;
        submission.check_places()?;
        Ok(JobSpec {
            job_id,
            class: submission.class.clone(),
            team: submission.team.clone(),
            kind: submission.kind.into(),
            priority: submission.priority.into(),
            tasks: submission.tasks,
            resource_request: Resources::rounded_up(submission.cpus, submission.gpus, submission.memory_gb),
            image: submission.image.clone(),
            image_gb: submission.image_gb,
            allowed_machine_types: submission.machine_types.clone(),
            required_zone: submission.zone.clone(),
            one_zone: submission.one_zone,
            spread: submission.spread,
            allows_spot: submission.spot,
            estimate_s: submission.estimate_s,
            checkpoint_interval_s: submission.checkpoint_s,
            checkpoint_save_s: submission.save_s,
            deadline_s: submission.deadline_s,
        })
    }
}

impl Submission {
    fn check_names(&self) -> Result<(), InvalidSubmission> {
        let names = [("cargo", &self.class), ("crew", &self.team), ("manifest", &self.image)];
        match names.into_iter().find(|(_, name)| !is_name(name)) {
            Some((field, _)) => Err(InvalidSubmission::Name { field }),
            None => Ok(()),
        }
    }

    fn check_amounts(&self) -> Result<(), InvalidSubmission> {
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
        let is_amount = |amount: f64| amount.is_finite() && (0.0..MAX_AMOUNT).contains(&amount);
        if let Some((field, _)) = amounts.into_iter().find(|(_, amount)| !is_amount(*amount)) {
            return Err(InvalidSubmission::Amount { field });
        }
        if self.tasks == 0 || self.tasks > limits::MAX_JOB_TASKS {
            return Err(InvalidSubmission::TaskCount);
        }
        Ok(())
    }

    fn check_places(&self) -> Result<(), InvalidSubmission> {
        let is_count = |types: &Vec<String>| (1..=limits::MAX_JOB_MACHINE_TYPES).contains(&types.len());
        if !self.machine_types.as_ref().is_none_or(is_count) {
            return Err(InvalidSubmission::MachineTypeCount);
        }
        let mut names = self.machine_types.iter().flatten().chain(&self.zone);
        if !names.all(|name| is_name(name)) {
            return Err(InvalidSubmission::PlaceName);
        }
        Ok(())
    }
}

fn is_name(name: &str) -> bool {
    (1..=limits::MAX_NAME_BYTES).contains(&name.len())
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
