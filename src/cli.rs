//! The command line: one function a command. `serve` is the controller, the other commands are the operators' client.

use crate::client::cold_start::ColdStartCommand;
use crate::client::drains::DrainCommand;
use crate::client::{cold_start, drains};
use crate::settings::{Operator, Settings, SettingsError};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

#[derive(Parser)]
#[command(name = "dockpier", version, about = "An elastic cluster scheduler")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it is killed
    Serve {
        /// The operators' own settings (S-expressions)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The platform's settings (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Empty machines in steps, within the budgets that teams have agreed to
    #[command(subcommand)]
    Drain(DrainCommand),
    /// Show what the last leader that inherited work found, and what it ordered
    ColdStart(ColdStartCommand),
}

/// Runs the program with the given arguments, the program's name first, and returns its exit code.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            // Printing fails only when the stream is closed: then there is no reader to inform.
            let _ = error.print();
            return ExitCode::from(error.exit_code().clamp(0, 255) as u8);
        }
    };
    match arguments.command {
        Command::Serve { operator, config } => serve(config, operator),
        Command::Drain(command) => drains::run(command),
        Command::ColdStart(command) => cold_start::run(command),
    }
}

/// Exit code 2: the settings are refused; 1: the controller stopped with an error.
fn serve(config: PathBuf, operator: Option<PathBuf>) -> ExitCode {
    let (settings, operator) = match load(config, operator) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("dockpier: {error}");
            return ExitCode::from(2);
        }
    };
    start_logging();
    match crate::controller::run(settings, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "stopped");
            ExitCode::FAILURE
        }
    }
}

fn load(config: PathBuf, operator: Option<PathBuf>) -> Result<(Settings, Operator), SettingsError> {
    let settings = Settings::load(&config)?;
    let Some(file) = operator else { return Ok((settings, Operator::default())) };
    let operator = Operator::load(&file)?;
    operator.check_against(&settings, &file)?;
    Ok((settings, operator))
}

/// The platform sets `LOG_LEVEL`; for an unknown value `info` counts, and a warning is logged.
fn start_logging() {
    let name = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = name.parse::<LevelFilter>();
    tracing_subscriber::fmt()
        .with_max_level(level.as_ref().copied().unwrap_or(LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    if level.is_err() {
        tracing::warn!(wanted = name, "LOG_LEVEL is none of error, warn, info, debug, trace: using info");
    }
}
