//! Heartbeats of workers, and the leader's record of each machine's heartbeats.

use super::{TaskId, TaskStatus};
use crate::fencing_token::FencingToken;
use crate::time::Timestamp;

/// Position of a heartbeat among those of its worker: ordered by agent epoch, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatNumber {
    /// Increased each time the worker starts over without tasks, for example after its lease has ended. Tasks
    /// of earlier agent epochs have ended.
    pub agent_epoch: u64,
    /// Increased with each heartbeat and each response to a direct command within the agent epoch.
    pub sequence: u64,
}

/// How a heartbeat reached the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it periodically, not on request. It proves that the response to the previous periodic
    /// heartbeat has taken effect or never will.
    Periodic,
    /// The worker returned it in response to a direct command. It proves nothing about earlier responses to
    /// heartbeats.
    DirectResponse,
}

/// A worker's heartbeat.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Name of the machine.
    pub machine: String,
    /// Address at which the worker accepts direct commands.
    pub address: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may recall.
    pub spot: bool,
    /// See [`HeartbeatNumber::agent_epoch`].
    pub agent_epoch: u64,
    /// See [`HeartbeatNumber::sequence`].
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// Seconds until the cloud recalls the machine, if it has given notice.
    pub notice_s: Option<f64>,
    /// All tasks on the worker, and exited ones for which it has received no `TaskCommand::Forget`.
    pub tasks: Vec<ReportedTask>,
}

impl Heartbeat {
    /// Position of this heartbeat among those of its worker.
    pub fn number(&self) -> HeartbeatNumber {
        HeartbeatNumber { agent_epoch: self.agent_epoch, sequence: self.sequence }
    }
}

/// A task as a heartbeat lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// The task.
    pub id: TaskId,
    /// Which start of the task it is.
    pub attempt: u64,
    /// Its state as the worker reports it.
    pub status: TaskStatus,
}

/// The leader's record of a machine's heartbeats.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTracker {
    /// Number of the newest heartbeat that was applied, from either source.
    pub newest: HeartbeatNumber,
    /// Sequence of the last periodic heartbeat of this agent epoch; zero: none yet. Responses to direct
    /// commands increase only `newest`, and may overtake periodic heartbeats that are still under way.
    pub last_periodic_sequence: u64,
    /// When the machine last showed that it is alive. Failure detection measures silence from this time.
    /// Lease expiry is measured from the later of this and `Machine::last_renewal`; see `lease_expiry`.
    pub last_at: Timestamp,
    /// Whether a stale heartbeat of this machine has been logged; further ones are only counted.
    pub stale_logged: bool,
    /// Task list of the newest heartbeat, to recognise a heartbeat that lists the same.
    pub reported_tasks: Vec<ReportedTask>,
}

impl HeartbeatTracker {
    /// Records a periodic heartbeat of the current agent epoch, newer than all before, that repeats the last
    /// task list and arrived at `now`.
    pub(in crate::scheduler) fn record_unchanged(&mut self, sequence: u64, now: Timestamp) {
        self.newest.sequence = sequence;
        self.record_periodic_arrival(sequence, now);
    }

    /// Records the arrival of a periodic heartbeat at `now`, but leaves `newest` as it is. Called on its own
    /// for a heartbeat that a direct response has overtaken: its task list is older than `reported_tasks`.
    pub(in crate::scheduler) fn record_periodic_arrival(&mut self, sequence: u64, now: Timestamp) {
        self.last_periodic_sequence = sequence;
        self.last_at = now;
    }

    /// Records the number of a heartbeat that is newer than all earlier ones.
    pub(in crate::scheduler) fn record_newest(&mut self, number: HeartbeatNumber, source: HeartbeatSource) {
        if number.agent_epoch != self.newest.agent_epoch {
            self.last_periodic_sequence = 0;
        }
        if source == HeartbeatSource::Periodic {
            self.last_periodic_sequence = number.sequence;
        }
        self.newest = number;
    }
}
