//! What operators are shown, and how often.

use std::time::Duration;

/// Usage per job is written to the log this often.
pub const USAGE_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Recent decisions kept for the overview, and jobs and machines shown in it.
pub const MAX_RECENT_DECISIONS: usize = 50;
/// Jobs and machines on one page of the overview.
pub const MAX_OVERVIEW_LINES: usize = 500;
