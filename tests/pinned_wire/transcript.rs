//! The text that is held against a golden file, and the comparison.

use std::fmt::Display;

/// Titled cases in the order in which they were added.
#[derive(Default)]
pub struct Transcript(String);

impl Transcript {
    /// Adds a case: a title and what came of it.
    pub fn case(&mut self, title: impl Display, outcome: impl Display) {
        let case = format!("== {title}\n{outcome}\n");
        assert!(!names_type(&case), "belongs to `type_names`: {case}");
        self.0.push_str(&case);
    }

    /// Adds a case in which serde names one of our types.
    pub fn case_naming_type(&mut self, title: impl Display, outcome: impl Display) {
        let case = format!("== {title}\n{outcome}\n");
        assert!(names_type(&case), "names no type: {case}");
        self.0.push_str(&case);
    }

    /// Compares the whole text, byte for byte; the message names the first line that differs.
    pub fn must_equal(&self, golden: &str) {
        if self.0 == golden {
            return;
        }
        let (now, then): (Vec<_>, Vec<_>) = (self.0.lines().collect(), golden.lines().collect());
        let same = now.iter().zip(&then).take_while(|(now, then)| now == then).count();
        let title = now[..same.min(now.len())].iter().rev().find(|line| line.starts_with("== "));
        let line = |lines: &[&str]| lines.get(same).map_or("(no line)".to_string(), |line| line.to_string());
        panic!(
            "moved at line {} under `{}`\n golden: {}\n    now: {}",
            same + 1,
            title.unwrap_or(&"(the beginning)"),
            line(&then),
            line(&now),
        );
    }
}

/// Whether a refusal holds the name of one of our types, as serde writes it.
fn names_type(text: &str) -> bool {
    text.contains("expected struct ") || text.contains("expected enum ")
}

/// What came of reading something: the value as spelled, or the refusal.
pub fn outcome<T>(result: Result<T, impl Display>, spell: impl Fn(&T) -> String) -> String {
    match result {
        Ok(value) => format!("taken: {}", spell(&value)),
        Err(refusal) => format!("refused: {refusal}"),
    }
}

/// A JSON object whose fields stand in this order.
pub type Fields = [(&'static str, &'static str)];

/// The object's text.
pub fn object(fields: &Fields) -> String {
    let fields: Vec<String> = fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

/// The object without a field.
pub fn without(fields: &Fields, left_out: &str) -> String {
    let rest: Vec<_> = fields.iter().copied().filter(|(name, _)| *name != left_out).collect();
    assert_eq!(rest.len() + 1, fields.len(), "{left_out} is a field");
    object(&rest)
}

/// The object with another value of a field.
pub fn with(fields: &Fields, changed: &str, value: &'static str) -> String {
    let change = |(name, old): &(&'static str, &'static str)| match *name == changed {
        true => (*name, value),
        false => (*name, *old),
    };
    assert!(fields.iter().any(|(name, _)| *name == changed), "{changed} is a field");
    object(&fields.iter().map(change).collect::<Vec<_>>())
}

/// A text in which one part is replaced.
pub fn replaced(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from} occurs once");
    text.replace(from, to)
}
