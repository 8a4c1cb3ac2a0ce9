//! Drains outside the scheduler: their records in the state service, and the operators' endpoint.
//!
//! Any node takes a request and shows the stored records. The leader carries requests out and writes their progress.

pub mod endpoint;
pub mod records;
pub mod view;
