//! Jobs: what was submitted, and how far it is.

use super::super::termination_proof::PreviousPlacement;
use super::{JobId, Resources};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// Lowest first, so that a larger value is the more important one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Low,
    Normal,
    High,
    Critical,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    pub job_id: JobId,
    pub class: String,
    pub team: String,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub resource_request: Resources,
    pub image: String,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The most tasks that one zone may hold.
    pub fn zone_most(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == name))
    }

    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|z| z == zone)
    }
}

/// How far the tasks of a job are, and what of it is stored.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    pub pending: BTreeSet<u32>,
    pub succeeded: BTreeSet<u32>,
    /// Finished tasks not yet in the state service.
    pub unrecorded: BTreeSet<u32>,
    /// Since when some of them wait to be written.
    pub unrecorded_since: Option<u64>,
    /// The keys of finished tasks that are in the state service.
    pub recorded_chunks: BTreeSet<u32>,
    pub write_in_flight: bool,
}

/// Failures of the tasks of a job, and the backoff that follows from them.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// How often it failed while it was under suspicion: each time it waits twice as long.
    pub count: u32,
    /// Machines on which its tasks failed since one of them last finished.
    pub machines: BTreeSet<String>,
    pub backoff_until: u64,
}

/// The width of a job and its last change.
#[derive(Debug, Clone, Default)]
pub struct Elasticity {
    /// The last change of its width.
    pub last_resized_at: u64,
    /// The width that it was last given.
    pub width: u32,
}

/// The attempts of a gang.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// The last attempt of a gang that is known to be over.
    pub ended_attempt: u64,
    /// Since when a gang that waits for some of its tasks has found no room for them.
    pub incomplete_since: Option<u64>,
}

/// A job as the leader knows it.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    /// When it was submitted: ages and order of arrival count from here.
    pub submitted_at: u64,
    /// Version of its record.
    pub version: u64,
    /// It may have been started by an earlier leader.
    pub inherited: bool,
    /// Machines that hold, or may hold, each task.
    pub placements: BTreeMap<u32, Vec<String>>,
    /// Where waiting tasks were before.
    pub previous_placements: BTreeMap<u32, PreviousPlacement>,
    /// Cancelled or otherwise over: its tasks are stopped, nothing starts.
    pub terminated: bool,
    /// Run times of its finished tasks: sum in microseconds, and how many.
    pub run_times: (u64, u64),
    /// Why it waits, for the operators.
    pub pending_reason: &'static str,
    /// How far the tasks of a job are, and what of it is stored.
    pub progress: Progress,
    /// Failures of the tasks of a job, and the backoff that follows from them.
    pub failure_history: JobFailures,
    /// The width of a job and its last change.
    pub elasticity: Elasticity,
    /// The attempts of a gang.
    pub gang: GangState,
}

impl Job {
    pub fn new(spec: JobSpec, version: u64, arrived: u64, inherited: bool, succeeded: BTreeSet<u32>) -> Self {
        let pending = (0..spec.tasks).filter(|t| !succeeded.contains(t)).collect();
        let recorded_chunks = succeeded.iter().map(|t| t / crate::limits::FINISHED_TASKS_CHUNK).collect();
        Job {
            spec,
            submitted_at: arrived,
            version,
            inherited,
            placements: BTreeMap::new(),
            previous_placements: BTreeMap::new(),
            terminated: false,
            run_times: (0, 0),
            pending_reason: "",
            progress: Progress { pending, succeeded, recorded_chunks, ..Progress::default() },
            failure_history: JobFailures::default(),
            elasticity: Elasticity::default(),
            gang: GangState::default(),
        }
    }

    pub fn has_started(&self) -> bool {
        !self.placements.is_empty() || !self.progress.succeeded.is_empty()
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.progress.succeeded.len() as u32
    }

    /// What so many of its tasks take, by their owner's estimate, in seconds of one slot.
    pub fn work(&self, tasks: u32) -> f64 {
        f64::from(tasks) * self.spec.estimate_s.max(1.0)
    }

    /// The least number of tasks that it starts with. Replicas serve their users each by itself, so
    /// those of a service start as they find room, though its width stays what it is.
    pub fn admission(&self) -> u32 {
        match self.spec.kind {
            Kind::Service => 1,
            _ => self.minimum(),
        }
    }

    pub fn minimum(&self) -> u32 {
        match self.spec.kind {
            Kind::Array => 1.min(self.unfinished()),
            Kind::Gang => self.unfinished(),
            Kind::Service => self.spec.tasks,
        }
    }
}
