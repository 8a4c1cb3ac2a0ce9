//! Every constant of the service, with its unit and the reason for its value. What follows from the
//! settings is a function of them. Times are durations unless the name says otherwise.

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
