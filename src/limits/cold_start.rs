//! Reconciliation after all controllers were lost.

use std::time::Duration;

/// How often the phase is looked at: at 4,000 machines with some ten tasks each a look joins 40,000 facts.
pub const COLD_START_INTERVAL: Duration = Duration::from_secs(1);
/// A job that reports name and nobody knows is asked about again after this.
pub const COLD_START_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Jobs asked about at once, within the state service's limit.
pub const MAX_COLD_START_READS: usize = 8;
/// Machines and tasks named in the heartbeat: it has to fit a value.
pub const MAX_COLD_START_NAMES: usize = 10;
