//! The operators' file (S-expressions), read and checked: a refusal names the line of the entry.

use super::{read, Settings, SettingsError};
use dockpier_drain::budget::{Budget, BudgetError, Budgets, Cost, ANY_TEAM};
use lexpr::datum::Ref;
use std::path::Path;
use thiserror::Error;

/// The operators' settings. Every key has a default; times are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Least time between two changes of a job's width.
    pub rescale_gap_s: f64,
    /// Waiting time that lifts a job by one priority class.
    pub aging_s: f64,
    /// For how many critical services, each as wide as the widest there is, room is kept free.
    pub reserve_services: u32,
    /// Time after which an ordinary machine without tasks is returned.
    pub idle_s: f64,
    /// The same for a spot machine.
    pub idle_spot_s: f64,
    /// While every spot offer is refused, ordinary machines are rented for work that may use spot machines only after it
    /// has waited this long: an ordinary machine costs several times as much.
    pub spot_patience_s: f64,
    /// Planned draining of machines.
    pub draining: Draining,
    /// Cold start after every controller was lost.
    pub cold_start: ColdStartSettings,
}

/// Cold start: off unless the operators' file turns it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartSettings {
    /// Whether unknown tasks go on until the store was read, missing ones are started at a limited pace, and a report is
    /// written.
    pub enabled: bool,
    /// Inherited tasks that are started in a second.
    pub pace: f64,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        ColdStartSettings { enabled: false, pace: 200.0 }
    }
}

/// Planned draining of machines: off unless the operators' file turns it on.
#[derive(Debug, Clone, PartialEq)]
pub struct Draining {
    /// Whether drains are accepted and carried out.
    pub enabled: bool,
    /// The most machines under way at the same time, of all drains together.
    pub machines_at_once: u32,
    /// The teams' budgets.
    pub budgets: Budgets,
    /// Where budgets stand in the file: whether their teams exist is known only beside the platform's settings.
    budget_lines: Vec<BudgetLine>,
}

/// The line of a team's budget, counted from 1.
#[derive(Debug, Clone, PartialEq)]
struct BudgetLine {
    team: String,
    line: usize,
}

impl Draining {
    /// Draining turned on with these budgets.
    pub fn within(budgets: Budgets, machines_at_once: u32) -> Self {
        Draining { enabled: true, machines_at_once, budgets, budget_lines: Vec::new() }
    }
}

impl Default for Draining {
    fn default() -> Self {
        Draining {
            enabled: false,
            machines_at_once: 4,
            budgets: Budgets::default(),
            budget_lines: Vec::new(),
        }
    }
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            rescale_gap_s: 10.0,
            aging_s: 300.0,
            reserve_services: 1,
            idle_s: 25.0,
            idle_spot_s: 30.0,
            spot_patience_s: 10.0,
            draining: Draining::default(),
            cold_start: ColdStartSettings::default(),
        }
    }
}

