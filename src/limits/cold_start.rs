//! Reconciliation after a cold start, that is, after all controllers were lost. Used by
//! `scheduler::cold_start`.

use std::time::Duration;

/// Interval between two checks of the cold-start phase: at 4,000 machines with some ten tasks each, one check
/// compares 40,000 reported tasks with the recorded jobs.
pub const COLD_START_INTERVAL: Duration = Duration::from_secs(1);
/// A job that workers report and the leader does not know is read from the key-value store again after this
/// time.
pub const COLD_START_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Unknown jobs that are read at once, within the request limit of the key-value store.
pub const MAX_COLD_START_READS: usize = 8;
/// Machines, and likewise tasks, that the cold-start report names: it must fit one value of the key-value
/// store.
pub const MAX_COLD_START_NAMES: usize = 10;
