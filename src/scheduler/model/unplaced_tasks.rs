//! Tasks that a machine's heartbeats list and for which the leader has no placement there.

use super::{ExitReason, TaskAttempt};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that a machine's heartbeats list and for which the leader has no placement there. `task_lists`
/// updates them; `HeartbeatTracker::reported_tasks` is the whole list.
#[derive(Debug, Clone, Default)]
pub struct UnplacedTasks {
    /// Exited tasks that the worker still lists, and the reason of each exit.
    pub exited: BTreeMap<TaskAttempt, ExitReason>,
    /// Tasks to be stopped: their jobs are not in the state service or, if the cold start is disabled, are
    /// unknown to this leader.
    pub orphaned: BTreeSet<TaskAttempt>,
    /// Tasks of jobs unknown to this leader, and when each was first reported. They keep running until the
    /// state service has been asked whether their jobs exist. Empty if the cold start is disabled.
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
