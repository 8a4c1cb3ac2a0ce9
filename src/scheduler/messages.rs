//! Input and output of the scheduler: the commands that [`super::Scheduler::step`] takes, and the effects
//! that it returns.
//!
//! The controller turns messages of workers, users, the state service and the cloud into commands, and
//! carries out the effects. Until a command has reported the outcome of an effect, the scheduler does not
//! assume that it was carried out.
//!
//! There are two kinds of lease. A worker keeps its tasks until its lease expires. A leaseholder is a
//! controller with a shard lease from the leader: it responds itself to unchanged heartbeats of the workers
//! that report to it, which renews their leases.

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

/// Configuration of the scheduler: settings, limits of other services, and the fencing token of its
/// leadership.
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
    /// By how many seconds the cloud's list of machines may lag behind.
    pub list_lag_s: f64,
    /// Budget of a round or of one call of the scaling plan, in decision steps (about one look at a job or
    /// a machine each). A round gets more if this does not suffice to compare `MIN_ROUND_JOBS` jobs with
    /// every machine.
    pub max_round_steps: usize,
    /// Share of one processor core that this process has.
    pub cpu_share: f64,
    /// Writes and deletes per second that the state service allows to all nodes together.
    pub write_rps: f64,
    /// Maximum number of machines in one record.
    pub max_machines_per_record: usize,
    /// Maximum size of a value in the state service, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of rental requests under way at the same time.
    pub max_concurrent_rentals: usize,
    /// Duration of a shard lease: how long a leaseholder may respond to heartbeats without contact to the
    /// leader. Zero: there are no leaseholders.
    pub shard_lease: Duration,
}

/// A job as it is stored in the state service.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// What was submitted.
    pub spec: JobSpec,
    /// Version of its record.
    pub version: u64,
    /// Time since its submission.
    pub age: Duration,
    /// Indices of the tasks that have succeeded.
    pub succeeded: BTreeSet<u32>,
}

/// A machine in the cloud's list. The list may be out of date, so it does not prove that a machine exists or
/// is gone.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    /// The machine.
    pub machine: StoredMachine,
    /// Whether the cloud reports it as failed.
    pub failed: bool,
    /// Time from its rental to the moment that the list describes, in seconds.
    pub age_s: f64,
}

/// Which tasks a leader may start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartPermission {
    /// Whether it may start any (`Leadership::may_start_tasks`).
    pub may_start_tasks: bool,
    /// Jobs that a user asked to cancel: none of their tasks may start.
    pub held_jobs: BTreeSet<JobId>,
}

/// Outcome of a write to the state service or a request to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was carried out.
    Done,
    /// It was not carried out and never will be.
    Refused,
    /// There was no response: it may have been carried out, or may still be.
    Unknown,
}

/// Classification of a heartbeat on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It may have changed something on which decisions depend.
    Changed,
    /// It lists the same as the heartbeat before it.
    Unchanged,
    /// A newer heartbeat, which the worker returned for a direct command, arrived before it. Its task list is
    /// ignored, but the worker still waits for the leader's response, which renews the worker's lease.
    Overtaken,
    /// It is a duplicate or late (not just overtaken), its agent epoch has ended, or its machine is deleted.
    /// The response to it must not renew a lease.
    Stale,
}

