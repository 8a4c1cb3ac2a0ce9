//! What users and workers ask, over HTTP. No decisions here: users' requests are decided by transactions of the
//! state service, heartbeats by the owner of the state.

use crate::http::wall_ms;
use crate::limits;
use crate::node_events::{Event, Health, HeartbeatReply, Summary, Types};
use crate::protocol;
use crate::protocol::records::{FinalRecord, LiveRecord};
use crate::protocol::users::{JobState, JobStatus, Submission};
use crate::protocol::workers::{HeartbeatRequest, Redirect};
use crate::scheduler::model::{JobId, JobSpec, Kind, Resources};
use crate::scheduler::overview::PageStart;
use crate::scheduler::Scheduler;
use crate::settings::{Draining, Team};
use crate::storage::key_value_store::{
    compare_version, remove_change, write_change, CommitOutcome, KeyValueStore, StoreError,
};
use crate::storage::keys;
use crate::storage::live_job_cache::LiveJobCache;
use poem::http::{header, StatusCode};
use poem::web::{Data, Path, Query};
use poem::{get, handler, post, Body, EndpointExt, IntoEndpoint, Response, Route};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot, watch, Semaphore, SemaphorePermit};
use tracing::{debug, info, warn};

/// Final states that this node has read or written; they never change.
#[derive(Default)]
struct OverCache {
    known: HashMap<JobId, JobState>,
    order: VecDeque<JobId>,
}

/// What the settings say that requests are checked against.
pub struct ApiSettings {
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The zones.
    pub zones: Vec<String>,
    /// Whether drains are taken, and the teams' budgets.
    pub draining: Draining,
}

/// The HTTP endpoints of a node and what they share.
pub struct Api {
    /// Client of the key-value store.
    pub store: KeyValueStore,
    live: LiveJobCache,
    /// What requests are checked against.
    pub settings: ApiSettings,
    /// The machine types last read.
    pub types: watch::Receiver<Types>,
    /// The counts of tasks last received from the leader.
    pub summary: watch::Receiver<Summary>,
    /// Queue of the controller's event loop. It is bounded: when it is full, requests are refused with `Retry-After`.
    pub events: mpsc::Sender<Event>,
    /// Written by the event loop, read by every request.
    pub health: Arc<Health>,
    /// Turns of submissions and cancellations, and of polls.
    changes: Semaphore,
    polls: Semaphore,
    over_most: usize,
    over: Mutex<OverCache>,
}

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

