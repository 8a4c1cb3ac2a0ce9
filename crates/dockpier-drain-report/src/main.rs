//! Measures how long draining takes against the budgets, and writes an HTML report with plots. Virtual time, real
//! scheduler, stand-ins for everything else: the figures are simulated, but for the planner's own time.

mod measure;
mod planner;
mod report;

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Measures draining in virtual time and writes an HTML report")]
struct Arguments {
    /// Machines of the fleets to be replaced
    #[arg(long, value_delimiter = ',', default_value = "20,200,4000")]
    machines: Vec<usize>,
    /// The report
    #[arg(long, default_value = "target/draining.html")]
    out: PathBuf,
}

/// Fleets beyond this are emptied in two ways only.
const ALL_WAYS_MOST: usize = 500;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut runs = Vec::new();
    for machines in &arguments.machines {
        // One machine after the other takes hours of virtual time beyond a few hundred, and every way minutes.
        let ways = measure::Way::all().into_iter();
        let large = *machines > ALL_WAYS_MOST;
        let slow = |way: &measure::Way| large && !measure::Way::OF_LARGE_FLEETS.contains(way);
        for way in ways.filter(|way| !slow(way)) {
            let run = measure::replace_fleet(*machines, way);
            println!("{run}");
            runs.push(run);
        }
    }
    let solves = planner::measure();
    solves.iter().for_each(|solve| println!("{solve}"));
    match report::write(&arguments.out, &runs, &solves) {
        Ok(()) => {
            println!("{}", arguments.out.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", arguments.out.display());
            ExitCode::FAILURE
        }
    }
}
