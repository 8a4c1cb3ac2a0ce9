//! When the next round of decisions is due, and where it begins.
//!
//! Owned by `Scheduler`: `Scheduler::step` asks whether a round is due, `elastic` runs it, and whatever changes the
//! state asks for the next one.

use super::model::JobId;
use crate::limits;
use crate::time::Timestamp;
use std::time::Duration;

/// The pace of rounds of decisions.
#[derive(Debug)]
pub(super) struct RoundSchedule {
    /// The job at which the next round begins, if the last one ran out of budget there.
    pub resume_at: Option<JobId>,
    /// When the next round is due although nothing has changed.
    next_at: Timestamp,
    /// The earliest time of the next round if something has changed.
    earliest_at: Timestamp,
    /// Whether something has changed since the last round.
    requested: bool,
}

impl RoundSchedule {
    /// The first round is due as soon as the state is loaded.
    pub fn new() -> Self {
        RoundSchedule {
            resume_at: None,
            next_at: Timestamp::ZERO,
            earliest_at: Timestamp::ZERO,
            requested: true,
        }
    }

    /// Something has changed on which decisions depend.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a round was requested and has not begun.
    pub fn is_requested(&self) -> bool {
        self.requested
    }

    /// Begins the next round if it is due. Returns whether it is.
    pub fn begin_if_due(&mut self, now: Timestamp) -> bool {
        let due = self.requested && now >= self.earliest_at || now >= self.next_at;
        if due {
            self.requested = false;
        }
        due
    }

    /// A round has ended. The next one begins after `pause` at the earliest, and at that time if this one did not get
    /// through all jobs.
    pub fn end(&mut self, now: Timestamp, pause: Duration) {
        let idle_interval =
            if self.resume_at.is_some() { Duration::ZERO } else { limits::IDLE_ROUND_INTERVAL };
        self.earliest_at = now + pause;
        self.next_at = now + pause.max(idle_interval);
    }
}

#[cfg(test)]
#[path = "rounds_tests.rs"]
mod tests;
