//! What users ask: submissions, polls, cancellations.

use super::refusal::{json, Refusal};
use super::{read_body, Api};
use crate::http::wall_ms;
use crate::limits;
use crate::node_events::Event;
use crate::protocol;
use crate::protocol::records::{FinalRecord, LiveRecord};
use crate::protocol::users::{JobState, JobStatus, Submission};
use crate::scheduler::model::{JobId, JobSpec, Kind, Resources};
use crate::scheduler::Scheduler;
use crate::storage::key_value_store::{
    compare_version, remove_change, write_change, CommitOutcome, StoreError,
};
use crate::storage::keys;
use poem::http::StatusCode;
use poem::{Body, Response};
use tokio::sync::oneshot;
use tracing::info;

impl Api {
    fn remember(&self, job_id: JobId, state: &JobState) {
        if let Ok(mut final_states) = self.final_states.lock() {
            final_states.insert(job_id, state);
        }
    }

    fn remembered(&self, job_id: JobId) -> Option<JobState> {
        self.final_states.lock().ok()?.get(job_id)
    }

    /// A cancellation is told only once every member that may rely on a suspension of confirmations holds it
    /// (`lease::cancellation_log`).
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

    /// Accepts a job: one transaction that requires it to be unknown.
    pub(super) async fn submit(&self, body: Body) -> Result<Response, Refusal> {
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

    /// The state of a job.
    pub(super) async fn poll(&self, job_id: &str) -> Result<Response, Refusal> {
        let job_id = JobId::parse(job_id).ok_or(Refusal::NoSuchJob)?;
        if let Some(state) = self.remembered(job_id) {
            return Ok(json(StatusCode::OK, &state));
        }
        let _turn = self.admit(&self.polls)?;
        let state = self.state(job_id).await?.ok_or(Refusal::NoSuchJob)?;
        Ok(json(StatusCode::OK, &state))
    }

    /// Cancels a job: one transaction that moves it from the live jobs to the final states.
    pub(super) async fn cancel(&self, job_id: &str) -> Result<Response, Refusal> {
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
}
