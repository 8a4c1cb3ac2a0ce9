//! Settings and operators' files that are missing or wrong: exit code and message.

use crate::golden::{self, masked};
use crate::program::{folder, run};
use std::path::Path;

const SETTINGS: &str = r#"{"node_name":"a","site":"z","public_addr":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
    "external":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
    "deployment":{"zones":["z"],"teams":[{"name":"t"}],
    "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":40.0},
    "state":{"rps":150,"write_rps":40,"value_kb":8,"txn_ops":12,"next":{"rps":100}},
    "cloud":{"rps":2,"list_lag_s":8}}}"#;

/// What is replaced in the settings, and by what.
const WRONG_SETTINGS: &[(&str, &str)] = &[
    (SETTINGS, ""),
    (SETTINGS, "{}"),
    (SETTINGS, "{\"node_name\":\"a\""),
    ("\"node_name\":\"a\",", ""),
    ("\"node_name\":\"a\"", "\"node_name\":\"\""),
    ("\"site\":\"z\",", ""),
    ("127.0.0.1:1", "nowhere"),
    ("127.0.0.1:2", "7"),
    ("\"external\"", "\"members\":[{\"node_name\":\"a\",\"peer_addr\":\"127.0.0.1:9\"}],\"external\""),
    ("\"external\"", "\"members\":[{\"node_name\":\"b\"}],\"external\""),
    ("127.0.0.1:3", "nowhere"),
    ("127.0.0.1:4", "nowhere"),
    ("\"deployment\":", "\"deployment\":{},\"other\":"),
    ("\"zones\":[\"z\"]", "\"zones\":[]"),
    ("[{\"name\":\"t\"}]", "[]"),
    ("{\"name\":\"t\"}", "{\"name\":\"\"}"),
    ("{\"name\":\"t\"}", "{\"name\":\"t\"},{\"name\":\"t\"}"),
    ("\"name\":\"t\"", "\"name\":\"t\",\"cpus\":-1"),
    ("\"name\":\"t\"", "\"name\":\"t\",\"gpus\":2,\"gpus_max\":1"),
    ("\"report_s\":1.0", "\"report_s\":0"),
    ("\"lease_s\":10.0", "\"lease_s\":0.5"),
    ("\"cancel_s\":40.0", "\"cancel_s\":0"),
    ("\"cancel_s\":40.0", "\"cancel_s\":40.0,\"gang_wait_s\":1"),
    ("\"cancel_s\":40.0", "\"cancel_s\":40.0,\"gang_peer_s\":0"),
    ("\"rps\":150", "\"rps\":\"x\""),
    ("\"rps\":150", "\"rps\":0"),
    ("\"value_kb\":8", "\"value_kb\":1"),
    ("\"txn_ops\":12", "\"txn_ops\":2"),
    ("{\"rps\":100}", "{\"rps\":0}"),
    ("{\"rps\":100}", "{\"write_rps\":-1}"),
    ("{\"rps\":100}", "{\"value_kb\":0}"),
    ("{\"rps\":100}", "{\"txn_ops\":2}"),
    ("{\"rps\":100}", "{\"rps\":\"x\"}"),
    ("\"cloud\":{\"rps\":2", "\"resources\":{\"cpu\":0},\"cloud\":{\"rps\":2"),
    ("\"cloud\":{\"rps\":2", "\"resources\":{\"memory_mb\":0},\"cloud\":{\"rps\":2"),
    ("\"cloud\":{\"rps\":2", "\"resources\":{\"max_sockets\":0},\"cloud\":{\"rps\":2"),
    ("\"cloud\":{\"rps\":2", "\"cloud\":{\"rps\":0"),
];

const WRONG_OPERATORS: &[&str] = &[
    "",
    "((idle-s",
    "7",
    "(idle-s 4)",
    "((idle-s 4)\n (nonsense 1))",
    "((idle-s -1))",
    "((idle-s \"4\"))",
    "((aging-s 0))",
    "((reserve-services 1.5))",
    "((reserve-services 1001))",
    "((cold-start 2))",
    "((cold-start-pace 0))",
    "((draining 2))",
    "((drain-machines-at-once 0))",
    "((drain-machines-at-once 10001))",
    "((draining 1)\n (drain-budget \"t\" (replica-s -1)))",
    "((drain-budget \"t\" (work-s -1)))",
    "((drain-budget \"t\" (window-s 5)))",
    "((drain-budget \"t\" (tasks 1.5)))",
    "((drain-budget \"t\" (minutes 1)))",
    "((drain-budget \"t\" (tasks)))",
    "((drain-budget t (tasks 1)))",
    "((drain-budget \"t\" (tasks 1))\n (drain-budget \"t\" (tasks 1)))",
    "((drain-budget \"*\" (tasks 1))\n (drain-budget \"u\" (tasks 1)))",
];

/// What is wrong, and what the program says of it; the temporary folder goes by a name.
fn told(folder: &Path, wrong: &str, arguments: &[&str]) -> String {
    let told = masked(&run(arguments), &[(folder.to_str().unwrap(), "<folder>")]);
    format!("# {wrong}\n{told}")
}

#[test]
fn wrong_settings_are_refused_as_ever() {
    let folder = folder("settings");
    let file = folder.join("settings.json");
    let path = file.to_str().unwrap();
    let missing = folder.join("missing.json");
    let mut all = told(&folder, "no such file", &["serve", "--config", missing.to_str().unwrap()]);
    all += &told(&folder, "a folder", &["serve", "--config", folder.to_str().unwrap()]);
    for (from, to) in WRONG_SETTINGS {
        assert!(SETTINGS.contains(from), "{from}");
        std::fs::write(&file, SETTINGS.replacen(from, to, 1)).unwrap();
        let from = if *from == SETTINGS { "all" } else { from };
        all += &told(&folder, &format!("{from} -> {to}"), &["serve", "--config", path]);
    }
    golden::check("wrong-settings.txt", &all);
}

#[test]
fn wrong_operators_files_are_refused_as_ever() {
    let folder = folder("operators");
    let (config, file) = (folder.join("settings.json"), folder.join("operator.scm"));
    std::fs::write(&config, SETTINGS).unwrap();
    let (config, path) = (config.to_str().unwrap(), file.to_str().unwrap());
    let missing = folder.join("missing.scm");
    let missing = ["serve", "--operator", missing.to_str().unwrap(), "--config", config];
    let mut all = told(&folder, "no such file", &missing);
    for wrong in WRONG_OPERATORS {
        std::fs::write(&file, wrong).unwrap();
        all += &told(&folder, wrong, &["serve", "--operator", path, "--config", config]);
    }
    golden::check("wrong-operators-files.txt", &all);
}
