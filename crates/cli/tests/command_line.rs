//! Guards the command line and the keys of the configuration: the `--help` output of each command equals the recorded
//! text, and a configuration that sets every key of `deploy/fernscale.toml` is accepted.

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
    command.args(arguments).env_remove("BALANCER_CONFIG").output().expect("the command runs")
}

#[test]
fn the_help_of_each_command_equals_the_recorded_text() {
    for command in COMMANDS {
        let output = fernscale(&[command, &["--help"]].concat());
        assert!(output.status.success(), "{command:?}");
        let name = if command.is_empty() { "fernscale".into() } else { command.join("-") };
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/command_line/{name}.txt"));
        let recorded =
            std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(String::from_utf8_lossy(&output.stdout), recorded, "{command:?}");
    }
}

/// The file with every commented-out key and section enabled. A key line has a lower-case name followed by ` = `, and a
/// section line begins with a bracket. All other comments stay.
fn with_every_key(file: &str) -> String {
    let is_key = |line: &str| {
        let name = line.split(" = ").next().unwrap_or_default();
        let is_name = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-');
        is_name && name.len() < line.len()
    };
    let is_section = |line: &str| line.starts_with('[');
    let enable = |line: &str| match line.strip_prefix("# ") {
        Some(content) if is_key(content) || is_section(content) => content.to_string(),
        _ => line.to_string(),
    };
    file.lines().map(|line| enable(line) + "\n").collect()
}

#[test]
fn every_key_of_the_configuration_is_accepted() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fernscale.toml");
    let text = with_every_key(&std::fs::read_to_string(deploy).expect("the file is readable"));
    let keys: Vec<&str> =
        text.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key).collect();
    assert_eq!(keys.join(" "), include_str!("command_line/keys.txt").trim_end());
    // A clock can be ahead or behind, not both. The zones of the examples must be listed in `servers.zones`.
    for omitted_clock_key in ["clock-ahead", "clock-behind"] {
        let lines = text.lines().filter(|line| !line.starts_with(omitted_clock_key));
        let enabled: String = lines.map(|line| line.replace("\"east\"", "\"here\"") + "\n").collect();
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, &enabled).expect("written");
        let output = fernscale(&["check", &file.display().to_string()]);
        assert_eq!(String::from_utf8_lossy(&output.stderr), "", "{enabled}");
        assert!(output.status.success());
    }
}
