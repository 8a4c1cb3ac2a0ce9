//! Why a settings file is refused.

use super::check::InvalidValue;
use super::operator::EntryError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a settings file is refused. The text names the file and the field or line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A field of the platform's file is missing or has a value of another kind, or the file is not JSON.
    #[error("{file}: field `{field}`: {source}")]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The field, with its path.
        field: String,
        /// The JSON reader's error.
        source: serde_json::Error,
    },
    /// A field of the platform's file has a value that is not allowed.
    #[error("{file}: field `{field}`: {source}")]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field, with its path.
        field: &'static str,
        /// The rule that the value breaks.
        source: InvalidValue,
    },
    /// An entry of the operators' file is invalid.
    #[error("{file}: line {line}: {source}")]
    Line {
        /// The file.
        file: PathBuf,
        /// The line on which the entry begins, counted from 1.
        line: usize,
        /// What is wrong with the entry.
        source: EntryError,
    },
}
