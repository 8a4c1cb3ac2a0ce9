//! One drain: its request, how far its machines are, and how far its records are stored.

use crate::scheduler::RequestOutcome;
use crate::time::Timestamp;
use dockpier_drain::progress::{Chunk, MachineDrainState, Progress};
use dockpier_drain::request::{DesiredState, StoredRequest};
use dockpier_drain::status::{DrainState, Summary, Wait};

/// How far a record that only the leader writes is stored.
#[derive(Debug, Default)]
pub(super) struct WriteState {
    /// Whether it has changed since it was last sent to the state service.
    has_changed: bool,
    /// Whether a write is under way.
    in_flight: bool,
}

impl WriteState {
    /// It is to be written for the first time.
    pub(super) fn new_record() -> Self {
        WriteState { has_changed: true, in_flight: false }
    }

    /// Whether the state service has what the scheduler has.
    pub(super) fn is_stored(&self) -> bool {
        !self.has_changed && !self.in_flight
    }

    /// Whether it has changed and may be written.
    pub(super) fn is_due(&self) -> bool {
        self.has_changed && !self.in_flight
    }

    /// Whether a write is under way.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// It has changed.
    pub(super) fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// It is sent as it is.
    pub(super) fn begin(&mut self) {
        *self = WriteState { has_changed: false, in_flight: true };
    }

    /// The write has ended. What the state service has not confirmed is written again.
    pub(super) fn end(&mut self, outcome: RequestOutcome) {
        self.in_flight = false;
        match outcome {
            RequestOutcome::Done => {}
            RequestOutcome::Refused | RequestOutcome::Unknown => self.has_changed = true,
        }
    }
}

/// A drain as the leader knows it.
#[derive(Debug)]
pub(super) struct Drain {
    /// What operators ask for.
    pub stored: StoredRequest,
    /// How far each machine is.
    pub progress: Progress,
    /// One for each chunk of the progress.
    pub chunk_writes: Vec<WriteState>,
    /// Whether its machines are determined.
    pub is_resolved: bool,
    /// What operators are told, once it was determined.
    pub summary: Option<Summary>,
    /// How far the summary is stored.
    pub summary_write: WriteState,
    /// When the summary was last sent.
    pub summary_sent_at: Timestamp,
    /// When this leader first saw it.
    pub first_seen_at: Timestamp,
    /// How many machines were done then.
    pub done_when_first_seen: usize,
    /// What kept its machines back in the last round.
    pub waits: Vec<Wait>,
    /// The cloud has refused a replacement, and is not asked again before.
    pub replacement_backoff_until: Timestamp,
}

impl Drain {
    /// `chunks`: how far its machines are, if an earlier leader has determined them.
    pub(super) fn new(stored: StoredRequest, chunks: Option<Vec<Chunk>>, now: Timestamp) -> Self {
        let is_resolved = chunks.is_some();
        let progress = Progress::restore(chunks.unwrap_or_default());
        let counts = progress.counts();
        Drain {
            stored,
            chunk_writes: progress.chunks().iter().map(|_| WriteState::default()).collect(),
            progress,
            is_resolved,
            summary: None,
            summary_write: WriteState::default(),
            summary_sent_at: Timestamp::ZERO,
            first_seen_at: now,
            done_when_first_seen: counts.returned + counts.gone,
            waits: Vec::new(),
            replacement_backoff_until: Timestamp::ZERO,
        }
    }

    /// Its machines are these.
    pub(super) fn resolve(&mut self, progress: Progress) {
        self.chunk_writes = progress.chunks().iter().map(|_| WriteState::new_record()).collect();
        self.progress = progress;
        self.is_resolved = true;
    }

    fn is_finished(&self) -> bool {
        self.is_resolved && self.progress.is_finished()
    }

    /// Whether operators have cancelled it.
    pub(super) fn is_cancelled(&self) -> bool {
        self.stored.desired_state == DesiredState::Cancel
    }

    /// Whether machines are to be drained now.
    pub(super) fn is_active(&self) -> bool {
        self.is_resolved && !self.is_finished() && self.stored.desired_state == DesiredState::Run
    }

    /// What operators are told of its state.
    pub(super) fn state(&self) -> DrainState {
        if self.is_finished() {
            return DrainState::Finished;
        }
        match self.stored.desired_state {
            DesiredState::Run => DrainState::Running,
            DesiredState::Pause => DrainState::Paused,
            DesiredState::Cancel => DrainState::Cancelled,
        }
    }

    /// Takes a machine to its next state, if that may follow on its present one. The change is to be stored.
    pub(super) fn advance(&mut self, machine: &str, next: MachineDrainState) {
        if let Some(chunk) = self.progress.advance(machine, next) {
            self.chunk_writes[chunk].mark_changed();
        }
    }

    /// Number of machines between their first and their last state.
    pub(super) fn machines_under_way(&self) -> usize {
        self.progress.machines().filter(|(_, state)| state.under_way()).count()
    }

    /// Notes what keeps its machines back.
    pub(super) fn add_wait(&mut self, wait: Wait) {
        if !self.waits.contains(&wait) {
            self.waits.push(wait);
        }
    }
}

#[cfg(test)]
#[path = "drain_tests.rs"]
mod tests;
