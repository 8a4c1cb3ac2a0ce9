//! Records of drains: what is loaded, what is to be written, and how far each write is. All other records come first
//! in the leader's budget of writes: a drain is never urgent.

use super::drain::{Drain, WriteState};
use super::{Drains, TeamDisruption};
use crate::limits;
use crate::scheduler::{Effect, RequestOutcome, Scheduler};
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::{Ledger, LedgerRecord};
use dockpier_drain::progress::Chunk;
use dockpier_drain::request::{DrainId, StoredRequest};
use dockpier_drain::status::Summary;
use serde::Serialize;
use std::collections::BTreeMap;

/// A record of the leader's.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainKey {
    /// A part of the machines of a drain.
    Progress(DrainId, usize),
    /// What operators are told of a drain.
    Summary(DrainId),
    /// A team's disruption.
    Ledger(String),
}

/// What a record of the leader's holds.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum DrainValue {
    /// A part of the machines of a drain.
    Progress(Chunk),
    /// What operators are told of a drain.
    Summary(Summary),
    /// A team's disruption.
    Ledger(LedgerRecord),
}

/// What the state service held of drains when this leader took over.
#[derive(Debug, Clone, Default)]
pub struct LoadedDrains {
    /// What operators asked for.
    pub requests: Vec<StoredRequest>,
    /// The parts of each drain's machines, in order.
    pub progress: BTreeMap<DrainId, Vec<Chunk>>,
    /// The teams' disruption.
    pub ledgers: BTreeMap<String, LedgerRecord>,
    /// Teams whose ledger can't be read: their budgets count as spent for a whole window.
    pub unreadable_ledgers: Vec<String>,
}

impl Scheduler {
    /// What was stored when this leader took over; before the jobs are loaded, so that no machine that is being
    /// drained gets work in between.
    pub(in crate::scheduler) fn load_drains(&mut self, mut stored: LoadedDrains) {
        let now = self.now;
        let drains = stored.requests.into_iter().map(|request| {
            let id = request.request.id.clone();
            let chunks = stored.progress.remove(&id);
            (id, Drain::new(request, chunks, now))
        });
        let teams = stored.ledgers.iter().map(|(team, record)| {
            let (ledger, as_of) = (Ledger::restore(record), Some(record.as_of));
            (team.clone(), TeamDisruption { ledger, as_of, ..TeamDisruption::default() })
        });
        let mut teams: BTreeMap<String, TeamDisruption> = teams.collect();
        for team in stored.unreadable_ledgers {
            teams.insert(team.clone(), self.spent_budget(&team));
        }
        let day_offset = self.drains.day_offset;
        self.drains =
            Drains { loaded: true, drains: drains.collect(), teams, day_offset, ..Drains::default() };
        self.drains.update_marks();
    }

    /// What nobody can know counts high: the whole budget is spent now.
    fn spent_budget(&self, team: &str) -> TeamDisruption {
        let (day, budget) = (self.day_ms(), self.budget_of(team));
        let mut ledger = Ledger::default();
        let all = ledger.lose(day, &budget, false, budget.cost);
        ledger.settle(all, day, Cost::NONE);
        TeamDisruption { ledger, ..TeamDisruption::default() }
    }

    /// What operators ask for has changed.
    pub(in crate::scheduler) fn handle_drain_requests(&mut self, requests: Vec<StoredRequest>) {
        if !self.drains.loaded {
            return;
        }
        let now = self.now;
        for stored in requests {
            match self.drains.drains.get_mut(&stored.request.id) {
                Some(drain) => drain.stored = stored,
                None => {
                    let id = stored.request.id.clone();
                    self.drains.drains.insert(id, Drain::new(stored, None, now));
                }
            }
        }
        self.drains.due = now;
        self.drains.update_marks();
    }