fn error(status: StatusCode, why: &str) -> Response {
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

async fn read_body(body: Body) -> Result<Vec<u8>, Refusal> {
    body.into_bytes_limit(limits::MAX_BODY_BYTES)
        .await
        .map(Into::into)
        .map_err(|e| Refusal::Malformed(format!("body: {e}")))
}

impl Api {
    /// Endpoints for one node; `capacity` bounds the requests that are served at once.
    pub fn new(
        store: KeyValueStore,
        settings: ApiSettings,
        types: watch::Receiver<Types>,
        summary: watch::Receiver<Summary>,
        events: mpsc::Sender<Event>,
        health: Arc<Health>,
        room: limits::Capacity,
    ) -> Self {
        Api {
            live: LiveJobCache::start(store.clone(), room.polls + room.changes, events.clone()),
            store,
            settings,
            types,
            summary,
            events,
            health,
            changes: Semaphore::new(room.changes),
            polls: Semaphore::new(room.polls),
            over_most: room.over,
            over: Mutex::default(),
        }
    }

    /// A user's turn, which is not waited for. A node that is cut off from the state service sends its
    /// users elsewhere at once instead of letting them wait for it.
    fn admit<'a>(&self, turns: &'a Semaphore) -> Result<SemaphorePermit<'a>, Refusal> {
        if self.health.cut_off.load(Ordering::Relaxed) {
            return Err(Refusal::Later("this node is cut off from the state service".into()));
        }
        turns.try_acquire().map_err(|_| Refusal::Later("too many requests at once".into()))
    }

    /// A turn among those that change something.
    pub(crate) fn admit_change(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        self.admit(&self.changes)
    }

    /// A request to the state service for one user alone, within the node's share of its limit.
    pub(crate) fn may_ask(&self, writes: u32) -> Result<(), Refusal> {
        let busy = || Refusal::Later("too many requests to the state service".into());
        self.store.try_acquire_user_budget(writes).then_some(()).ok_or_else(busy)
    }

    fn remember(&self, job_id: JobId, state: &JobState) {
        let Ok(mut over) = self.over.lock() else { return };
        if over.known.insert(job_id, state.clone()).is_none() {
            over.order.push_back(job_id);
            if over.order.len() > self.over_most {
                if let Some(oldest) = over.order.pop_front() {
                    over.known.remove(&oldest);
                }
            }
        }
    }

    fn remembered(&self, job_id: JobId) -> Option<JobState> {
        self.over.lock().ok()?.known.get(&job_id).cloned()
    }

    /// That a job is cancelled is told only once whoever relies on our silence holds it (`cancellation_log`).
    async fn may_tell(&self, job_id: JobId, state: &JobState) -> Result<(), Refusal> {
        if state.status != JobStatus::Cancelled {
            return Ok(());
        }
        let later = |why: &str| Refusal::Later(why.into());
        let (to, answer) = oneshot::channel();
        self.events.try_send(Event::Cancelled(job_id, to)).map_err(|_| later("too many events at once"))?;
        match tokio::time::timeout(limits::CONFIRMATION_TIMEOUT, answer).await {
            Ok(Ok(true)) => Ok(()),
            _ => Err(later("withdrawn, and not known yet to all controllers")),
        }
    }

    async fn read_over(&self, job_id: JobId) -> Result<Option<JobState>, Refusal> {
        let Some((value, _)) = self.store.get(&keys::final_state(job_id), limits::POLL_TIMEOUT).await? else {
            return Ok(None);
        };
        let over: FinalRecord =
            serde_json::from_value(value).map_err(|e| StoreError::Malformed(e.to_string()))?;
        let done = if over.status == JobStatus::Done { over.tasks } else { 0 };
        let state =
            JobState { job_id: job_id.to_string(), status: over.status, done: Some(done), running: Some(0) };
        self.may_tell(job_id, &state).await?;
        self.remember(job_id, &state);
        Ok(Some(state))
    }

    /// The job's state as the state service has it. `live` before `over`: a job moves between them in
    /// one transaction, so that this order never misses it.
    async fn state(&self, job_id: JobId) -> Result<Option<JobState>, Refusal> {
        if let Some(state) = self.remembered(job_id) {
            return Ok(Some(state));
        }
        let live = self.live.contains(job_id).await.ok_or_else(|| Refusal::Later("too many polls".into()))?;
        if !live.map_err(|e| Refusal::Later(format!("state service: {e}")))? {
            self.may_ask(0)?;
            return self.read_over(job_id).await;
        }
        let (done, running) = self.summary.borrow().get(&job_id).copied().unwrap_or((0, 0));
        let status = if running > 0 { JobStatus::Running } else { JobStatus::Pending };
        let (done, running) = (Some(done), Some(running));
        Ok(Some(JobState { job_id: job_id.to_string(), status, done, running }))
    }

    /// Why the job can never run; None when it can; an error when that can't be told yet.
    fn never(&self, job: &JobSpec) -> Result<Option<String>, Refusal> {
        let Some(team) = self.settings.teams.iter().find(|t| t.name == job.team) else {
            return Ok(Some(format!("unknown team {}", job.team)));
        };
        let count = if job.kind == Kind::Array { 1 } else { i64::from(job.tasks) };
        let needs = job.resource_request.times(count);
        let limit = Resources::offered(team.cpus_max, team.gpus_max, 0.0);
        if team.cpus_max > 0.0 && needs.cpus > limit.cpus || team.gpus_max > 0.0 && needs.gpus > limit.gpus {
            return Ok(Some(format!("needs more than the limit of team {}", team.name)));
        }
        let types = self.types.borrow().clone();
        if types.is_empty() {
            return Err(Refusal::Later("machine types not known yet".into()));
        }
        Ok((!Scheduler::fits_some_type(job, &types)).then(|| "a task fits no allowed machine type".into()))
    }

    async fn submit(&self, body: Body) -> Result<Response, Refusal> {
        let bytes = read_body(body).await?;
        let submission: Submission = protocol::parse(&bytes).map_err(Refusal::Malformed)?;
        let job = submission.check().map_err(Refusal::Malformed)?;
        let _turn = self.admit_change()?;
        let never = match self.never(&job) {
            Ok(None) => None,
            // What is known already stays known, whatever the types and teams say today.
            undecided => match self.state(job.job_id).await? {
                Some(state) => return Ok(json(StatusCode::OK, &state)),
                None => undecided?,
            },
        };
        if let Some(why) = never {
            return Err(Refusal::Never(why));
        }
        self.may_ask(1)?;
        let (live, over) = (keys::live_job(job.job_id), keys::final_state(job.job_id));
        let record = LiveRecord { submission, accepted_ms: wall_ms() };
        let bytes = serde_json::to_vec(&record).map_err(|e| Refusal::Malformed(e.to_string()))?;
        if bytes.len() > self.store.max_value_bytes() {
            return Err(Refusal::Never("its names are too long to be stored".into()));
        }
        let record = write_change(&live, &record).map_err(|e| Refusal::Malformed(e.to_string()))?;
        let absent = vec![compare_version(&live, 0), compare_version(&over, 0)];
        match self.store.commit(absent, vec![record]).await {
            CommitOutcome::Committed { .. } => {
                info!(job = %job.job_id, class = job.class, team = job.team, tasks = job.tasks, "accepted");
                Ok(json(StatusCode::CREATED, &JobState::without_counts(job.job_id, JobStatus::Pending)))
            }
            CommitOutcome::Refused => Err(Refusal::Later("state service takes no changes now".into())),
            // Unknown: only what can be read back is told.
            CommitOutcome::Conflict | CommitOutcome::Unknown => match self.state(job.job_id).await? {
                Some(state) => Ok(json(StatusCode::OK, &state)),
                None => Err(Refusal::Later("not known whether it was stored".into())),
            },
        }
    }

    async fn poll(&self, job_id: &str) -> Result<Response, Refusal> {
        let job_id = JobId::parse(job_id).ok_or(Refusal::NoSuchJob)?;
        if let Some(state) = self.remembered(job_id) {
            return Ok(json(StatusCode::OK, &state));
        }
        let _turn = self.admit(&self.polls)?;
        let state = self.state(job_id).await?.ok_or(Refusal::NoSuchJob)?;
        Ok(json(StatusCode::OK, &state))
    }

    async fn cancel(&self, job_id: &str) -> Result<Response, Refusal> {
        let job_id = JobId::parse(job_id).ok_or(Refusal::NoSuchJob)?;
        if let Some(state) = self.remembered(job_id) {
            return Ok(json(StatusCode::OK, &state));
        }
        let _turn = self.admit_change()?;
        self.may_ask(2)?;
        let (live, over) = (keys::live_job(job_id), keys::final_state(job_id));
        let Some((value, version)) = self.store.get(&live, limits::POLL_TIMEOUT).await? else {
            let state = self.read_over(job_id).await?.ok_or(Refusal::NoSuchJob)?;
            return Ok(json(StatusCode::OK, &state));
        };
        let tasks = LiveRecord::tasks_of(&value);
        let record = write_change(&over, FinalRecord { status: JobStatus::Cancelled, tasks })
            .map_err(|e| Refusal::Later(e.to_string()))?;
        let then = vec![record, remove_change(&live)];
        match self.store.commit(vec![compare_version(&live, version)], then).await {
            CommitOutcome::Committed { .. } => {
                info!(job = %job_id, "cancelled");
                let state = JobState::without_counts(job_id, JobStatus::Cancelled);
                self.may_tell(job_id, &state).await?;
                self.remember(job_id, &state);
                Ok(json(StatusCode::OK, &state))
            }
            CommitOutcome::Refused => Err(Refusal::Later("state service takes no changes now".into())),
            // Over by now, perhaps by this very request: its final state says.
            CommitOutcome::Conflict | CommitOutcome::Unknown => match self.read_over(job_id).await? {
                Some(state) => Ok(json(StatusCode::OK, &state)),
                None => Err(Refusal::Later("not known whether it was withdrawn".into())),
            },
        }
    }

    async fn cold_start(&self) -> Result<Response, Refusal> {
        self.may_ask(0)?;
        match self.store.get(keys::COLD_START_REPORT, limits::STORE_TIMEOUT).await? {
            Some((heartbeat, _)) => Ok(json(StatusCode::OK, &heartbeat)),
            None => Err(Refusal::NotFound("no cold start has been reported".into())),
        }
    }

    async fn heartbeat(&self, body: Body) -> Result<Response, Refusal> {
        let bytes = read_body(body).await?;
        let heartbeat_request: HeartbeatRequest = protocol::parse(&bytes).map_err(|why| {
            warn!(why, "malformed heartbeat");
            Refusal::Malformed(why)
        })?;
        let (to, answer) = oneshot::channel();
        self.events
            .try_send(Event::Heartbeat(heartbeat_request, to))
            .map_err(|_| Refusal::Later("too many events at once".into()))?;
        match tokio::time::timeout(limits::HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
            Ok(Ok(HeartbeatReply::Accepted(answer))) => Ok(json(StatusCode::OK, &answer)),
            Ok(Ok(HeartbeatReply::Malformed)) => Err(Refusal::Malformed("loads: unreadable task".into())),
            Ok(Ok(HeartbeatReply::Redirected(leader))) => {
                Ok(json(StatusCode::MISDIRECTED_REQUEST, &Redirect { leader }))
            }
            _ => Err(Refusal::Later("not entitled to act now".into())),
        }
    }
}

