//! Why a request is refused: each reason with its status and text.

use crate::limits;
use crate::storage::key_value_store::StoreError;
use poem::http::{header, StatusCode};
use poem::Response;
use tracing::debug;

/// Why a request gets no answer of its own.
pub(crate) enum Refusal {
    Malformed(String),
    Never(String),
    /// Not now; nothing was decided.
    Later(String),
    /// As things stand it can't be done.
    Conflict(String),
    NotFound(String),
    NoSuchJob,
}

impl From<StoreError> for Refusal {
    fn from(error: StoreError) -> Self {
        Refusal::Later(format!("state service: {error}"))
    }
}

pub(crate) fn json(status: StatusCode, body: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder().status(status).content_type("application/json").body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

pub(super) fn error(status: StatusCode, why: &str) -> Response {
    json(status, &serde_json::json!({ "error": why }))
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Malformed(why) => error(StatusCode::BAD_REQUEST, &why),
            Refusal::Never(why) => error(StatusCode::UNPROCESSABLE_ENTITY, &why),
            Refusal::Conflict(why) => error(StatusCode::CONFLICT, &why),
            Refusal::NotFound(why) => error(StatusCode::NOT_FOUND, &why),
            Refusal::NoSuchJob => error(StatusCode::NOT_FOUND, "no such job"),
            Refusal::Later(why) => {
                debug!(why, "told to come back");
                let mut response = error(StatusCode::SERVICE_UNAVAILABLE, &why);
                response.headers_mut().insert(header::RETRY_AFTER, limits::RETRY_AFTER_S.into());
                response
            }
        }
    }
}
