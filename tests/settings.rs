//! The platform's settings: the limits that the state service will have, teams.

use dockpier::fleet_limits::{settings_too_small, LimitWarnings};
use dockpier::settings::Settings;
use std::path::Path;

const SETTINGS: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
    "external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},"deployment":{"zones":["z"],"teams":[{"name":"t"}],
    "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":40.0},
    "state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12NEXT},"cloud":{"rps":2,"list_lag_s":8}}}"#;

fn with_next(next: &str) -> Result<Settings, String> {
    let next = if next.is_empty() { String::new() } else { format!(",\"next\":{next}") };
    Settings::parse(&SETTINGS.replace("NEXT", &next), Path::new("s.json")).map_err(|e| e.to_string())
}

/// The change comes without notice: what was written up to the larger limit could not be written again.
#[test]
fn the_smaller_of_now_and_next_counts_and_what_is_not_named_stays() {
    let limits = |next: &str| {
        let state = with_next(next).unwrap().deployment.state;
        (state.value_kb, state.txn_ops, state.rps, state.write_rps)
    };
    assert_eq!(limits(""), (8.0, 12, 150.0, 40.0));
    assert_eq!(limits(r#"{"value_kb":2.0,"txn_ops":4,"rps":900}"#), (2.0, 4, 150.0, 40.0));
    assert_eq!(limits(r#"{"write_rps":28.0,"unknown":1}"#), (8.0, 12, 150.0, 28.0));
}

#[test]
fn nonsense_in_the_next_limits_names_the_field() {
    for (nonsense, says) in [
        (r#"{"value_kb":0}"#, "deployment.state.next.value_kb"),
        (r#"{"txn_ops":"x"}"#, "deployment.state.next.txn_ops"),
        (r#"{"txn_ops":2}"#, "deployment.state.next.txn_ops"),
        (r#"{"write_rps":-1}"#, "deployment.state.next.write_rps"),
        (r#"{"rps":0}"#, "deployment.state.next.rps"),
        ("7", "deployment.state.next"),
    ] {
        let error = with_next(nonsense).unwrap_err();
        assert!(error.contains(says), "{says}: {error}");
    }
}

fn with_teams(teams: &str) -> Result<Settings, String> {
    let text = SETTINGS.replace("NEXT", "").replace(r#"[{"name":"t"}]"#, teams);
    Settings::parse(&text, Path::new("s.json")).map_err(|e| e.to_string())
}

#[test]
fn teams_that_contradict_themselves_name_the_field() {
    for good in [
        r#"[{"name":"t","cpus":700.0,"cpus_max":2500.0},{"name":"u"}]"#,
        r#"[{"name":"t","cpus":700.0,"cpus_max":0.0,"gpus":2.0,"gpus_max":2.0}]"#,
    ] {
        assert!(with_teams(good).is_ok(), "{good}: {:?}", with_teams(good).err());
    }
    for (teams, says) in [
        (r#"[{"name":"t"},{"name":"u"},{"name":"t"}]"#, "deployment.teams.name"),
        (r#"[{"name":""}]"#, "deployment.teams.name"),
        (r#"[{"name":"t","cpus":8.0,"cpus_max":4.0}]"#, "guarantee must not be above its limit"),
        (r#"[{"name":"t","gpus":2.5,"gpus_max":2.0}]"#, "guarantee must not be above its limit"),
        (r#"[{"name":"t","cpus_max":-1.0}]"#, "deployment.teams"),
        (r#"[]"#, "deployment.teams"),
    ] {
        let error = with_teams(teams).unwrap_err();
        assert!(error.contains("deployment.teams") && error.contains(says), "{teams}: {error}");
    }
}

/// A limit that does not grow with the fleet is told once, by its field; the limits of a fleet's own size are not.
#[test]
fn settings_too_small_for_the_fleet_are_logged_once_by_their_field() {
    let mut deployment = with_next("").unwrap().deployment;
    (deployment.workers.report_s, deployment.workers.lease_s) = (2.5, 16.0);
    deployment.resources.max_sockets = 1_800;
    (deployment.resources.cpu, deployment.resources.memory_mb) = (0.12, 104.0);
    assert!(settings_too_small(670, &deployment).is_empty(), "{:?}", settings_too_small(670, &deployment));
    let fields: Vec<&str> =
        settings_too_small(6_000, &deployment).iter().map(|limit| limit.setting).collect();
    let expected = ["max_sockets", "memory_mb", "cpu"].map(|name| format!("deployment.resources.{name}"));
    assert_eq!(fields, expected);
    let mut warnings = LimitWarnings::default();
    assert_eq!(warnings.warn_of_new(670, &deployment), 0);
    assert_eq!((warnings.warn_of_new(6_000, &deployment), warnings.warn_of_new(6_000, &deployment)), (3, 0));
    (deployment.state.write_rps, deployment.cloud.rps) = (0.5, 0.5);
    assert_eq!(warnings.warn_of_new(6_000, &deployment), 2);
}
