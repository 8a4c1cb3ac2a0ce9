//! The paths of the endpoints.

use super::refusal::{error, Refusal};
use super::{read_body, Api};
use crate::scheduler::overview::PageStart;
use poem::web::{Data, Path, Query};
use poem::{get, handler, post, Body, EndpointExt, IntoEndpoint, Response, Route};
use std::sync::Arc;

type Shared<'a> = Data<&'a Arc<Api>>;

fn respond(result: Result<Response, Refusal>) -> Response {
    result.unwrap_or_else(Response::from)
}

#[handler]
async fn post_submission(Data(api): Shared<'_>, body: Body) -> Response {
    respond(api.submit(body).await)
}

#[handler]
async fn get_submission(Data(api): Shared<'_>, Path(job_id): Path<String>) -> Response {
    respond(api.poll(&job_id).await)
}

#[handler]
async fn post_cancellation(Data(api): Shared<'_>, Path(job_id): Path<String>) -> Response {
    respond(api.cancel(&job_id).await)
}

#[handler]
async fn post_heartbeat(Data(api): Shared<'_>, body: Body) -> Response {
    respond(api.heartbeat(body).await)
}

#[handler]
async fn get_overview(Data(api): Shared<'_>, Query(start): Query<PageStart>) -> Response {
    respond(api.overview(start).await)
}

#[handler]
async fn post_drain(Data(api): Shared<'_>, body: Body) -> Response {
    respond(match read_body(body).await {
        Ok(bytes) => api.start_drain(&bytes).await,
        Err(malformed) => Err(malformed.into()),
    })
}

#[handler]
async fn get_drains(Data(api): Shared<'_>) -> Response {
    respond(api.list_drains().await)
}

#[handler]
async fn get_drain(Data(api): Shared<'_>, Path(drain_id): Path<String>) -> Response {
    respond(api.show_drain(&drain_id).await)
}

#[handler]
async fn post_drain_action(
    Data(api): Shared<'_>,
    Path((drain_id, action)): Path<(String, String)>,
) -> Response {
    respond(api.change_drain(&drain_id, &action).await)
}

#[handler]
async fn get_drain_budgets(Data(api): Shared<'_>) -> Response {
    respond(api.list_budgets().await)
}

#[handler]
async fn get_cold_start(Data(api): Shared<'_>) -> Response {
    respond(api.cold_start().await)
}

#[handler]
fn get_health(Data(api): Shared<'_>) -> Response {
    respond(api.health())
}

/// The routes of all endpoints.
pub fn routes(api: Arc<Api>) -> impl IntoEndpoint {
    Route::new()
        .at("/submissions", post(post_submission))
        .at("/submissions/:job_id", get(get_submission))
        .at("/submissions/:job_id/withdraw", post(post_cancellation))
        .at("/checkin", post(post_heartbeat))
        .at("/healthz", get(get_health))
        .at("/overview", get(get_overview))
        .at("/drains", get(get_drains).post(post_drain))
        .at("/drains/:drain_id", get(get_drain))
        .at("/drains/:drain_id/:action", post(post_drain_action))
        .at("/drain-budgets", get(get_drain_budgets))
        .at("/cold-start", get(get_cold_start))
        .data(api)
        .catch_all_error(|e: poem::Error| async move {
            error(e.status(), e.status().canonical_reason().unwrap_or("error"))
        })
}
