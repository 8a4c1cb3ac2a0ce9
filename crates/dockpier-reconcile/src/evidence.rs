//! Facts about machines and jobs, and how two of the same kind are joined.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
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

/// The number of a machine's heartbeat: the agent epoch, then the sequence within it. A later heartbeat has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportNumber(pub u64, pub u64);

/// The state of a reported task.
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
    /// Its state.
    pub state: ReportedState,
}

/// The proof that no task of a machine runs any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GoneBy {
    /// Its lease has expired.
    LeaseOver,
    /// The cloud has confirmed its deletion.
    CloudWord,
}

/// What is known of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineFact {
    /// No heartbeat has come since the takeover: it may run any task.
    Unheard,
    /// Its newest heartbeat since the takeover.
    Heard {
        /// The heartbeat's number.
        number: ReportNumber,
        /// When it arrived, on the caller's clock.
        at: u64,
        /// The tasks that it lists.
        tasks: Vec<Reported>,
    },
    /// None of its tasks runs any more.
    Gone(GoneBy),
}

impl MachineFact {
    /// The later of two facts about one machine; of the same heartbeat the first arrival counts.
    pub fn join(self, other: MachineFact) -> MachineFact {
        use MachineFact::{Gone, Heard, Unheard};
        match (self, other) {
            (Gone(proof), Gone(other_proof)) => Gone(proof.max(other_proof)),
            (gone @ Gone(_), Heard { .. } | Unheard) | (Heard { .. } | Unheard, gone @ Gone(_)) => gone,
            (Unheard, fact @ (Heard { .. } | Unheard)) | (fact @ Heard { .. }, Unheard) => fact,
            (
                Heard { number, at, tasks },
                Heard { number: other_number, at: other_at, tasks: other_tasks },
            ) => match number.cmp(&other_number) {
                Ordering::Less => Heard { number: other_number, at: other_at, tasks: other_tasks },
                Ordering::Equal => Heard { number, at: at.min(other_at), tasks },
                Ordering::Greater => Heard { number, at, tasks },
            },
        }
    }
}

/// What is known of a job from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobFact {
    /// It is live, with so many tasks of which these are finished. Whatever the order, more is finished later.
    Live {
        /// Its tasks.
        tasks: u32,
        /// Those that are recorded as finished.
        finished: BTreeSet<u32>,
    },
    /// Its record can't be read: nothing may be concluded.
    Unreadable,
    /// A read that was sent at this time did not show it: it has ended, or was never submitted.
    Absent {
        /// When the read was sent, on the caller's clock.
        read: u64,
    },
}

impl JobFact {
    /// The later of two facts about one job. A live job is absent once it has ended, and never comes back.
    pub fn join(self, other: JobFact) -> JobFact {
        use JobFact::{Absent, Live, Unreadable};
        match (self, other) {
            (Absent { read }, Absent { read: other_read }) => Absent { read: read.max(other_read) },
            (absent @ Absent { .. }, Live { .. } | Unreadable)
            | (Live { .. } | Unreadable, absent @ Absent { .. }) => absent,
            (Unreadable, Live { .. } | Unreadable) | (Live { .. }, Unreadable) => Unreadable,
            (Live { tasks, mut finished }, Live { tasks: other_tasks, finished: other_finished }) => {
                finished.extend(other_finished);
                Live { tasks: tasks.max(other_tasks), finished }
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
