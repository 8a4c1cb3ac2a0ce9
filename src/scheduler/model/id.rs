//! Ids of jobs, tasks and attempts.

use std::fmt;

/// A job id, always `job-` and a number of at least six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses an id. Only the canonical form is one: two spellings of one number would be two ids to a user.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        let plain = digits.len() >= 6 && digits.bytes().all(|b| b.is_ascii_digit());
        let canonical = plain && (digits.len() == 6 || !digits.starts_with('0'));
        canonical.then(|| digits.parse().ok()).flatten().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}", self.0)
    }
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job_id: JobId,
    /// Index of the task within the job, from 0.
    pub task: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job_id, self.task)
    }
}

/// One start of a task. Ordered by task, then by attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt; the leader's fencing token is in it, so that no two leaders use one twice.
    pub attempt: u64,
}
