//! Heartbeats of workers, and what the leader keeps of each machine's heartbeats.

use super::{TaskId, TaskStatus};
use crate::fencing_token::FencingToken;
use crate::time::Timestamp;

/// Orders the heartbeats of one worker: by agent epoch first, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatNumber {
    /// Raised each time the worker begins anew. Tasks of an earlier epoch have ended.
    pub agent_epoch: u64,
    /// Raised with each heartbeat and each response to a direct command within the epoch.
    pub sequence: u64,
}

/// How a heartbeat reached the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it by itself. It proves that the response to its predecessor was carried out or dropped.
    Periodic,
    /// The worker returned it in response to a direct command. It proves nothing about earlier responses.
    DirectResponse,
}

/// A worker's heartbeat.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Name of the machine.
    pub machine: String,
    /// Where the worker accepts direct commands.
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
    /// All tasks that the worker holds, and exited ones that it has not been told to forget.
    pub tasks: Vec<ReportedTask>,
}

impl Heartbeat {
    /// Its place among the heartbeats of its worker.
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
    /// What the worker says of it.
    pub status: TaskStatus,
}

/// What the leader keeps of a machine's heartbeats.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTracker {
    /// The newest heartbeat taken in, from whichever source.
    pub newest: HeartbeatNumber,
    /// Sequence of the last periodic heartbeat of this agent epoch. Responses to direct commands raise
    /// `newest` alone, and may overtake periodic heartbeats that are still under way.
    pub last_periodic_sequence: u64,
    /// When the machine last showed that it is alive. Failure detection counts silence from here.
    /// Lease expiry counts from the later of this and `Machine::last_renewal`; see `lease_expiry`.
    pub last_at: Timestamp,
    /// Whether a stale heartbeat of this machine has been logged; further ones are only counted.
    pub stale_logged: bool,
    /// The task list of the newest heartbeat, to recognise an unchanged one.
    pub reported_tasks: Vec<ReportedTask>,
}

impl HeartbeatTracker {
    /// Records a periodic heartbeat of the current agent epoch, which arrived at `now`.
    pub(in crate::scheduler) fn record_unchanged(&mut self, sequence: u64, now: Timestamp) {
        self.newest.sequence = sequence;
        self.record_overtaken(sequence, now);
    }

    /// Records a periodic heartbeat that a direct response has overtaken: its list is older than ours.
    pub(in crate::scheduler) fn record_overtaken(&mut self, sequence: u64, now: Timestamp) {
        self.last_periodic_sequence = sequence;
        self.last_at = now;
    }

    /// Records the number of a heartbeat that is newer than all before it.
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
