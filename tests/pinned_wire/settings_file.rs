//! The platform's settings: each field as it is read, the defaults, and every refusal.

use crate::transcript::{outcome, replaced, Transcript};
use dockpier::settings::{Deployment, Settings};
use std::path::Path;

/// Settings in which every field is named.
pub const FULL: &str = r#"{
  "node_name": "berth-1",
  "site": "a",
  "public_addr": "127.0.0.1:8001",
  "peer_bind": "127.0.0.1:9001",
  "members": [
    {"node_name": "berth-3", "site": "c", "peer_addr": "10.0.0.3:9003"},
    {"node_name": "berth-0", "site": "b", "peer_addr": "[::1]:9002"}
  ],
  "external": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
  "deployment": {
    "zones": ["a", "b", "c"],
    "teams": [
      {"name": "vision", "cpus": 8.0, "cpus_max": 64.0, "gpus": 1.0, "gpus_max": 8.5},
      {"name": "text"}
    ],
    "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0, "gang_wait_s": 25.0, "gang_peer_s": 5.0},
    "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12,
      "next": {"rps": 100.0, "write_rps": 30.0, "value_kb": 4.0, "txn_ops": 6}},
    "cloud": {"rps": 3.0, "list_lag_s": 8.0},
    "resources": {"cpu": 0.25, "memory_mb": 128.0, "max_sockets": 1800}
  },
  "later": {"unknown": [1, 2]}
}"#;

/// Settings in which only the fields that must be are named.
const LEAST: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
"external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"deployment":{"zones":["z"],"teams":[{"name":"t"}],
"workers":{"report_s":1,"lease_s":10,"cancel_s":40},
"state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12},
"cloud":{"rps":2,"list_lag_s":8}}}"#;

