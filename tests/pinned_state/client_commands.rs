//! The operators' client: what it asks, prints and exits with, against a node with fixed answers.

use crate::canned_node::{Canned, CannedNode};
use crate::cold_start_records::report;
use crate::domain::{
    budget, full_request, ledger_record, machine_entries, named_machines, plain_request, stored_requests,
    summary, waits,
};
use crate::golden::{self, masked};
use crate::processes;
use crate::program::run;
use dockpier::drains::view::{DrainList, DrainView, TeamList, TeamView};
use dockpier::scheduler::cold_start::Phase;
use dockpier_drain::budget::Budget;
use dockpier_drain::ledger::{Allowance, Ledger, Totals};
use dockpier_drain::progress::MachineEntry;
use dockpier_drain::request::{DesiredState, DrainRequest, StoredRequest, Target};
use dockpier_drain::status::{DrainState, Summary};
use serde::Serialize;
use std::net::Ipv4Addr;

fn json(view: &impl Serialize) -> String {
    serde_json::to_string(view).unwrap()
}

fn view(request: DrainRequest, summary: Option<Summary>, machines: Vec<MachineEntry>) -> DrainView {
    let stored = StoredRequest { request, accepted: 1_764_645_000_000, desired_state: DesiredState::Run };
    DrainView::new(stored, summary, machines)
}

/// A drain with all that is ever told of one.
fn full_view() -> DrainView {
    let summary = summary(DrainState::Running, waits(), Some(1_764_648_600_000));
    view(full_request("firmware-7"), Some(summary), machine_entries())
}

/// One command, what the node was asked by it, and what came of it.
fn told(node: &CannedNode, command: &str) -> String {
    let before = node.asked().len();
    let address = node.address.to_string();
    let mut arguments: Vec<&str> = command.split_whitespace().collect();
    arguments.extend(["--node", &address]);
    let told = run(&arguments);
    let asked: String = node.asked()[before..].iter().map(|asked| format!("asked {asked}\n")).collect();
    masked(&format!("{asked}{told}"), &[(&address, "<node>")])
}

/// Each command in words and as JSON.
fn told_both_ways(answers: Vec<Canned>, commands: &[&str]) -> String {
    let node = CannedNode::start(answers);
    let both = |command: &&str| told(&node, command) + &told(&node, &format!("{command} --json"));
    commands.iter().map(both).collect()
}

#[test]
fn drains_are_shown_as_ever() {
    let paused = StoredRequest { desired_state: DesiredState::Pause, ..stored_requests().remove(1) };
    let paused = DrainView::new(paused, Some(summary(DrainState::Paused, Vec::new(), None)), Vec::new());
    let cancelled = DrainView::new(stored_requests().remove(2), None, Vec::new());
    let finished = summary(DrainState::Finished, Vec::new(), None);
    let finished =
        view(plain_request("done-1", Target::Machines(vec!["m-1".into()])), Some(finished), vec![]);
    let running = view(plain_request("new-1", named_machines()), None, Vec::new());
    let drains = vec![full_view(), paused.clone(), cancelled.clone(), finished.clone(), running.clone()];
    let answers = vec![
        Canned::new("GET /drains", 200, json(&DrainList { drains, unreadable: 2 })),
        Canned::new("GET /drains/firmware-7", 200, json(&full_view())),
        Canned::new("GET /drains/rack-4", 200, json(&paused)),
        Canned::new("GET /drains/refresh", 200, json(&cancelled)),
        Canned::new("GET /drains/done-1", 200, json(&finished)),
        Canned::new("GET /drains/new-1", 200, json(&running)),
    ];
    let mut commands = vec!["drain list"];
    commands.extend(["drain show firmware-7", "drain show rack-4", "drain show refresh"]);
    commands.extend(["drain show done-1", "drain show new-1"]);
    golden::check("client-drains.txt", &told_both_ways(answers, &commands));
}

#[test]
fn nothing_to_show_is_told_as_ever() {
    let answers = vec![
        Canned::new("GET /drains", 200, json(&DrainList { drains: Vec::new(), unreadable: 0 })),
        Canned::new("GET /drain-budgets", 200, json(&TeamList { teams: Vec::new() })),
    ];
    golden::check("client-nothing.txt", &told_both_ways(answers, &["drain list", "drain budgets"]));
}

#[test]
fn budgets_are_shown_as_ever() {
    let (record, at) = (ledger_record(), crate::domain::LEDGER_AT);
    let ledger = Ledger::restore(&record);
    let spent = TeamView {
        team: "vision".into(),
        budget: budget(),
        totals: Totals { open: 2, ..ledger.totals(at, &budget()) },
        left: ledger.allowance(at, &budget()),
        as_of: Some(at),
    };
    let nothing = TeamView {
        team: "speech".into(),
        budget: Budget::NONE,
        totals: Totals::default(),
        left: Allowance::default(),
        as_of: None,
    };
    let answers =
        vec![Canned::new("GET /drain-budgets", 200, json(&TeamList { teams: vec![spent, nothing] }))];
    golden::check("client-budgets.txt", &told_both_ways(answers, &["drain budgets"]));
}

#[test]
fn cold_starts_are_shown_as_ever() {
    let phases = [Phase::Reconciling, Phase::Restarting, Phase::Ended];
    let told = phases.map(|phase| {
        let answers = vec![Canned::new("GET /cold-start", 200, json(&report(phase)))];
        told_both_ways(answers, &["cold-start"])
    });
    golden::check("client-cold-start.txt", &told.concat());
}

