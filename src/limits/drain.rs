//! Draining of machines.

use std::time::Duration;

/// How often drains are looked at: stops and replacements take seconds each.
pub const DRAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time that the solver may take for one step, in seconds: it looks at 200 machines at most, and the answer in their
/// order stands where it does not suffice.
pub const DRAIN_SOLVER_TIMEOUT_S: f64 = 0.02;
/// For each machine that may begin, so many are offered to the planner.
pub const MAX_DRAIN_CANDIDATES: usize = 8;
/// Places looked for in one round, each a look at every machine: 16 at 4,000 machines take some 5 ms of a full core.
pub const MAX_DRAIN_PLACEMENT_SEARCHES: usize = 16;
/// A ledger that nothing waits for is written this often, so that a new leader misses little.
pub const DRAIN_LEDGER_INTERVAL: Duration = Duration::from_secs(10);
/// What operators are told of a drain is written this often.
pub const DRAIN_SUMMARY_INTERVAL: Duration = Duration::from_secs(2);
/// A place is kept this long for a replica that has been told to stop: longer than a worker lease.
pub const DRAIN_MOVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Added to two heartbeats for how long a moved replica is down: the round of decisions and the way to its worker.
pub const MOVE_MARGIN_S: f64 = 1.0;
/// A fetch takes up to a third longer than its rate says, and two may share the rate.
pub const FETCH_TIME_FACTOR: f64 = 1.5;
/// What a fetch is taken to last where the rate is not known.
pub const DEFAULT_FETCH_S: f64 = 60.0;
