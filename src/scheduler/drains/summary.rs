//! Summaries: what operators are told of each drain.

use super::drain::Drain;
use crate::fencing_token::FencingToken;
use crate::scheduler::Scheduler;
use crate::time::{to_millis, Timestamp};
use dockpier_drain::budget::Budgets;
use dockpier_drain::status::{DrainState, Summary, Wait, WAITS_MOST};

impl Scheduler {
    /// Brings the summaries up to date. One that has changed is to be stored; when it was written is no change, nor
    /// is a little more or less time to go.
    pub(super) fn update_summaries(&mut self) {
        let (day, now, token) = (self.day_ms(), self.now, self.config.token);
        let budgets = &self.config.operator.draining.budgets;
        for drain in self.drains.drains.values_mut() {
            let new = drain.summarize(day, now, token, budgets);
            let is_same = drain.summary.as_ref().is_some_and(|old| {
                Summary { updated: old.updated, estimate: old.estimate, ..new.clone() } == *old
            });
            if !is_same {
                drain.summary = Some(new);
                drain.summary_write.mark_changed();
            }
        }
    }
}

impl Drain {
    /// `day`: the time of day in milliseconds.
    fn summarize(&self, day: u64, now: Timestamp, token: FencingToken, budgets: &Budgets) -> Summary {
        let state = self.state();
        let mut waits = match state {
            DrainState::Finished | DrainState::Cancelled => Vec::new(),
            DrainState::Paused => vec![Wait::Paused],
            DrainState::Running => self.waits.clone(),
        };
        let never = waits.iter().any(|wait| exceeds_whole_budget(wait, budgets));
        waits.truncate(WAITS_MOST);
        let estimate = self.estimate(day, now).filter(|_| state == DrainState::Running);
        let deadline = self.stored.request.deadline.map(|deadline| (deadline * 1_000.0) as u64);
        let will_be_late = |deadline: u64| day > deadline || estimate.is_some_and(|done| done > deadline);
        let late = state == DrainState::Running && deadline.is_some_and(will_be_late);
        Summary {
            state,
            counts: self.progress.counts(),
            waits,
            never,
            late,
            estimate,
            updated: day,
            token: token.0,
        }
    }

    /// When the rest is done at the pace seen so far, in milliseconds of the time of day.
    fn estimate(&self, day: u64, now: Timestamp) -> Option<u64> {
        let counts = self.progress.counts();
        let done = counts.returned + counts.gone;
        let done_since = done.checked_sub(self.done_when_first_seen).filter(|since| *since > 0)? as u64;
        let left = (counts.waiting + counts.replacing + counts.cordoned) as u64;
        Some(day + to_millis(now.since(self.first_seen_at)) / done_since * left)
    }
}

/// Whether the wait is for more than a whole budget, so that no time ends it.
fn exceeds_whole_budget(wait: &Wait, budgets: &Budgets) -> bool {
    match wait {
        Wait::Budget { team, tasks, cost, left: _ } => {
            let budget = budgets.of(team);
            *tasks > budget.tasks || !cost.fits(budget.cost)
        }
        Wait::NoPlace { .. }
        | Wait::NoRoom { .. }
        | Wait::ReservedPlaces { .. }
        | Wait::NoReplacement { .. }
        | Wait::ReplacementStarting { .. }
        | Wait::JobNotWhole { .. }
        | Wait::TaskStarting { .. }
        | Wait::GangUnreachable { .. }
        | Wait::Finishing { .. }
        | Wait::Stopping { .. }
        | Wait::Reconciling
        | Wait::ZoneUnreachable { .. }
        | Wait::Unwritten
        | Wait::StepFull
        | Wait::Paused => false,
    }
}
