//! Users' requests: submissions, polls, cancellations. Each is decided by a transaction on the key-value store; after an
//! unknown outcome the response is what can be read back.

use super::refusal::{json, Impossible, Malformed, NotFound, Refusal, Unavailable};
use super::{read_body, Api};
use crate::http::wall_ms;
use crate::lease::cancellation_log::CancellationCommit;
use crate::limits;
use crate::node_events::Event;
use crate::protocol;
use crate::protocol::records::{FinalRecord, LiveRecord};
use crate::protocol::users::{JobState, JobStatus, Submission};
use crate::scheduler::model::{JobId, JobSpec, Kind, Resources, TaskCounts};
use crate::scheduler::Scheduler;
use crate::storage::key_value_store::{
    compare_version, remove_change, write_change, CommitOutcome, StoreError,
};
use crate::storage::keys;
use poem::http::StatusCode;
use poem::{Body, Response};
use std::sync::atomic::Ordering;
use tracing::info;

impl Api {
    /// Accepts a job: one transaction that requires it to be unknown. The request is idempotent: a job that is known
    /// already is answered with its state.
    ///
    /// # Errors
    /// The submission is malformed, the job can never run, or it is not known whether it was stored.
    pub(super) async fn submit(&self, body: Body) -> Result<Response, Refusal> {
        let bytes = read_body(body).await?;
        let submission: Submission = protocol::parse(&bytes).map_err(Malformed::from)?;
        let job = JobSpec::try_from(&submission).map_err(Malformed::from)?;
        let _permit = self.admit_change()?;
        if let Err(refusal) = self.check_runnable(&job) {
            // A job that was accepted stays so, whatever the machine types and teams are now.
            let state = self.state(job.job_id).await?.ok_or(refusal)?;
            return Ok(json(StatusCode::OK, &state));
        }
        self.spend_store_budget(1)?;
        match self.store_job(job.job_id, submission).await? {
            CommitOutcome::Committed { .. } => {
                info!(job = %job.job_id, class = job.class, team = job.team, tasks = job.tasks, "accepted");
                Ok(json(StatusCode::CREATED, &JobState::without_counts(job.job_id, JobStatus::Pending)))
            }
            CommitOutcome::Refused => Err(Unavailable::StoreRefuses.into()),
            CommitOutcome::Conflict | CommitOutcome::Unknown => {
                let state = self.state(job.job_id).await?.ok_or(Unavailable::StoringUnknown)?;
                Ok(json(StatusCode::OK, &state))
            }
        }
    }

    /// The state of a job.
    ///
    /// # Errors
    /// No job has this id, or the state service can't be asked now.
    pub(super) async fn poll(&self, job_id: &str) -> Result<Response, Refusal> {
        let job_id = JobId::parse(job_id).ok_or(NotFound::Job)?;
        if let Some(state) = self.cached_final_state(job_id) {
            return Ok(json(StatusCode::OK, &state));
        }
        let _permit = self.admit(&self.polls)?;
        let state = self.state(job_id).await?.ok_or(NotFound::Job)?;
        Ok(json(StatusCode::OK, &state))
    }

    /// Cancels a job: one transaction that moves it from the live jobs to the final states. The request is idempotent:
    /// a job that has ended already is answered with its final state.
    ///
    /// # Errors
    /// No job has this id, it is not known whether it was cancelled, or not every controller that must know of the
    /// cancellation has confirmed so.
    pub(super) async fn cancel(&self, job_id: &str) -> Result<Response, Refusal> {
        let job_id = JobId::parse(job_id).ok_or(NotFound::Job)?;
        if let Some(state) = self.cached_final_state(job_id) {
            return Ok(json(StatusCode::OK, &state));
        }
        let _permit = self.admit_change()?;
        self.spend_store_budget(2)?;
        let Some(live) = self.store.get(&keys::live_job(job_id), limits::POLL_TIMEOUT).await? else {
            let state = self.read_final_state(job_id).await?.ok_or(NotFound::Job)?;
            return Ok(json(StatusCode::OK, &state));
        };
        let epoch_version = self.announce_cancellation(job_id);
        let tasks = LiveRecord::tasks_of(&live.value);
        match self.store_cancellation(job_id, tasks, live.version, epoch_version).await? {
            CommitOutcome::Committed { .. } => {
                info!(job = %job_id, "cancelled");
                let state = JobState::without_counts(job_id, JobStatus::Cancelled);
                let commit = epoch_version.map_or(CancellationCommit::Unknown, CancellationCommit::InEpoch);
                self.confirm_cancellation(job_id, &state, commit).await?;
                self.cache_final_state(job_id, &state);
                Ok(json(StatusCode::OK, &state))
            }
            CommitOutcome::Refused => Err(Unavailable::StoreRefuses.into()),
            // The job has ended by now, perhaps by this very request.
            CommitOutcome::Conflict | CommitOutcome::Unknown => {
                let state = self.read_final_state(job_id).await?.ok_or(Unavailable::CancellationUnknown)?;
                Ok(json(StatusCode::OK, &state))
            }
        }
    }

