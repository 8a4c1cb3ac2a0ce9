//! What the scheduler is told, and what it decides: commands in, effects out.
//!
//! The controller makes commands of what workers, users, the state service and the cloud send, and carries out effects.
//! No effect is known to have happened until a command says so.

use super::cold_start::{ColdStartReport, JobReading};
use super::drains::{DrainKey, DrainValue, LoadedDrains};
use super::model::{Heartbeat, JobId, JobSpec, MachineType, StoredMachine, TaskCommand};
use crate::fencing_token::FencingToken;
use crate::lease::renewal::LeaseRenewal;
use crate::settings::{Operator, Team, Workers};
use crate::time::Timestamp;
use dockpier_drain::request::StoredRequest;
use std::collections::BTreeSet;
use std::time::Duration;

/// What the scheduler has to know of its settings and its leadership.
#[derive(Debug, Clone)]
pub struct Config {
    /// Fencing token of this leader.
    pub token: FencingToken,
    /// The operators' settings.
    pub operator: Operator,
    /// Timing of the workers.
    pub workers: Workers,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Zones in which machines may be rented.
    pub zones: Vec<String>,
    /// How far the cloud's list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
    /// Decision steps that a round may take.
    pub round_steps: usize,
    /// The share of a processor core that this process has.
    pub cpu_share: f64,
    /// Writes and deletes per second that the state service allows all nodes together.
    pub write_rps: f64,
    /// Machines that fit into one record.
    pub record_machines: usize,
    /// Largest value of the state service, in bytes.
    pub value_most: usize,
    /// Largest number of rental requests under way at once.
    pub rentals_at_once: usize,
    /// How long a leaseholder may respond by itself; zero: there are no leaseholders.
    pub shard_lease: Duration,
}

/// A job as the state service has it.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// What was submitted.
    pub spec: JobSpec,
    /// Version of its record.
    pub version: u64,
    /// Time since its submission.
    pub age: Duration,
    /// Tasks that have succeeded.
    pub succeeded: BTreeSet<u32>,
}

/// A machine as the cloud lists it. The list may be out of date, so it proves nothing.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    /// The machine.
    pub machine: StoredMachine,
    /// Whether the cloud says that it has failed.
    pub failed: bool,
    /// Time since its rental as of the moment that the list describes, in seconds.
    pub age_s: f64,
}

/// How a write to the state service or a request to the cloud ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was carried out.
    Done,
    /// It was not and will not be carried out.
    Refused,
    /// No response: it may have been carried out, or may yet be.
    Unknown,
}

/// What a heartbeat turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It may have changed something on which decisions depend.
    Changed,
    /// It lists what the last one did.
    Unchanged,
    /// It is older than the response to a direct command. Its list is ignored, but its worker waits for a response,
    /// which renews the worker's lease.
    Overtaken,
    /// It is a duplicate, or from an agent epoch or a machine that is gone. Its response must not renew a lease.
    Stale,
}

