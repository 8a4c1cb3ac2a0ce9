//! Worker leases: who may renew them, and until when. Pure: no I/O and no clock.
//!
//! [`renewal`] records every response that may renew a worker's lease. [`shard`] responds to the workers that
//! send their heartbeats to a controller which does not lead. [`cancellation_log`] bounds how long a
//! controller may respond to workers without knowing every cancellation.
//!
//! A controller node in keep-alive mode keeps workers alive under the last fencing token while the key-value
//! store is out of service and there is no leader. A majority must have voted for it, and it keeps the mode
//! while the votes or the grants (consents of peers that it acts) of a majority are
//! valid. It starts no tasks.
//!
//! The controller's heartbeat routing owns one [`shard::Shard`]. [`crate::leadership`] owns the
//! [`cancellation_log::CancellationLog`]. The scheduler keeps a [`renewal::LastRenewal`] for each machine.

mod attestation;
pub mod cancellation_log;
mod cancellation_log_member;
mod own_confirmations;
pub mod renewal;
pub mod shard;
