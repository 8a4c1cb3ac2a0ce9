//! Messages around the watched worker's lease, while they are on their way.

use dockpier::lease::shard::ShardHeartbeat;
use dockpier::scheduler::model::Heartbeat;
use dockpier::scheduler::TaskCommand;
use dockpier::time::Timestamp;

/// A message on its way.
pub(super) enum Message {
    /// The worker's heartbeat, at its node.
    WorkerHeartbeat(Heartbeat),
    /// A heartbeat that the leaseholder passed on, at the leader.
    PassedOn(Heartbeat),
    /// The leader's answer to it, at the leaseholder.
    Reply { heartbeat: Heartbeat, renews: bool, keep: bool, task_commands: Vec<TaskCommand> },
    /// The answer to the heartbeat of this sequence, at the worker; None: it is sent elsewhere.
    Answer { sequence: u64, task_commands: Option<Vec<TaskCommand>> },
    /// Direct commands, at the worker.
    Direct(Vec<TaskCommand>),
    /// The worker's answer to them, at the leader.
    DirectAnswer(Heartbeat),
    /// At the leader.
    Heartbeat { heartbeat: ShardHeartbeat, stamp: Timestamp },
    /// At the leaseholder.
    Confirmed(u64),
    /// At the leaseholder: the leader has something to tell the watched worker.
    Wake,
}
