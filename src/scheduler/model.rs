//! The domain: jobs, tasks, machines, and what is told about them.

use super::termination_proof::PreviousPlacement;
use crate::lease::renewal::LastRenewal;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A job id, always `job-` and a number of at least six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Only the canonical form is an id: two spellings of one number would be two ids to a user.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        let plain = digits.len() >= 6 && digits.bytes().all(|b| b.is_ascii_digit());
        let canonical = plain && (digits.len() == 6 || !digits.starts_with('0'));
        canonical.then(|| digits.parse().ok()).flatten().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}", self.0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job_id: JobId,
    pub task: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job_id, self.task)
    }
}

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

/// Amounts in thousandths (memory in MB), so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Resources {
    pub cpus: i64,
    pub gpus: i64,
    pub memory: i64,
}

impl Resources {
    /// What a task needs, rounded up: room must never be found where the worker sees none.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |v: f64| (v * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: up(cpus), gpus: up(gpus), memory: up(memory_gb) }
    }

    /// What a machine has, rounded down.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |v: f64| (v * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(cpus), gpus: down(gpus), memory: down(memory_gb) }
    }

    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    pub fn plus(&self, o: &Resources) -> Self {
        Resources { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus, memory: self.memory + o.memory }
    }

    pub fn minus(&self, o: &Resources) -> Self {
        Resources { cpus: self.cpus - o.cpus, gpus: self.gpus - o.gpus, memory: self.memory - o.memory }
    }

    /// The smaller of each amount.
    pub fn least(&self, o: &Resources) -> Self {
        Resources {
            cpus: self.cpus.min(o.cpus),
            gpus: self.gpus.min(o.gpus),
            memory: self.memory.min(o.memory),
        }
    }

    pub fn times(&self, n: i64) -> Self {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }

    /// How many tasks of this size fit into `room`.
    pub fn count_in(&self, room: &Resources) -> i64 {
        let one = |need: i64, has: i64| if need <= 0 { i64::from(u32::MAX) } else { (has / need).max(0) };
        one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory, room.memory))
    }
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

#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub capacity: Resources,
    pub price: f64,
    pub spot_price: Option<f64>,
    pub boot_s: f64,
    /// Rate at which images are fetched, in GB a second; 0: not known.
    pub fetch_gb_per_s: f64,
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// Not running yet: waiting for its image, or for the rest of its gang.
    Fetching,
    Running,
    Saving,
    Exited(ExitReason),
}

/// A worker's heartbeat.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    pub machine: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    pub id: TaskId,
    pub attempt: u64,
    pub status: TaskStatus,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    pub attempt: u64,
    pub resource_request: Resources,
    /// (agent epoch, sequence) of the heartbeat whose answer bore the start; None until the answer is made.
    pub start_sent_in: Option<(u64, u64)>,
    /// Whether a heartbeat has listed it.
    pub confirmed: bool,
    pub status: TaskStatus,
    /// When this leader first saw it run, if it saw it start.
    pub running_since: Option<u64>,
    pub image: String,
    /// When this leader placed or first saw it: a shrink stops the newest.
    pub placed_at: u64,
    /// When a stop was first asked for, and its grace.
    pub stopping: Option<(u64, f64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented or listed; its worker has not reported to this leader.
    Pending,
    /// Its worker reports.
    Ready,
    /// Its lease has ended or it is gone: it holds nothing.
    Lost,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub address: String,
    pub capacity: Resources,
    pub state: MachineState,
    pub agent_epoch: u64,
    pub sequence: u64,
    /// A heartbeat has stated this leader's token: the task list is exact.
    pub reconciled: bool,
    /// Its record is in the state service, so that a later leader knows to wait for it.
    pub recorded: bool,
    /// An earlier leader recorded it, and may have started tasks on it.
    pub inherited: bool,
    pub last_heartbeat_at: u64,
    /// The last answer that may have renewed its lease.
    pub last_renewal: LastRenewal,
    /// The sequence of the last heartbeat that was taken in this agent epoch: answers to direct commands raise `sequence`
    /// too, and overtake heartbeats that are under way.
    pub last_heartbeat_sequence: u64,
    /// A late or repeated heartbeat of it was logged.
    pub stale_heartbeat_logged: bool,
    /// The node that its last heartbeat came through, if that was not this one, and whether that node answers
    /// by itself what says nothing new.
    pub via: Option<usize>,
    pub cached_by_leaseholder: bool,
    /// The way that it reported by before, and when it left that one.
    pub previous_route: Option<(Option<usize>, u64)>,
    /// Its leaseholder has been told to pass its next heartbeat on.
    pub wake_requested: bool,
    pub tasks: BTreeMap<TaskId, Placement>,
    /// The task list of the newest heartbeat, to tell an unchanged one by.
    pub reported_tasks: Vec<ReportedTask>,
    /// Exited tasks still listed: (task, attempt) -> cause.
    pub exited: BTreeMap<(TaskId, u64), ExitReason>,
    /// Tasks of jobs that this leader does not know, to be stopped: (task, attempt).
    pub orphaned: BTreeSet<(TaskId, u64)>,
    /// Tasks of jobs that are not known here, and when they were first reported: kept until the store has been asked.
    pub unverified: BTreeMap<(TaskId, u64), u64>,
    pub images: BTreeSet<String>,
    /// Its record in the state service does not name all of them yet.
    pub images_changed: bool,
    /// When the cloud takes it away.
    pub recall_at: Option<u64>,
    pub draining: bool,
    /// An ordinary machine that fixed work and the reserve could do without.
    pub consolidation_target: bool,
    pub deleting: bool,
    /// What the last answer said that the next heartbeat must show some trace of, our token included.
    pub unacknowledged_commands: Vec<super::TaskCommand>,
    pub token_unacknowledged: bool,
    /// Heartbeats running that show no trace of what the answer before them said.
    pub unacknowledged_heartbeats: u32,
    pub failed_jobs: BTreeSet<JobId>,
    pub no_room_backoff_until: u64,
    /// Tasks in a row that took far longer here than the rest of their job elsewhere.
    pub slow_votes: u32,
    /// Until then no array or gang is started here.
    pub slow_until: u64,
    pub idle_since: u64,
    pub known_since: u64,
    pub boot_deadline: u64,
}