type Shared<'a> = Data<&'a Arc<Api>>;

fn answer(result: Result<Response, Refusal>) -> Response {
    result.unwrap_or_else(Response::from)
}

#[handler]
async fn post_submission(Data(api): Shared<'_>, body: Body) -> Response {
    answer(api.submit(body).await)
}

#[handler]
async fn get_submission(Data(api): Shared<'_>, Path(job_id): Path<String>) -> Response {
    answer(api.poll(&job_id).await)
}

#[handler]
async fn post_cancellation(Data(api): Shared<'_>, Path(job_id): Path<String>) -> Response {
    answer(api.cancel(&job_id).await)
}

#[handler]
async fn post_heartbeat(Data(api): Shared<'_>, body: Body) -> Response {
    answer(api.heartbeat(body).await)
}

/// For operators: who leads, the queue with the reason each job waits, machines, recent decisions.
#[handler]
async fn get_overview(Data(api): Shared<'_>, Query(start): Query<PageStart>) -> Response {
    let (to, view) = oneshot::channel();
    if api.events.try_send(Event::Overview(start, to)).is_ok() {
        if let Ok(Ok(view)) = tokio::time::timeout(limits::HEARTBEAT_RESPONSE_TIMEOUT, view).await {
            if let Ok(text) = serde_json::to_string_pretty(&view) {
                return Response::builder().content_type("application/json").body(text);
            }
        }
    }
    Refusal::Later("too many events at once".into()).into()
}

