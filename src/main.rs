//! The program: reads the command line and hands over to the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    dockpier::cli::run(std::env::args_os())
}
