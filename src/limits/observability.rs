//! What operators are shown, and how often.

/// Usage per job is written to the log this often.
pub const USAGE_LOG_INTERVAL: u64 = 60_000_000;
/// Recent decisions kept for the overview, and jobs and machines shown in it.
pub const MAX_RECENT_DECISIONS: usize = 50;
/// Jobs and machines on one page of the overview.
pub const MAX_OVERVIEW_LINES: usize = 500;
