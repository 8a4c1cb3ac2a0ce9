//! Disruption budgets: how much a team has agreed to lose within a sliding window.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// What a disruption takes from a team.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Cost {
    /// Seconds for which replicas do not serve, added up over the replicas.
    pub replica_s: f64,
    /// Seconds of run time that tasks have to repeat.
    pub work_s: f64,
}

impl Cost {
    /// No disruption.
    pub const NONE: Cost = Cost { replica_s: 0.0, work_s: 0.0 };

    /// A replica that does not serve for so long.
    pub fn replica(seconds: f64) -> Self {
        Cost { replica_s: seconds.max(0.0), work_s: 0.0 }
    }

    /// So much run time to be repeated.
    pub fn work(seconds: f64) -> Self {
        Cost { replica_s: 0.0, work_s: seconds.max(0.0) }
    }

    /// Both together.
    pub fn plus(self, other: Cost) -> Self {
        Cost { replica_s: self.replica_s + other.replica_s, work_s: self.work_s + other.work_s }
    }

    /// What is left after `other`, at least nothing.
    pub fn less(self, other: Cost) -> Self {
        Cost {
            replica_s: (self.replica_s - other.replica_s).max(0.0),
            work_s: (self.work_s - other.work_s).max(0.0),
        }
    }

    /// Whether it is within `limit`, apart from rounding.
    pub fn fits(self, limit: Cost) -> bool {
        self.replica_s <= limit.replica_s + ROUNDING && self.work_s <= limit.work_s + ROUNDING
    }

    /// Whether it is nothing.
    pub fn is_none(&self) -> bool {
        *self == Cost::NONE
    }
}

/// Sums of seconds that differ by less than this are the same.
const ROUNDING: f64 = 1e-6;

/// Thousandths of a second are enough in a record.
fn rounded(seconds: f64) -> f64 {
    (seconds * 1_000.0).round() / 1_000.0
}

impl From<(f64, f64)> for Cost {
    fn from((replica_s, work_s): (f64, f64)) -> Self {
        Cost { replica_s, work_s }
    }
}

impl From<Cost> for (f64, f64) {
    fn from(cost: Cost) -> Self {
        (rounded(cost.replica_s), rounded(cost.work_s))
    }
}

/// The budget of a team.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Tasks that may be disrupted at the same time.
    pub tasks: u32,
    /// Disruption within the window.
    pub cost: Cost,
    /// Length of the sliding window in seconds.
    pub window_s: f64,
}

impl Budget {
    /// The budget of a team that has agreed to no disruption: its tasks are let finish, and none is stopped.
    pub const NONE: Budget = Budget { tasks: 0, cost: Cost::NONE, window_s: 3_600.0 };

    fn check(&self) -> Result<(), BudgetError> {
        let amount = |field, value: f64| match value.is_finite() && value >= 0.0 {
            true => Ok(()),
            false => Err(BudgetError::Amount { field }),
        };
        amount("replica-s", self.cost.replica_s)?;
        amount("work-s", self.cost.work_s)?;
        match self.window_s.is_finite() && self.window_s >= MIN_WINDOW_S {
            true => Ok(()),
            false => Err(BudgetError::Window),
        }
    }
}

/// A shorter window would forget a disruption before it has ended.
pub const MIN_WINDOW_S: f64 = 60.0;

/// Why a budget is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// An amount below 0, or not a number.
    #[error("`{field}` must be 0 or more")]
    Amount {
        /// The amount's name in the operators' file.
        field: &'static str,
    },
    /// A window that is too short.
    #[error("`window-s` must be {MIN_WINDOW_S} or more")]
    Window,
    /// A second budget for a team.
    #[error("team `{team}` has a budget already")]
    Duplicate {
        /// The team.
        team: String,
    },
}

/// The budgets of all teams.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Budgets {
    by_team: BTreeMap<String, Budget>,
}

/// Stands for every team without a budget of its own.
pub const ANY_TEAM: &str = "*";

impl Budgets {
    /// Adds the budget of a team.
    ///
    /// # Errors
    /// An amount or the window is not allowed, or the team has a budget already.
    pub fn add(&mut self, team: &str, budget: Budget) -> Result<(), BudgetError> {
        budget.check()?;
        if self.by_team.contains_key(team) {
            return Err(BudgetError::Duplicate { team: team.to_string() });
        }
        self.by_team.insert(team.to_string(), budget);
        Ok(())
    }

    /// The team's budget: its own, that of any team, or none.
    pub fn of(&self, team: &str) -> Budget {
        let own = self.by_team.get(team).or_else(|| self.by_team.get(ANY_TEAM));
        own.copied().unwrap_or(Budget::NONE)
    }

    /// The teams that are named.
    pub fn teams(&self) -> impl Iterator<Item = &str> {
        self.by_team.keys().map(String::as_str).filter(|team| *team != ANY_TEAM)
    }
}
