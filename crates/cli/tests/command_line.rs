//! Guards the command line and the names of settings: what `--help` says of each command is as it was recorded, and a
//! configuration that sets every key of `deploy/fernscale.toml` is taken.

use std::path::Path;
use std::process::{Command, Output};

const COMMANDS: [&[&str]; 19] = [
    &[],
    &["serve"],
    &["members"],
    &["jobs"],
    &["jobs", "release"],
    &["jobs", "cordon"],
    &["jobs", "uncordon"],
    &["servers"],
    &["subsets"],
    &["store"],
    &["store", "put"],
    &["store", "get"],
    &["store", "delete"],
    &["store", "dump"],
    &["store", "verify"],
    &["store", "compact"],
    &["store", "snapshot"],
    &["store", "salvage"],
    &["check"],
];

fn fernscale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    command.args(arguments).env_remove("BALANCER_CONFIG").output().expect("it runs")
}

#[test]
fn the_help_of_each_command_is_as_it_was() {
    for command in COMMANDS {
        let output = fernscale(&[command, &["--help"]].concat());
        assert!(output.status.success(), "{command:?}");
        let name = if command.is_empty() { "fernscale".into() } else { command.join("-") };
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/command_line/{name}.txt"));
        let recorded =
            std::fs::read_to_string(&path).unwrap_or_else(|why| panic!("{}: {why}", path.display()));
        assert_eq!(String::from_utf8_lossy(&output.stdout), recorded, "{command:?}");
    }
}

/// The file with every key set: those that stand behind a '#' too. A comment is no key: a key has a lower-case name and
/// ` = ` behind it, or is a section's name in brackets.
fn with_every_key(file: &str) -> String {
    let key = |line: &str| {
        let name = line.split(" = ").next().unwrap_or_default();
        let is_name = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-');
        is_name && name.len() < line.len()
    };
    let section = |line: &str| line.starts_with('[');
    let set = |line: &str| match line.strip_prefix("# ") {
        Some(behind) if key(behind) || section(behind) => behind.to_string(),
        _ => line.to_string(),
    };
    file.lines().map(|line| set(line) + "\n").collect()
}

#[test]
fn every_key_of_the_configuration_is_taken() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fernscale.toml");
    let text = with_every_key(&std::fs::read_to_string(deploy).expect("it is read"));
    let keys: Vec<&str> =
        text.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key).collect();
    assert_eq!(keys.join(" "), include_str!("command_line/keys.txt").trim_end());
    // A clock is ahead or behind, not both; the zones of the examples have to be among those of the servers.
    for other_clock in ["clock-ahead", "clock-behind"] {
        let lines = text.lines().filter(|line| !line.starts_with(other_clock));
        let taken: String = lines.map(|line| line.replace("\"east\"", "\"here\"") + "\n").collect();
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, &taken).expect("written");
        let output = fernscale(&["check", &file.display().to_string()]);
        assert_eq!(String::from_utf8_lossy(&output.stderr), "", "{taken}");
        assert!(output.status.success());
    }
}
