//! The JSON of the protocols: typed messages under the domain's names.
//!
//! The words of the wire occur here only, as serde names. `docs/glossary.md` lists them beside ours. Refusals name the
//! types `Submission`, `Checkin` and `CheckinTask` through serde, so that these keep their names.

mod checkin;
pub mod cloud;
pub mod records;
pub mod state_service;
pub mod users;
pub mod workers;

use serde::Deserialize;
use thiserror::Error;

/// Why a message is not JSON of the form that it must have.
#[derive(Debug, Error)]
pub enum ParseError {
    /// A field is missing or has a value of another kind.
    #[error("{path}: {source}")]
    Field {
        /// The field, with its path, in the protocol's words.
        path: String,
        /// The JSON reader's error.
        source: serde_json::Error,
    },
    /// The text is not one JSON value, or one of another kind than the message.
    #[error("{0}")]
    Message(#[from] serde_json::Error),
}

/// Reads a message; nothing may follow it.
///
/// # Errors
/// The body is not JSON of this form; the error names the field that is wrong.
pub fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ParseError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let message = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        match path.as_str() {
            "." => ParseError::Message(error.into_inner()),
            _ => ParseError::Field { path, source: error.into_inner() },
        }
    })?;
    json.end()?;
    Ok(message)
}
