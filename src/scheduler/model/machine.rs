//! Machine types, and the leader's record of each machine.

use super::{
    CommandTracker, HeartbeatTracker, Placement, Resources, Route, TaskId, TaskStatus, UnplacedTasks,
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
    /// Price per hour as an ordinary machine, which means one that is not a spot machine.
    pub price: f64,
    /// Current price per hour as a spot machine. None: not offered as a spot machine.
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
    /// Rate at which a machine fetches images, in GB per second; zero: not known.
    pub fetch_gb_per_s: f64,
    /// Zones in which it is offered.
    pub zones: Vec<String>,
}

/// State of a machine, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known to the leader (rented, recorded or listed by the cloud), but no periodic heartbeat has stated
    /// the leader's fencing token yet.
    Pending,
    /// A periodic heartbeat has arrived while the machine was accounted for (see [`Machine::accounted_for`]),
    /// and its lease has not expired since.
    Ready,
    /// Its lease has expired: it holds no task.
    Lost,
}

/// A machine as it is stored in the state service.
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
    /// Address at which its worker accepts direct commands.
    pub address: String,
    /// Names of the images that it has, so that a new leader places jobs on machines that need not fetch
    /// them.
    pub images: BTreeSet<String>,
}

/// Images that are known to be on a machine.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    /// Names of the images.
    pub images: BTreeSet<String>,
    /// Whether `images` has one that was added after the last request to write the machine's record.
    pub has_unrecorded_image: bool,
}

/// Failures and slow tasks that are attributed to a machine.
#[derive(Debug, Clone, Default)]
pub struct MachineHealth {
    /// Tasks that failed here while neither they nor their jobs were suspected to be faulty, and when they last
    /// did.
    pub failed_tasks: BTreeMap<TaskId, Timestamp>,
    /// Whether a task that failed here succeeded elsewhere.
    pub proven_faulty: bool,
    /// Until this time no task is placed here, because a task failed here or the worker refused to start one.
    /// Set by `back_off_until`.
    pub placement_backoff_until: Timestamp,
    /// Consecutive tasks here that took more than `SLOW_FACTOR` times the mean run time of the tasks of their
    /// job that had succeeded before.
    pub consecutive_slow_tasks: u32,
    /// No array or gang is placed here before this time.
    pub quarantined_until: Timestamp,
}

impl MachineHealth {
    /// Places no task here before `end`, or longer if a longer backoff is under way.
    pub(in crate::scheduler) fn back_off_until(&mut self, end: Timestamp) {
        self.placement_backoff_until = self.placement_backoff_until.max(end);
    }
}

/// Stages of a machine between its rental and its deletion.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    /// When the cloud recalls it, if it has given notice.
    pub recall_at: Option<Timestamp>,
    /// Whether it is to be replaced because tasks fail on it: it is deleted once idle. Until then it is closed
    /// to new tasks for `FAULTY_MACHINE_BACKOFF` after each failure, and otherwise gets only tasks for which no
    /// other machine has room.
    pub to_be_replaced: bool,
    /// Whether it is a consolidation target: an ordinary (not spot) machine to be emptied and deleted. It is
    /// needed neither for tasks that may not use spot machines nor for the headroom (places kept free for
    /// critical services), and other machines have room for its tasks; see `consolidation`.
    pub to_be_emptied: bool,
    /// Whether its deletion has been requested from the cloud.
    pub deleting: bool,
    /// Start of its idle time: when it last held a task, became ready or became known.
    pub idle_since: Timestamp,
    /// When this leader first learned of it.
    pub known_since: Timestamp,
    /// If the machine is still pending at this time, it has failed to boot and is deleted.
    pub boot_deadline: Timestamp,
}

