//! Ids of jobs, tasks and attempts.

use std::fmt;

/// A job id. Its text is `job-` and the number, padded with zeros to six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses an id. Only the canonical form is accepted, so that no job has two ids.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        let is_numeric = digits.len() >= 6 && digits.bytes().all(|b| b.is_ascii_digit());
        let is_canonical = is_numeric && (digits.len() == 6 || !digits.starts_with('0'));
        is_canonical.then(|| digits.parse().ok()).flatten().map(JobId)
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
    /// Number of the attempt. It contains the leader's fencing token, so that no two leaders use the same
    /// number.
    pub attempt: u64,
}
