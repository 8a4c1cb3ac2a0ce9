//! The JSON of the operators' endpoint, for the client and for scripts.

use dockpier_drain::budget::Budget;
use dockpier_drain::ledger::{Allowance, Totals};
use dockpier_drain::progress::{Counts, MachineEntry};
use dockpier_drain::request::{DesiredState, StoredRequest};
use dockpier_drain::status::{DrainState, Summary, Wait};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use thiserror::Error;

/// A drain as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainView {
    /// The request, when it was accepted, and the state that is wanted now.
    #[serde(flatten)]
    pub stored: StoredRequest,
    /// The leader's summary; `None`: no leader has carried any of it out yet.
    pub summary: Option<Summary>,
    /// What it waits for, as text.
    pub waits_for: Vec<String>,
    /// Its machines; only where one drain is shown.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineEntry>,
}

impl DrainView {
    /// A drain with the leader's summary of it.
    pub fn new(stored: StoredRequest, summary: Option<Summary>, machines: Vec<MachineEntry>) -> Self {
        let waits = summary.iter().flat_map(|summary| &summary.waits);
        let waits_for = waits.map(Wait::to_string).collect();
        DrainView { stored, summary, waits_for, machines }
    }

    /// Its state: finished once the leader has written so, otherwise as operators want it.
    pub fn state(&self) -> DrainState {
        match (self.stored.desired_state, self.summary.as_ref().map(|summary| summary.state)) {
            (_, Some(DrainState::Finished)) => DrainState::Finished,
            (DesiredState::Run, _) => DrainState::Running,
            (DesiredState::Pause, _) => DrainState::Paused,
            (DesiredState::Cancel, _) => DrainState::Cancelled,
        }
    }

    /// How many machines are in which state.
    pub fn counts(&self) -> Counts {
        self.summary.as_ref().map(|summary| summary.counts).unwrap_or_default()
    }
}

/// All drains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainList {
    /// In the order of their names.
    pub drains: Vec<DrainView>,
    /// Records that could not be read.
    pub unreadable: usize,
}

/// The disruption of a team within its window, as the leader last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamView {
    /// The team.
    pub team: String,
    /// Its budget.
    pub budget: Budget,
    /// The sums of the window.
    pub totals: Totals,
    /// What is left of the budget.
    pub left: Allowance,
    /// When the leader wrote it, in milliseconds of the time of day; `None`: nothing was ever written.
    pub as_of: Option<u64>,
}

/// The disruption of all teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamList {
    /// One entry a team.
    pub teams: Vec<TeamView>,
}

/// A change of a drain by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Take no further step.
    Pause,
    /// Go on with a paused drain.
    Resume,
    /// End the drain.
    Cancel,
}

impl Action {
    /// The action's name in paths.
    pub fn path(self) -> &'static str {
        match self {
            Action::Pause => "pause",
            Action::Resume => "resume",
            Action::Cancel => "cancel",
        }
    }

    /// The state that an operator wants with it.
    pub fn desired_state(self) -> DesiredState {
        match self {
            Action::Pause => DesiredState::Pause,
            Action::Resume => DesiredState::Run,
            Action::Cancel => DesiredState::Cancel,
        }
    }
}

/// No action has this name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no action is called {0}")]
pub struct UnknownAction(pub String);

impl FromStr for Action {
    type Err = UnknownAction;

    fn from_str(path: &str) -> Result<Self, UnknownAction> {
        let actions = [Action::Pause, Action::Resume, Action::Cancel];
        let named = actions.into_iter().find(|action| action.path() == path);
        named.ok_or_else(|| UnknownAction(path.to_string()))
    }
}
