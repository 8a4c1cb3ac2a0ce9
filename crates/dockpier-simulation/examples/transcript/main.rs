//! Plays randomly drawn days through the real decision and control code and writes every effect as a line of text, so
//! that a change which is to leave decisions as they are can be held against the output from before it.
//!
//! `cargo run --release -p dockpier-simulation --example transcript -- --seeds 200 > transcript.txt`

mod day;
mod drain_records;
mod draw;
mod effects;
mod election_lines;
mod key_value_store;
mod leaseholders;
mod network;
mod output;
mod words;
mod worker;

use output::{Digest, Line, Transcript};
use std::io::Write;
use std::process::ExitCode;

/// Microseconds in a second. The days count their time in microseconds, and draw it so.
const SECOND: u64 = 1_000_000;
/// Seeds that are played at the same time; their lines come in the order of the seeds all the same.
const AT_ONCE: usize = 4;

fn main() -> ExitCode {
    let (first, seeds) = match arguments() {
        Ok(arguments) => arguments,
        Err(why) => {
            eprintln!("{why}\nusage: transcript [--seeds N] [--first K]");
            return ExitCode::from(2);
        }
    };
    match write_all(first, seeds) {
        Ok(digest) => {
            eprintln!("{}", digest.kinds());
            eprintln!("{}", digest.summary());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the transcript can't be written: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The first seed and how many.
fn arguments() -> Result<(u64, u64), String> {
    let (mut first, mut seeds) = (1, 20);
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let value = arguments.next().and_then(|value| value.parse().ok());
        let value = value.ok_or_else(|| format!("{argument} needs a whole number"))?;
        match argument.as_str() {
            "--first" => first = value,
            "--seeds" => seeds = value,
            _ => return Err(format!("unknown argument {argument}")),
        }
    }
    Ok((first, seeds))
}

fn write_all(first: u64, seeds: u64) -> std::io::Result<Digest> {
    let mut digest = Digest::new();
    let mut out = std::io::stdout().lock();
    let numbers: Vec<u64> = (first..first + seeds).collect();
    for some in numbers.chunks(AT_ONCE) {
        for transcript in play_together(some) {
            digest.take(&transcript);
            out.write_all(transcript.text.as_bytes())?;
        }
    }
    out.flush()?;
    Ok(digest)
}

fn play_together(seeds: &[u64]) -> Vec<Transcript> {
    std::thread::scope(|scope| {
        let playing: Vec<_> = seeds.iter().map(|seed| scope.spawn(|| play(*seed))).collect();
        let played = playing.into_iter().map(|one| one.join().expect("the day of a seed panicked"));
        played.collect()
    })
}

fn play(seed: u64) -> Transcript {
    let mut out = Transcript::default();
    let part = |name| Line::new("part").with("seed", seed).with("name", name);
    out.write(0, part("fleet"));
    day::play(seed, &mut out);
    out.write(0, part("lessees"));
    leaseholders::play(seed, &mut out);
    out.write(0, part("leadership"));
    network::play(seed, &mut out);
    out
}