/// What is wrong with an entry of the operators' file, or with the file as a whole.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The text is not one S-expression.
    #[error("not one S-expression: {0}")]
    Syntax(#[from] lexpr::parse::Error),
    /// The S-expression is not a list.
    #[error("expected a list of (key number)")]
    NotAList,
    /// An entry is neither a key with a number nor a budget.
    #[error("expected (key number)")]
    NotAKeyAndNumber,
    /// A key that does not exist.
    #[error("unknown key `{key}`")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// A number that is negative, infinite or not a number.
    #[error("`{key}` must be 0 or more")]
    Negative {
        /// The key.
        key: String,
    },
    /// A number that has to be above 0.
    #[error("`{key}` must be above 0")]
    NotPositive {
        /// The key.
        key: String,
    },
    /// A number that has to be 1 or more.
    #[error("`{key}` must be 1 or more")]
    BelowOne {
        /// The key.
        key: String,
    },
    /// A number with a fraction, or above the most that the key takes.
    #[error("`{key}` must be a whole number up to {max}")]
    NotWhole {
        /// The key.
        key: String,
        /// The most that it takes.
        max: u32,
    },
    /// A budget without a team.
    #[error("`drain-budget` must name a team in quotes")]
    BudgetWithoutTeam,
    /// A budget for a team that the platform's settings do not have.
    #[error("`drain-budget`: no team is called `{team}`")]
    UnknownTeam {
        /// The team.
        team: String,
    },
    /// An amount of a budget that is not a name with a number.
    #[error("`drain-budget`: expected (name number)")]
    NotANameAndNumber,
    /// An amount of a budget that does not exist.
    #[error("`drain-budget`: unknown name `{name}`")]
    UnknownAmount {
        /// The amount's name.
        name: String,
    },
    /// A budget's number of tasks that is not a whole number within its bounds.
    #[error("`tasks` must be a whole number from 0 to {MAX_BUDGET_TASKS}")]
    BudgetTasks,
    /// A budget that is refused as a whole.
    #[error(transparent)]
    Budget(#[from] BudgetError),
}

/// Most tasks that a budget may allow at once.
const MAX_BUDGET_TASKS: u32 = 100_000;
/// Most critical services for which room is kept.
const MAX_RESERVED_SERVICES: u32 = 1_000;
/// Most machines that drains may have under way.
const MAX_MACHINES_AT_ONCE: u32 = 10_000;

impl Operator {
    /// Reads and checks the operators' file.
    ///
    /// # Errors
    /// The file cannot be read, or one of its entries is refused.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(file)?, file)
    }

    /// `((rescale-gap-s 10) (drain-budget "team" (tasks 2)))`: a list of keys, most with a number each.
    ///
    /// # Errors
    /// The first entry that is refused, with its line; `file` is named in it.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let refuse =
            |line: usize, source: EntryError| SettingsError::Line { file: file.into(), line, source };
        let datum = lexpr::datum::from_str(text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            refuse(line, error.into())
        })?;
        let mut operator = Operator::default();
        for entry in datum.list_iter().ok_or_else(|| refuse(1, EntryError::NotAList))? {
            let line = entry.span().start().line();
            operator.set_entry(&entry).map_err(|source| refuse(line, source))?;
        }
        Ok(operator)
    }

    fn set_entry(&mut self, entry: &Ref<'_>) -> Result<(), EntryError> {
        let items = items(entry);
        match items.as_slice() {
            [key, team, amounts @ ..] if key.value().as_symbol() == Some("drain-budget") => {
                let team = team.value().as_str().ok_or(EntryError::BudgetWithoutTeam)?;
                let line = entry.span().start().line();
                self.draining.budget_lines.push(BudgetLine { team: team.to_string(), line });
                Ok(self.draining.budgets.add(team, budget(amounts)?)?)
            }
            _ => {
                let (key, number) = name_and_number(&items).ok_or(EntryError::NotAKeyAndNumber)?;
                self.set_number(key, number)
            }
        }
    }

    fn set_number(&mut self, key: &str, number: f64) -> Result<(), EntryError> {
        if !number.is_finite() || number < 0.0 {
            return Err(EntryError::Negative { key: key.to_string() });
        }
        match key {
            "rescale-gap-s" => self.rescale_gap_s = number,
            "aging-s" => self.aging_s = positive(key, number)?,
            "reserve-services" => self.reserve_services = whole(key, number, MAX_RESERVED_SERVICES)?,
            "idle-s" => self.idle_s = number,
            "idle-spot-s" => self.idle_spot_s = number,
            "spot-patience-s" => self.spot_patience_s = number,
            "cold-start" => self.cold_start.enabled = whole(key, number, 1)? == 1,
            "cold-start-pace" => self.cold_start.pace = positive(key, number)?,
            "draining" => self.draining.enabled = whole(key, number, 1)? == 1,
            "drain-machines-at-once" if number < 1.0 => {
                return Err(EntryError::BelowOne { key: key.to_string() });
            }
            "drain-machines-at-once" => {
                self.draining.machines_at_once = whole(key, number, MAX_MACHINES_AT_ONCE)?;
            }
            _ => return Err(EntryError::UnknownKey { key: key.to_string() }),
        }
        Ok(())
    }

    /// Checks what depends on the platform's settings: the teams that budgets name exist.
    ///
    /// # Errors
    /// The first budget of a team that does not exist, with its line; `file` is named in it.
    pub fn check_against(&self, settings: &Settings, file: &Path) -> Result<(), SettingsError> {
        let exists = |team: &str| settings.deployment.teams.iter().any(|known| known.name == team);
        let is_unknown = |budget: &&BudgetLine| budget.team != ANY_TEAM && !exists(&budget.team);
        match self.draining.budget_lines.iter().find(is_unknown) {
            Some(BudgetLine { team, line }) => Err(SettingsError::Line {
                file: file.into(),
                line: *line,
                source: EntryError::UnknownTeam { team: team.clone() },
            }),
            None => Ok(()),
        }
    }
}

/// The amounts of a budget: `(tasks 2) (replica-s 60) (work-s 600) (window-s 3600)`. What is not named is 0, the
/// window an hour.
fn budget(amounts: &[Ref<'_>]) -> Result<Budget, EntryError> {
    let mut budget = Budget { tasks: 0, cost: Cost::NONE, ..Budget::NONE };
    for amount in amounts {
        let items = items(amount);
        match name_and_number(&items).ok_or(EntryError::NotANameAndNumber)? {
            ("tasks", number) => {
                let is_within =
                    number >= 0.0 && number.fract() == 0.0 && number <= f64::from(MAX_BUDGET_TASKS);
                budget.tasks = is_within.then_some(number as u32).ok_or(EntryError::BudgetTasks)?;
            }
            ("replica-s", number) => budget.cost.replica_s = number,
            ("work-s", number) => budget.cost.work_s = number,
            ("window-s", number) => budget.window_s = number,
            (name, _) => return Err(EntryError::UnknownAmount { name: name.to_string() }),
        }
    }
    Ok(budget)
}

/// The items of a list; none where it is not a list.
fn items<'a>(list: &Ref<'a>) -> Vec<Ref<'a>> {
    list.list_iter().map(|items| items.collect()).unwrap_or_default()
}

/// A symbol and a number, where the items are just these.
fn name_and_number<'a>(items: &'a [Ref<'_>]) -> Option<(&'a str, f64)> {
    match items {
        [name, number] => name.value().as_symbol().zip(number.value().as_f64()),
        _ => None,
    }
}

fn positive(key: &str, number: f64) -> Result<f64, EntryError> {
    if number > 0.0 {
        Ok(number)
    } else {
        Err(EntryError::NotPositive { key: key.to_string() })
    }
}

fn whole(key: &str, number: f64, max: u32) -> Result<u32, EntryError> {
    if number.fract() == 0.0 && number <= f64::from(max) {
        Ok(number as u32)
    } else {
        Err(EntryError::NotWhole { key: key.to_string(), max })
    }
}
