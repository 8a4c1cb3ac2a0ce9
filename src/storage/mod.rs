//! Access to the consensus-backed key-value store (the state service), the only durable state of controllers.
//!
//! `key_value_store` speaks its protocol, `keys` names what is stored, `leader_lock` has the operations of an election,
//! `record_versions` guards the leader's records against late transactions, and `live_job_cache` answers polls from one
//! shared read. Called by `api`, `drains` and `controller`; the scheduler never does I/O.

pub mod key_value_store;
pub mod keys;
pub mod leader_lock;
pub mod live_job_cache;
pub mod record_versions;
