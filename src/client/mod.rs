//! The operators' command-line client: requests to the HTTP endpoints of any node. `drains` and `cold_start` are the
//! commands, `connection` asks the nodes, `options` is what all commands share.
//!
//! Exit codes are part of the interface: see [`ExitStatus`].

pub mod cold_start;
mod connection;
pub mod drains;
mod options;

use dockpier_drain::request::{DrainId, RequestError};
use std::fmt;
use std::future::Future;
use std::process::ExitCode;
use std::time::SystemTimeError;
use thiserror::Error;

/// How a command ended, for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command was carried out.
    Done = 0,
    /// An error of the client itself, or a response that no node should send.
    Failed = 1,
    /// The request was wrong; nothing was done.
    BadInput = 2,
    /// No drain has that name, or draining is not turned on.
    NotFound = 3,
    /// No node answered in time, or none leads.
    Unavailable = 4,
    /// It can't be done as things stand.
    Conflict = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Why a command did not do what was asked.
#[derive(Debug, Error)]
pub enum ClientError {
    /// A field of the request is wrong.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The deadline is no time.
    #[error("deadline: {0}")]
    Deadline(#[from] InvalidDeadline),
    /// The request names no machines.
    #[error("one of --machine, --type with --zone, or --all is needed")]
    NoTarget,
    /// A node refused the request.
    #[error("{why}")]
    Refused {
        /// The kind of refusal, by its HTTP status.
        kind: RefusalKind,
        /// The node's reason.
        why: String,
    },
    /// No node answered in time.
    #[error("no node answered ({last}).{effect}")]
    NoAnswer {
        /// The last attempt: the node and what came of it.
        last: String,
        /// What the request may have changed.
        effect: Effect,
    },
    /// A drain is stored, and no leader has judged it in time.
    #[error("{id} is recorded, and will be carried out; so far {leadership}.")]
    NotTakenUp {
        /// The drain.
        id: DrainId,
        /// Who leads.
        leadership: LeadershipState,
    },
    /// A response of an HTTP status that no node sends.
    #[error("unexpected answer {status}: {why}")]
    UnexpectedStatus {
        /// The HTTP status.
        status: u16,
        /// The reason in the response.
        why: String,
    },
    /// A response that can't be read.
    #[error("an answer that can't be understood: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// The request, or the output, can't be written as JSON.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// The HTTP client can't be set up.
    #[error("HTTP client: {0}")]
    HttpClient(#[source] reqwest::Error),
}

/// Why a deadline is no time.
#[derive(Debug, Error)]
pub enum InvalidDeadline {
    /// A time from now on that can't be read.
    #[error("{0}")]
    Duration(#[from] humantime::DurationError),
    /// A time of day that can't be read.
    #[error("{0}")]
    Timestamp(#[from] humantime::TimestampError),
    /// A time of day before 1970.
    #[error("{0}")]
    TooEarly(#[from] SystemTimeError),
}

/// The kinds of refusals that nodes send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is wrong; nothing was done.
    BadInput,
    /// Nothing has that name.
    NotFound,
    /// It can't be done as things stand.
    Conflict,
}

/// What a request that no node answered may have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    ReadOnly,
    /// It reached no node, or was refused for now.
    Nothing,
    /// It may have been carried out.
    Unknown,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Effect::ReadOnly => "",
            Effect::Nothing => " Nothing was changed.",
            Effect::Unknown => {
                " It is not known whether it was taken: the same command again does nothing twice."
            }
        })
    }
}

/// Who leads, as a node answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeadershipState {
    /// The node of this name.
    Leader(String),
    /// No node.
    NoLeader,
}

impl fmt::Display for LeadershipState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeadershipState::Leader(node) => write!(f, "{node} leads and has not taken it up yet"),
            LeadershipState::NoLeader => f.write_str("no node leads"),
        }
    }
}

impl ClientError {
    /// The exit status of a command that failed so.
    pub fn status(&self) -> ExitStatus {
        match self {
            ClientError::Request(_) | ClientError::Deadline(_) | ClientError::NoTarget => {
                ExitStatus::BadInput
            }
            ClientError::Refused { kind: RefusalKind::BadInput, .. } => ExitStatus::BadInput,
            ClientError::Refused { kind: RefusalKind::NotFound, .. } => ExitStatus::NotFound,
            ClientError::Refused { kind: RefusalKind::Conflict, .. } => ExitStatus::Conflict,
            ClientError::NoAnswer { .. } | ClientError::NotTakenUp { .. } => ExitStatus::Unavailable,
            ClientError::UnexpectedStatus { .. }
            | ClientError::Unreadable(_)
            | ClientError::Json(_)
            | ClientError::HttpClient(_) => ExitStatus::Failed,
        }
    }
}

/// Runs a command to its end, prints its output or error, and returns the exit code.
fn finish(command: impl Future<Output = Result<String, ClientError>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("dockpier: {error}");
            return ExitStatus::Failed.into();
        }
    };
    match runtime.block_on(command) {
        Ok(text) => {
            print!("{text}");
            ExitStatus::Done.into()
        }
        Err(error) => {
            eprintln!("dockpier: {error}");
            error.status().into()
        }
    }
}
