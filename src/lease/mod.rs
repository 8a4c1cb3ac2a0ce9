//! Worker leases: who may renew them, and until when. Pure: no I/O and no clock.
//!
//! [`renewal`] accounts for every response that may renew a worker's lease. [`shard`] serves the workers that send
//! their heartbeats to a controller which does not lead. [`cancellation_log`] bounds how long a controller may respond
//! without knowing of every cancellation.
//!
//! The controller's event loop (`controller`) owns one [`shard::Shard`]. [`crate::leadership`] owns the
//! [`cancellation_log::CancellationLog`]. The scheduler keeps a [`renewal::LastRenewal`] for each machine.

pub mod cancellation_log;
mod cancellation_log_member;
pub mod renewal;
pub mod shard;
