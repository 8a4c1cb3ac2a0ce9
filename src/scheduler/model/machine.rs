//! Machines: their types, and what the leader knows of each.

use super::super::TaskCommand;
use super::{ExitReason, JobId, Placement, ReportedTask, Resources, TaskId, TaskStatus};
use crate::lease::renewal::LastRenewal;
use std::collections::{BTreeMap, BTreeSet};

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
pub enum MachineState {
    /// Rented or listed; its worker has not reported to this leader.
    Pending,
    /// Its worker reports.
    Ready,
    /// Its lease has ended or it is gone: it holds nothing.
    Lost,
}

/// What is known of a machine by its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTracker {
    pub agent_epoch: u64,
    pub sequence: u64,
    /// The sequence of the last heartbeat that was taken in this agent epoch: answers to direct commands raise `sequence`
    /// too, and overtake heartbeats that are under way.
    pub last_sequence: u64,
    pub last_at: u64,
    /// A late or repeated heartbeat of it was logged.
    pub stale_logged: bool,
    /// The task list of the newest heartbeat, to tell an unchanged one by.
    pub reported_tasks: Vec<ReportedTask>,
}

/// The controller through which a machine sends its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// The node that its last heartbeat came through, if that was not this one, and whether that node answers
    /// by itself what says nothing new.
    pub via: Option<usize>,
    pub cached_by_leaseholder: bool,
    /// The way that it reported by before, and when it left that one.
    pub previous: Option<(Option<usize>, u64)>,
    /// Its leaseholder has been told to pass its next heartbeat on.
    pub wake_requested: bool,
}

/// Commands whose effect the next heartbeat has to show.
#[derive(Debug, Clone, Default)]
pub struct CommandTracker {
    /// What the last answer said that the next heartbeat must show some trace of, our token included.
    pub unacknowledged: Vec<TaskCommand>,
    pub token_unacknowledged: bool,
    /// Heartbeats running that show no trace of what the answer before them said.
    pub unacknowledged_heartbeats: u32,
}

/// Tasks that a machine reports beside those placed on it.
#[derive(Debug, Clone, Default)]
pub struct ReportedTasks {
    /// Exited tasks still listed: (task, attempt) -> cause.
    pub exited: BTreeMap<(TaskId, u64), ExitReason>,
    /// Tasks of jobs that this leader does not know, to be stopped: (task, attempt).
    pub orphaned: BTreeSet<(TaskId, u64)>,
    /// Tasks of jobs that are not known here, and when they were first reported: kept until the store has been asked.
    pub unverified: BTreeMap<(TaskId, u64), u64>,
}

/// Images that a machine has.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    pub images: BTreeSet<String>,
    /// Its record in the state service does not name all of them yet.
    pub changed: bool,
}

/// Failures that are held against a machine.
#[derive(Debug, Clone, Default)]
pub struct MachineHealth {
    pub failed_jobs: BTreeSet<JobId>,
    pub no_room_backoff_until: u64,
    /// Tasks in a row that took far longer here than the rest of their job elsewhere.
    pub slow_tasks: u32,
    /// Until then no array or gang is started here.
    pub quarantined_until: u64,
}

/// From the rental of a machine to its deletion.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    /// When the cloud takes it away.
    pub recall_at: Option<u64>,
    pub draining: bool,
    /// An ordinary machine that fixed work and the reserve could do without.
    pub consolidation_target: bool,
    pub deleting: bool,
    pub idle_since: u64,
    pub known_since: u64,
    pub boot_deadline: u64,
}

/// A machine as the leader knows it.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub address: String,
    pub capacity: Resources,
    pub state: MachineState,
    /// A heartbeat has stated this leader's token: the task list is exact.
    pub reconciled: bool,
    /// Its record is in the state service, so that a later leader knows to wait for it.
    pub recorded: bool,
    /// An earlier leader recorded it, and may have started tasks on it.
    pub inherited: bool,
    /// The last answer that may have renewed its lease.
    pub last_renewal: LastRenewal,
    pub tasks: BTreeMap<TaskId, Placement>,
    /// What is known of a machine by its heartbeats.
    pub heartbeats: HeartbeatTracker,
    /// The controller through which a machine sends its heartbeats.
    pub route: Route,
    /// Commands whose effect the next heartbeat has to show.
    pub commands: CommandTracker,
    /// Tasks that a machine reports beside those placed on it.
    pub reported: ReportedTasks,
    /// Images that a machine has.
    pub image_cache: ImageCache,
    /// Failures that are held against a machine.
    pub health: MachineHealth,
    /// From the rental of a machine to its deletion.
    pub lifecycle: Lifecycle,
}

impl Machine {
    /// Nothing is under way between it and us: it would be told nothing, and a heartbeat that lists what
    /// the last one did says nothing new.
    pub fn is_settled(&self) -> bool {
        self.state == MachineState::Ready
            && self.reconciled
            && self.recorded
            && self.lifecycle.recall_at.is_none()
            && self.commands.unacknowledged.is_empty()
            && self.reported.orphaned.is_empty()
            && self.reported.unverified.is_empty()
            && self.tasks.values().all(|t| t.confirmed && t.stopping.is_none())
    }

    /// How long a task with this image would wait for it, in fetches: none where the image is, and
    /// one more for every other image that is being fetched, since they share the rate.
    pub fn image_fetches(&self, image: &str) -> i64 {
        if self.image_cache.images.contains(image) {
            return 0;
        }
        let waiting = self.tasks.values().filter(|t| t.status == TaskStatus::Fetching);
        let mut others: Vec<&str> = waiting
            .map(|t| t.image.as_str())
            .filter(|i| *i != image && !self.image_cache.images.contains(*i))
            .collect();
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
