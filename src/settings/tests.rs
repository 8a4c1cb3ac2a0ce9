//! Tests of `settings`.

use super::{Operator, Settings};
use std::path::Path;

/// Settings of one node and one team.
const SETTINGS: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
    "external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
    "deployment":{"zones":["z"],"teams":[{"name":"t"}],
    "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":40.0},
    "state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":8}}}"#;

#[test]
fn refused_entries_of_the_operators_file_name_their_line() {
    let file = Path::new("op.scm");
    let good = Operator::parse("((rescale-gap-s 4)\n (reserve-services 3))", file).unwrap();
    assert_eq!((good.rescale_gap_s, good.reserve_services, good.idle_s), (4.0, 3, 25.0));
    for (text, says) in [
        ("((idle-s 4)\n (nonsense 1))", "op.scm: line 2: unknown key `nonsense`"),
        ("((idle-s -1))", "op.scm: line 1: `idle-s` must be 0 or more"),
        ("((reserve-services 1.5))", "whole number"),
        ("((idle-s", "line 1"),
        ("7", "expected a list"),
    ] {
        let error = Operator::parse(text, file).unwrap_err().to_string();
        assert!(error.contains(says), "{text}: {error}");
    }
}

#[test]
fn refused_settings_name_their_field() {
    let text = SETTINGS;
    let file = Path::new("s.json");
    assert!(Settings::parse(text, file).is_ok());
    for (from, to, says) in [
        ("\"lease_s\":10.0", "\"lease_s\":0.5", "deployment.workers.lease_s"),
        ("\"rps\":150", "\"rps\":\"x\"", "deployment.state.rps"),
        ("127.0.0.1:4", "nowhere", "external.state"),
        ("\"zones\":[\"z\"]", "\"zones\":[]", "deployment.zones"),
    ] {
        let error = Settings::parse(&text.replace(from, to), file).unwrap_err().to_string();
        assert!(error.contains(says), "{says}: {error}");
    }
}

#[test]
fn refused_budgets_of_the_operators_file_name_their_line() {
    let file = Path::new("op.scm");
    let good = "((draining 1)\n (drain-budget \"t\" (tasks 2) (replica-s 60) (work-s 600) (window-s 900))\n \
        (drain-budget \"*\" (tasks 1)))";
    let operator = Operator::parse(good, file).unwrap();
    let budget = operator.draining.budgets.of("t");
    assert_eq!((budget.tasks, budget.cost.replica_s, budget.window_s), (2, 60.0, 900.0));
    assert_eq!(operator.draining.budgets.of("another").tasks, 1);
    assert!(operator.draining.enabled && !Operator::default().draining.enabled);
    for (text, says) in [
        ("((draining 2))", "line 1: `draining` must be a whole number up to 1"),
        ("((draining 1)\n (drain-budget \"t\" (replica-s -1)))", "line 2: `replica-s` must be 0 or more"),
        (
            "((drain-budget \"t\" (tasks 1))\n (drain-budget \"t\" (tasks 1)))",
            "line 2: team `t` has a budget",
        ),
        ("((drain-budget \"t\" (window-s 5)))", "`window-s` must be 60"),
        ("((drain-budget \"t\" (tasks 1.5)))", "`tasks` must be a whole number"),
        ("((drain-budget \"t\" (minutes 1)))", "unknown name `minutes`"),
        ("((drain-budget t (tasks 1)))", "must name a team in quotes"),
        ("((drain-machines-at-once 0))", "`drain-machines-at-once` must be 1 or more"),
    ] {
        let error = Operator::parse(text, file).unwrap_err().to_string();
        assert!(error.contains(says), "{text}: {error}");
    }
    let settings =
        Settings::parse(&SETTINGS.replace("\"name\":\"t\"", "\"name\":\"u\""), Path::new("s.json")).unwrap();
    let error = operator.check_against(&settings, file).unwrap_err().to_string();
    assert!(error.contains("line 2") && error.contains("no team is called `t`"), "{error}");
}