/// What has happened.
#[derive(Debug)]
pub enum Command {
    /// What the state service held when this leader took over.
    Load {
        /// Jobs that are not finished.
        jobs: Vec<StoredJob>,
        /// Records of machines that may hold tasks, each with its key.
        records: Vec<(String, Vec<StoredMachine>)>,
    },
    /// A job was submitted.
    JobAdded(StoredJob),
    /// A job was cancelled, or is otherwise not in the state service any more.
    JobRemoved(JobId),
    /// A worker's periodic heartbeat.
    Heartbeat {
        /// Number under which the response goes out.
        reply: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The leaseholder that relayed it. None: it came straight to the leader.
        via: Option<usize>,
    },
    /// Machines to which a leaseholder has responded by itself.
    ShardHeartbeat {
        /// The leaseholder.
        node: usize,
        /// Names of the machines.
        machines: Vec<String>,
        /// It has responded to no other machine before then. None: the list may be incomplete.
        covers_until: Option<Timestamp>,
        /// Whether it has just restarted: an earlier incarnation may have responded to any machine until now.
        first_of_incarnation: bool,
    },
    /// A worker's heartbeat in response to a direct command.
    DirectCommandAnswered(Heartbeat),
    /// A write of succeeded tasks has ended; see [`Effect::CommitDone`].
    Committed {
        /// The job.
        job_id: JobId,
        /// The tasks that were to be written.
        tasks: BTreeSet<u32>,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The removal of a finished job has ended; see [`Effect::Finish`].
    Finished {
        /// The job.
        job_id: JobId,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// A write of a record of machines has ended; see [`Effect::Record`].
    Recorded {
        /// Key of the record.
        key: String,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The machine types that the cloud offers.
    Types(Vec<MachineType>),
    /// A rental request has ended; see [`Effect::Rent`].
    Rented {
        /// Number of the request.
        request: u64,
        /// Names of the rented machines, if the response named them.
        machines: Option<Vec<String>>,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// A deletion has ended; see [`Effect::Delete`].
    Deleted {
        /// Names of the machines.
        machines: Vec<String>,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The cloud's list of machines.
    Listed(Vec<ListedMachine>),
    /// What the state service held of drains when this leader took over; comes before `Load`.
    LoadDrains(LoadedDrains),
    /// All drain requests of operators that are in force now.
    DrainRequests(Vec<StoredRequest>),
    /// A write of a drain record has ended; see [`Effect::WriteDrain`].
    DrainWritten {
        /// Which record.
        key: DrainKey,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// What the state service has of a job that heartbeats name and the scheduler does not know; see
    /// [`Effect::ReadJob`].
    JobRead {
        /// The job.
        job_id: JobId,
        /// When the read was sent.
        sent: Timestamp,
        /// What was read.
        reading: JobReading,
    },
    /// The write of the cold start's report has ended; see [`Effect::WriteColdStart`].
    ColdStartWritten(WriteOutcome),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The response to a heartbeat is to be sent.
    HeartbeatResponse {
        /// Number of the heartbeat; see [`Command::Heartbeat`].
        reply: u64,
        /// Proof that the renewal is recorded. None: the response must not renew a lease.
        renewal: Option<LeaseRenewal>,
        /// Commands for the worker.
        task_commands: Vec<TaskCommand>,
        /// Whether the leaseholder that relayed the heartbeat may respond to unchanged ones by itself.
        cacheable: bool,
    },
    /// A leaseholder is to relay this machine's next heartbeat.
    RequestWake {
        /// The leaseholder.
        node: usize,
        /// Name of the machine.
        machine: String,
    },
    /// Stops are to be sent straight to a worker, since its next heartbeat may be seconds away.
    DirectCommands {
        /// Name of the machine.
        machine: String,
        /// Where its worker accepts direct commands.
        address: String,
        /// The worker's agent epoch, the only one that may carry them out.
        agent_epoch: u64,
        /// The stops.
        task_commands: Vec<TaskCommand>,
    },
    /// Succeeded tasks of a job that goes on are to be stored.
    CommitDone {
        /// The job.
        job_id: JobId,
        /// Version of its record.
        version: u64,
        /// The tasks that are not stored yet.
        tasks: BTreeSet<u32>,
        /// All its succeeded tasks, since they are stored in chunks.
        all_done: BTreeSet<u32>,
    },
    /// A job of which all tasks have succeeded is to be removed, in one transaction.
    Finish {
        /// The job.
        job_id: JobId,
        /// Version of its record.
        version: u64,
        /// Number of its tasks.
        tasks: u32,
        /// Chunks of succeeded tasks whose keys are to be removed with it.
        chunks: Vec<u32>,
    },
    /// A record of machines that may hold tasks is to be stored.
    Record {
        /// Key of the record.
        key: String,
        /// The machines. None at all: the record is to be removed.
        machines: Vec<StoredMachine>,
    },
    /// Machines are to be rented.
    Rent {
        /// Number of the request.
        request: u64,
        /// Name of the rental, where it must be the same whichever node leads.
        name: Option<String>,
        /// Name of the machine type.
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether they are to be spot machines.
        spot: bool,
        /// Number of machines.
        count: u32,
    },
    /// The machines with these names are to be deleted.
    Delete(Vec<String>),
    /// A record of a drain is to be stored.
    WriteDrain {
        /// Which record.
        key: DrainKey,
        /// What it is to hold.
        value: DrainValue,
    },
    /// The state service is to be asked about a job that heartbeats name and the scheduler does not know.
    ReadJob {
        /// The job.
        job_id: JobId,
    },
    /// The report of the cold start is to be stored.
    WriteColdStart(Box<ColdStartReport>),
    /// A worker has seen this higher fencing token: another node leads.
    Deposed(FencingToken),
}
