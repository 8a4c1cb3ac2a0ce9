//! The JSON of the protocols: typed messages under the domain's names.
//!
//! The words of the wire occur here only, as serde names. `docs/glossary.md` lists them beside ours.

mod checkin;
pub mod cloud;
pub mod records;
pub mod state_service;
pub mod users;
pub mod workers;

use serde::Deserialize;

/// Reads JSON; the error names the field that is wrong.
pub fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value =
        serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string().as_str() {
            "." => e.inner().to_string(),
            path => format!("{path}: {}", e.inner()),
        })?;
    json.end().map_err(|e| e.to_string())?;
    Ok(value)
}
