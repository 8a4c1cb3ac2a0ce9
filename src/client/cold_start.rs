//! `dockpier cold-start`: shows the report of the last cold start.

use super::options::ClientOptions;
use super::{finish, ClientError};
use crate::scheduler::cold_start::{ColdStartReport, Phase};
use clap::Args;
use reqwest::Method;
use std::fmt::{self, Write};
use std::process::ExitCode;

/// The options of `dockpier cold-start`.
#[derive(Debug, Args)]
pub struct ColdStartCommand {
    #[command(flatten)]
    client: ClientOptions,
}

/// Prints the report.
pub fn run(command: ColdStartCommand) -> ExitCode {
    finish(show(command))
}

async fn show(command: ColdStartCommand) -> Result<String, ClientError> {
    let report: ColdStartReport = command.client.connect()?.ask(Method::GET, "/cold-start", None).await?;
    command.client.print(&report, render)
}

fn render(report: &ColdStartReport) -> String {
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &ColdStartReport) -> fmt::Result {
    let (machines, verdicts) = (&report.machines, &report.verdicts);
    let (heard, gone, unheard) = (machines.heard, machines.gone, machines.unheard);
    writeln!(text, "phase     {} (token {})", phase(report.phase), report.token)?;
    writeln!(text, "machines  {heard} heard, {gone} gone, {unheard} unheard {}", report.unheard.join(" "))?;
    writeln!(
        text,
        "tasks     {} running, {} finished and unrecorded, {} missing, {} can't be known yet",
        verdicts.running, verdicts.finished_unrecorded, verdicts.missing, verdicts.cannot_know_yet
    )?;
    writeln!(
        text,
        "          {} twice, {} finished already, {} of unknown jobs {}",
        verdicts.twice,
        verdicts.already_finished,
        verdicts.unknown_job,
        report.unknown_tasks.join(" ")
    )?;
    writeln!(text, "orders    {}, {} missing tasks without one", report.orders, report.not_ordered)?;
    if !report.waits_for.is_empty() {
        writeln!(text, "waits for {}", report.waits_for)?;
    }
    let (reconciled, ended) = (after(report.reconciled_after_ms), after(report.ended_after_ms));
    writeln!(text, "reconciled {reconciled}, ended {ended}")
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Reconciling => "reconciling",
        Phase::Restarting => "restarting what is missing",
        Phase::Ended => "ended",
    }
}

/// A time since the takeover, in milliseconds, as text.
fn after(milliseconds: Option<u64>) -> String {
    milliseconds.map_or("not yet".to_string(), |ms| format!("after {:.1} s", ms as f64 / 1e3))
}
