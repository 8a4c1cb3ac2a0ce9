//! Runs the program and tells all that a script sees of it.

use crate::processes;
use std::path::PathBuf;
use std::process::Command;

/// A run as text: what was asked, the exit code, and both streams in full.
pub fn run(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dockpier"));
    let output = processes::run(command.args(arguments).env_remove("LOG_LEVEL"));
    let code = output.status.code().unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    let asked = arguments.join(" ");
    format!("$ dockpier {asked}\nexit code {code}\n-- standard output\n{out}-- standard error\n{error}\n")
}

/// A folder of a test's own.
pub fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("pinned").join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}
