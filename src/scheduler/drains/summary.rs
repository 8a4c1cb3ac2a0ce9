//! What operators are told of each drain.

use super::super::Scheduler;
use super::Drain;
use crate::time::{whole_millis, Timestamp};
use dockpier_drain::budget::Budgets;
use dockpier_drain::request::DesiredState;
use dockpier_drain::status::{DrainState, Summary, Wait, WAITS_MOST};

impl Scheduler {
    /// Brings the summaries up to date; one that says something new is to be stored.
    pub(super) fn update_summaries(&mut self) {
        let (day, now, token) = (self.day_ms(), self.now, self.config.token);
        let budgets = &self.config.operator.draining.budgets;
        for drain in self.drains.drains.values_mut() {
            let new = drain.summarise(day, now, token, budgets);
            let same = drain.summary.as_ref().is_some_and(|old| {
                // When it was written is no news, nor is a little more or less time to go.
                Summary { updated: old.updated, estimate: old.estimate, ..new.clone() } == *old
            });
            if !same {
                drain.summary = Some(new);
                drain.summary_writing.dirty = true;
            }
        }
    }
}

impl Drain {
    fn summarise(&self, day: u64, now: Timestamp, token: u64, budgets: &Budgets) -> Summary {
        let state = self.state();
        let mut waits = match (state, self.stored.desired_state) {
            (DrainState::Finished | DrainState::Cancelled, _) => Vec::new(),
            (_, DesiredState::Pause) => vec![Wait::Paused],
            _ => self.waits.clone(),
        };
        let never = waits.iter().any(|wait| can_never_be(wait, budgets));
        waits.truncate(WAITS_MOST);
        let estimate = self.estimate(day, now).filter(|_| state == DrainState::Running);
        let deadline = self.stored.request.deadline.map(|deadline| (deadline * 1_000.0) as u64);
        let late = state == DrainState::Running
            && deadline.is_some_and(|deadline| day > deadline || estimate.is_some_and(|e| e > deadline));
        Summary { state, counts: self.progress.counts(), waits, never, late, estimate, updated: day, token }
    }

    /// When the rest is done at the pace seen so far.
    fn estimate(&self, day: u64, now: Timestamp) -> Option<u64> {
        let counts = self.progress.counts();
        let done = counts.returned + counts.gone;
        let since = done.checked_sub(self.done_then).filter(|since| *since > 0)? as u64;
        let left = (counts.waiting + counts.replacing + counts.cordoned) as u64;
        Some(day + whole_millis(now.since(self.seen)) / since * left)
    }
}

/// Whether the wait is for more than a whole budget, so that no time ends it.
fn can_never_be(wait: &Wait, budgets: &Budgets) -> bool {
    match wait {
        Wait::Budget { team, tasks, cost, .. } => {
            let budget = budgets.of(team);
            *tasks > budget.tasks || !cost.fits(budget.cost)
        }
        _ => false,
    }
}
