//! Tasks in a machine's heartbeats that are not placed on it.

use super::{ExitReason, TaskAttempt};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks in a machine's heartbeats that are not placed on it.
#[derive(Debug, Clone, Default)]
pub struct UnplacedTasks {
    /// Exited tasks that the worker still lists, and the reason of each exit.
    pub exited: BTreeMap<TaskAttempt, ExitReason>,
    /// Tasks of jobs that do not exist, as far as this leader knows. They are stopped.
    pub orphaned: BTreeSet<TaskAttempt>,
    /// Tasks of jobs that this leader does not know, and when each was first reported. They are kept until
    /// the state service has been asked about their jobs.
    pub unverified: BTreeMap<TaskAttempt, Timestamp>,
}

impl UnplacedTasks {
    /// Whether a task that has not exited belongs to a job that this leader does not know.
    pub fn has_tasks_of_unknown_jobs(&self) -> bool {
        !self.orphaned.is_empty() || !self.unverified.is_empty()
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.exited.clear();
        self.orphaned.clear();
        self.unverified.clear();
    }
}
