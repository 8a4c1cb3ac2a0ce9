//! The operators' own settings (S-expressions), checked: every mistake is refused with its line.

use crate::settings::{read, Settings, SettingsError};
use dockpier_drain::budget::{Budget, Budgets, Cost};
use lexpr::datum::Ref;
use std::path::Path;

/// What the operators set themselves; each key has a default. Seconds, tasks or shares as named.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Least time between two changes of a job's width.
    pub rescale_gap_s: f64,
    /// Waiting time that lifts a job by one priority class.
    pub aging_s: f64,
    /// For how many critical services, each as wide as the widest there is, room is kept free.
    pub reserve_services: u32,
    /// An ordinary machine without tasks is returned after this.
    pub idle_s: f64,
    /// The same for a spot machine.
    pub idle_spot_s: f64,
    /// Work that may use spot machines has ordinary ones rented for it only after waiting this long
    /// while every spot offer is refused: an ordinary machine costs several times as much.
    pub spot_patience_s: f64,
    /// Planned draining of machines.
    pub draining: Draining,
    /// Cold start after every controller was lost.
    pub cold_start: ColdStartSettings,
}

/// Cold start: off unless the operators' file turns it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartSettings {
    /// Whether unknown tasks are kept until the store was asked, missing ones ordered at a pace, and a report written.
    pub enabled: bool,
    /// Inherited tasks ordered in a second.
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
    /// Whether drains are taken and carried out.
    pub enabled: bool,
    /// Machines under way at the same time, of all drains together.
    pub machines_at_once: u32,
    /// What each team has agreed to.
    pub budgets: Budgets,
    /// The lines on which teams are named, to tell of one that does not exist.
    named: Vec<(String, usize)>,
}

impl Draining {
    /// Turned on with these budgets.
    pub fn within(budgets: Budgets, machines_at_once: u32) -> Self {
        Draining { enabled: true, machines_at_once, budgets, named: Vec::new() }
    }
}

impl Default for Draining {
    fn default() -> Self {
        Draining { enabled: false, machines_at_once: 4, budgets: Budgets::default(), named: Vec::new() }
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

/// What is wrong with an entry; its line is added where it is known.
type EntryResult = Result<(), String>;

impl Operator {
    /// Reads and checks the operators' file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(file)?, file)
    }

    /// `((rescale-gap-s 10) (drain-budget "team" (tasks 2)))`: a list of keys, most with a number each.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let refuse = |line: usize, why: String| SettingsError::Line { file: file.into(), line, why };
        let datum = lexpr::datum::from_str(text).map_err(|e| {
            refuse(e.location().map_or(1, |l| l.line()), format!("not one S-expression: {e}"))
        })?;
        let mut operator = Operator::default();
        let entries = datum.list_iter().ok_or_else(|| refuse(1, "expected a list of (key number)".into()))?;
        for entry in entries {
            let line = entry.span().start().line();
            operator.take_entry(&entry).map_err(|why| refuse(line, why))?;
        }
        Ok(operator)
    }

    fn take_entry(&mut self, entry: &Ref<'_>) -> EntryResult {
        let parts: Vec<_> = entry.list_iter().map(|items| items.collect()).unwrap_or_default();
        match parts.as_slice() {
            [key, team, amounts @ ..] if key.value().as_symbol() == Some("drain-budget") => {
                let team = team.value().as_str().ok_or("`drain-budget` must name a team in quotes")?;
                self.draining.named.push((team.to_string(), entry.span().start().line()));
                self.draining.budgets.add(team, budget(amounts)?).map_err(|e| e.to_string())
            }
            [key, number] => {
                let (key, number) = (key.value().as_symbol(), number.value().as_f64());
                self.take_number(key.zip(number).ok_or("expected (key number)")?)
            }
            _ => Err("expected (key number)".into()),
        }
    }

    fn take_number(&mut self, (key, number): (&str, f64)) -> EntryResult {
        if !number.is_finite() || number < 0.0 {
            return Err(format!("`{key}` must be 0 or more"));
        }
        let whole = |most: f64| match number.fract() == 0.0 && number <= most {
            true => Ok(number as u32),
            false => Err(format!("`{key}` must be a whole number up to {most}")),
        };
        match key {
            "rescale-gap-s" => self.rescale_gap_s = number,
            "aging-s" if number > 0.0 => self.aging_s = number,
            "aging-s" => return Err("`aging-s` must be above 0".into()),
            "reserve-services" => self.reserve_services = whole(1_000.0)?,
            "idle-s" => self.idle_s = number,
            "idle-spot-s" => self.idle_spot_s = number,
            "spot-patience-s" => self.spot_patience_s = number,
            "cold-start" => self.cold_start.enabled = whole(1.0)? == 1,
            "cold-start-pace" if number > 0.0 => self.cold_start.pace = number,
            "cold-start-pace" => return Err("`cold-start-pace` must be above 0".into()),
            "draining" => self.draining.enabled = whole(1.0)? == 1,
            "drain-machines-at-once" if number >= 1.0 => self.draining.machines_at_once = whole(10_000.0)?,
            "drain-machines-at-once" => return Err("`drain-machines-at-once` must be 1 or more".into()),
            _ => return Err(format!("unknown key `{key}`")),
        }
        Ok(())
    }

    /// Checks what depends on the platform's settings: the teams that are named exist.
    pub fn check_against(&self, settings: &Settings, file: &Path) -> Result<(), SettingsError> {
        let known = |team: &str| settings.deployment.teams.iter().any(|t| t.name == team);
        let mut unknown = self
            .draining
            .named
            .iter()
            .filter(|(team, _)| team != dockpier_drain::budget::ANY_TEAM && !known(team));
        match unknown.next() {
            Some((team, line)) => Err(SettingsError::Line {
                file: file.into(),
                line: *line,
                why: format!("`drain-budget`: no team is called `{team}`"),
            }),
            None => Ok(()),
        }
    }
}

/// The amounts of a budget: `(tasks 2) (replica-s 60) (work-s 600) (window-s 3600)`. What is not named is 0, the
/// window an hour.
fn budget(amounts: &[Ref<'_>]) -> Result<Budget, String> {
    let mut budget = Budget { tasks: 0, cost: Cost::NONE, ..Budget::NONE };
    for amount in amounts {
        let parts: Vec<_> = amount.list_iter().map(|items| items.collect()).unwrap_or_default();
        let (key, number) = match parts.as_slice() {
            [key, number] => (key.value().as_symbol(), number.value().as_f64()),
            _ => (None, None),
        };
        match key.zip(number).ok_or("`drain-budget`: expected (name number)")? {
            ("tasks", n) if n >= 0.0 && n.fract() == 0.0 && n <= 100_000.0 => budget.tasks = n as u32,
            ("tasks", _) => return Err("`tasks` must be a whole number from 0 to 100000".into()),
            ("replica-s", n) => budget.cost.replica_s = n,
            ("work-s", n) => budget.cost.work_s = n,
            ("window-s", n) => budget.window_s = n,
            (key, _) => return Err(format!("`drain-budget`: unknown name `{key}`")),
        }
    }
    Ok(budget)
}
