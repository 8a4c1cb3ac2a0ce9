//! Leases: who may keep a worker's tasks alive, and until when. Pure: no I/O and no clock.
//!
//! [`renewal`] accounts for every response that may renew a worker's lease, [`shard`] is the part of the workers that
//! report to a controller which does not lead, and [`cancellation_log`] bounds how long anybody may respond without
//! knowing of every cancellation.

pub mod cancellation_log;
pub mod renewal;
pub mod shard;
