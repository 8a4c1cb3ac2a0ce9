//! Tasks that a machine reports beside those placed on it.

use super::{ExitReason, TaskAttempt};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks that a machine reports beside those placed on it.
#[derive(Debug, Clone, Default)]
pub struct ReportedTasks {
    /// Exited tasks that the worker still lists, and why each exited.
    pub exited: BTreeMap<TaskAttempt, ExitReason>,
    /// Running tasks of jobs that do not exist. They are stopped.
    pub orphaned: BTreeSet<TaskAttempt>,
    /// Running tasks of jobs that are not known here, and when each was first reported. They are
    /// left alone until the state service has been asked about their jobs.
    pub unverified: BTreeMap<TaskAttempt, Timestamp>,
}

impl ReportedTasks {
    /// Whether some running task belongs to a job that is not known here.
    pub fn has_unknown(&self) -> bool {
        !self.orphaned.is_empty() || !self.unverified.is_empty()
    }

    /// Forgets all of them.
    pub fn clear(&mut self) {
        self.exited.clear();
        self.orphaned.clear();
        self.unverified.clear();
    }
}
