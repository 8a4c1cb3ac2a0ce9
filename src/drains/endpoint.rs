//! The operators' endpoint for drains: any node takes a request and answers once it is stored. Changes are
//! conditional on the version that was read, so that two operators never overwrite one another unseen.

use super::records::{self, ledger_key, progress_prefix, request_key, summary_key};
use super::view::{Action, DrainList, DrainView, TeamList, TeamView};
use crate::api::{json, Api, Refusal};
use crate::http::wall_ms;
use crate::limits;
use crate::protocol;
use crate::protocol::records::MachineRecord;
use crate::protocol::state_service::Record;
use crate::storage::key_value_store::{compare_version, write_change, CommitOutcome};
use crate::storage::keys;
use dockpier_drain::ledger::{Ledger, LedgerRecord};
use dockpier_drain::progress::MachineEntry;
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, Inventory, StoredRequest};
use dockpier_drain::status::{DrainState, Summary};
use poem::http::StatusCode;
use poem::Response;
use std::collections::BTreeMap;
use tracing::info;

/// A change is tried again this often where another operator's came first.
const TRIES: usize = 3;

impl Api {
    fn drains_on(&self) -> Result<(), Refusal> {
        let off = || Refusal::NotFound("draining is not turned on (operators' file, `draining`)".into());
        self.settings.draining.enabled.then_some(()).ok_or_else(off)
    }

    /// Takes a request. The same one again under its name is answered like the first.
    pub(crate) async fn start_drain(&self, body: &[u8]) -> Result<Response, Refusal> {
        self.drains_on()?;
        let request: DrainRequest = protocol::parse(body).map_err(Refusal::Malformed)?;
        let _turn = self.admit_change()?;
        self.may_ask(1)?;
        if let Some(known) = self.read_request(&request.id).await? {
            return self.known_drain(known.0, &request).await;
        }
        let now = wall_ms();
        request.check(now as f64 / 1_000.0).map_err(|e| Refusal::Malformed(e.to_string()))?;
        let inventory = self.inventory().await?;
        request.check_against(&inventory).map_err(|e| Refusal::Malformed(e.to_string()))?;
        let stored =
            StoredRequest { request: request.clone(), accepted: now, desired_state: DesiredState::Run };
        match self.write_request(&stored, 0).await? {
            CommitOutcome::Committed { .. } => {
                info!(drain = %request.id, reason = request.reason, "drain accepted");
                Ok(json(StatusCode::CREATED, &DrainView::new(stored, None, Vec::new())))
            }
            // What can be read back is told, and nothing else.
            _ => match self.read_request(&request.id).await? {
                Some((known, _)) => self.known_drain(known, &request).await,
                None => Err(Refusal::Later("not known whether it was stored".into())),
            },
        }
    }

    async fn known_drain(&self, known: StoredRequest, request: &DrainRequest) -> Result<Response, Refusal> {
        if known.request != *request {
            let why = format!("{} is the name of another drain", request.id);
            return Err(Refusal::Conflict(why));
        }
        let summary = self.read_summary(&known.request.id).await?;
        Ok(json(StatusCode::OK, &DrainView::new(known, summary, Vec::new())))
    }

    /// Every drain, without its machines.
    pub(crate) async fn list_drains(&self) -> Result<Response, Refusal> {
        self.drains_on()?;
        self.may_ask(0)?;
        let (requests, _) = self.store.list(records::REQUESTS).await?;
        let (summaries, _) = self.store.list(records::SUMMARIES).await?;
        let summaries: BTreeMap<&str, &Record> = summaries.iter().map(|r| (r.key.as_str(), r)).collect();
        let readable: Vec<StoredRequest> = requests.iter().filter_map(records::read).collect();
        let unreadable = requests.len() - readable.len();
        let view = |stored: StoredRequest| {
            let summary = summaries.get(summary_key(&stored.request.id).as_str());
            DrainView::new(stored, summary.and_then(|record| records::read(record)), Vec::new())
        };
        Ok(json(StatusCode::OK, &DrainList { drains: readable.into_iter().map(view).collect(), unreadable }))
    }

    /// One drain with its machines.
    pub(crate) async fn show_drain(&self, id: &str) -> Result<Response, Refusal> {
        self.drains_on()?;
        let id = drain_id(id)?;
        self.may_ask(0)?;
        let (stored, _) = self.read_request(&id).await?.ok_or_else(|| unknown(&id))?;
        let summary = self.read_summary(&id).await?;
        let machines = self.read_machines(&id).await?;
        Ok(json(StatusCode::OK, &DrainView::new(stored, summary, machines)))
    }