/// Input of the scheduler: a message, or the outcome of an effect. Commands to workers are
/// [`TaskCommand`]s.
#[derive(Debug)]
pub enum Command {
    /// What the state service held when this leader took over.
    StateLoaded {
        /// Jobs that are not finished.
        jobs: Vec<StoredJob>,
        /// Records of machines that may hold tasks, each with its key.
        records: Vec<(String, Vec<StoredMachine>)>,
    },
    /// A job was submitted.
    JobAdded(StoredJob),
    /// A job was cancelled, or is no longer in the state service for another reason.
    JobRemoved(JobId),
    /// A worker's periodic heartbeat.
    Heartbeat {
        /// The controller's number of the request that waits for the response.
        response_id: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Index of the leaseholder that relayed it. None: it came directly to the leader.
        relayed_by: Option<usize>,
    },
    /// A leaseholder's periodic message, which extends its shard lease. Names the machines to which it has
    /// responded without the leader.
    ShardHeartbeat {
        /// Index of the leaseholder.
        node: usize,
        /// Names of the machines.
        machines: Vec<String>,
        /// Each machine to which the leaseholder responded before this time is in `machines` or was in an
        /// earlier shard heartbeat that the leader acknowledged. None: the list may be incomplete.
        covers_until: Option<Timestamp>,
        /// Whether this incarnation of the leaseholder has never had a shard lease from this leader, not even
        /// one that has expired. If so, an earlier incarnation may have responded, until now, to machines
        /// that no shard heartbeat names.
        without_lease: bool,
    },
    /// A worker's heartbeat in response to a direct command.
    DirectResponse(Heartbeat),
    /// Outcome of a write of succeeded tasks; see [`Effect::WriteFinishedTasks`].
    FinishedTasksWritten {
        /// The job.
        job_id: JobId,
        /// Indices of the tasks that the write covered: those of the effect, or as many as one transaction
        /// allows.
        tasks: BTreeSet<u32>,
        /// Outcome of the write.
        outcome: RequestOutcome,
    },
    /// Outcome of the last write of a finished job; see [`Effect::WriteJobEnd`].
    JobEndWritten {
        /// The job.
        job_id: JobId,
        /// Outcome of the write.
        outcome: RequestOutcome,
    },
    /// Outcome of the write of a record of machines; see [`Effect::WriteMachineRecord`].
    MachineRecordWritten {
        /// Key of the record.
        key: String,
        /// Outcome of the write.
        outcome: RequestOutcome,
    },
    /// The machine types that the cloud offers.
    MachineTypes(Vec<MachineType>),
    /// Outcome of a rental request; see [`Effect::Rent`].
    Rented {
        /// Number of the request.
        request: u64,
        /// Names of the rented machines, if the response named them.
        machines: Option<Vec<String>>,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Outcome of a deletion of machines; see [`Effect::Delete`].
    Deleted {
        /// Names of the machines.
        machines: Vec<String>,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// The cloud's list of machines.
    MachinesListed(Vec<ListedMachine>),
    /// The drains that the state service held when this leader took over; comes before `StateLoaded`.
    LoadDrains(LoadedDrains),
    /// All drain requests of operators that are in force now.
    DrainRequests(Vec<StoredRequest>),
    /// Outcome of the write of a drain record; see [`Effect::WriteDrain`].
    DrainWritten {
        /// Key of the record.
        key: DrainKey,
        /// Outcome of the write.
        outcome: RequestOutcome,
    },
    /// Result of the read of a job that heartbeats name and the scheduler does not know; see
    /// [`Effect::ReadJob`].
    JobRead {
        /// The job.
        job_id: JobId,
        /// When the read was sent.
        sent_at: Timestamp,
        /// Result of the read.
        reading: JobReading,
    },
    /// Outcome of the write of the report of the cold start; see [`Effect::WriteColdStart`].
    ColdStartWritten(RequestOutcome),
}

/// An action that the controller has to carry out for the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the response to a heartbeat.
    HeartbeatResponse {
        /// Number of the request; see [`Command::Heartbeat`].
        response_id: u64,
        /// Proof that the lease renewal is recorded. None: the response must not renew a lease.
        renewal: Option<LeaseRenewal>,
        /// Commands for the worker.
        task_commands: Vec<TaskCommand>,
        /// Whether the leaseholder that relayed the heartbeat may respond to unchanged ones without the
        /// leader.
        leaseholder_may_respond: bool,
    },
    /// Ask a leaseholder to relay this machine's next heartbeat.
    RequestRelay {
        /// Index of the leaseholder.
        node: usize,
        /// Name of the machine.
        machine: String,
    },
    /// Send stops directly to a worker, since its next heartbeat may be seconds away.
    DirectCommands {
        /// Name of the machine.
        machine: String,
        /// Address at which its worker accepts direct commands.
        address: String,
        /// The worker's agent epoch. The worker must not carry out the commands in another agent epoch.
        agent_epoch: u64,
        /// The stops.
        task_commands: Vec<TaskCommand>,
    },
    /// Store succeeded tasks of a job that has other tasks left.
    WriteFinishedTasks {
        /// The job.
        job_id: JobId,
        /// Version of its record.
        version: u64,
        /// Indices of the succeeded tasks that have to be stored.
        tasks: BTreeSet<u32>,
        /// Indices of all its succeeded tasks, stored or not: they are stored in chunks, and a chunk that
        /// contains one of `tasks` is written as a whole.
        all_succeeded: BTreeSet<u32>,
    },
    /// Write the final state of a job whose tasks have all succeeded and remove its live record, in one
    /// transaction.
    WriteJobEnd {
        /// The job.
        job_id: JobId,
        /// Version of its record.
        version: u64,
        /// Number of its tasks.
        tasks: u32,
        /// Indices of the chunks of succeeded tasks whose keys are removed with the job.
        chunks: Vec<u32>,
    },
    /// Store a record of machines that may hold tasks.
    WriteMachineRecord {
        /// Key of the record.
        key: String,
        /// The machines. Empty: remove the record.
        machines: Vec<StoredMachine>,
    },
    /// Rent machines.
    Rent {
        /// Number of the request.
        request: u64,
        /// Name of the rental, if it replaces a machine that is drained: each repetition of the request, also
        /// by a later leader, has the same name, so that the cloud rents only one machine. None: the
        /// controller chooses a unique name.
        name: Option<String>,
        /// Name of the machine type.
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether to rent spot machines.
        spot: bool,
        /// Number of machines.
        count: u32,
    },
    /// Delete the machines with these names.
    Delete(Vec<String>),
    /// Store a record of a drain.
    WriteDrain {
        /// Key of the record.
        key: DrainKey,
        /// Value of the record.
        value: DrainValue,
    },
    /// Read from the state service a job that heartbeats name and the scheduler does not know.
    ReadJob {
        /// The job.
        job_id: JobId,
    },
    /// Store the report of the cold start, the phase in which a new leader reconciles inherited work with the
    /// workers' heartbeats.
    WriteColdStart(Box<ColdStartReport>),
    /// A worker has stated this fencing token, which is higher than the leader's own: another node leads.
    Deposed(FencingToken),
}
