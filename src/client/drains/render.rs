//! Drains as text for people. Its lines are part of the interface; scripts read the JSON.

use crate::drains::view::{DrainList, DrainView, TeamList};
use dockpier_drain::progress::{MachineDrainState, MachineEntry};
use dockpier_drain::request::{DrainRequest, Target};
use dockpier_drain::status::{DrainState, Summary};
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

/// Every drain in a line.
pub fn list(drains: &DrainList) -> String {
    let mut text = String::new();
    for view in &drains.drains {
        let counts = view.counts();
        let all = counts.waiting + counts.replacing + counts.cordoned + counts.returned + counts.gone;
        let done = counts.returned + counts.gone;
        let first = view.waits_for.first().map(|wait| format!("; {wait}")).unwrap_or_default();
        let id = &view.stored.request.id;
        // Writing to a string never fails.
        let _ = writeln!(text, "{id}  {}  {done} of {all} machines{first}", state(view));
    }
    if drains.unreadable > 0 {
        // Writing to a string never fails.
        let _ = writeln!(text, "{} records can't be read", drains.unreadable);
    }
    if text.is_empty() {
        text.push_str("no drains\n");
    }
    text
}

/// One drain with its summary and machines.
pub fn drain(view: &DrainView) -> String {
    let request = &view.stored.request;
    let mut lines = Lines::default();
    lines.add("drain", &request.id.to_string());
    lines.add("state", state(view));
    lines.add("machines", &target(request));
    lines.add("reason", &request.reason);
    lines.add("accepted", &time(view.stored.accepted));
    if let Some(deadline) = request.deadline {
        lines.add("deadline", &time((deadline * 1_000.0) as u64));
    }
    match &view.summary {
        None => lines.add("progress", "no leader has taken it up yet"),
        Some(summary) => progress(&mut lines, view, summary),
    }
    view.machines.iter().for_each(|entry| lines.add("", &machine(entry)));
    lines.text
}

/// Lines of a name and a value.
#[derive(Default)]
struct Lines {
    text: String,
}

impl Lines {
    fn add(&mut self, name: &str, value: &str) {
        // Writing to a string never fails.
        let _ = writeln!(self.text, "{name:<12} {value}");
    }
}

fn progress(lines: &mut Lines, view: &DrainView, summary: &Summary) {
    let counts = &summary.counts;
    lines.add(
        "progress",
        &format!(
            "{} waiting, {} being replaced, {} being emptied, {} returned ({} replaced), {} gone",
            counts.waiting, counts.replacing, counts.cordoned, counts.returned, counts.replaced, counts.gone
        ),
    );
    view.waits_for.iter().for_each(|wait| lines.add("waits for", wait));
    if summary.never {
        lines.add("", "as things stand it can never finish: that is more than a whole budget");
    }
    if summary.late {
        lines.add("", "it will not be done by its deadline");
    }
    if let Some(estimate) = summary.estimate {
        lines.add("done about", &time(estimate));
    }
    lines.add("as of", &time(summary.updated));
}

/// Each team's budget in a line.
pub fn budgets(teams: &TeamList) -> String {
    let mut text = String::new();
    for view in &teams.teams {
        let (budget, totals, left) = (&view.budget, &view.totals, &view.left);
        // Writing to a string never fails.
        let _ = writeln!(
            text,
            "{}: {} tasks at once, {:.1} replica-s and {:.1} work-s in {:.0} s; left {} tasks, {:.1} replica-s, {:.1} \
             work-s; planned {:.1} and {:.1}, observed {:.1} and {:.1}, unplanned {:.1} and {:.1}, reserved {:.1} and \
             {:.1}",
            view.team,
            budget.tasks,
            budget.cost.replica_s,
            budget.cost.work_s,
            budget.window_s,
            left.tasks,
            left.cost.replica_s,
            left.cost.work_s,
            totals.planned.replica_s,
            totals.planned.work_s,
            totals.observed.replica_s,
            totals.observed.work_s,
            totals.unplanned.replica_s,
            totals.unplanned.work_s,
            totals.reserved.replica_s,
            totals.reserved.work_s
        );
    }
    text
}

fn state(view: &DrainView) -> &'static str {
    match view.state() {
        DrainState::Running if !view.waits_for.is_empty() => "running, waits",
        DrainState::Running => "running",
        DrainState::Paused => "paused",
        DrainState::Cancelled => "cancelled",
        DrainState::Finished => "finished",
    }
}

fn target(request: &DrainRequest) -> String {
    let mut text = match &request.target {
        Target::Machines(names) if names.len() == 1 => names[0].clone(),
        Target::Machines(names) => format!("{} named ones", names.len()),
        Target::Kind { machine_type, zone } => format!("all of type {machine_type} in zone {zone}"),
        Target::All {} => "all".into(),
    };
    if let Some(share) = request.share {
        // Writing to a string never fails.
        let _ = write!(text, ", at most {:.0}% at a time", share * 100.0);
    }
    if request.replace {
        text.push_str(", each replaced first");
    }
    text
}

fn machine(entry: &MachineEntry) -> String {
    let state = match &entry.state {
        MachineDrainState::Waiting => "waiting".to_string(),
        MachineDrainState::Replacing { attempt, machine: None } => {
            format!("rents a replacement (attempt {attempt})")
        }
        MachineDrainState::Replacing { machine: Some(name), .. } => {
            format!("waits for its replacement {name}")
        }
        MachineDrainState::Cordoned { .. } => "being emptied".to_string(),
        MachineDrainState::Returned { replacement: Some(name) } => format!("returned, replaced by {name}"),
        MachineDrainState::Returned { replacement: None } => "returned".to_string(),
        MachineDrainState::Gone => "gone before it was empty".to_string(),
    };
    format!("{}: {state}", entry.machine)
}

/// A time of day, given in milliseconds since 1970.
fn time(milliseconds: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(milliseconds)).to_string()
}
