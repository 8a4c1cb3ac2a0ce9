//! Draining of machines. Used by `scheduler::drains`.

use std::time::Duration;

/// Interval between two drain steps: stops and replacements take seconds each.
pub const DRAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of the solver for one drain step, in seconds. It considers 200 machines at most; if the time
/// does not suffice, machines are taken in their order of preference.
pub const DRAIN_SOLVER_TIMEOUT_S: f64 = 0.02;
/// Candidates that the solver gets, as a multiple of the number of machines that may begin to drain in the
/// step.
pub const DRAIN_CANDIDATES_FACTOR: usize = 8;
/// Searches for a destination in one round, each over every machine: 16 at 4,000 machines take some 5 ms of a
/// full core.
pub const MAX_DRAIN_PLACEMENT_SEARCHES: usize = 16;
/// A team's ledger of disruptions is written before the stops that it records are sent. While no stop
/// waits for it, its other changes (such as losses, settled costs and released reservations) are written at
/// this interval, so that a new leader misses little.
pub const DRAIN_LEDGER_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which a drain's summary for operators is written.
pub const DRAIN_SUMMARY_INTERVAL: Duration = Duration::from_secs(2);
/// How long a place stays reserved for a replica that was asked to stop: longer than a worker lease.
pub const DRAIN_MOVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Added to two heartbeat intervals to estimate how long a moved replica is down, in seconds: the round of
/// decisions and the transfer to its worker.
pub const MOVE_MARGIN_S: f64 = 1.0;
/// Factor on the nominal duration of an image fetch: a fetch takes up to a third longer than its rate says,
/// and two may share the rate.
pub const FETCH_TIME_FACTOR: f64 = 1.5;
/// Estimated duration of a fetch whose rate is not known, in seconds.
pub const DEFAULT_FETCH_S: f64 = 60.0;
