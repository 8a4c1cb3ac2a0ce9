//! The scheduler at the size of the grown deployments: work bounded by counted decision steps, not by a clock, and
//! troubles told apart that look alike on a handful of machines.

#[path = "../common/mod.rs"]
mod common;

mod decision_steps;
mod failure_detection;
mod fleet;
mod queue_order;
mod six_thousand_machines;
mod store_changes;
