//! What a leader publishes of each job, so that every node can answer polls.

use super::JobId;

/// How many tasks of a job are in the states that users see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have succeeded.
    pub succeeded: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// The counts of a job that is not terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job_id: JobId,
    /// Its tasks.
    pub counts: TaskCounts,
}
