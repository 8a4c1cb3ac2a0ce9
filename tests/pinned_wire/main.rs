//! What users, workers, the cloud, the state service and operators see, held byte for byte against golden files that
//! were taken from the program before its renaming: no renaming or restructuring may move a byte of them.
//!
//! Values that we read are spelled out by the tests themselves (`spell`), never by `Debug` of our types, so that a
//! golden file depends on no name in our sources. Times and ports are no part of them (`wire`).

mod cloud_requests;
mod http_checkins;
mod http_edge;
mod http_refusals;
mod http_submissions;
mod operators_file;
#[path = "../common/processes.rs"]
mod processes;
mod program;
mod reports;
mod settings_file;
mod spell;
#[path = "../loopback/standins/mod.rs"]
#[allow(dead_code, unused_imports)]
mod standins;
mod state_requests;
mod submissions;
mod transcript;
mod type_names;
mod wire;
mod worker_orders;

/// Runs a test that waits for sockets.
fn on_runtime(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}
