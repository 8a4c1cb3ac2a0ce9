//! Access to the consensus-backed key-value store, the only place where controllers keep state.

pub mod key_value_store;
pub mod live_job_cache;
pub mod record_versions;
