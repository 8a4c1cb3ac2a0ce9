//! Help, version and wrong arguments.

use crate::golden;
use crate::program::run;

fn runs(commands: &[&[&str]]) -> String {
    commands.iter().map(|arguments| run(arguments)).collect()
}

#[test]
fn help_and_version_are_as_ever() {
    let commands: [&[&str]; 14] = [
        &["--version"],
        &["--help"],
        &["-h"],
        &["help", "drain", "show"],
        &["serve", "--help"],
        &["drain", "--help"],
        &["drain", "start", "--help"],
        &["drain", "list", "--help"],
        &["drain", "show", "--help"],
        &["drain", "pause", "--help"],
        &["drain", "resume", "--help"],
        &["drain", "cancel", "--help"],
        &["drain", "budgets", "--help"],
        &["cold-start", "--help"],
    ];
    golden::check("help.txt", &runs(&commands));
}

#[test]
fn wrong_arguments_are_refused_as_ever() {
    let start = ["drain", "start", "--node", "127.0.0.1:1", "--id", "a", "--reason", "b"];
    let start_with = |more: &[&'static str]| [&start[..], more].concat();
    let kind_without_zone = start_with(&["--type", "g8"]);
    let zone_without_kind = start_with(&["--zone", "a"]);
    let all_and_machine = start_with(&["--all", "--machine", "m"]);
    let share = start_with(&["--all", "--share", "much"]);
    let commands: [&[&str]; 15] = [
        &[],
        &["launch"],
        &["--nonsense"],
        &["serve"],
        &["serve", "--config"],
        &["serve", "--config", "a", "b"],
        &["drain"],
        &["drain", "stop"],
        &["drain", "list"],
        &["drain", "show", "--node", "127.0.0.1:1"],
        &["drain", "list", "--node", "nowhere"],
        &["drain", "list", "--node", "127.0.0.1:1", "--patience", "long"],
        &["cold-start", "--json"],
        &["drain", "start", "--node", "127.0.0.1:1", "--all", "--reason", "b"],
        &["drain", "start", "--node", "127.0.0.1:1", "--all", "--id", "a"],
    ];
    let more = [&kind_without_zone[..], &zone_without_kind, &all_and_machine, &share];
    golden::check("wrong-arguments.txt", &(runs(&commands) + &runs(&more)));
}
