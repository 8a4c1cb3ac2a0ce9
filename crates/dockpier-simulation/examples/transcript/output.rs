//! The lines of a transcript, their number and the hash over all of them.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};

/// A line that is being put together. Its kind and its keys are the transcript's own words.
pub struct Line {
    kind: &'static str,
    fields: String,
}

impl Line {
    /// A line of this kind without fields.
    pub fn new(kind: &'static str) -> Self {
        Line { kind, fields: String::new() }
    }

    /// Adds a number, a truth value or a text; never a type of the program's own.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let _ = write!(self.fields, " {key}={value}");
        self
    }

    /// Adds a floating-point number with all its digits.
    pub fn amount(mut self, key: &str, value: f64) -> Self {
        let _ = write!(self.fields, " {key}={value:?}");
        self
    }

    /// Adds a value that may be missing.
    pub fn optional(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self.with(key, "none"),
        }
    }

    /// Adds several values, in their order.
    pub fn list(self, key: &str, values: impl IntoIterator<Item = impl Display>) -> Self {
        let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
        self.with(key, format_args!("[{}]", values.join(",")))
    }
}

/// The lines of one seed.
#[derive(Default)]
pub struct Transcript {
    /// The lines.
    pub text: String,
    /// How many lines of each kind.
    pub kinds: BTreeMap<&'static str, u64>,
}

impl Transcript {
    /// Writes a line with the time that it belongs to.
    pub fn write(&mut self, at: u64, line: Line) {
        let _ = writeln!(self.text, "at={at} kind={}{}", line.kind, line.fields);
        *self.kinds.entry(line.kind).or_default() += 1;
    }
}

/// What identifies a whole output: bytes, lines of each kind, and a hash.
pub struct Digest {
    hash: u64,
    bytes: usize,
    kinds: BTreeMap<&'static str, u64>,
}

impl Digest {
    /// The digest of no output.
    pub fn new() -> Self {
        Digest { hash: 0xcbf2_9ce4_8422_2325, bytes: 0, kinds: BTreeMap::new() }
    }

    /// Takes further output in (FNV-1a, 64 bits).
    pub fn take(&mut self, transcript: &Transcript) {
        for byte in transcript.text.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self.bytes += transcript.text.len();
        for (kind, lines) in &transcript.kinds {
            *self.kinds.entry(kind).or_default() += lines;
        }
    }

    /// One line with the number of lines of each kind.
    pub fn kinds(&self) -> String {
        let kinds: Vec<String> = self.kinds.iter().map(|(kind, lines)| format!("{kind}={lines}")).collect();
        kinds.join(" ")
    }

    /// One line with the number of lines, their size and their hash.
    pub fn summary(&self) -> String {
        let lines: u64 = self.kinds.values().sum();
        format!("lines={lines} bytes={} fnv1a64={:016x}", self.bytes, self.hash)
    }
}
