//! Jobs: what was submitted, and how far it is.

use super::{JobId, PendingReason, PreviousPlacement, Resources};
use crate::limits;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Tasks that run independently, each once to its end.
    Array,
    /// Tasks that run only all together.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Importance of a job. Lowest first, so that a larger value is the more important one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// After everything else.
    Low,
    /// The ordinary class.
    Normal,
    /// Before normal jobs.
    High,
    /// Before everything else. May also preempt jobs inside their rescale gap, and below their minimum width.
    Critical,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub job_id: JobId,
    /// The class of jobs that it belongs to, for the overview and the usage log.
    pub class: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// How its tasks belong together.
    pub kind: Kind,
    /// Its importance.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub resource_request: Resources,
    /// Name of the image of each task.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Names of the machine types that it may use. None: all.
    pub types: Option<Vec<String>>,
    /// The only zone that it may use. None: all.
    pub zone: Option<String>,
    /// Whether all its tasks must be in one zone, whichever it is.
    pub one_zone: bool,
    /// Whether its tasks must be spread over zones; see [`JobSpec::zone_most`].
    pub spread: bool,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Its owner's estimate of the run time of a task, in seconds.
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; zero: it saves none.
    pub checkpoint_s: f64,
    /// How long a task needs to save a checkpoint when it is stopped, in seconds.
    pub save_s: f64,
    /// Seconds after submission at which it should be finished.
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

    /// Whether it may use machines of this type.
    pub fn allows_type(&self, name: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == name))
    }

    /// Whether it may use machines in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|allowed| allowed == zone)
    }
}

/// How far the tasks of a job are, and how much of that is in the state service.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Tasks that are provably on no machine and have to be started.
    pub pending: BTreeSet<u32>,
    /// Tasks that have succeeded, whether or not that is stored.
    pub succeeded: BTreeSet<u32>,
    /// Succeeded tasks that are not in the state service yet.
    pub unrecorded: BTreeSet<u32>,
    /// Since when there are unrecorded tasks.
    pub unrecorded_since: Option<Timestamp>,
    /// Chunks of succeeded tasks that have a key in the state service.
    pub recorded_chunks: BTreeSet<u32>,
    /// Whether a write of this progress is under way.
    pub write_in_flight: bool,
}

impl Progress {
    /// Records that these tasks have succeeded at `now`. Without effect if all of them had before.
    pub(in crate::scheduler) fn record_succeeded(&mut self, tasks: Range<u32>, now: Timestamp) {
        let before = self.succeeded.len();
        self.succeeded.extend(tasks.clone());
        if self.succeeded.len() > before {
            self.pending.retain(|task| !tasks.contains(task));
            self.unrecorded.extend(tasks);
            self.unrecorded_since.get_or_insert(now);
        }
    }
}

/// Run times of the succeeded tasks of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Sum of the run times.
    pub total: Duration,
    /// How many there are.
    pub count: u64,
}

impl RunTimes {
    /// Adds a run time.
    pub fn add(&mut self, run_time: Duration) {
        self.total += run_time;
        self.count += 1;
    }
}

/// Failures of the tasks of a job, and the backoff that follows from them.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// How often it failed while it was itself suspected. Each time doubles its backoff.
    pub count: u32,
    /// Machines on which its tasks failed since one of them last succeeded.
    pub machines: BTreeSet<String>,
    /// Until then none of its tasks starts.
    pub backoff_until: Timestamp,
}

/// The width of a job and its last change.
#[derive(Debug, Clone, Default)]
pub struct Elasticity {
    /// When its width last changed; zero: never.
    pub last_resized_at: Timestamp,
    /// The width (number of tasks at once) that it was last given.
    pub width: u32,
}

/// The attempts of a gang.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// The last attempt of the gang that is known to have ended.
    pub ended_attempt: u64,
    /// Since when a part of the gang is placed and the rest has found no room.
    pub incomplete_since: Option<Timestamp>,
}

/// A job as the leader knows it.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// When it was submitted. Its age and its place in the order of arrival count from here.
    pub submitted_at: Timestamp,
    /// Version of its record in the state service.
    pub version: u64,
    /// Whether an earlier leader may have started it.
    pub inherited: bool,
    /// Names of the machines that hold, or may hold, each task.
    pub placements: BTreeMap<u32, Vec<String>>,
    /// Where pending tasks were before.
    pub previous_placements: BTreeMap<u32, PreviousPlacement>,
    /// Whether it is cancelled or finished: its tasks are stopped, and none starts.
    pub terminated: bool,
    /// Run times of its succeeded tasks.
    pub run_times: RunTimes,
    /// Why it last had to wait, for operators. None: it never had to.
    pub pending_reason: Option<PendingReason>,
    /// How far its tasks are.
    pub progress: Progress,
    /// Failures of its tasks.
    pub failure_history: JobFailures,
    /// Its width.
    pub elasticity: Elasticity,
    /// Its attempts, if it is a gang.
    pub gang: GangState,
}

impl Job {
    /// A job of which nothing is placed. `succeeded`: the tasks of which the state
    /// service records that they have succeeded.
    pub fn new(
        spec: JobSpec,
        version: u64,
        submitted_at: Timestamp,
        inherited: bool,
        succeeded: BTreeSet<u32>,
    ) -> Self {
        let pending = (0..spec.tasks).filter(|task| !succeeded.contains(task)).collect();
        let recorded_chunks = succeeded.iter().map(|task| task / limits::FINISHED_TASKS_CHUNK).collect();
        Job {
            spec,
            submitted_at,
            version,
            inherited,
            placements: BTreeMap::new(),
            previous_placements: BTreeMap::new(),
            terminated: false,
            run_times: RunTimes::default(),
            pending_reason: None,
            progress: Progress { pending, succeeded, recorded_chunks, ..Progress::default() },
            failure_history: JobFailures::default(),
            elasticity: Elasticity::default(),
            gang: GangState::default(),
        }
    }

    /// Whether some task of it is placed or has succeeded.
    pub fn has_started(&self) -> bool {
        !self.placements.is_empty() || !self.progress.succeeded.is_empty()
    }

    /// Number of tasks that have not succeeded.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.progress.succeeded.len() as u32
    }

    /// Estimated work of this many of its tasks, in seconds of one slot.
    pub fn work(&self, tasks: u32) -> f64 {
        f64::from(tasks) * self.spec.estimate_s.max(1.0)
    }

    /// The least number of tasks that it starts with. The replicas of a service are independent, so each starts as
    /// soon as it finds room, although the service's minimum width is that of all.
    pub fn admission(&self) -> u32 {
        match self.spec.kind {
            Kind::Service => 1,
            Kind::Array | Kind::Gang => self.minimum(),
        }
    }

    /// The least width that it can do with. It is not preempted below that, except by critical jobs.
    pub fn minimum(&self) -> u32 {
        match self.spec.kind {
            Kind::Array => 1.min(self.unfinished()),
            Kind::Gang => self.unfinished(),
            Kind::Service => self.spec.tasks,
        }
    }
}
