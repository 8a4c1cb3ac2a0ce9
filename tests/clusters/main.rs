//! The scheduler with a small cluster of workers that carry out their commands: teams, and tasks that fail.

#[path = "../common/mod.rs"]
mod common;

mod cluster;
mod faults;
mod start_permission;
mod teams;