impl Lifecycle {
    /// Whether its deletion has been requested, or the cloud will recall it. Operators' drains are not
    /// included; see `Drains::is_cordoned`.
    pub(in crate::scheduler) fn is_leaving(&self) -> bool {
        self.deleting || self.recall_at.is_some()
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
    /// Address at which its worker accepts direct commands.
    pub address: String,
    /// Its total resources.
    pub capacity: Resources,
    /// Its state.
    pub state: MachineState,
    /// Whether the leader knows all tasks on it: true from the first heartbeat that states this leader's
    /// fencing token (such a heartbeat cannot be a delayed one to an earlier leader, so its task list is
    /// exact), or from the expiry of its lease.
    pub accounted_for: bool,
    /// Whether it is recorded in the state service. A later leader then waits for its heartbeat or the expiry
    /// of its lease before it restarts tasks.
    pub recorded: bool,
    /// Whether an earlier leader recorded it, and may have started tasks on it.
    pub inherited: bool,
    /// The last response that may have renewed its lease. Lease expiry is measured from the later of this and
    /// `heartbeats.last_at`; see `lease_expiry`.
    pub last_renewal: LastRenewal,
    /// Placements of the tasks that it holds, or may hold.
    pub tasks: BTreeMap<TaskId, Placement>,
    /// Record of its heartbeats.
    pub heartbeats: HeartbeatTracker,
    /// The node through which it sends its heartbeats.
    pub route: Route,
    /// What its next periodic heartbeat has to acknowledge.
    pub commands: CommandTracker,
    /// Tasks that its heartbeats list and for which the leader has no placement here (not pending tasks).
    pub unplaced_tasks: UnplacedTasks,
    /// Images that are known to be on it.
    pub image_cache: ImageCache,
    /// Failures and slow tasks that are attributed to it.
    pub health: MachineHealth,
    /// Its stages between rental and deletion.
    pub lifecycle: Lifecycle,
}

impl Machine {
    /// A pending machine of which only the stored fields and the capacity of its type are known.
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
            accounted_for: false,
            recorded: false,
            inherited: false,
            last_renewal: LastRenewal::default(),
            tasks: BTreeMap::new(),
            heartbeats: HeartbeatTracker::default(),
            route: Route::default(),
            commands: CommandTracker::default(),
            unplaced_tasks: UnplacedTasks::default(),
            image_cache: ImageCache::default(),
            health: MachineHealth::default(),
            lifecycle: Lifecycle { idle_since: now, known_since: now, boot_deadline, ..Lifecycle::default() },
        }
    }

    /// Whether the machine and the leader agree: a heartbeat with the same task list as the last one changes
    /// nothing, and its response starts and stops no task.
    pub fn is_settled(&self) -> bool {
        self.state == MachineState::Ready
            && self.accounted_for
            && self.recorded
            && self.lifecycle.recall_at.is_none()
            && self.commands.unacknowledged.is_empty()
            && !self.unplaced_tasks.has_tasks_of_unknown_jobs()
            && self.tasks.values().all(|task| task.confirmed && task.stopping.is_none())
    }

    /// Whether free resources on it count as critical places (room for tasks of critical services): it is
    /// ordinary, and not faulty.
    pub(in crate::scheduler) fn has_critical_places(&self) -> bool {
        !self.spot && !self.lifecycle.to_be_replaced
    }

    /// Number of image fetches that a task with this image would wait for: 0 if the machine has the image;
    /// otherwise 1, and 1 more for each other image that is being fetched, since they share the rate.
    pub fn image_fetches(&self, image: &str) -> i64 {
        if self.image_cache.images.contains(image) {
            return 0;
        }
        let fetching = self.tasks.values().filter(|task| task.status == TaskStatus::Fetching);
        let mut other_images: Vec<&str> = fetching
            .map(|task| task.image.as_str())
            .filter(|other| *other != image && !self.image_cache.images.contains(*other))
            .collect();
        other_images.sort_unstable();
        other_images.dedup();
        1 + other_images.len() as i64
    }

    /// Capacity that is not requested by the tasks placed here.
    pub fn available(&self) -> Resources {
        self.tasks.values().fold(self.capacity, |available, task| available.minus(&task.resource_request))
    }

    /// Capacity that will be available once all stops under way are confirmed, except overdue ones.
    pub fn available_after_stops(&self, now: Timestamp) -> Resources {
        let ends_soon = |task: &Placement| task.stopping.is_some_and(|stop| !stop.is_overdue(now));
        self.tasks
            .values()
            .filter(|task| !ends_soon(task))
            .fold(self.capacity, |available, task| available.minus(&task.resource_request))
    }
}
