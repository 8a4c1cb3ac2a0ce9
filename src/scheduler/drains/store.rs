//! What of drains is stored, and how far its writing is. The leader's budget of changes comes first to everything
//! else: a drain is never urgent.

use super::super::{Effect, Scheduler, WriteOutcome};
use super::{Drain, Drains, PendingWrite, TeamDisruption};
use crate::limits;
use crate::time::Timestamp;
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::{Ledger, LedgerRecord};
use dockpier_drain::progress::{Chunk, Progress};
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

impl Drain {
    fn new(stored: StoredRequest, chunks: Option<Vec<Chunk>>, now: Timestamp) -> Self {
        let resolved = chunks.is_some();
        let progress = Progress::restore(chunks.unwrap_or_default());
        let counts = progress.counts();
        Drain {
            stored,
            writing: progress.chunks().iter().map(|_| PendingWrite::default()).collect(),
            progress,
            resolved,
            summary: None,
            summary_writing: PendingWrite::default(),
            summary_at: Timestamp::ZERO,
            seen: now,
            done_then: counts.returned + counts.gone,
            waits: Vec::new(),
            refused_until: Timestamp::ZERO,
        }
    }
}

impl Scheduler {
    /// What was stored when this leader took over; before the jobs are loaded, so that no machine that is being
    /// drained gets work in between.
    pub(in super::super) fn load_drains(&mut self, mut stored: LoadedDrains) {
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
        self.mark_drained_machines();
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
    pub(in super::super) fn take_drain_requests(&mut self, requests: Vec<StoredRequest>) {
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
        self.mark_drained_machines();
    }

    /// Sends what has changed, within the leader's budget of changes.
    pub(super) fn write_drains(&mut self) {
        self.update_summaries();
        let mut due: Vec<(DrainKey, DrainValue)> = Vec::new();
        due.extend(self.ledgers_to_write());
        due.extend(self.progress_to_write());
        due.extend(self.summaries_to_write());
        for (key, value) in due {
            if !self.writes.take_allowing_debt(1.0) {
                return;
            }
            self.note_sent(&key);
            self.effects.push(Effect::WriteDrain { key, value });
        }
    }

    /// Ledgers that stops wait for at once; the others once in a while.
    fn ledgers_to_write(&mut self) -> Vec<(DrainKey, DrainValue)> {
        let (now, day) = (self.now, self.day_ms());
        let budgets = self.config.operator.draining.budgets.clone();
        let mut due = Vec::new();
        for (team, disruption) in &mut self.drains.teams {
            let urgent = !disruption.pending.is_empty();
            let in_turn = now >= disruption.sent_at + limits::DRAIN_LEDGER_INTERVAL;
            if disruption.writing.sent || !(urgent || disruption.writing.dirty && in_turn) {
                continue;
            }
            let record = disruption.ledger.record(day, &budgets.of(team));
            due.push((DrainKey::Ledger(team.clone()), DrainValue::Ledger(record)));
        }
        due
    }

    fn progress_to_write(&self) -> Vec<(DrainKey, DrainValue)> {
        let mut due = Vec::new();
        for (id, drain) in &self.drains.drains {
            for (at, _) in drain.writing.iter().enumerate().filter(|(_, w)| w.dirty && !w.sent) {
                let chunk = drain.progress.chunks()[at].clone();
                due.push((DrainKey::Progress(id.clone(), at), DrainValue::Progress(chunk)));
            }
        }
        due
    }

    fn summaries_to_write(&self) -> Vec<(DrainKey, DrainValue)> {
        let due = self.drains.drains.iter().filter(|(_, drain)| {
            let in_turn = self.now >= drain.summary_at + limits::DRAIN_SUMMARY_INTERVAL;
            drain.summary_writing.dirty && !drain.summary_writing.sent && in_turn
        });
        due.filter_map(|(id, drain)| {
            let summary = drain.summary.clone()?;
            Some((DrainKey::Summary(id.clone()), DrainValue::Summary(summary)))
        })
        .collect()
    }

    fn writing_of(&mut self, key: &DrainKey) -> Option<&mut PendingWrite> {
        match key {
            DrainKey::Progress(id, at) => self.drains.drains.get_mut(id)?.writing.get_mut(*at),
            DrainKey::Summary(id) => Some(&mut self.drains.drains.get_mut(id)?.summary_writing),
            DrainKey::Ledger(team) => Some(&mut self.drains.teams.get_mut(team)?.writing),
        }
    }

    fn note_sent(&mut self, key: &DrainKey) {
        let now = self.now;
        if let Some(writing) = self.writing_of(key) {
            *writing = PendingWrite { dirty: false, sent: true };
        }
        match key {
            DrainKey::Summary(id) => {
                if let Some(drain) = self.drains.drains.get_mut(id) {
                    drain.summary_at = now;
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

    /// The state service has answered. What it did not take for sure is written again.
    pub(in super::super) fn drain_written(&mut self, key: &DrainKey, outcome: WriteOutcome) {
        let done = outcome == WriteOutcome::Done;
        if let Some(writing) = self.writing_of(key) {
            writing.sent = false;
            writing.dirty |= !done;
        }
        let DrainKey::Ledger(team) = key else { return };
        let Some(disruption) = self.drains.teams.get_mut(team) else { return };
        let stops = std::mem::take(&mut disruption.in_write);
        match done {
            true => self.tell_stops(team, stops),
            // Their estimates stay set aside, and the stops wait for the next write.
            false => disruption.pending.splice(0..0, stops).for_each(drop),
        }
    }
}
