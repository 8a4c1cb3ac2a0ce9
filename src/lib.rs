//! dockpier, an elastic cluster scheduler.
//!
//! `scheduler` owns every decision and does no I/O; `leadership` says who may act; the other modules
//! stand around them and speak to users, workers, the cloud, the state service and the peers.

pub mod api;
pub mod cli;
pub mod client;
pub mod cloud;
pub mod controller;
pub mod drains;
pub mod fleet_limits;
pub mod http;
pub mod leadership;
pub mod lease;
pub mod limits;
pub mod node_events;
pub mod operator;
pub mod peer;
pub mod protocol;
pub mod scheduler;
pub mod settings;
pub mod storage;
mod token_bucket;
pub mod worker;
