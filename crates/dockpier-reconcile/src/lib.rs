//! What a leader that finds everything running, or half of it, may conclude: stored jobs joined with what workers
//! report and what is known to be gone, to one verdict on each task and the evidence that it rests on.
//!
//! The join is one of versions: of a machine the newest heartbeat counts, and what is gone stays gone; of a job the latest
//! reading of the store. So the same facts give the same verdicts in whatever order they come, repeated or late. The
//! crate does no I/O and keeps no clock; times are the caller's.

#![deny(missing_docs)]

mod evidence;
mod verdict;

pub use evidence::{Fact, GoneBy, JobFact, MachineFact, ReportNumber, Reported, ReportedState, TaskKey};
pub use verdict::{Counts, Evidence, Reconciliation, Verdict};