    /// Sends what has changed, within the leader's budget of writes.
    pub(super) fn write_drains(&mut self) {
        self.update_summaries();
        let mut due: Vec<(DrainKey, DrainValue)> = Vec::new();
        due.extend(self.ledgers_to_write());
        due.extend(self.progress_to_write());
        due.extend(self.summaries_to_write());
        for (key, value) in due {
            if !self.write_budget.take_allowing_debt(1.0) {
                return;
            }
            self.record_sent(&key);
            self.effects.push(Effect::WriteDrain { key, value });
        }
    }

    /// Ledgers that stops wait for at once; the others once per `DRAIN_LEDGER_INTERVAL`.
    fn ledgers_to_write(&mut self) -> Vec<(DrainKey, DrainValue)> {
        let (now, day) = (self.now, self.day_ms());
        let budgets = self.config.operator.draining.budgets.clone();
        let mut due = Vec::new();
        for (team, disruption) in &mut self.drains.teams {
            let has_pending_stops = !disruption.pending.is_empty() && !disruption.record.is_in_flight();
            let is_in_turn = now >= disruption.sent_at + limits::DRAIN_LEDGER_INTERVAL;
            if has_pending_stops || disruption.record.is_due() && is_in_turn {
                let record = disruption.ledger.record(day, &budgets.of(team));
                due.push((DrainKey::Ledger(team.clone()), DrainValue::Ledger(record)));
            }
        }
        due
    }

    fn progress_to_write(&self) -> Vec<(DrainKey, DrainValue)> {
        let mut due = Vec::new();
        for (id, drain) in &self.drains.drains {
            let writes = drain.chunk_writes.iter().enumerate();
            for (index, _) in writes.filter(|(_, write)| write.is_due()) {
                let chunk = drain.progress.chunks()[index].clone();
                due.push((DrainKey::Progress(id.clone(), index), DrainValue::Progress(chunk)));
            }
        }
        due
    }

    fn summaries_to_write(&self) -> Vec<(DrainKey, DrainValue)> {
        let due = self.drains.drains.iter().filter(|(_, drain)| {
            let is_in_turn = self.now >= drain.summary_sent_at + limits::DRAIN_SUMMARY_INTERVAL;
            drain.summary_write.is_due() && is_in_turn
        });
        due.filter_map(|(id, drain)| {
            let summary = drain.summary.clone()?;
            Some((DrainKey::Summary(id.clone()), DrainValue::Summary(summary)))
        })
        .collect()
    }

    fn write_state(&mut self, key: &DrainKey) -> Option<&mut WriteState> {
        match key {
            DrainKey::Progress(id, index) => self.drains.drains.get_mut(id)?.chunk_writes.get_mut(*index),
            DrainKey::Summary(id) => Some(&mut self.drains.drains.get_mut(id)?.summary_write),
            DrainKey::Ledger(team) => Some(&mut self.drains.teams.get_mut(team)?.record),
        }
    }

    fn record_sent(&mut self, key: &DrainKey) {
        let now = self.now;
        if let Some(write) = self.write_state(key) {
            write.begin();
        }
        match key {
            DrainKey::Summary(id) => {
                if let Some(drain) = self.drains.drains.get_mut(id) {
                    drain.summary_sent_at = now;
                }
            }
            DrainKey::Ledger(team) => {
                if let Some(disruption) = self.drains.teams.get_mut(team) {
                    disruption.sent_at = now;
                    disruption.in_write = std::mem::take(&mut disruption.pending);
                }
            }
            DrainKey::Progress(..) => {}
        }
    }

    /// The state service has responded. What it has not confirmed is written again.
    pub(in crate::scheduler) fn handle_drain_written(&mut self, key: &DrainKey, outcome: RequestOutcome) {
        if let Some(write) = self.write_state(key) {
            write.end(outcome);
        }
        let DrainKey::Ledger(team) = key else { return };
        let Some(disruption) = self.drains.teams.get_mut(team) else { return };
        let stops = std::mem::take(&mut disruption.in_write);
        match outcome {
            RequestOutcome::Done => self.request_stops(team, stops),
            // Their estimates stay reserved, and the stops wait for the next write.
            RequestOutcome::Refused | RequestOutcome::Unknown => {
                disruption.pending.splice(0..0, stops).for_each(drop);
            }
        }
    }
}
