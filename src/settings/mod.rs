//! The settings of a node: the platform's file (JSON) and the operators' own (S-expressions).
//!
//! `platform` has the fields of the platform's file, `check` the rules for their values, `operator` the operators' file
//! and `error` every refusal. Both files are read once, at the start of the process; a refusal names the file and the
//! field or line.

mod check;
mod error;
mod operator;
mod platform;

pub use check::InvalidValue;
pub use error::SettingsError;
pub use operator::{ColdStartSettings, Draining, EntryError, Operator};
pub use platform::{
    CloudLimits, Deployment, External, Member, NextLimits, ProcessResources, Settings, StateLimits, Team,
    Workers,
};

use std::path::Path;

fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable { file: file.into(), source })
}

#[cfg(test)]
mod tests;
