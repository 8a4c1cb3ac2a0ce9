//! Why a request is refused: every reason with its text, in groups that share a status.

use crate::limits;
use crate::protocol::users::InvalidSubmission;
use crate::protocol::ParseError;
use crate::storage::key_value_store::StoreError;
use dockpier_drain::request::{DrainId, RequestError};
use poem::error::ReadBodyError;
use poem::http::{header, StatusCode};
use poem::Response;
use std::sync::Arc;
use thiserror::Error;
use tracing::debug;

/// Why a request is refused.
#[derive(Debug, Error)]
pub(crate) enum Refusal {
    /// 400: the request is wrong in itself.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// 422: the job is well-formed, and can never run here.
    #[error(transparent)]
    Impossible(#[from] Impossible),
    /// 503 with `Retry-After`: nothing was decided.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// 409: it can't be done as things stand.
    #[error(transparent)]
    Conflict(#[from] Conflict),
    /// 404: there is nothing of that name.
    #[error(transparent)]
    NotFound(#[from] NotFound),
}

/// What is wrong with a request in itself.
#[derive(Debug, Error)]
pub(crate) enum Malformed {
    /// The body is too long, or ended early.
    #[error("body: {0}")]
    Body(#[from] ReadBodyError),
    /// The body is not JSON of the form that it must have.
    #[error(transparent)]
    Message(#[from] ParseError),
    /// A field of a submission has a value that is not allowed.
    #[error(transparent)]
    Submission(#[from] InvalidSubmission),
    /// A field of a drain has a value that is not allowed.
    #[error(transparent)]
    Drain(#[from] RequestError),
    /// A heartbeat lists a task whose name can't be read.
    #[error("loads: unreadable task")]
    TaskName,
    /// The names of a drain's machines do not fit a value of the state service.
    #[error("target.machines: too many names for one record; drain fewer, or by type and zone")]
    TooManyMachines,
    /// The request can't be written as JSON.
    #[error("{0}")]
    Record(#[from] serde_json::Error),
}

/// Why a job can never run.
#[derive(Debug, Error)]
pub(crate) enum Impossible {
    /// No team has that name.
    #[error("unknown team {team}")]
    UnknownTeam {
        /// The name.
        team: String,
    },
    /// One task of an array, or all tasks of another job, need more than the team's limit.
    #[error("needs more than the limit of team {team}")]
    AboveLimit {
        /// The team.
        team: String,
    },
    /// A task is larger than every machine type that the job allows.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The job's record does not fit a value of the state service.
    #[error("its names are too long to be stored")]
    RecordTooLarge,
}

/// Why nothing was decided. The same request may succeed later, or on another node.
#[derive(Debug, Error)]
pub(crate) enum Unavailable {
    /// A request to the state service failed.
    #[error("state service: {0}")]
    Store(#[source] Arc<StoreError>),
    /// The state service did not carry out a transaction.
    #[error("state service takes no changes now")]
    StoreRefuses,
    /// The node's share of the state service's limits is spent.
    #[error("too many requests to the state service")]
    StoreBudgetSpent,
    /// The state service does not answer this node.
    #[error("this node is cut off from the state service")]
    CutOff,
    /// As many requests are served as this node has memory and sockets for.
    #[error("too many requests at once")]
    TooManyRequests,
    /// The queue of the live jobs' cache is full.
    #[error("too many polls")]
    TooManyPolls,
    /// The controller's queue is full, or it did not reply in time.
    #[error("too many events at once")]
    TooManyEvents,
    /// The cloud's catalog was not read yet.
    #[error("machine types not known yet")]
    NoCatalog,
    /// This node may not answer heartbeats, or did not in time.
    #[error("not entitled to act now")]
    NoAuthority,
    /// The load balancer is to send requests elsewhere.
    #[error("cannot take requests now")]
    NotHealthy,
    /// The outcome of the transaction that stores a job or drain is unknown.
    #[error("not known whether it was stored")]
    StoringUnknown,
    /// The outcome of the transaction that cancels a job is unknown.
    #[error("not known whether it was withdrawn")]
    CancellationUnknown,
    /// A cancellation is stored, and not every controller that must know of it has confirmed so.
    #[error("withdrawn, and not known yet to all controllers")]
    CancellationUnconfirmed,
    /// The record of a cancelled job can't be written as JSON.
    #[error("{0}")]
    Record(#[source] serde_json::Error),
}

/// Why a drain can't be started or changed as things stand.
#[derive(Debug, Error)]
pub(crate) enum Conflict {
    /// Another request has this name.
    #[error("{0} is the name of another drain")]
    NameTaken(DrainId),
    /// The drain has ended.
    #[error("{0} is finished")]
    Finished(DrainId),
    /// The drain was cancelled.
    #[error("{0} is cancelled")]
    Cancelled(DrainId),
    /// The stored request can't be read.
    #[error("unreadable record of {id}: {source}")]
    Unreadable {
        /// The drain.
        id: DrainId,
        /// The JSON reader's error.
        source: serde_json::Error,
    },
}

/// What does not exist.
#[derive(Debug, Error)]
pub(crate) enum NotFound {
    /// No job has that id.
    #[error("no such job")]
    Job,
    /// No drain has that name.
    #[error("no drain is called {0}")]
    Drain(String),
    /// No action on a drain has that name.
    #[error("no action is called {0}")]
    DrainAction(String),
    /// Drains are off.
    #[error("draining is not turned on (operators' file, `draining`)")]
    DrainingOff,
    /// No leader has reported a cold start.
    #[error("no cold start has been reported")]
    ColdStartReport,
}

impl From<StoreError> for Refusal {
    fn from(error: StoreError) -> Self {
        Refusal::Unavailable(Unavailable::Store(Arc::new(error)))
    }
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
            Refusal::Impossible(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Conflict(_) => StatusCode::CONFLICT,
            Refusal::NotFound(_) => StatusCode::NOT_FOUND,
        }
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        let why = refusal.to_string();
        let mut response = error(refusal.status(), &why);
        if matches!(refusal, Refusal::Unavailable(_)) {
            debug!(why, "told to come back");
            response.headers_mut().insert(header::RETRY_AFTER, limits::RETRY_AFTER_S.into());
        }
        response
    }
}

/// A response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder().status(status).content_type("application/json").body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

/// The response of every refusal: `{"error": …}`.
pub(super) fn error(status: StatusCode, why: &str) -> Response {
    json(status, &serde_json::json!({ "error": why }))
}
