//! The operators' endpoint for drains: any node takes a request and answers once it is stored. Changes are conditional
//! on the version that was read, so that no operator overwrites another's change unseen.

use super::records::{self, ledger_key, progress_prefix, request_key, summary_key};
use super::view::{Action, DrainList, DrainView, TeamList, TeamView, UnknownAction};
use crate::api::{json, Api, Conflict, Malformed, NotFound, Refusal, Unavailable};
use crate::http::wall_ms;
use crate::limits;
use crate::protocol;
use crate::protocol::records::MachineRecord;
use crate::protocol::state_service::Record;
use crate::settings::Team;
use crate::storage::key_value_store::{compare_version, write_change, CommitOutcome, VersionedValue};
use crate::storage::keys;
use dockpier_drain::ledger::{Ledger, LedgerRecord, Totals};
use dockpier_drain::progress::MachineEntry;
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, Inventory, StoredRequest};
use dockpier_drain::status::{DrainState, Summary};
use poem::http::StatusCode;
use poem::Response;
use std::collections::BTreeMap;
use tracing::info;

/// Attempts at a change where other operators' changes come first.
const MAX_ATTEMPTS: usize = 3;

/// A request and the version of its key.
struct VersionedRequest {
    stored: StoredRequest,
    version: u64,
}

impl Api {
    /// Starts a drain. The request is idempotent: the same one again under its name is answered with the drain's state.
    ///
    /// # Errors
    /// The request is malformed, names what does not exist or another drain, or is not known to be stored.
    pub(crate) async fn start_drain(&self, body: &[u8]) -> Result<Response, Refusal> {
        self.check_draining_enabled()?;
        let request: DrainRequest = protocol::parse(body).map_err(Malformed::from)?;
        let _permit = self.admit_change()?;
        self.spend_store_budget(1)?;
        if let Some(known) = self.read_request(&request.id).await? {
            return self.known_drain(known.stored, &request).await;
        }
        let now = wall_ms();
        request.check(now as f64 / 1_000.0).map_err(Malformed::from)?;
        request.check_against(&self.inventory().await?).map_err(Malformed::from)?;
        let stored =
            StoredRequest { request: request.clone(), accepted: now, desired_state: DesiredState::Run };
        match self.write_request(&stored, 0).await? {
            CommitOutcome::Committed { .. } => {
                info!(drain = %request.id, reason = request.reason, "drain accepted");
                Ok(json(StatusCode::CREATED, &DrainView::new(stored, None, Vec::new())))
            }
            CommitOutcome::Conflict | CommitOutcome::Refused | CommitOutcome::Unknown => {
                let known = self.read_request(&request.id).await?.ok_or(Unavailable::StoringUnknown)?;
                self.known_drain(known.stored, &request).await
            }
        }
    }

    async fn known_drain(&self, known: StoredRequest, request: &DrainRequest) -> Result<Response, Refusal> {
        if known.request != *request {
            return Err(Conflict::NameTaken(request.id.clone()).into());
        }
        let summary = self.read_summary(&known.request.id).await?;
        Ok(json(StatusCode::OK, &DrainView::new(known, summary, Vec::new())))
    }

    /// Every drain, without its machines.
    ///
    /// # Errors
    /// Drains are off, or the state service can't be asked now.
    pub(crate) async fn list_drains(&self) -> Result<Response, Refusal> {
        self.check_draining_enabled()?;
        self.spend_store_budget(0)?;
        let requests = self.store.list(records::REQUESTS).await?.records;
        let summaries = self.store.list(records::SUMMARIES).await?.records;
        let summaries: BTreeMap<&str, &Record> =
            summaries.iter().map(|record| (record.key.as_str(), record)).collect();
        let readable: Vec<StoredRequest> = requests.iter().filter_map(records::read).collect();
        let unreadable = requests.len() - readable.len();
        let view = |stored: StoredRequest| {
            let summary = summaries.get(summary_key(&stored.request.id).as_str());
            DrainView::new(stored, summary.and_then(|record| records::read(record)), Vec::new())
        };
        Ok(json(StatusCode::OK, &DrainList { drains: readable.into_iter().map(view).collect(), unreadable }))
    }

    /// One drain with its machines.
    ///
    /// # Errors
    /// No drain has this name, its record can't be read, or the state service can't be asked now.
    pub(crate) async fn show_drain(&self, id: &str) -> Result<Response, Refusal> {
        self.check_draining_enabled()?;
        let id = drain_id(id)?;
        self.spend_store_budget(0)?;
        let stored = self.existing_request(&id).await?.stored;
        let summary = self.read_summary(&id).await?;
        let machines = self.read_machines(&id).await?;
        Ok(json(StatusCode::OK, &DrainView::new(stored, summary, machines)))
    }

    /// Pauses, resumes or cancels a drain.
    ///
    /// # Errors
    /// There is no such drain or action, the drain has ended, or the state service takes no changes now.
    pub(crate) async fn change_drain(&self, id: &str, action: &str) -> Result<Response, Refusal> {
        self.check_draining_enabled()?;
        let id = drain_id(id)?;
        let action: Action = action.parse().map_err(|UnknownAction(name)| NotFound::DrainAction(name))?;
        let _permit = self.admit_change()?;
        for _ in 0..MAX_ATTEMPTS {
            self.spend_store_budget(1)?;
            let VersionedRequest { mut stored, version } = self.existing_request(&id).await?;
            let summary = self.read_summary(&id).await?;
            if stored.desired_state != action.desired_state() {
                check_not_ended(&stored, summary.as_ref())?;
                stored.desired_state = action.desired_state();
                match self.write_request(&stored, version).await? {
                    CommitOutcome::Committed { .. } => {
                        info!(drain = %id, action = action.path(), "drain changed")
                    }
                    // Another operator's change came first, or this very change was carried out after all.
                    CommitOutcome::Conflict | CommitOutcome::Unknown => continue,
                    CommitOutcome::Refused => break,
                }
            }
            return Ok(json(StatusCode::OK, &DrainView::new(stored, summary, Vec::new())));
        }
        Err(Unavailable::StoreRefuses.into())
    }

