//! What operators see of a drain: its state, what it waits for, and when it should be done.

use crate::budget::Cost;
use crate::ledger::Allowance;
use crate::progress::Counts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a drain waits for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// A team's budget has too little left.
    Budget {
        /// The team.
        team: String,
        /// What the next stop would take.
        tasks: u32,
        /// Of it, replica seconds and seconds of repeated work.
        cost: Cost,
        /// What is left.
        left: Allowance,
    },
    /// No machine that stays has a place for a replica.
    NoPlace {
        /// The job of the replica.
        job: String,
    },
    /// The machines that stay in a zone have too little room.
    NoRoom {
        /// The zone.
        zone: String,
    },
    /// A zone would be left with too few places for its services.
    ReservedPlaces {
        /// The zone.
        zone: String,
        /// Places that it would lose.
        needs: i64,
        /// Places that it can spare.
        left: i64,
    },
    /// The cloud has no machine to replace one with.
    NoReplacement {
        /// The machine that is to be replaced.
        machine: String,
    },
    /// A replacement is not up yet.
    ReplacementStarting {
        /// The machine that is to be replaced.
        machine: String,
    },
    /// Another task of the job is not where it should be.
    JobNotWhole {
        /// The job.
        job: String,
    },
    /// A task is fetching its image, saving or ending.
    TaskStarting {
        /// Its job.
        job: String,
    },
    /// Not every machine of a gang can be sent a stop at once.
    GangUnreachable {
        /// The gang.
        job: String,
    },
    /// Tasks are let finish.
    Finishing {
        /// How many.
        tasks: usize,
    },
    /// A stop was sent and is not confirmed yet.
    Stopping {
        /// The job.
        job: String,
    },
    /// The leader does not know yet what all machines run.
    Reconciling,
    /// A zone can't be reached.
    ZoneUnreachable {
        /// The zone.
        zone: String,
    },
    /// The state service has not confirmed the step.
    Unwritten,
    /// As many machines as allowed are under way.
    StepFull,
    /// Operators have paused it.
    Paused,
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wait::Budget { team, tasks, cost, left } => write!(
                f,
                "budget of team {team}: the next stop takes {tasks} tasks, {:.1} replica-s and {:.1} work-s; left are \
                 {} tasks, {:.1} replica-s and {:.1} work-s",
                cost.replica_s, cost.work_s, left.tasks, left.cost.replica_s, left.cost.work_s
            ),
            Wait::NoPlace { job } => write!(f, "no free place that {job} may move to"),
            Wait::NoRoom { zone } => write!(f, "too little free room on the other machines of zone {zone}"),
            Wait::ReservedPlaces { zone, needs, left } => {
                write!(f, "reserved places of zone {zone}: it would lose {needs} and can spare {left}")
            }
            Wait::NoReplacement { machine } => write!(f, "the cloud has no machine to replace {machine} with"),
            Wait::ReplacementStarting { machine } => write!(f, "the replacement of {machine} is not up yet"),
            Wait::JobNotWhole { job } => write!(f, "another task of {job} is not running"),
            Wait::TaskStarting { job } => write!(f, "a task of {job} is starting or ending"),
            Wait::GangUnreachable { job } => write!(f, "not every machine of gang {job} can be told"),
            Wait::Finishing { tasks } => write!(f, "{tasks} tasks are let finish"),
            Wait::Stopping { job } => write!(f, "a task of {job} has been told to stop"),
            Wait::Reconciling => write!(f, "the leader does not know yet what all machines run"),
            Wait::ZoneUnreachable { zone } => write!(f, "zone {zone} can't be reached"),
            Wait::Unwritten => write!(f, "the state service has not confirmed the step"),
            Wait::StepFull => write!(f, "as many machines as allowed are under way"),
            Wait::Paused => write!(f, "paused by an operator"),
        }
    }
}

/// The state of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// It goes on, or waits.
    Running,
    /// Operators have paused it.
    Paused,
    /// Operators have cancelled it.
    Cancelled,
    /// Every machine is returned or gone.
    Finished,
}

/// The leader's summary of a drain, stored so that every node can show it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The drain's state.
    pub state: DrainState,
    /// How many machines are in which state.
    pub counts: Counts,
    /// What it waits for; empty where it does not wait.
    pub waits: Vec<Wait>,
    /// As things stand it can never finish: what it needs is more than a whole budget.
    pub never: bool,
    /// The deadline has passed, or will have by the estimate.
    pub late: bool,
    /// When it should be done at the present pace, in milliseconds of the time of day.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub estimate: Option<u64>,
    /// When this was written, in milliseconds of the time of day.
    pub updated: u64,
    /// The fencing token of the leader that wrote it.
    pub token: u64,
}

/// Reasons kept in a summary; more are left out, since a record has to fit a value of the state service.
pub const WAITS_MOST: usize = 6;
