//! Jobs: their submitted specification, and the leader's record of their progress.

use super::{JobFailures, JobId, PendingReason, PreviousPlacement, Resources};
use crate::limits;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// Whether the tasks of a job depend on one another, and whether they end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Independent tasks, each of which runs until it has succeeded once.
    Array,
    /// Tasks that run only at the same time, all or none.
    Gang,
    /// Independent replicas that run until the job is cancelled.
    Service,
}

/// Importance of a job, lowest first: a larger value is more important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// After everything else.
    Low,
    /// The ordinary class.
    Normal,
    /// Before normal jobs.
    High,
    /// Before everything else. May also preempt jobs inside their rescale gap (see [`WidthState`]) and below
    /// their minimum width.
    Critical,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub job_id: JobId,
    /// Label that the submitter chose. Shown in the overview and in logs; no decision depends on it.
    pub class: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// Kind of job: array, gang or service.
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
    /// Names of the machine types on which it may run. None: all.
    pub allowed_machine_types: Option<Vec<String>>,
    /// The only zone in which it may run. None: any.
    pub required_zone: Option<String>,
    /// Whether all its tasks must be in the same zone, whichever that is.
    pub one_zone: bool,
    /// Whether its tasks must be spread over zones; see [`JobSpec::max_tasks_per_zone`].
    pub spread: bool,
    /// Whether it may run on spot machines.
    pub allows_spot: bool,
    /// The owner's estimate of the run time of one task, in seconds.
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; zero: its tasks save no checkpoints.
    pub checkpoint_interval_s: f64,
    /// How long a task needs to save a checkpoint when it is stopped, in seconds.
    pub checkpoint_save_s: f64,
    /// Seconds after submission by which it should be finished.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Maximum number of its tasks in one zone: half of them, rounded up, if they must be spread.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether it may run on machines of the type with this name.
    pub fn allows_type(&self, name: &str) -> bool {
        self.allowed_machine_types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == name))
    }

    /// Whether it may run in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.required_zone.as_deref().is_none_or(|allowed| allowed == zone)
    }
}

/// Progress of the tasks of a job, and how much of it is stored in the state service. Tasks are given by
/// index.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Tasks that are provably on no machine and have to be started.
    pub pending: BTreeSet<u32>,
    /// Tasks that have succeeded, stored or not.
    pub succeeded: BTreeSet<u32>,
    /// Succeeded tasks that no confirmed write has stored since they were added here. The success of a gang
    /// adds all its tasks, even those that are already stored.
    pub unstored: BTreeSet<u32>,
    /// Since when there have been unstored tasks. None: there are none.
    pub unstored_since: Option<Timestamp>,
    /// Indices of the chunks of succeeded tasks (`FINISHED_TASKS_CHUNK` each) that have a key in the state
    /// service.
    pub stored_chunks: BTreeSet<u32>,
    /// Whether a write of this progress is under way.
    pub write_in_flight: bool,
}

impl Progress {
    /// Records at `now` that these tasks have succeeded and have to be stored. Without effect if all of them
    /// had succeeded before.
    pub(in crate::scheduler) fn record_succeeded(&mut self, tasks: Range<u32>, now: Timestamp) {
        let previous_count = self.succeeded.len();
        self.succeeded.extend(tasks.clone());
        if self.succeeded.len() > previous_count {
            self.pending.retain(|task| !tasks.contains(task));
            self.unstored.extend(tasks);
            self.unstored_since.get_or_insert(now);
        }
    }
}

/// Run times of the succeeded tasks of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Sum of the run times.
    pub total: Duration,
    /// Number of run times.
    pub count: u64,
}

impl RunTimes {
    /// Adds a run time.
    pub fn add(&mut self, run_time: Duration) {
        self.total += run_time;
        self.count += 1;
    }
}

