//! Comparison with the checked-in files. Nothing here writes them.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::path::PathBuf;

/// The text of a golden file.
pub fn text(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/pinned").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The whole text is that of the golden file, byte for byte.
pub fn check(file: &str, actual: &str) {
    let expected = text(file);
    if expected == actual {
        return;
    }
    let differs = expected.lines().zip(actual.lines()).position(|(a, b)| a != b);
    let at = differs.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    let line = |text: &str| text.lines().nth(at).unwrap_or("(no such line)").to_string();
    panic!(
        "{file}, line {}:\nexpected {}\nfound    {}\nin all:\n{actual}",
        at + 1,
        line(&expected),
        line(actual)
    );
}

/// A write of a transaction, as the state service is sent it, in a line of its own.
pub fn write_line(key: &str, value: impl Serialize) -> String {
    let change = dockpier::storage::key_value_store::write_change(key, value).unwrap();
    serde_json::to_string(&change).unwrap() + "\n"
}

/// The value that a golden file of writes has under a key.
pub fn stored(file: &str, key: &str) -> Value {
    let writes = text(file);
    let mut values = writes.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let found = values.find(|write| write["write"] == key);
    found.unwrap_or_else(|| panic!("{file} has no {key}"))["value"].clone()
}

/// The same, read as the program reads it.
pub fn read<T: DeserializeOwned>(file: &str, key: &str) -> T {
    serde_json::from_value(stored(file, key)).unwrap()
}

/// Puts names in the place of what differs from run to run: addresses, folders, and times of day of this hour.
pub fn masked(text: &str, names: &[(&str, &str)]) -> String {
    let text = names.iter().fold(text.to_string(), |text, (from, to)| text.replace(from, to));
    mask_times(&text)
}

/// Times of day in milliseconds, within an hour of now.
fn mask_times(text: &str) -> String {
    let now = dockpier::http::wall_ms();
    let mut masked = String::new();
    let mut digits = String::new();
    for character in text.chars().chain(['\0']) {
        if character.is_ascii_digit() {
            digits.push(character);
            continue;
        }
        let recent = digits.parse::<u64>().is_ok_and(|time| time.abs_diff(now) < 3_600_000);
        masked.push_str(if recent { "<now>" } else { &digits });
        digits.clear();
        masked.push(character);
    }
    masked.pop();
    masked
}
