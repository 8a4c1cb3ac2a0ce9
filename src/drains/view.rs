//! What the operators' endpoint answers: read by people through the client, and by scripts.

use dockpier_drain::budget::Budget;
use dockpier_drain::ledger::{Allowance, Totals};
use dockpier_drain::progress::{Counts, MachineEntry};
use dockpier_drain::request::{DesiredState, StoredRequest};
use dockpier_drain::status::{DrainState, Summary, Wait};
use serde::{Deserialize, Serialize};

/// A drain as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainView {
    /// What was asked for, when, and what is wanted now.
    #[serde(flatten)]
    pub stored: StoredRequest,
    /// What the leader last said; `None`: no leader has taken it up yet.
    pub summary: Option<Summary>,
    /// What it waits for, in words.
    pub waits_for: Vec<String>,
    /// Its machines; only where one drain is shown.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineEntry>,
}

impl DrainView {
    /// A drain with what the leader said of it.
    pub fn new(stored: StoredRequest, summary: Option<Summary>, machines: Vec<MachineEntry>) -> Self {
        let waits = summary.iter().flat_map(|summary| &summary.waits);
        let waits_for = waits.map(Wait::to_string).collect();
        DrainView { stored, summary, waits_for, machines }
    }

    /// Whether it goes on, as far as is known.
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
    /// What it has agreed to.
    pub budget: Budget,
    /// What was planned, observed and lost.
    pub totals: Totals,
    /// What is left.
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

/// What an operator wants of a drain from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// No further step.
    Pause,
    /// It goes on.
    Resume,
    /// It ends.
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

    /// The action of a path.
    pub fn of_path(path: &str) -> Option<Self> {
        [Action::Pause, Action::Resume, Action::Cancel].into_iter().find(|action| action.path() == path)
    }

    /// The wish that it leaves.
    pub fn wish(self) -> DesiredState {
        match self {
            Action::Pause => DesiredState::Pause,
            Action::Resume => DesiredState::Run,
            Action::Cancel => DesiredState::Cancel,
        }
    }
}
