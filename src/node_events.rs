//! What the parts of one controller process send each other: events into the queue of the controller, the replies to
//! them, and the state that it publishes.
//!
//! This module lies below `api`, `controller` and `storage`, which all use it and not one another's messages. It
//! holds no logic.

use crate::fencing_token::FencingToken;
use crate::leadership::StoreResponse;
use crate::lease::cancellation_log::CancellationCommit;
use crate::lease::renewal::RenewalCounts;
use crate::peer::Received;
use crate::protocol::workers::{HeartbeatRequest, HeartbeatResponse};
use crate::scheduler::model::{JobId, MachineType, TaskCounts};
use crate::scheduler::overview::{Overview, PageStart};
use crate::scheduler::Command;
use crate::time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The cloud's machine types by name; empty until they are known.
pub type Types = Arc<BTreeMap<String, MachineType>>;
/// The tasks of each job, as the leader last published them. A job that is not named has none that has started.
pub type Summary = Arc<HashMap<JobId, TaskCounts>>;

/// What this node may do for its users, as the controller last judged it.
#[derive(Default)]
pub struct Health {
    /// Whether the load balancer may send requests here.
    pub healthy: AtomicBool,
    /// The state service does not answer this node, and may answer others.
    pub cut_off: AtomicBool,
    /// Version of the leader's epoch, for cancellations; zero: not known, or not needed.
    pub epoch_version: AtomicU64,
}

/// An entry of the controller's queue. The queue is bounded: requests of users and workers are refused when it is
/// full, and the node's own tasks wait.
pub enum Event {
    /// An operator asks for the overview.
    Overview(PageStart, oneshot::Sender<NodeView>),
    /// A worker's heartbeat.
    Heartbeat(HeartbeatRequest, oneshot::Sender<HeartbeatReply>),
    /// A frame of a peer.
    Peer(Received),
    /// The live jobs were read.
    LiveJobs(LiveJobsUpdate),
    /// A user asks to cancel a live job. The transaction is sent next; it compares this version of the epoch.
    CancellationRequested(JobId, u64),
    /// A user's cancellation was committed. The reply is sent once it may be confirmed to the user.
    Cancelled(JobId, CancellationCommit, oneshot::Sender<()>),
    /// The state service's response to a request of leadership.
    Store(StoreResponse),
    /// A command for the scheduler of this fencing token; dropped when another token is current.
    Scheduler(FencingToken, Command),
    /// The machine types were read.
    Types(Types),
}

/// The reply to a worker's heartbeat.
pub enum HeartbeatReply {
    /// The worker's lease is renewed; with the commands for it.
    Accepted(HeartbeatResponse),
    /// This node may not answer. The name is the leader's, if it is known.
    Redirected(Option<String>),
    /// The heartbeat names a task that can't be read.
    Malformed,
}

/// Changes of the set of live jobs, from one or more reads of the state service.
#[derive(Debug, Default)]
pub struct LiveJobsUpdate {
    /// When the last of its requests was sent: the update is at least as new.
    pub requested_at: Timestamp,
    /// `added` names all live jobs.
    pub complete: bool,
    /// Jobs that are live, or were when they were read.
    pub added: Vec<JobId>,
    /// Jobs that are not live any more.
    pub removed: Vec<JobId>,
}

/// The overview of one node: who leads, and on the leader what its scheduler knows.
#[derive(serde::Serialize)]
pub struct NodeView {
    /// This node's name.
    pub node: String,
    /// The leader's name, if it is known.
    pub leader: Option<String>,
    /// The fencing token of this node's leadership; zero: it does not lead.
    pub token: FencingToken,
    /// Lease renewals by this node, by their basis.
    #[serde(rename = "answers")]
    pub renewals: RenewalCounts,
    /// Frames of peers that were ignored.
    pub frames_ignored: FrameCounts,
    /// The scheduler's state; `None` on a node that does not lead.
    #[serde(flatten)]
    pub scheduler: Option<Overview>,
}

/// Frames of peers that were ignored, since this process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct FrameCounts {
    /// They echo a stamp that is too old, or are for a leader that does not lead any more.
    pub(crate) stale: u64,
    /// Responses to a request that was given up, or of an earlier process.
    #[serde(rename = "unasked")]
    pub(crate) unsolicited: u64,
}
