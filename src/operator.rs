//! The operators' settings under their earlier path; they are defined in [`settings`](crate::settings).

pub use crate::settings::{ColdStartSettings, Draining, Operator};
