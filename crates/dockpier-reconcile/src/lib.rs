//! Reconciliation after a takeover: the stored jobs, the workers' heartbeats and the machines that are known to be gone
//! are joined to one verdict on each task, with its evidence.
//!
//! Facts are joined by version: of a machine the newest heartbeat counts, and a machine that is gone stays gone; of a job
//! the latest read of the store counts. Invariant: the same facts give the same verdicts in any order, repeated or late.
//! The crate does no I/O and keeps no clock; times are the caller's.

#![deny(missing_docs)]

mod evidence;
mod verdict;

pub use evidence::{Fact, GoneBy, JobFact, MachineFact, ReportNumber, Reported, ReportedState, TaskKey};
pub use verdict::{Counts, Evidence, Reconciliation, Verdict};