    /// Pauses, resumes or cancels a drain.
    pub(crate) async fn change_drain(&self, id: &str, action: &str) -> Result<Response, Refusal> {
        self.drains_on()?;
        let id = drain_id(id)?;
        let unknown_action = || Refusal::NotFound(format!("no action is called {action}"));
        let action = Action::of_path(action).ok_or_else(unknown_action)?;
        let _turn = self.admit_change()?;
        for _ in 0..TRIES {
            self.may_ask(1)?;
            let (mut stored, version) = self.read_request(&id).await?.ok_or_else(|| unknown(&id))?;
            let summary = self.read_summary(&id).await?;
            if stored.desired_state != action.wish() {
                allowed(&stored, summary.as_ref())?;
                stored.desired_state = action.wish();
                match self.write_request(&stored, version).await? {
                    CommitOutcome::Committed { .. } => {
                        info!(drain = %id, action = action.path(), "drain changed")
                    }
                    // Another operator came first, or this very change was carried out after all.
                    CommitOutcome::Conflict | CommitOutcome::Unknown => continue,
                    CommitOutcome::Refused => break,
                }
            }
            return Ok(json(StatusCode::OK, &DrainView::new(stored, summary, Vec::new())));
        }
        Err(Refusal::Later("state service takes no changes now".into()))
    }

    /// The teams' budgets and what is left of them.
    pub(crate) async fn list_budgets(&self) -> Result<Response, Refusal> {
        self.drains_on()?;
        self.may_ask(0)?;
        let (ledgers, _) = self.store.list(records::LEDGERS).await?;
        let now = wall_ms();
        let view = |team: &crate::settings::Team| {
            let key = ledger_key(&team.name);
            let record: Option<LedgerRecord> =
                ledgers.iter().find(|record| record.key == key).and_then(records::read);
            let budget = self.settings.draining.budgets.of(&team.name);
            let ledger = record.as_ref().map(Ledger::restore).unwrap_or_default();
            let open = record.as_ref().map_or(0, |record| record.open);
            let mut left = ledger.allowance(now, &budget);
            left.tasks = left.tasks.saturating_sub(open);
            let totals = dockpier_drain::ledger::Totals { open, ..ledger.totals(now, &budget) };
            TeamView {
                team: team.name.clone(),
                budget,
                totals,
                left,
                as_of: record.map(|record| record.as_of),
            }
        };
        Ok(json(StatusCode::OK, &TeamList { teams: self.settings.teams.iter().map(view).collect() }))
    }

    async fn read_request(&self, id: &DrainId) -> Result<Option<(StoredRequest, u64)>, Refusal> {
        let Some((value, version)) = self.store.get(&request_key(id), limits::STORE_TIMEOUT).await? else {
            return Ok(None);
        };
        let malformed = |e: serde_json::Error| Refusal::Conflict(format!("unreadable record of {id}: {e}"));
        Ok(Some((serde_json::from_value(value).map_err(malformed)?, version)))
    }

    async fn read_summary(&self, id: &DrainId) -> Result<Option<Summary>, Refusal> {
        let found = self.store.get(&summary_key(id), limits::STORE_TIMEOUT).await?;
        Ok(found.and_then(|(value, _)| serde_json::from_value(value).ok()))
    }

    async fn read_machines(&self, id: &DrainId) -> Result<Vec<MachineEntry>, Refusal> {
        let (found, _) = self.store.list(&progress_prefix(id)).await?;
        let chunks = records::parts(found.iter()).unwrap_or_default();
        Ok(chunks.into_iter().flat_map(|chunk| chunk.machines).collect())
    }

    async fn write_request(&self, stored: &StoredRequest, version: u64) -> Result<CommitOutcome, Refusal> {
        let key = request_key(&stored.request.id);
        let bytes = serde_json::to_vec(stored).map_err(|e| Refusal::Malformed(e.to_string()))?;
        if bytes.len() > limits::value_bytes(self.store.max_value_bytes() as f64 / 1_024.0) {
            let why = "target.machines: too many names for one record; drain fewer, or by type and zone";
            return Err(Refusal::Malformed(why.into()));
        }
        let change = write_change(&key, stored).map_err(|e| Refusal::Malformed(e.to_string()))?;
        Ok(self.store.commit(vec![compare_version(&key, version)], vec![change]).await)
    }

    /// What exists, as the state service and the cloud's catalog have it.
    async fn inventory(&self) -> Result<Inventory, Refusal> {
        let types = self.types.borrow().clone();
        if types.is_empty() {
            return Err(Refusal::Later("machine types not known yet".into()));
        }
        let (fleet, _) = self.store.list(keys::MACHINE_RECORDS).await?;
        let machines = fleet.iter().filter_map(records::read::<Vec<MachineRecord>>).flatten();
        Ok(Inventory {
            machines: machines.map(|record| record.machine).collect(),
            machine_types: types.keys().cloned().collect(),
            zones: self.settings.zones.iter().cloned().collect(),
        })
    }
}

fn drain_id(id: &str) -> Result<DrainId, Refusal> {
    DrainId::try_from(id.to_string()).map_err(|_| Refusal::NotFound(format!("no drain is called {id}")))
}

fn unknown(id: &DrainId) -> Refusal {
    Refusal::NotFound(format!("no drain is called {id}"))
}

/// What has ended does not go on.
fn allowed(stored: &StoredRequest, summary: Option<&Summary>) -> Result<(), Refusal> {
    let finished = summary.is_some_and(|summary| summary.state == DrainState::Finished);
    match (finished, stored.desired_state) {
        (true, _) => Err(Refusal::Conflict(format!("{} is finished", stored.request.id))),
        (_, DesiredState::Cancel) => Err(Refusal::Conflict(format!("{} is cancelled", stored.request.id))),
        _ => Ok(()),
    }
}