    /// Whether the job can ever run, by the quotas and machine types of now.
    fn check_runnable(&self, job: &JobSpec) -> Result<(), Refusal> {
        let team = self.settings.teams.iter().find(|team| team.name == job.team);
        let team = team.ok_or_else(|| Impossible::UnknownTeam { team: job.team.clone() })?;
        let least_tasks = if job.kind == Kind::Array { 1 } else { i64::from(job.tasks) };
        let needed = job.resource_request.times(least_tasks);
        let limit = Resources::rounded_down(team.cpus_max, team.gpus_max, 0.0);
        let above_cpus = team.cpus_max > 0.0 && needed.milli_cpus > limit.milli_cpus;
        let above_gpus = team.gpus_max > 0.0 && needed.milli_gpus > limit.milli_gpus;
        if above_cpus || above_gpus {
            return Err(Impossible::AboveLimit { team: team.name.clone() }.into());
        }
        let types = self.types.borrow().clone();
        if types.is_empty() {
            return Err(Unavailable::NoCatalog.into());
        }
        if !Scheduler::fits_some_type(job, &types) {
            return Err(Impossible::NoMachineType.into());
        }
        Ok(())
    }

    async fn store_job(&self, job_id: JobId, submission: Submission) -> Result<CommitOutcome, Refusal> {
        let (live, over) = (keys::live_job(job_id), keys::final_state(job_id));
        let record = LiveRecord { submission, accepted_ms: wall_ms() };
        let bytes = serde_json::to_vec(&record).map_err(Malformed::from)?;
        if bytes.len() > self.store.max_value_bytes() {
            return Err(Impossible::RecordTooLarge.into());
        }
        let record = write_change(&live, &record).map_err(Malformed::from)?;
        let unknown = vec![compare_version(&live, 0), compare_version(&over, 0)];
        Ok(self.store.commit(unknown, vec![record]).await)
    }

    /// Lets the other controllers know that the job is about to be cancelled, so that the confirmation need not
    /// wait for them once it is. Returns the version of the leader's epoch that the transaction must compare: a
    /// leader that is elected in between may not know. `None`: they are informed after the commit.
    fn announce_cancellation(&self, job_id: JobId) -> Option<u64> {
        let epoch_version = self.health.epoch_version.load(Ordering::Relaxed);
        if epoch_version == 0 {
            return None;
        }
        let event = Event::CancellationRequested(job_id, epoch_version);
        self.events.try_send(event).ok().map(|()| epoch_version)
    }

    async fn store_cancellation(
        &self,
        job_id: JobId,
        tasks: u32,
        live_version: u64,
        epoch_version: Option<u64>,
    ) -> Result<CommitOutcome, Refusal> {
        let live = keys::live_job(job_id);
        let record = FinalRecord { status: JobStatus::Cancelled, tasks };
        let record = write_change(&keys::final_state(job_id), record).map_err(Unavailable::Record)?;
        let mut unchanged = vec![compare_version(&live, live_version)];
        unchanged.extend(epoch_version.map(|version| compare_version(keys::LEADER_EPOCH, version)));
        Ok(self.store.commit(unchanged, vec![record, remove_change(&live)]).await)
    }

    /// The job's state as the state service has it. The live jobs are read before the final states: a job moves from
    /// the first to the second in one transaction, so that this order never misses it.
    async fn state(&self, job_id: JobId) -> Result<Option<JobState>, Refusal> {
        if let Some(state) = self.cached_final_state(job_id) {
            return Ok(Some(state));
        }
        let live = self.live.contains(job_id).await.ok_or(Unavailable::TooManyPolls)?;
        if !live.map_err(Unavailable::Store)? {
            self.spend_store_budget(0)?;
            return self.read_final_state(job_id).await;
        }
        let TaskCounts { succeeded, running } =
            self.summary.borrow().get(&job_id).copied().unwrap_or_default();
        let status = if running > 0 { JobStatus::Running } else { JobStatus::Pending };
        let (done, running) = (Some(succeeded), Some(running));
        Ok(Some(JobState { job_id: job_id.to_string(), status, done, running }))
    }

    async fn read_final_state(&self, job_id: JobId) -> Result<Option<JobState>, Refusal> {
        let stored = self.store.get(&keys::final_state(job_id), limits::POLL_TIMEOUT).await?;
        let Some(stored) = stored else { return Ok(None) };
        let record: FinalRecord =
            serde_json::from_value(stored.value).map_err(|error| StoreError::Malformed(error.to_string()))?;
        let done = if record.status == JobStatus::Done { record.tasks } else { 0 };
        let (done, running) = (Some(done), Some(0));
        let state = JobState { job_id: job_id.to_string(), status: record.status, done, running };
        self.confirm_cancellation(job_id, &state, CancellationCommit::Unknown).await?;
        self.cache_final_state(job_id, &state);
        Ok(Some(state))
    }

    /// A cancellation is confirmed to its user only once every controller that may act without asking the state service
    /// has it (`lease::cancellation_log`).
    async fn confirm_cancellation(
        &self,
        job_id: JobId,
        state: &JobState,
        commit: CancellationCommit,
    ) -> Result<(), Unavailable> {
        if state.status != JobStatus::Cancelled {
            return Ok(());
        }
        let event = |reply_to| Event::Cancelled(job_id, commit, reply_to);
        match self.ask(event, limits::CONFIRMATION_TIMEOUT).await? {
            Some(()) => Ok(()),
            None => Err(Unavailable::CancellationUnconfirmed),
        }
    }

    /// A cache whose lock is poisoned is passed over: the state service has the same state.
    fn cache_final_state(&self, job_id: JobId, state: &JobState) {
        if let Ok(mut final_states) = self.final_states.lock() {
            final_states.insert(job_id, state);
        }
    }

    /// See [`Api::cache_final_state`].
    fn cached_final_state(&self, job_id: JobId) -> Option<JobState> {
        self.final_states.lock().ok()?.get(job_id)
    }
}
