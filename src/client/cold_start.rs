//! `dockpier cold-start`: shows the report of the last cold start.

use super::options::ClientOptions;
use super::{finish, ClientError};
use crate::scheduler::cold_start::{ColdStartReport, Phase};
use clap::Args;
use reqwest::Method;
use std::fmt::Write;
use std::process::ExitCode;

/// What `dockpier cold-start` takes.
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
    let (machines, verdicts) = (&report.machines, &report.verdicts);
    let phase = match report.phase {
        Phase::Reconciling => "reconciling",
        Phase::Restarting => "restarting what is missing",
        Phase::Ended => "ended",
    };
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = writeln!(text, "phase     {phase} (token {})", report.token);
    let _ = writeln!(
        text,
        "machines  {} heard, {} gone, {} unheard {}",
        machines.heard,
        machines.gone,
        machines.unheard,
        report.unheard.join(" ")
    );
    let _ = writeln!(
        text,
        "tasks     {} running, {} finished and unrecorded, {} missing, {} can't be known yet",
        verdicts.running, verdicts.finished_unrecorded, verdicts.missing, verdicts.cannot_know_yet
    );
    let _ = writeln!(
        text,
        "          {} twice, {} finished already, {} of unknown jobs {}",
        verdicts.twice,
        verdicts.already_finished,
        verdicts.unknown_job,
        report.unknown_tasks.join(" ")
    );
    let _ = writeln!(text, "orders    {}, {} missing tasks without one", report.orders, report.not_ordered);
    if !report.waits_for.is_empty() {
        let _ = writeln!(text, "waits for {}", report.waits_for);
    }
    let seconds =
        |ms: Option<u64>| ms.map_or("not yet".to_string(), |ms| format!("after {:.1} s", ms as f64 / 1e3));
    let _ = writeln!(
        text,
        "reconciled {}, ended {}",
        seconds(report.reconciled_after_ms),
        seconds(report.ended_after_ms)
    );
    text
}
