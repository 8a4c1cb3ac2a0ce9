//! Lists of names, each behind its length in one byte.

use super::FrameError;

/// Appends the names. One that is too long for its length byte is left out: no machine has such a name.
pub(super) fn write(names: &[String], body: &mut Vec<u8>) {
    for name in names.iter().filter(|name| name.len() <= usize::from(u8::MAX)) {
        body.push(name.len() as u8);
        body.extend_from_slice(name.as_bytes());
    }
}

pub(super) fn read(mut bytes: &[u8]) -> Result<Vec<String>, FrameError> {
    let mut names = Vec::new();
    while let Some((length, rest)) = bytes.split_first() {
        let (name, rest) = rest.split_at_checked(usize::from(*length)).ok_or(FrameError::NameTooShort)?;
        names.push(text(name)?);
        bytes = rest;
    }
    Ok(names)
}

pub(super) fn text(bytes: &[u8]) -> Result<String, FrameError> {
    String::from_utf8(bytes.to_vec()).map_err(|_| FrameError::NameNotText)
}