#[test]
fn drains_are_changed_as_ever() {
    let answers = ["pause", "resume", "cancel"].map(|action| {
        let asked = match action {
            "pause" => "POST /drains/firmware-7/pause",
            "resume" => "POST /drains/firmware-7/resume",
            _ => "POST /drains/firmware-7/cancel",
        };
        Canned::new(asked, 200, json(&full_view()))
    });
    let commands = ["drain pause firmware-7", "drain resume firmware-7", "drain cancel firmware-7"];
    golden::check("client-changes.txt", &told_both_ways(answers.into(), &commands));
}

#[test]
fn drains_are_started_as_ever() {
    let answers = vec![
        Canned::new("POST /drains", 201, json(&view(full_request("firmware-7"), None, Vec::new()))),
        Canned::new("GET /drains/firmware-7", 200, json(&full_view())),
    ];
    let start = |more: &str| format!("drain start --id firmware-7 --reason firmware {more}");
    let commands = [
        start("--type g8 --zone a --share 0.25 --replace --deadline 2100-01-01T00:00:00Z"),
        start("--machine m-000231 --machine m-000232 --deadline 2100-01-01"),
        start("--all"),
    ];
    let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
    golden::check("client-start.txt", &told_both_ways(answers, &commands));
}

/// A refusal of each kind, and the exit code that tells of it.
#[test]
fn refusals_of_a_node_are_told_as_ever() {
    let error = |why: &str| format!("{{\"error\":\"{why}\"}}");
    let mut all = String::new();
    for (status, body) in [
        (400, error("reason: must be 1 to 500 bytes of text")),
        (422, error("target: not possible")),
        (404, error("no drain is called rack-4")),
        (409, error("rack-4 is finished")),
        (409, "no JSON".to_string()),
        (301, error("elsewhere")),
        (200, "no JSON".to_string()),
        (200, "{}".to_string()),
    ] {
        let answers = vec![
            Canned::new("GET /drains/rack-4", status, body.clone()),
            Canned::new("POST /drains/rack-4/pause", status, body.clone()),
            Canned::new("GET /cold-start", status, body.clone()),
        ];
        all += &format!("# {status} {body}\n");
        all += &told_both_ways(answers, &["drain show rack-4", "drain pause rack-4", "cold-start"]);
    }
    golden::check("client-refusals.txt", &all);
}

/// What the client refuses by itself, without asking anybody.
#[test]
fn wrong_requests_are_refused_by_the_client_as_ever() {
    let start = |more: &str| format!("drain start --id rack-4 --reason moves {more}");
    let long = format!("drain start --all --id rack-4 --reason {}", "x".repeat(501));
    let commands = [
        start(""),
        start("--machine m-1 --machine m-1"),
        start("--all --share 0"),
        start("--all --share 1.5"),
        start("--all --deadline tomorrow"),
        start("--all --deadline +soon"),
        start("--all --deadline 1960-01-01T00:00:00Z"),
        start("--all --deadline 2020-01-01T00:00:00Z"),
        "drain start --all --id Rack_4 --reason moves".to_string(),
        "drain show Rack_4".to_string(),
        "drain pause a/b".to_string(),
        long,
    ];
    let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
    golden::check("client-wrong.txt", &told_both_ways(Vec::new(), &commands));
}

/// Nodes that can't be reached, say "later", or hang up: how often they are asked is left to the clock.
#[test]
fn nodes_without_an_answer_are_told_as_ever() {
    let later = "{\"error\":\"too many requests at once\"}";
    let node = CannedNode::start(vec![
        Canned::new("GET /drains", 503, later),
        Canned::new("POST /drains/rack-4/pause", 503, later),
        Canned::new("GET /drain-budgets", 429, "no JSON"),
        Canned::hangs_up("GET /cold-start"),
        Canned::hangs_up("POST /drains/rack-4/cancel"),
    ]);
    let address = node.address.to_string();
    let commands = [
        ["drain list", "0"],
        ["drain list", "1"],
        ["drain pause rack-4", "1"],
        ["drain budgets", "1"],
        ["cold-start", "1"],
        ["drain cancel rack-4", "1"],
    ];
    // Side by side: each takes its patience.
    let told = commands.map(|[command, patience]| {
        let address = address.clone();
        std::thread::spawn(move || {
            let mut arguments: Vec<&str> = command.split(' ').collect();
            arguments.extend(["--patience", patience, "--node", &address]);
            masked(&run(&arguments), &[(&address, "<node>")])
        })
    });
    let told = told.map(|thread| thread.join().unwrap()).concat();
    golden::check("client-unanswered.txt", &(told + &told_by_nobody()));
}

/// The node is not there: its address was free a moment ago, on a loopback host that no other test uses.
fn told_by_nobody() -> String {
    let [address] = processes::free_addresses(Ipv4Addr::new(127, 0, 58, 2));
    let address = address.to_string();
    let told = run(&["drain", "pause", "rack-4", "--patience", "1", "--node", &address]);
    masked(&told, &[(&address, "<nobody>")])
}

/// A drain that is recorded while no leader takes it up.
#[test]
fn a_drain_that_is_not_taken_up_is_told_as_ever() {
    let told = ["null", "\"berth-2\""].map(|leader| {
        std::thread::spawn(move || {
            let recorded = json(&view(full_request("firmware-7"), None, Vec::new()));
            let node = CannedNode::start(vec![
                Canned::new("POST /drains", 201, recorded.clone()),
                Canned::new("GET /drains/firmware-7", 200, recorded),
                Canned::new("GET /overview", 200, format!("{{\"leader\":{leader}}}")),
            ]);
            let address = node.address.to_string();
            let start = ["drain", "start", "--id", "firmware-7", "--reason", "firmware", "--all"];
            let told = run(&[&start[..], &["--patience", "1", "--node", &address]].concat());
            masked(&told, &[(&address, "<node>")])
        })
    });
    let told = told.map(|thread| thread.join().unwrap()).concat();
    golden::check("client-not-taken-up.txt", &told);
}
