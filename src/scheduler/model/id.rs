//! Ids of jobs and tasks.

use std::fmt;

/// A job id, always `job-` and a number of at least six digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Only the canonical form is an id: two spellings of one number would be two ids to a user.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job_id: JobId,
    pub task: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job_id, self.task)
    }
}