impl Machine {
    /// Nothing is under way between it and us: it would be told nothing, and a heartbeat that lists what
    /// the last one did says nothing new.
    pub fn is_settled(&self) -> bool {
        self.state == MachineState::Ready
            && self.reconciled
            && self.recorded
            && self.recall_at.is_none()
            && self.unacknowledged_commands.is_empty()
            && self.orphaned.is_empty()
            && self.unverified.is_empty()
            && self.tasks.values().all(|t| t.confirmed && t.stopping.is_none())
    }

    /// How long a task with this image would wait for it, in fetches: none where the image is, and
    /// one more for every other image that is being fetched, since they share the rate.
    pub fn image_fetches(&self, image: &str) -> i64 {
        if self.images.contains(image) {
            return 0;
        }
        let waiting = self.tasks.values().filter(|t| t.status == TaskStatus::Fetching);
        let mut others: Vec<&str> =
            waiting.map(|t| t.image.as_str()).filter(|i| *i != image && !self.images.contains(*i)).collect();
        others.sort_unstable();
        others.dedup();
        1 + others.len() as i64
    }

    pub fn available(&self) -> Resources {
        self.tasks.values().fold(self.capacity, |room, t| room.minus(&t.resource_request))
    }

    /// Room once every stop under way is confirmed. A stop that has taken long is not counted on.
    pub fn available_soon(&self, now: u64) -> Resources {
        let under_way = |t: &Placement| {
            t.stopping.is_some_and(|(at, grace)| {
                now < at + crate::limits::micros(grace) + crate::limits::STOP_TIMEOUT
            })
        };
        self.tasks
            .values()
            .filter(|t| !under_way(t))
            .fold(self.capacity, |room, t| room.minus(&t.resource_request))
    }
}

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    /// When it was submitted: ages and order of arrival count from here.
    pub submitted_at: u64,
    /// Version of its record.
    pub version: u64,
    /// It may have been started by an earlier leader.
    pub inherited: bool,
    pub pending_tasks: BTreeSet<u32>,
    /// Machines that hold, or may hold, each task.
    pub placements: BTreeMap<u32, Vec<String>>,
    /// Where waiting tasks were before.
    pub previous_placements: BTreeMap<u32, PreviousPlacement>,
    pub succeeded: BTreeSet<u32>,
    /// Finished tasks not yet in the state service.
    pub unrecorded: BTreeSet<u32>,
    /// Since when some of them wait to be written.
    pub unrecorded_since: Option<u64>,
    /// The keys of finished tasks that are in the state service.
    pub recorded_chunks: BTreeSet<u32>,
    pub write_in_flight: bool,
    /// Cancelled or otherwise over: its tasks are stopped, nothing starts.
    pub terminated: bool,
    /// The last change of its width.
    pub last_resized_at: u64,
    /// The width that it was last given.
    pub width: u32,
    /// How often it failed while it was under suspicion: each time it waits twice as long.
    pub failures: u32,
    /// Machines on which its tasks failed since one of them last finished.
    pub failed_on: BTreeSet<String>,
    pub backoff_until: u64,
    /// Run times of its finished tasks: sum in microseconds, and how many.
    pub run_times: (u64, u64),
    /// The last attempt of a gang that is known to be over.
    pub ended_attempt: u64,
    /// Since when a gang that waits for some of its tasks has found no room for them.
    pub incomplete_since: Option<u64>,
    /// Why it waits, for the operators.
    pub pending_reason: &'static str,
}

impl Job {
    pub fn new(spec: JobSpec, version: u64, arrived: u64, inherited: bool, done: BTreeSet<u32>) -> Self {
        let waiting = (0..spec.tasks).filter(|t| !done.contains(t)).collect();
        let stored = done.iter().map(|t| t / crate::limits::FINISHED_TASKS_CHUNK).collect();
        Job {
            spec,
            submitted_at: arrived,
            version,
            inherited,
            pending_tasks: waiting,
            placements: BTreeMap::new(),
            previous_placements: BTreeMap::new(),
            succeeded: done,
            unrecorded: BTreeSet::new(),
            unrecorded_since: None,
            recorded_chunks: stored,
            write_in_flight: false,
            terminated: false,
            last_resized_at: 0,
            width: 0,
            failures: 0,
            failed_on: BTreeSet::new(),
            backoff_until: 0,
            run_times: (0, 0),
            ended_attempt: 0,
            incomplete_since: None,
            pending_reason: "",
        }
    }

    pub fn has_started(&self) -> bool {
        !self.placements.is_empty() || !self.succeeded.is_empty()
    }

    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.succeeded.len() as u32
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