/// The width of a job and when it last changed.
///
/// Growth, preemption or the move of a replica begins the job's rescale gap of `rescale_gap_s` seconds.
/// Inside the gap, a running job grows only into capacity that is left after the jobs that are not inside
/// their rescale gaps have been served, and only critical jobs preempt its tasks.
#[derive(Debug, Clone, Default)]
pub struct WidthState {
    /// When its width last changed or a replica of it was last moved; zero: never. Its rescale gap begins
    /// then.
    pub last_resized_at: Timestamp,
    /// Target number of tasks placed at the same time. If tasks are lost so that fewer are placed, they are
    /// replaced even inside the rescale gap.
    pub granted_width: u32,
}

/// The attempts of a gang.
#[derive(Debug, Clone, Default)]
pub struct GangState {
    /// Number of the last attempt of the gang that is known to have ended; zero: none.
    pub last_ended_attempt: u64,
    /// Since when only a part of the gang has been placed, without room for its other tasks.
    pub incomplete_since: Option<Timestamp>,
}

/// A job as the leader knows it.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// When it was submitted. Determines its age and its place in the order of arrival.
    pub submitted_at: Timestamp,
    /// Version of its record in the state service.
    pub version: u64,
    /// Whether an earlier leader may have started it.
    pub inherited: bool,
    /// By task index: names of the machines that hold, or may hold, the task.
    pub placements: BTreeMap<u32, Vec<String>>,
    /// By index of a pending task: its last machine, and the proof that it has ended there.
    pub previous_placements: BTreeMap<u32, PreviousPlacement>,
    /// Whether it is cancelled or finished: running tasks are stopped, and no task starts.
    pub terminated: bool,
    /// Run times of its succeeded tasks.
    pub run_times: RunTimes,
    /// Why tasks of it last stayed pending. None: none ever had to wait. Kept after the wait has ended.
    pub pending_reason: Option<PendingReason>,
    /// Progress of its tasks.
    pub progress: Progress,
    /// Failures of its tasks.
    pub failure_history: JobFailures,
    /// Its width and the last change of it.
    pub width_state: WidthState,
    /// State of its attempts, if it is a gang.
    pub gang: GangState,
}

impl Job {
    /// A job without placements. `succeeded`: indices of the tasks whose success is stored in the state
    /// service.
    pub fn new(
        spec: JobSpec,
        version: u64,
        submitted_at: Timestamp,
        inherited: bool,
        succeeded: BTreeSet<u32>,
    ) -> Self {
        let pending = (0..spec.tasks).filter(|task| !succeeded.contains(task)).collect();
        let stored_chunks = succeeded.iter().map(|task| task / limits::FINISHED_TASKS_CHUNK).collect();
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
            progress: Progress { pending, succeeded, stored_chunks, ..Progress::default() },
            failure_history: JobFailures::default(),
            width_state: WidthState::default(),
            gang: GangState::default(),
        }
    }

    /// Whether any of its tasks is placed or has succeeded.
    pub fn has_started(&self) -> bool {
        !self.placements.is_empty() || !self.progress.succeeded.is_empty()
    }

    /// Number of tasks that have not succeeded.
    pub fn unfinished_task_count(&self) -> u32 {
        self.spec.tasks - self.progress.succeeded.len() as u32
    }

    /// Estimated run time of this many of its tasks added up, in seconds; per task at least 1 s.
    pub fn estimated_work_s(&self, tasks: u32) -> f64 {
        f64::from(tasks) * self.spec.estimate_s.max(1.0)
    }

    /// Minimum number of tasks with which it starts. The replicas of a service are independent, so each
    /// starts as soon as there is room for it, although the minimum width of a service is the number of all
    /// its replicas.
    pub fn admission_width(&self) -> u32 {
        match self.spec.kind {
            Kind::Service => 1,
            Kind::Array | Kind::Gang => self.minimum_width(),
        }
    }

    /// Minimum width. The job is not preempted below this width, except by critical jobs.
    pub fn minimum_width(&self) -> u32 {
        match self.spec.kind {
            Kind::Array => 1.min(self.unfinished_task_count()),
            Kind::Gang => self.unfinished_task_count(),
            Kind::Service => self.spec.tasks,
        }
    }
}
