//! Leadership of three controllers in a simulated network: drifting clocks, delayed, repeated and reordered
//! messages, crashes that lose all state, store outages and refusals, in virtual time with fixed seeds.
//!
//! - `cluster`: the nodes, their clocks and the active faults;
//! - `network`: messages in transit between nodes, and to and from the key-value store;
//! - `key_value_store`: an in-memory substitute for the store;
//! - `workers`: workers, leaseholders (followers with a shard lease, `lease::shard`) and jobs;
//! - `lease_ledger`: the leader's record of worker leases;
//! - `invariants`: checks after every step;
//! - `faults`: random faults;
//! - `election_scenarios`, `cancellation_scenarios`, `start_scenarios`: tests in the simulated cluster;
//! - `one_node_of_three`, `components`: tests without a network.

mod cancellation_scenarios;
mod cluster;
mod components;
mod election_scenarios;
mod faults;
mod invariants;
mod key_value_store;
mod lease_ledger;
mod network;
mod one_node_of_three;
mod start_scenarios;
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
const NODE_COUNT: usize = 3;
const NODE_NAMES: [&str; NODE_COUNT] = ["a", "b", "c"];
/// How long workers may be kept alive after the time up to which every cancellation is known, not including
/// `limits::LOCK_LEASE`, which `CancellationLog` adds.
const LONGEST_AUTONOMY: Duration = Duration::from_secs(10);
/// How long a member promises to confirm no cancellation that a leader may not know (`limits::start_promise`).
const START_PROMISE: Duration = LONGEST_AUTONOMY.saturating_add(limits::LOCK_LEASE);
/// The lease of a worker.
const WORKER_LEASE: Duration = Duration::from_secs(10);
/// How long tasks of a cancelled job may run after the cancellation was confirmed to the user: the setting
/// `cancel_s` from which `limits::longest_autonomy` computes `LONGEST_AUTONOMY`.
const CANCELLATION_DEADLINE: Duration = LONGEST_AUTONOMY
    .saturating_add(WORKER_LEASE)
    .saturating_add(limits::LOCK_LEASE)
    .saturating_add(limits::LEASE_MARGIN)
    .saturating_add(SECOND);
const BOUNDS: CancellationBounds = CancellationBounds {
    longest_autonomy: LONGEST_AUTONOMY,
    start_promise: START_PROMISE,
    retention: CANCELLATION_DEADLINE.saturating_mul(2),
};

/// A random duration of whole microseconds.
fn random_duration(rng: &mut SmallRng, range: Range<Duration>) -> Duration {
    Duration::from_micros(rng.random_range(to_micros(range.start)..to_micros(range.end)))
}
