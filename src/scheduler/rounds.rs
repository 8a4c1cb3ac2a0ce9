//! Schedule of the rounds of decisions: when the next one is due, and at which job it begins.
//!
//! Owned by `Scheduler`: `Scheduler::step` begins a round if one is due, `elastic` runs it and records its
//! end, and the code that changes the scheduler's state requests the next one.

use super::model::JobId;
use crate::limits;
use crate::time::Timestamp;
use std::time::Duration;

/// When the next round of decisions is due.
#[derive(Debug)]
pub(super) struct RoundSchedule {
    /// The job at which the next round begins, if the last round ran out of budget before it.
    pub resume_from: Option<JobId>,
    /// When the next round is due even if nothing has changed.
    due_without_request_at: Timestamp,
    /// When the next round is due if something has changed.
    due_on_request_at: Timestamp,
    /// Whether something has changed since the last round.
    requested: bool,
}

impl RoundSchedule {
    /// The first round is due as soon as the state is loaded.
    pub fn new() -> Self {
        RoundSchedule {
            resume_from: None,
            due_without_request_at: Timestamp::ZERO,
            due_on_request_at: Timestamp::ZERO,
            requested: true,
        }
    }

    /// Requests a round, since something has changed on which decisions depend.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a round was requested and has not begun.
    pub fn is_requested(&self) -> bool {
        self.requested
    }

    /// Whether a round is due, which the caller then runs. If so, clears the request.
    pub fn begin_if_due(&mut self, now: Timestamp) -> bool {
        let due = self.requested && now >= self.due_on_request_at || now >= self.due_without_request_at;
        if due {
            self.requested = false;
        }
        due
    }

    /// Records that a round has ended. The next one is due after `pause` if it is requested or if this round
    /// did not reach all jobs; otherwise after the longer of `pause` and `IDLE_ROUND_INTERVAL`.
    pub fn end(&mut self, now: Timestamp, pause: Duration) {
        let idle_interval =
            if self.resume_from.is_some() { Duration::ZERO } else { limits::IDLE_ROUND_INTERVAL };
        self.due_on_request_at = now + pause;
        self.due_without_request_at = now + pause.max(idle_interval);
    }
}

#[cfg(test)]
#[path = "rounds_tests.rs"]
mod tests;
