//! Facts about machines and jobs, and how two of the same kind are joined.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job's number.
    pub job: u64,
    /// The task's number within the job.
    pub task: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}/{}", self.job, self.task)
    }
}

/// Tells reports of a machine apart: the agent epoch, then the sequence within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportNumber(pub u64, pub u64);

/// How far a reported task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedState {
    /// It waits for its image, runs or saves.
    Alive,
    /// It has completed, and the worker keeps the result.
    Done,
    /// It has ended otherwise.
    Ended,
}

/// A task as a heartbeat lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reported {
    /// The task.
    pub task: TaskKey,
    /// The attempt that it was started under.
    pub attempt: u64,
    /// How far it is.
    pub state: ReportedState,
}

/// What proves that a machine holds nothing any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GoneBy {
    /// Its lease can't run any more.
    LeaseOver,
    /// The cloud has confirmed its deletion.
    CloudWord,
}

/// What is known of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineFact {
    /// It may hold anything.
    Unheard,
    /// Its newest heartbeat since the takeover.
    Heard {
        /// Which report.
        number: ReportNumber,
        /// When it came.
        at: u64,
        /// The tasks that it lists.
        tasks: Vec<Reported>,
    },
    /// It holds nothing any more.
    Gone(GoneBy),
}

impl MachineFact {
    /// The later of two facts about one machine; of the same heartbeat the first arrival counts.
    pub fn join(self, other: MachineFact) -> MachineFact {
        use MachineFact::*;
        match (self, other) {
            (Gone(a), Gone(b)) => Gone(a.max(b)),
            (gone @ Gone(_), _) | (_, gone @ Gone(_)) => gone,
            (Unheard, fact) | (fact, Unheard) => fact,
            (Heard { number, at, tasks }, Heard { number: n, at: a, tasks: t }) => match number.cmp(&n) {
                std::cmp::Ordering::Less => Heard { number: n, at: a, tasks: t },
                std::cmp::Ordering::Equal => Heard { number, at: at.min(a), tasks },
                std::cmp::Ordering::Greater => Heard { number, at, tasks },
            },
        }
    }
}

/// What the store says of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobFact {
    /// It is live, with so many tasks of which these are finished. Whatever the order, more is finished later.
    Live {
        /// Its tasks.
        tasks: u32,
        /// Those that are recorded as finished.
        finished: BTreeSet<u32>,
    },
    /// There is a record that can't be read: nothing may be concluded.
    Unreadable,
    /// A reading that left at this time did not show it: it is over, or was never submitted.
    Absent {
        /// When the reading left.
        read: u64,
    },
}

impl JobFact {
    /// The later of two facts about one job. A live job is absent once it is over, and never comes back.
    pub fn join(self, other: JobFact) -> JobFact {
        use JobFact::*;
        match (self, other) {
            (Absent { read: a }, Absent { read: b }) => Absent { read: a.max(b) },
            (absent @ Absent { .. }, _) | (_, absent @ Absent { .. }) => absent,
            (Unreadable, _) | (_, Unreadable) => Unreadable,
            (Live { tasks, mut finished }, Live { tasks: t, finished: f }) => {
                finished.extend(f);
                Live { tasks: tasks.max(t), finished }
            }
        }
    }
}

/// One fact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// About a machine.
    Machine(String, MachineFact),
    /// About a job.
    Job(u64, JobFact),
}
