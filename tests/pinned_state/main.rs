//! Bytes that no change of this program may move: what it keeps in the state service, what operators' pages show, and
//! what the command line says. The files under `tests/golden/pinned` were taken from the program as it stood when these
//! tests were written, and are never taken again: whatever differs from them is a break for the versions, operators and
//! scripts that rely on them.

mod canned_node;
mod client_commands;
mod cold_start_records;
mod command_line;
#[path = "../common/mod.rs"]
mod common;
mod domain;
mod drain_records;
mod endpoint;
mod golden;
mod job_records;
mod leader_views;
mod node_api;
#[path = "../common/processes.rs"]
mod processes;
mod program;
mod recorder;
mod settings_files;
#[path = "../loopback/standins/mod.rs"]
#[allow(dead_code, unused_imports, reason = "shared with the loopback tests, which use all of it")]
mod standins;
mod store_requests;
mod transactions;
mod workers;
