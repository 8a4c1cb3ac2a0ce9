//! What the scheduler is told, and what it decides: commands in, effects out.

use super::cold_start::{ColdStartReport, JobReading};
use super::drains::{DrainKey, DrainValue, LoadedDrains};
use super::model::*;
use crate::lease::renewal::LeaseRenewal;
use crate::settings::{Operator, Team, Workers};
use dockpier_drain::request::StoredRequest;
use std::collections::BTreeSet;

#[derive(Debug, Clone)]
pub struct Config {
    pub token: u64,
    pub operator: Operator,
    pub workers: Workers,
    pub teams: Vec<Team>,
    pub zones: Vec<String>,
    pub list_lag_s: f64,
    pub round_steps: usize,
    /// The share of a processor core that this process has.
    pub cpu_share: f64,
    /// Puts and deletes a second that the state service allows all nodes together.
    pub write_rps: f64,
    /// Machines that fit into one record.
    pub record_machines: usize,
    /// Bytes that a value of the state service may have.
    pub value_most: usize,
    /// Rental requests under way at once.
    pub rentals_at_once: usize,
    /// For how long a leaseholder may go on by itself, in microseconds; 0: there are no others.
    pub shard_lease: u64,
}

/// A job as the state service has it.
#[derive(Debug, Clone)]
pub struct StoredJob {
    pub spec: JobSpec,
    pub version: u64,
    /// Time since its submission, in microseconds.
    pub age: u64,
    pub succeeded: BTreeSet<u32>,
}

/// A machine as the cloud lists it: only ever a hint.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    pub machine: StoredMachine,
    pub failed: bool,
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Done,
    Refused,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// What a heartbeat turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The round should look at what it brought.
    Changed,
    /// It lists what the last one did.
    Unchanged,
    /// Older than what direct commands were answered with: its list says nothing, but its worker waits.
    Overtaken,
    /// A copy of one that was taken already, or from an agent epoch or a machine that is gone: nobody waits.
    Stale,
}

#[derive(Debug)]
pub enum Command {
    /// What the state service held when this leader took over.
    Load {
        jobs: Vec<StoredJob>,
        records: Vec<(String, Vec<StoredMachine>)>,
    },
    JobAdded(StoredJob),
    JobRemoved(JobId),
    /// A heartbeat; the answer goes out under this number.
    Heartbeat {
        reply: u64,
        heartbeat: Heartbeat,
        /// The leaseholder that passed it on; None: it came here.
        via: Option<usize>,
    },
    /// Machines that a leaseholder has answered by itself.
    ShardHeartbeat {
        node: usize,
        machines: Vec<String>,
        /// Up to then it has answered nobody else; None: the list may be cut short.
        covers_until: Option<u64>,
        /// Its first heartbeats: an earlier life may have answered anybody until now.
        first_of_incarnation: bool,
    },
    /// A worker's heartbeat in answer to a direct command.
    DirectCommandAnswered(Heartbeat),
    Committed {
        job_id: JobId,
        tasks: BTreeSet<u32>,
        outcome: WriteOutcome,
    },
    Finished {
        job_id: JobId,
        outcome: WriteOutcome,
    },
    Recorded {
        key: String,
        outcome: WriteOutcome,
    },
    Types(Vec<MachineType>),
    Rented {
        request: u64,
        machines: Option<Vec<String>>,
        outcome: WriteOutcome,
    },
    Deleted {
        machines: Vec<String>,
        outcome: WriteOutcome,
    },
    Listed(Vec<ListedMachine>),
    /// What the state service held of drains when this leader took over; comes before `Load`.
    LoadDrains(LoadedDrains),
    /// What operators ask for now.
    DrainRequests(Vec<StoredRequest>),
    DrainWritten {
        key: DrainKey,
        outcome: WriteOutcome,
    },
    /// What the store has of a job that reports name and the scheduler does not know; the reading left at `sent`.
    JobRead {
        job_id: JobId,
        sent: u64,
        reading: JobReading,
    },
    ColdStartWritten(WriteOutcome),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    HeartbeatResponse {
        reply: u64,
        /// None: nobody waits, and the answer must not renew a lease.
        renewal: Option<LeaseRenewal>,
        task_commands: Vec<TaskCommand>,
        /// The node that passed the heartbeat on may answer the next ones by itself if they say nothing new.
        cacheable: bool,
    },
    /// A leaseholder is to pass this machine's next heartbeat on.
    RequestWake {
        node: usize,
        machine: String,
    },
    /// Stops sent straight to a worker, which then need not wait for its next heartbeat.
    DirectCommands {
        machine: String,
        address: String,
        agent_epoch: u64,
        task_commands: Vec<TaskCommand>,
    },
    CommitDone {
        job_id: JobId,
        version: u64,
        tasks: BTreeSet<u32>,
        all_done: BTreeSet<u32>,
    },
    Finish {
        job_id: JobId,
        version: u64,
        tasks: u32,
        /// Keys of finished tasks to remove with it.
        chunks: Vec<u32>,
    },
    /// Machines that may hold tasks; none: the record is to be removed.
    Record {
        key: String,
        machines: Vec<StoredMachine>,
    },
    Rent {
        request: u64,
        /// The rental's name, where it must be the same whoever leads.
        name: Option<String>,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Delete(Vec<String>),
    /// A record of a drain is to be stored.
    WriteDrain {
        key: DrainKey,
        value: DrainValue,
    },
    /// The store is to be asked about a job that reports name and the scheduler does not know.
    ReadJob {
        job_id: JobId,
    },
    /// The report of the cold start is to be stored.
    WriteColdStart(Box<ColdStartReport>),
    /// A worker has seen a higher token: somebody else leads.
    Deposed(u64),
}
