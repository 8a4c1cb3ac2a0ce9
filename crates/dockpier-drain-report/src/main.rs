//! Measures how long draining takes against the budgets, and writes an HTML report with plots. The scheduler is the real
//! one, in virtual time; everything else is simulated. Only the planner's own time is real.

mod measure;
mod planner;
mod report;

use clap::Parser;
use measure::Way;
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

/// Fleets beyond this are replaced in two ways only: one machine after the other takes hours of virtual time, and every
/// way takes minutes of real time.
const MAX_MACHINES_OF_ALL_WAYS: usize = 500;

fn ways(machines: usize) -> Vec<Way> {
    if machines > MAX_MACHINES_OF_ALL_WAYS {
        Way::OF_LARGE_FLEETS.to_vec()
    } else {
        Way::all().to_vec()
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut runs = Vec::new();
    for machines in &arguments.machines {
        for way in ways(*machines) {
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
