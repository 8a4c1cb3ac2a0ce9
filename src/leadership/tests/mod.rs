//! Leadership of three controllers in a small simulated network: drifting clocks, delayed, repeated and
//! reordered messages, crashes that lose all state, store outages and refusals, in virtual time with fixed
//! seeds.
//!
//! - `cluster`: the nodes, their clocks and what is wrong at present;
//! - `network`: what is under way between nodes and the key-value store;
//! - `key_value_store`: the stand-in for the store;
//! - `workers`: workers, leaseholders and jobs;
//! - `lease_ledger`: the leader's account of workers' leases;
//! - `invariants`: what must hold after every step;
//! - `faults`: random faults;
//! - `election_scenarios`, `cancellation_scenarios`, `single_node`, `parts`: the tests.

mod cancellation_scenarios;
mod cluster;
mod election_scenarios;
mod faults;
mod invariants;
mod key_value_store;
mod lease_ledger;
mod network;
mod parts;
mod single_node;
mod workers;

use crate::lease::cancellation_log::CancellationBounds;
use crate::limits::{self, SECOND};
use crate::time::to_micros;
use rand::rngs::SmallRng;
use rand::Rng;
use std::ops::Range;
use std::time::Duration;

/// One millisecond.
const MS: Duration = Duration::from_millis(1);
const NODES: usize = 3;
const NAMES: [&str; NODES] = ["a", "b", "c"];
/// How long workers may be kept alive without news of cancellations.
const AUTONOMY: Duration = Duration::from_secs(10);
/// The lease of a worker.
const WORKER_LEASE: Duration = Duration::from_secs(10);
/// The tasks of a cancelled job must be gone this long after the user was told: `limits::longest_autonomy`
/// solved for `cancel_s`.
const CANCELLATION_DEADLINE: Duration = AUTONOMY
    .saturating_add(WORKER_LEASE)
    .saturating_add(limits::LOCK_LEASE)
    .saturating_add(limits::LEASE_MARGIN)
    .saturating_add(SECOND);
const BOUNDS: CancellationBounds =
    CancellationBounds { longest_autonomy: AUTONOMY, retention: CANCELLATION_DEADLINE.saturating_mul(2) };

/// A random duration of whole microseconds.
fn random_duration(rng: &mut SmallRng, range: Range<Duration>) -> Duration {
    Duration::from_micros(rng.random_range(to_micros(range.start)..to_micros(range.end)))
}