#[handler]
async fn post_drain(Data(api): Shared<'_>, body: Body) -> Response {
    let started = match read_body(body).await {
        Ok(bytes) => api.start_drain(&bytes).await,
        Err(refusal) => Err(refusal),
    };
    answer(started)
}

#[handler]
async fn get_drains(Data(api): Shared<'_>) -> Response {
    answer(api.list_drains().await)
}

#[handler]
async fn get_drain(Data(api): Shared<'_>, Path(drain_id): Path<String>) -> Response {
    answer(api.show_drain(&drain_id).await)
}

#[handler]
async fn post_drain_action(
    Data(api): Shared<'_>,
    Path((drain_id, action)): Path<(String, String)>,
) -> Response {
    answer(api.change_drain(&drain_id, &action).await)
}

#[handler]
async fn get_drain_budgets(Data(api): Shared<'_>) -> Response {
    answer(api.list_budgets().await)
}

/// The heartbeat of the last cold start, as the leader stored it.
#[handler]
async fn get_cold_start(Data(api): Shared<'_>) -> Response {
    answer(api.cold_start().await)
}

#[handler]
fn get_health(Data(api): Shared<'_>) -> Response {
    if api.health.healthy.load(Ordering::Relaxed) {
        json(StatusCode::OK, &serde_json::json!({ "status": "ok" }))
    } else {
        Refusal::Later("cannot take requests now".into()).into()
    }
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
