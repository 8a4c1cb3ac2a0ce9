//! Drains outside the scheduler: their records in the state service, and the operators' endpoint.
//!
//! Any node takes a request and shows what is stored. The leader carries requests out and writes how far they are.

pub mod endpoint;
pub mod records;
pub mod view;
