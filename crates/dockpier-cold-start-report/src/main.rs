//! Measures cold starts: every controller is lost with all workers running, for less and for more than their lease. The
//! scheduler is the real one, in virtual time; everything else is simulated. The figures are kept in a Parquet file, from
//! which the table is made.

mod measure;
mod table;

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Measures cold starts in virtual time")]
struct Arguments {
    /// Machines of the fleets
    #[arg(long, value_delimiter = ',', default_value = "50,500,4000")]
    machines: Vec<usize>,
    /// Where the figures are kept
    #[arg(long, default_value = "target/cold-start.parquet")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut runs = Vec::new();
    for machines in &arguments.machines {
        for away_s in [measure::SHORT_OUTAGE_S, measure::LONG_OUTAGE_S] {
            for enabled in [false, true] {
                runs.push(measure::cold_start(*machines, away_s, enabled));
            }
        }
    }
    let printed = table::write(&arguments.out, &runs).and_then(|()| table::read(&arguments.out));
    match printed {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", arguments.out.display());
            ExitCode::FAILURE
        }
    }
}
