//! Task counts of jobs, which the leader publishes so that every node can answer users who poll.

use super::JobId;

/// Number of tasks of a job in each state that users see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have succeeded.
    pub succeeded: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// Task counts of a job that is not terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job_id: JobId,
    /// Task counts.
    pub counts: TaskCounts,
}
