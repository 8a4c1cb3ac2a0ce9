//! The operators' file: each key as it is read, the defaults, and every refusal with its line.

use crate::transcript::{outcome, Transcript};
use dockpier::settings::{Operator, Settings};
use std::path::Path;

const DRAINING: &str = include_str!("../../deploy/draining.scm");
const COLD_START: &str = include_str!("../../deploy/cold-start.scm");

/// Files that are taken.
const TAKEN: &[&str] = &[
    "()",
    "((rescale-gap-s 4) (aging-s 60.5) (reserve-services 3) (idle-s 5) (idle-spot-s 6) (spot-patience-s 7))",
    "((cold-start 1) (cold-start-pace 50.5))",
    "((cold-start 0))",
    "((draining 1) (drain-machines-at-once 10000))",
    "((draining 0) (drain-machines-at-once 1))",
    "((idle-s 1) (idle-s 2))",
    "((rescale-gap-s 0) (reserve-services 0) (idle-s 0) (idle-spot-s 0) (spot-patience-s 0))",
    "((reserve-services 1000))",
    "; a comment\n((idle-s 1e3))\n; another\n",
    "((drain-budget \"vision\"))",
    "((drain-budget \"vision\" (tasks 2) (replica-s 60) (work-s 600.5) (window-s 900)))",
    "((drain-budget \"*\" (tasks 100000) (window-s 60)) (drain-budget \"vision\" (tasks 0)))",
    "((drain-budget \"vision\" (tasks 1) (tasks 2)))",
];

/// Files that are refused, or were taken by mistake: what is said of them stays.
const DOUBTFUL: &[&str] = &[
    "",
    "7",
    "idle-s",
    "((idle-s",
    "((idle-s 4)))",
    "((idle-s 4)) ((idle-s 5))",
    "(idle-s 4)",
    "((idle-s))",
    "((idle-s 4 5))",
    "((4 idle-s))",
    "((idle-s \"4\"))",
    "((idle-s . 4))",
    "((\"idle-s\" 4))",
    "(7)",
    "(())",
    "((idle-s 4)\n (nonsense 1))",
    "((idle-s 4)\n\n\n (idle-spot-s -1))",
    "((rescale-gap-s -1))",
    "((aging-s 0))",
    "((aging-s -1))",
    "((reserve-services 1.5))",
    "((reserve-services 1001))",
    "((idle-s -0.5))",
    "((idle-s +inf.0))",
    "((idle-s +nan.0))",
    "((spot-patience-s -1))",
    "((cold-start 2))",
    "((cold-start 0.5))",
    "((cold-start #t))",
    "((cold-start-pace 0))",
    "((cold-start-pace -1))",
    "((draining 2))",
    "((drain-machines-at-once 0))",
    "((drain-machines-at-once 0.5))",
    "((drain-machines-at-once 1.5))",
    "((drain-machines-at-once 10001))",
    "((drain-budget))",
    "((drain-budget vision (tasks 1)))",
    "((drain-budget 7))",
    "((draining 1)\n (drain-budget \"vision\" (tasks 1.5)))",
    "((drain-budget \"vision\" (tasks -1)))",
    "((drain-budget \"vision\" (tasks 100001)))",
    "((drain-budget \"vision\" (tasks x)))",
    "((drain-budget \"vision\" tasks))",
    "((drain-budget \"vision\" (tasks)))",
    "((drain-budget \"vision\" (minutes 1)))",
    "((drain-budget \"vision\" (replica-s -1)))",
    "((drain-budget \"vision\" (work-s -1)))",
    "((drain-budget \"vision\" (work-s +inf.0)))",
    "((drain-budget \"vision\" (window-s 59)))",
    "((drain-budget \"vision\")\n (drain-budget \"vision\"))",
    "((drain-budget \"*\")\n (drain-budget \"*\"))",
];

fn spell(operator: &Operator) -> String {
    let times = format!(
        "rescale gap {:?} aging {:?} reserve {} idle {:?} idle spot {:?} spot patience {:?}",
        operator.rescale_gap_s,
        operator.aging_s,
        operator.reserve_services,
        operator.idle_s,
        operator.idle_spot_s,
        operator.spot_patience_s
    );
    let cold_start = &operator.cold_start;
    let cold_start = format!("cold start {} pace {:?}", cold_start.enabled, cold_start.pace);
    let draining = &operator.draining;
    let budget = |team: &str| {
        let budget = draining.budgets.of(team);
        let (replica_s, work_s) = (budget.cost.replica_s, budget.cost.work_s);
        let window_s = budget.window_s;
        format!("{team:?} tasks {} replica {replica_s:?} work {work_s:?} window {window_s:?}", budget.tasks)
    };
    let named: Vec<&str> = draining.budgets.teams().collect();
    let (on, at_once) = (draining.enabled, draining.machines_at_once);
    let budgets = format!("{}, {}", budget("vision"), budget("another"));
    format!("{times}; {cold_start}; draining {on} at once {at_once} named {named:?}; budgets of {budgets}")
}

fn read(text: &str) -> String {
    outcome(Operator::parse(text, Path::new("operators.scm")), spell)
}

#[test]
fn operators_files_are_read_and_refused_as_ever() {
    let mut transcript = Transcript::default();
    transcript.case("no file", spell(&Operator::default()));
    transcript.case("deploy/draining.scm", read(DRAINING));
    transcript.case("deploy/cold-start.scm", read(COLD_START));
    for text in TAKEN.iter().chain(DOUBTFUL) {
        transcript.case(format!("{text:?}"), read(text));
    }
    let gone = Operator::load(Path::new("no-such-folder/operators.scm"));
    transcript.case("a file that is not there", outcome(gone, spell));
    transcript.must_equal(include_str!("../golden/operators-file.txt"));
}

/// Settings of one node and two teams.
const SETTINGS: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"deployment":{"zones":["z"],"teams":[{"name":"vision"},{"name":"text"}],
"workers":{"report_s":1,"lease_s":10,"cancel_s":40},
"state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":8}}}"#;

#[test]
fn teams_that_do_not_exist_are_refused_with_their_line() {
    let mut transcript = Transcript::default();
    let settings = Settings::parse(SETTINGS, Path::new("site.json")).unwrap();
    let file = Path::new("operators.scm");
    for text in [
        DRAINING,
        "((drain-budget \"vision\") (drain-budget \"text\"))",
        "((drain-budget \"vision\")\n (drain-budget \"Text\"))",
        "((draining 1)\n\n (drain-budget \"\")\n (drain-budget \"nobody\"))",
    ] {
        let checked = Operator::parse(text, file).unwrap().check_against(&settings, file);
        transcript.case(format!("{text:?}"), outcome(checked, |()| "as it is".into()));
    }
    transcript.must_equal(include_str!("../golden/operators-file-teams.txt"));
}