    /// The teams' budgets and what is left of them.
    ///
    /// # Errors
    /// Drains are off, or the state service can't be asked now.
    pub(crate) async fn list_budgets(&self) -> Result<Response, Refusal> {
        self.check_draining_enabled()?;
        self.spend_store_budget(0)?;
        let ledgers = self.store.list(records::LEDGERS).await?.records;
        let now = wall_ms();
        let view = |team: &Team| {
            let key = ledger_key(&team.name);
            self.team_view(team, ledgers.iter().find(|record| record.key == key), now)
        };
        Ok(json(StatusCode::OK, &TeamList { teams: self.settings.teams.iter().map(view).collect() }))
    }

    /// A team's budget beside its ledger, if one was written. `now` is the time of day in milliseconds.
    fn team_view(&self, team: &Team, ledger: Option<&Record>, now: u64) -> TeamView {
        let record: Option<LedgerRecord> = ledger.and_then(records::read);
        let budget = self.settings.draining.budgets.of(&team.name);
        let ledger = record.as_ref().map(Ledger::restore).unwrap_or_default();
        let open = record.as_ref().map_or(0, |record| record.open);
        let mut left = ledger.allowance(now, &budget);
        left.tasks = left.tasks.saturating_sub(open);
        TeamView {
            team: team.name.clone(),
            budget,
            totals: Totals { open, ..ledger.totals(now, &budget) },
            left,
            as_of: record.map(|record| record.as_of),
        }
    }

    fn check_draining_enabled(&self) -> Result<(), NotFound> {
        match self.settings.draining.enabled {
            true => Ok(()),
            false => Err(NotFound::DrainingOff),
        }
    }

    async fn existing_request(&self, id: &DrainId) -> Result<VersionedRequest, Refusal> {
        Ok(self.read_request(id).await?.ok_or_else(|| NotFound::Drain(id.to_string()))?)
    }

    async fn read_request(&self, id: &DrainId) -> Result<Option<VersionedRequest>, Refusal> {
        let Some(VersionedValue { value, version }) =
            self.store.get(&request_key(id), limits::STORE_TIMEOUT).await?
        else {
            return Ok(None);
        };
        let stored = serde_json::from_value(value)
            .map_err(|source| Conflict::Unreadable { id: id.clone(), source })?;
        Ok(Some(VersionedRequest { stored, version }))
    }

    /// The leader's summary of a drain; `None` where there is none, or one that can't be read: the leader writes it
    /// again.
    async fn read_summary(&self, id: &DrainId) -> Result<Option<Summary>, Refusal> {
        let found = self.store.get(&summary_key(id), limits::STORE_TIMEOUT).await?;
        Ok(found.and_then(|found| serde_json::from_value(found.value).ok()))
    }

    /// The machines of a drain; none where a part of them can't be read.
    async fn read_machines(&self, id: &DrainId) -> Result<Vec<MachineEntry>, Refusal> {
        let found = self.store.list(&progress_prefix(id)).await?.records;
        let chunks = records::parts(found.iter()).unwrap_or_default();
        Ok(chunks.into_iter().flat_map(|chunk| chunk.machines).collect())
    }

    async fn write_request(&self, stored: &StoredRequest, version: u64) -> Result<CommitOutcome, Refusal> {
        let key = request_key(&stored.request.id);
        let bytes = serde_json::to_vec(stored).map_err(Malformed::from)?;
        if bytes.len() > limits::value_bytes(self.store.max_value_bytes() as f64 / 1_024.0) {
            return Err(Malformed::TooManyMachines.into());
        }
        let change = write_change(&key, stored).map_err(Malformed::from)?;
        Ok(self.store.commit(vec![compare_version(&key, version)], vec![change]).await)
    }

    /// The machines that the state service has, the types of the cloud's catalog and the zones of the settings.
    async fn inventory(&self) -> Result<Inventory, Refusal> {
        let types = self.types.borrow().clone();
        if types.is_empty() {
            return Err(Unavailable::NoCatalog.into());
        }
        let fleet = self.store.list(keys::MACHINE_RECORDS).await?.records;
        let machines = fleet.iter().filter_map(records::read::<Vec<MachineRecord>>).flatten();
        Ok(Inventory {
            machines: machines.map(|record| record.machine).collect(),
            machine_types: types.keys().cloned().collect(),
            zones: self.settings.zones.iter().cloned().collect(),
        })
    }
}

fn drain_id(id: &str) -> Result<DrainId, NotFound> {
    DrainId::try_from(id.to_string()).map_err(|_| NotFound::Drain(id.to_string()))
}

/// A drain that has finished or was cancelled can't be changed any more.
fn check_not_ended(stored: &StoredRequest, summary: Option<&Summary>) -> Result<(), Conflict> {
    let id = &stored.request.id;
    if summary.is_some_and(|summary| summary.state == DrainState::Finished) {
        return Err(Conflict::Finished(id.clone()));
    }
    match stored.desired_state {
        DesiredState::Cancel => Err(Conflict::Cancelled(id.clone())),
        DesiredState::Run | DesiredState::Pause => Ok(()),
    }
}
