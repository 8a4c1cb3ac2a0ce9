//! dockpier, an elastic cluster scheduler.
//!
//! [`scheduler`] makes every decision and does no I/O; [`leadership`] and [`lease`] say who may act and until when, without
//! I/O either. [`controller`] is the event loop that feeds them and carries out what they decide; the other modules speak
//! to users, workers, the cloud, the key-value store and the other controllers. `ARCHITECTURE.md` has the whole picture.

#![deny(missing_docs)]

pub mod api;
pub mod cli;
pub mod client;
pub mod cloud;
pub mod controller;
pub mod drains;
pub mod fencing_token;
pub mod fleet_limits;
pub mod http;
pub mod leadership;
pub mod lease;
pub mod limits;
pub mod node_events;
pub mod peer;
pub mod protocol;
pub mod scheduler;
pub mod settings;
pub mod storage;
pub mod time;
mod token_bucket;
pub mod worker;
