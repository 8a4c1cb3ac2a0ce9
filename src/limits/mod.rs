//! Constants of the service: timeouts, intervals, sizes and shares, with their units and the reasons behind
//! them. Values that depend on the settings are functions of these. Every module of the service uses them.

mod autoscaling;
mod client;
mod cold_start;
mod drain;
mod election;
mod lease;
mod observability;
mod persistence;
mod scheduling;
mod shard;
mod transport;

pub use autoscaling::*;
pub use client::*;
pub use cold_start::*;
pub use drain::*;
pub use election::*;
pub use lease::*;
pub use observability::*;
pub use persistence::*;
pub use scheduling::*;
pub use shard::*;
pub use transport::*;

use std::time::Duration;

/// One second.
pub const SECOND: Duration = Duration::from_secs(1);
