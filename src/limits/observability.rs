//! What operators are shown, and how often.

use std::time::Duration;

/// Interval at which the usage of each job is logged.
pub const USAGE_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Recent decisions that are kept for the overview.
pub const MAX_RECENT_DECISIONS: usize = 50;
/// Jobs, and likewise machines, on one page of the overview.
pub const MAX_OVERVIEW_LINES: usize = 500;
