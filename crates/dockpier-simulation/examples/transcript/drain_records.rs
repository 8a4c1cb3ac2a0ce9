//! Records of drains as lines.

use crate::output::Line;
use dockpier::scheduler::drains::{DrainKey, DrainValue};
use dockpier_drain::budget::{Budget, Cost};
use dockpier_drain::ledger::{Bucket, Ledger, LedgerRecord};
use dockpier_drain::progress::{MachineDrainState, MachineEntry};
use dockpier_drain::status::{DrainState, Summary, Wait};

/// A record that is to be written.
pub fn line(key: &DrainKey, value: &DrainValue) -> Line {
    let line = match key {
        DrainKey::Progress(id, part) => {
            Line::new("drain-progress").with("drain", id.as_str()).with("part", part)
        }
        DrainKey::Summary(id) => Line::new("drain-summary").with("drain", id.as_str()),
        DrainKey::Ledger(team) => Line::new("drain-ledger").with("team", team),
    };
    match value {
        DrainValue::Progress(chunk) => line.list("machines", chunk.machines.iter().map(entry)),
        DrainValue::Summary(value) => summary(line, value),
        DrainValue::Ledger(record) => ledger(line, record),
    }
}

fn entry(entry: &MachineEntry) -> String {
    let none = || "none".to_string();
    let state = match &entry.state {
        MachineDrainState::Waiting => "waiting".to_string(),
        MachineDrainState::Replacing { attempt, machine } => {
            format!("replacing:{attempt}:{}", machine.clone().unwrap_or_else(none))
        }
        MachineDrainState::Cordoned { replacement } => {
            format!("cordoned:{}", replacement.clone().unwrap_or_else(none))
        }
        MachineDrainState::Returned { replacement } => {
            format!("returned:{}", replacement.clone().unwrap_or_else(none))
        }
        MachineDrainState::Gone => "gone".to_string(),
    };
    format!("{}:{state}", entry.machine)
}

fn summary(line: Line, summary: &Summary) -> Line {
    let state = match summary.state {
        DrainState::Running => "running",
        DrainState::Paused => "paused",
        DrainState::Cancelled => "cancelled",
        DrainState::Finished => "finished",
    };
    let counts = &summary.counts;
    line.with("state", state)
        .with("waiting", counts.waiting)
        .with("replacing", counts.replacing)
        .with("cordoned", counts.cordoned)
        .with("returned", counts.returned)
        .with("replaced", counts.replaced)
        .with("gone", counts.gone)
        .list("waits", summary.waits.iter().map(wait))
        .with("never", summary.never)
        .with("late", summary.late)
        .optional("estimate", summary.estimate)
        .with("updated", summary.updated)
        .with("token", summary.token)
}

fn cost(cost: &Cost) -> String {
    format!("{:?}+{:?}", cost.replica_s, cost.work_s)
}

fn wait(wait: &Wait) -> String {
    match wait {
        Wait::Budget { team, tasks, cost: takes, left } => {
            format!("budget:{team}:{tasks}:{}:{}:{}", cost(takes), left.tasks, cost(&left.cost))
        }
        Wait::NoPlace { job } => format!("no-place:{job}"),
        Wait::NoRoom { zone } => format!("no-room:{zone}"),
        Wait::ReservedPlaces { zone, needs, left } => format!("reserved-places:{zone}:{needs}:{left}"),
        Wait::NoReplacement { machine } => format!("no-replacement:{machine}"),
        Wait::ReplacementStarting { machine } => format!("replacement-starting:{machine}"),
        Wait::JobNotWhole { job } => format!("job-not-whole:{job}"),
        Wait::TaskStarting { job } => format!("task-starting:{job}"),
        Wait::GangUnreachable { job } => format!("gang-unreachable:{job}"),
        Wait::Finishing { tasks } => format!("finishing:{tasks}"),
        Wait::Stopping { job } => format!("stopping:{job}"),
        Wait::Reconciling => "reconciling".to_string(),
        Wait::ZoneUnreachable { zone } => format!("zone-unreachable:{zone}"),
        Wait::Unwritten => "unwritten".to_string(),
        Wait::StepFull => "step-full".to_string(),
        Wait::Paused => "paused".to_string(),
    }
}

fn ledger(line: Line, record: &LedgerRecord) -> Line {
    line.with("as_of", record.as_of)
        .with("open", record.open)
        .list("buckets", record.buckets.iter().map(|one| bucket(record.as_of, one)))
}

/// A bucket's amounts, read through a ledger that holds only it; its times can't be read from outside.
fn bucket(as_of: u64, bucket: &Bucket) -> String {
    let alone = LedgerRecord { as_of, buckets: vec![*bucket], open: 0 };
    let day = Budget { window_s: 86_400.0, ..Budget::NONE };
    let totals = Ledger::restore(&alone).totals(as_of, &day);
    [totals.planned, totals.observed, totals.unplanned, totals.reserved].map(|amount| cost(&amount)).join(":")
}