/// Parts of the full settings and what stands in their place.
const EDITS: &[(&str, &[&str])] = &[
    (
        r#""node_name": "berth-1","#,
        &["", r#""node_name": "","#, r#""node_name": 7,"#, r#""node_name": "berth-3","#],
    ),
    (r#""site": "a","#, &["", r#""site": null,"#]),
    (r#""public_addr": "127.0.0.1:8001","#, &["", r#""public_addr": "here:1","#, r#""public_addr": 8001,"#]),
    (r#""peer_bind": "127.0.0.1:9001","#, &["", r#""peer_bind": "127.0.0.1","#]),
    (
        r#"{"node_name": "berth-3", "site": "c", "peer_addr": "10.0.0.3:9003"}"#,
        &[
            r#"{"site": "c", "peer_addr": "10.0.0.3:9003"}"#,
            r#"{"node_name": "berth-3", "site": "c"}"#,
            r#"{"node_name": "berth-3", "peer_addr": "10.0.0.3:9003"}"#,
            r#"{"node_name": "berth-3", "peer_addr": "10.0.0.3"}"#,
            r#"{"node_name": "berth-1", "peer_addr": "10.0.0.3:9003"}"#,
        ],
    ),
    (r#""external": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},"#, &[""]),
    (r#""cloud": "127.0.0.1:7001", "#, &["", r#""cloud": "cloud:80", "#]),
    (r#", "state": "127.0.0.1:7002""#, &["", r#", "state": """#]),
    (r#""zones": ["a", "b", "c"],"#, &["", r#""zones": [],"#, r#""zones": "a","#, r#""zones": [7],"#]),
    (
        r#"{"name": "text"}"#,
        &[
            r#"{"cpus": 1}"#,
            r#"{"name": ""}"#,
            r#"{"name": "vision"}"#,
            r#"{"name": "text", "cpus": "x"}"#,
            r#"{"name": "text", "cpus": null}"#,
            r#"{"name": "text", "cpus": -1}"#,
            r#"{"name": "text", "cpus_max": -1}"#,
            r#"{"name": "text", "gpus": -1}"#,
            r#"{"name": "text", "gpus_max": -0.5}"#,
            r#"{"name": "text", "cpus": 2, "cpus_max": 1}"#,
            r#"{"name": "text", "gpus": 2, "gpus_max": 1}"#,
            r#"{"name": "text", "cpus": 2, "gpus": 3}"#,
        ],
    ),
    (r#""report_s": 2.5, "#, &["", r#""report_s": 0, "#, r#""report_s": -1, "#, r#""report_s": "x", "#]),
    (r#""lease_s": 16.0, "#, &["", r#""lease_s": 2.5, "#, r#""lease_s": 0, "#, r#""lease_s": null, "#]),
    (r#""cancel_s": 40.0, "#, &["", r#""cancel_s": 0, "#, r#""cancel_s": [], "#]),
    (r#""gang_wait_s": 25.0, "#, &["", r#""gang_wait_s": 5, "#, r#""gang_wait_s": null, "#]),
    (
        r#", "gang_peer_s": 5.0"#,
        &["", r#", "gang_peer_s": 0"#, r#", "gang_peer_s": -1"#, r#", "gang_peer_s": 25"#],
    ),
    (r#""rps": 150.0, "#, &["", r#""rps": 0, "#, r#""rps": "x", "#]),
    (r#""write_rps": 40.0, "#, &["", r#""write_rps": 0, "#, r#""write_rps": -2, "#, r#""write_rps": 20, "#]),
    (r#""value_kb": 8.0, "#, &["", r#""value_kb": 1.9, "#, r#""value_kb": 2, "#, r#""value_kb": {}, "#]),
    (
        r#""txn_ops": 12,"#,
        &["", r#""txn_ops": 2,"#, r#""txn_ops": 3,"#, r#""txn_ops": 12.0,"#, r#""txn_ops": -1,"#],
    ),
    (
        r#"{"rps": 100.0, "write_rps": 30.0, "value_kb": 4.0, "txn_ops": 6}"#,
        &[
            "null",
            "{}",
            r#"{"rps": 0}"#,
            r#"{"write_rps": 0}"#,
            r#"{"value_kb": 1.9}"#,
            r#"{"txn_ops": 2}"#,
            r#"{"rps": 500, "write_rps": 500, "value_kb": 500, "txn_ops": 500}"#,
            r#"{"rps": null, "write_rps": 10, "later": 1}"#,
            r#"{"rps": "x"}"#,
        ],
    ),
    (r#""rps": 3.0, "#, &["", r#""rps": 0, "#]),
    (r#", "list_lag_s": 8.0"#, &["", r#", "list_lag_s": -1"#, r#", "list_lag_s": 0"#]),
    (r#""cpu": 0.25, "#, &["", r#""cpu": 0, "#, r#""cpu": "x", "#]),
    (r#""memory_mb": 128.0, "#, &["", r#""memory_mb": 0, "#]),
    (r#", "max_sockets": 1800"#, &["", r#", "max_sockets": 0"#, r#", "max_sockets": 1.5"#]),
    (r#""cloud": {"rps": 3.0, "list_lag_s": 8.0},"#, &[""]),
    (r#"{"cpu": 0.25, "memory_mb": 128.0, "max_sockets": 1800}"#, &["{}"]),
];

const TEXTS: &[&str] = &["", "nonsense", "{}", "{\n\"node_name\": }", r#"{"node_name":"a","#];

fn spell(settings: &Settings) -> String {
    let member =
        |member: &dockpier::settings::Member| format!("{:?} at {}", member.node_name, member.peer_addr);
    let members: Vec<String> = settings.members.iter().map(member).collect();
    let node = format!(
        "node {:?} zone {:?} public {} peers {} members [{}] names {:?}",
        settings.node_name,
        settings.zone,
        settings.public_addr,
        settings.peer_bind,
        members.join(", "),
        settings.node_names()
    );
    let external = format!("cloud {} state {}", settings.external.cloud, settings.external.state);
    format!("{node}; {external}; {}", spell_deployment(&settings.deployment))
}

fn spell_deployment(deployment: &Deployment) -> String {
    let team = |team: &dockpier::settings::Team| {
        let (name, cpus, gpus) = (&team.name, (team.cpus, team.cpus_max), (team.gpus, team.gpus_max));
        format!("{name:?} cores {:?} of {:?} gpus {:?} of {:?}", cpus.0, cpus.1, gpus.0, gpus.1)
    };
    let teams: Vec<String> = deployment.teams.iter().map(team).collect();
    let workers = &deployment.workers;
    let times = format!(
        "report {:?} lease {:?} cancel {:?} gang wait {:?} gang peer {:?}",
        workers.report_s, workers.lease_s, workers.cancel_s, workers.gang_wait_s, workers.gang_peer_s
    );
    let state = &deployment.state;
    let limits = format!(
        "state {:?} rps {:?} writes {:?} KB {} changes, next {}",
        state.rps,
        state.write_rps,
        state.value_kb,
        state.txn_ops,
        state.next.is_some()
    );
    let cloud = format!("cloud {:?} rps lag {:?}", deployment.cloud.rps, deployment.cloud.list_lag_s);
    let own = &deployment.resources;
    let own = format!("own {:?} cores {:?} MB {} sockets", own.cpu, own.memory_mb, own.max_sockets);
    format!("zones {:?}; teams [{}]; {times}; {limits}; {cloud}; {own}", deployment.zones, teams.join(", "))
}

pub fn read(text: &str) -> String {
    outcome(Settings::parse(text, Path::new("site.json")), spell)
}

#[test]
fn settings_are_read_and_refused_as_ever() {
    let mut transcript = Transcript::default();
    transcript.case("every field", read(FULL));
    transcript.case("only what must be", read(LEAST));
    for (part, others) in EDITS {
        for other in *others {
            transcript.case(format!("{part} -> {other:?}"), read(&replaced(FULL, part, other)));
        }
    }
    let no_teams = r#"[
      {"name": "vision", "cpus": 8.0, "cpus_max": 64.0, "gpus": 1.0, "gpus_max": 8.5},
      {"name": "text"}
    ]"#;
    transcript.case("no teams", read(&replaced(FULL, no_teams, "[]")));
    for text in TEXTS {
        transcript.case(format!("text {text:?}"), read(text));
    }
    let gone = Settings::load(Path::new("no-such-folder/site.json"));
    transcript.case("a file that is not there", outcome(gone, spell));
    transcript.must_equal(include_str!("../golden/settings.txt"));
}
