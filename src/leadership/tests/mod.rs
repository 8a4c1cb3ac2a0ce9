//! Leadership of three controllers in a small simulated network: drifting clocks, delayed, repeated and reordered
//! messages, crashes that lose all state, store outages and refusals, in virtual time with fixed seeds.
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

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
const NODES: usize = 3;
const NAMES: [&str; NODES] = ["a", "b", "c"];
/// How long workers may be kept alive without news of cancellations.
const AUTONOMY: u64 = 10 * SECOND;
/// The lease of a worker.
const WORKER_LEASE: u64 = 10 * SECOND;
/// The tasks of a cancelled job must be gone this long after the user was told: `limits::longest_autonomy` solved for
/// `cancel_s`.
const CANCELLATION_DEADLINE: u64 =
    AUTONOMY + WORKER_LEASE + limits::LOCK_LEASE_MS * 1_000 + limits::LEASE_MARGIN + SECOND;
const BOUNDS: CancellationBounds =
    CancellationBounds { longest_autonomy: AUTONOMY, retention: 2 * CANCELLATION_DEADLINE };
