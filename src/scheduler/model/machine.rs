//! Machines: their types, and what the leader knows of each.

use super::{
    CommandTracker, HeartbeatTracker, JobId, Placement, ReportedTasks, Resources, Route, TaskId, TaskStatus,
};
use crate::lease::renewal::LastRenewal;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A type of machine that the cloud offers.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Resources of one machine.
    pub capacity: Resources,
    /// Price per hour as an ordinary machine.
    pub price: f64,
    /// Present price per hour as a spot machine. None: not offered as one.
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
    /// Rate at which images are fetched, in GB per second; zero: not known.
    pub fetch_gb_per_s: f64,
    /// Zones in which it is offered.
    pub zones: Vec<String>,
}

/// Whether a machine can hold tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It is rented, recorded or listed; its worker has sent no heartbeat to this leader.
    Pending,
    /// Its worker sends heartbeats.
    Ready,
    /// Its lease has expired or it is deleted: it holds no task.
    Lost,
}

/// A machine as the state service has it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredMachine {
    /// Name of the machine.
    pub name: String,
    /// Name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where its worker accepts direct commands.
    pub address: String,
    /// Images that it has, so that a new leader still places jobs where they start at once.
    pub images: BTreeSet<String>,
}

/// Images that a machine has.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    /// Names of the images.
    pub images: BTreeSet<String>,
    /// Whether the machine's record in the state service lacks some of them.
    pub changed: bool,
}

/// Failures that are held against a machine.
#[derive(Debug, Clone, Default)]
pub struct MachineHealth {
    /// Jobs of which a task failed here, unless the job was itself suspected at that time.
    pub failed_jobs: BTreeSet<JobId>,
    /// Until then nothing is placed here: a task failed, or the worker had no room for one.
    pub no_room_backoff_until: Timestamp,
    /// Tasks in a row that took far longer here than the rest of their job elsewhere.
    pub slow_tasks: u32,
    /// Until then no array or gang is placed here.
    pub quarantined_until: Timestamp,
}

/// From the rental of a machine to its deletion.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    /// When the cloud recalls it, if it has given notice.
    pub recall_at: Option<Timestamp>,
    /// Whether it is to be replaced: nothing new is placed on it.
    pub draining: bool,
    /// An ordinary machine that fixed work and the reserve could do without.
    pub consolidation_target: bool,
    /// Whether its deletion has been ordered.
    pub deleting: bool,
    /// Since when it holds no task.
    pub idle_since: Timestamp,
    /// When this leader first knew of it.
    pub known_since: Timestamp,
    /// When it counts as failed if it has sent no heartbeat.
    pub boot_deadline: Timestamp,
}

impl Lifecycle {
    /// Whether the machine is on its way out, for whatever reason.
    pub(in crate::scheduler) fn is_leaving(&self) -> bool {
        self.draining || self.deleting || self.recall_at.is_some()
    }
}

/// A machine as the leader knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where its worker accepts direct commands.
    pub address: String,
    /// Its resources, all of them.
    pub capacity: Resources,
    /// Whether it can hold tasks.
    pub state: MachineState,
    /// Whether a heartbeat has stated this leader's fencing token: from then on its task list is exact.
    pub reconciled: bool,
    /// Whether its record is in the state service, so that a later leader knows to wait for it.
    pub recorded: bool,
    /// Whether an earlier leader recorded it, and may have started tasks on it.
    pub inherited: bool,
    /// The last response that may have renewed its lease. Lease expiry counts from the later of this and
    /// `heartbeats.last_at`; see `lease_expiry`.
    pub last_renewal: LastRenewal,
    /// Tasks that it holds, or may hold.
    pub tasks: BTreeMap<TaskId, Placement>,
    /// Its heartbeats.
    pub heartbeats: HeartbeatTracker,
    /// The controller through which it sends its heartbeats.
    pub route: Route,
    /// Commands whose effect the next heartbeat has to show.
    pub commands: CommandTracker,
    /// Tasks that it reports beside those placed on it.
    pub reported: ReportedTasks,
    /// Images that it has.
    pub image_cache: ImageCache,
    /// Failures that are held against it.
    pub health: MachineHealth,
    /// From its rental to its deletion.
    pub lifecycle: Lifecycle,
}

impl Machine {
    /// A machine of which nothing is known but what is stored.
    pub(in crate::scheduler) fn new(
        stored: &StoredMachine,
        capacity: Resources,
        now: Timestamp,
        boot_deadline: Timestamp,
    ) -> Self {
        Machine {
            name: stored.name.clone(),
            machine_type: stored.machine_type.clone(),
            zone: stored.zone.clone(),
            spot: stored.spot,
            address: stored.address.clone(),
            capacity,
            state: MachineState::Pending,
            reconciled: false,
            recorded: false,
            inherited: false,
            last_renewal: LastRenewal::default(),
            tasks: BTreeMap::new(),
            heartbeats: HeartbeatTracker::default(),
            route: Route::default(),
            commands: CommandTracker::default(),
            reported: ReportedTasks::default(),
            image_cache: ImageCache::default(),
            health: MachineHealth::default(),
            lifecycle: Lifecycle { idle_since: now, known_since: now, boot_deadline, ..Lifecycle::default() },
        }
    }

    /// Whether nothing is under way between the machine and the leader: a heartbeat that lists what the last one did
    /// changes nothing, and its response bears no command.
    pub fn is_settled(&self) -> bool {
        self.state == MachineState::Ready
            && self.reconciled
            && self.recorded
            && self.lifecycle.recall_at.is_none()
            && self.commands.unacknowledged.is_empty()
            && !self.reported.has_unknown()
            && self.tasks.values().all(|task| task.confirmed && task.stopping.is_none())
    }

    /// How long a task would wait for this image, counted in fetches: none if the machine has it; otherwise one, and
    /// one more for each other image that is being fetched, since they share the rate.
    pub fn image_fetches(&self, image: &str) -> i64 {
        if self.image_cache.images.contains(image) {
            return 0;
        }
        let waiting = self.tasks.values().filter(|task| task.status == TaskStatus::Fetching);
        let mut others: Vec<&str> = waiting
            .map(|task| task.image.as_str())
            .filter(|other| *other != image && !self.image_cache.images.contains(*other))
            .collect();
        others.sort_unstable();
        others.dedup();
        1 + others.len() as i64
    }

    /// Resources that no task takes.
    pub fn available(&self) -> Resources {
        self.tasks.values().fold(self.capacity, |available, task| available.minus(&task.resource_request))
    }

    /// Resources that no task takes once every stop under way is confirmed. An overdue stop is not counted on.
    pub fn available_soon(&self, now: Timestamp) -> Resources {
        let ends_soon = |task: &Placement| task.stopping.is_some_and(|stop| !stop.is_overdue(now));
        self.tasks
            .values()
            .filter(|task| !ends_soon(task))
            .fold(self.capacity, |available, task| available.minus(&task.resource_request))
    }
}
