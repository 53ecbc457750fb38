//! The command line and the configuration files: what is accepted, what is rejected, and how problems are reported.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

const VALID_CONFIG: &str = r#"
[gateway]
name = "front"
listen = "127.0.0.1:0"
[discovery]
address = "127.0.0.1:1"
[[lane]]
name = "read"
repeat = "redoable"
agreed = "400ms"
hard-stop = "1s 500ms"
[[plan]]
name = "team"
rate = 5
burst = 10
"#;

fn fernscale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    command.args(arguments).env_remove("BALANCER_CONFIG").output().expect("the command runs")
}

fn errors(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stderr).lines().map(String::from).collect()
}

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let file = folder.join(name);
    std::fs::write(&file, text).expect("written");
    file
}

/// The problems that `check` reports for a configuration text, without the path of the file.
fn problems(text: &str) -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = write_file(folder.path(), "fernscale.toml", text);
    let output = fernscale(&["check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(i32::from(!output.stderr.is_empty())));
    let without_file = |line: &String| line.split_once("': ").expect("a position").1.to_string();
    errors(&output).iter().map(without_file).collect()
}

#[test]
fn a_valid_file_is_accepted() {
    assert_eq!(problems(VALID_CONFIG), Vec::<String>::new());
}

#[test]
fn every_problem_is_reported_with_its_position() {
    let text =
        VALID_CONFIG.replace("listen", "lisen").replace("400ms", "400").replace("burst = 10", "burst = -1");
    let reported = problems(&text);
    let expected = [
        "line 2, column 1: 'gateway.listen' is missing",
        "line 4, column 1: 'gateway.lisen' is not a known key; did you mean 'listen'?",
        "line 10, column 10: 'lane[0].agreed' is '400', which is not a duration",
        "line 15, column 9: 'plan[0].burst' is -1; it must be from 0 to 1000000000",
    ];
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
    for (reported, expected) in reported.iter().zip(expected) {
        assert!(reported.starts_with(expected), "{reported}");
    }
}

#[test]
fn contradicting_values_are_reported() {
    for (from, to, expected) in [
        ("hard-stop = \"1s 500ms\"", "hard-stop = \"100ms\"", "'hard-stop' is shorter than 'agreed'"),
        ("repeat = \"redoable\"", "repeat = \"labelled\"", "'lane[0].memory' is missing"),
        (
            "repeat = \"redoable\"",
            "repeat = \"redoable\"\ngroup = \"zone\"",
            "allowed for labelled lanes only",
        ),
        (
            "listen = ",
            "number = 1\nlisten = ",
            "'gateway.number' is 1; it must be below 'gateway.gateways', which is 1",
        ),
        ("burst = 10", "burst = 10\nceiling = { rate = 2, burst = 1 }", "below the plan's rate"),
        ("burst = 10", "", "'plan[0].burst' is missing"),
        ("name = \"team\"", "name = \"te,am\"", "is not a valid name"),
        ("rate = 5", "rate = nan", "from 0 to"),
        ("[[plan]]", "[log]\nform = \"jsn\"\n[[plan]]", "did you mean 'json'?"),
        (
            "[[plan]]",
            "[mesh]\nlisten = \"127.0.0.1:1\"\nkeys = [\"abc\"]\n[[plan]]",
            "a key must have 32 hex digits",
        ),
        ("[[plan]]", "[mesh]\nlisten = \"127.0.0.1:1\"\nkeys = []\n[[plan]]", "'mesh.keys' is empty"),
        ("[[plan]]", "[mesh]\nlisten = \"127.0.0.1:1\"\n[[plan]]", "'mesh.keys' is missing"),
        (
            "[[plan]]",
            "[mesh]\nlisten = \"127.0.0.1:1\"\nadvertise = \"0.0.0.0:1\"\n[[plan]]",
            "it can't be unspecified",
        ),
        ("[[plan]]", "[trials]\nclock-ahead = \"1s\"\nclock-behind = \"1s\"\n[[plan]]", "not both"),
        ("[[plan]]", "[trials]\nclock-pace = 9\n[[plan]]", "from 0.5 to 2"),
        ("[[plan]]", "[subsets]\nleast = 2\n[[plan]]", "'subsets.least' is 2; it must be from 3 to"),
        (
            "[[plan]]",
            "[subsets]\nzone = \"b\"\n[servers]\nzones = [\"a\"]\n[[plan]]",
            "not listed in 'servers.zones'",
        ),
        ("[[plan]]", "[subsets]\nzone = \"b\"\n[[plan]]", "not a configured zone"),
        ("[[plan]]", "[signals]\n[[plan]]", "[signals] needs [mesh]"),
        (
            "[[plan]]",
            "[signals]\nzone = \"b\"\n[servers]\nzones = [\"a\"]\n[[plan]]",
            "not listed in 'servers.zones'",
        ),
        ("[[plan]]", "[subsets]\nleats = 9\n[[plan]]", "did you mean 'least'?"),
        ("agreed = \"400ms\"", "agreed = \"400ms", "line 10, column"),
    ] {
        assert!(VALID_CONFIG.contains(from), "{from}");
        let reported = problems(&VALID_CONFIG.replace(from, to));
        assert!(reported.iter().any(|problem| problem.contains(expected)), "{to}: {reported:#?}");
    }
}

#[test]
fn exit_codes_are_the_documented_ones() {
    assert_eq!(fernscale(&["--version"]).status.code(), Some(0));
    assert_eq!(fernscale(&["--help"]).status.code(), Some(0));
    assert_eq!(fernscale(&["check", "/nowhere/at/all.toml"]).status.code(), Some(1));
    for wrong in [&["bogus"][..], &["check"], &["--no-such"]] {
        let output = fernscale(wrong);
        assert_eq!(output.status.code(), Some(2));
        assert_eq!(errors(&output).len(), 1, "one line, {:?}", errors(&output));
    }
    let without_config = fernscale(&[]);
    assert_eq!((without_config.status.code(), errors(&without_config).len()), (Some(1), 1));
}

#[test]
fn a_hypothetical_fleet_is_printed_and_drawn() {
    let folder = tempfile::tempdir().expect("a folder");
    let svg = folder.path().join("who-uses-whom.svg");
    let svg_path = svg.display().to_string();
    let output = fernscale(&["subsets", "--gateways", "30", "--servers", "24", "--json", "--svg", &svg_path]);
    let figures: Value = serde_json::from_slice(&output.stdout).expect("an object");
    assert!(figures["pairs"].as_u64().is_some_and(|pairs| (360..720).contains(&pairs)), "{figures}");
    assert!(figures["busiest"].as_f64().is_some_and(|busiest| busiest < 1.05), "{figures}");
    let drawing = std::fs::read_to_string(svg).expect("the drawing");
    assert_eq!(drawing.matches("<title>").count() as u64, figures["pairs"].as_u64().unwrap_or(0));
    let (table, too_small) = (
        fernscale(&["subsets", "--gateways", "300", "--servers", "200"]),
        fernscale(&["subsets", "--gateways", "300", "--servers", "200", "--least", "2"]),
    );
    assert!(String::from_utf8_lossy(&table.stdout).contains("instead of 60000"));
    assert!(errors(&too_small).iter().any(|line| line.contains("must be at least 3")), "{too_small:?}");
    let without_servers = fernscale(&["subsets", "--gateways", "3"]);
    assert_eq!(without_servers.status.code(), Some(2));
}

/// The platform's values override those of the installation's file key by key. The log is JSON with stable event names.
#[test]
fn the_platform_file_overrides_the_installation_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let installation = format!("{VALID_CONFIG}[log]\nform = \"json\"\n");
    let installation = write_file(folder.path(), "fernscale.toml", &installation);
    let overrides = json!({ "name": "other", "limits": { "sockets": 300 }, "seed": "12" });
    let platform = write_file(folder.path(), "platform.json", &overrides.to_string());
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    gateway.arg("--config").arg(&installation).env("BALANCER_CONFIG", &platform).stderr(Stdio::piped());
    let mut gateway = gateway.spawn().expect("the gateway starts");
    let line = BufReader::new(gateway.stderr.take().expect("piped")).lines().next();
    gateway.kill().expect("killed");
    gateway.wait().expect("ended");
    let record: Value = serde_json::from_str(&line.expect("a line").expect("text")).expect("an object");
    assert_eq!(record["event"], "gateway.starts");
    assert_eq!((&record["gateway"], &record["sockets"]), (&json!("other"), &json!(300)));
}

/// If the platform's settings are not supported, the program exits before it listens, with one line that names key and
/// value.
#[test]
fn unsupported_settings_are_reported_in_one_line_with_key_and_value() {
    let example = include_str!("../../../examples/config.json");
    let folder = tempfile::tempdir().expect("a folder");
    for (path, value, expected) in [
        (
            "lanes/0/effect",
            json!("once"),
            "'lanes.0.effect=once' is not one of 'read_like', 'idempotency_key' and 'non_idempotent'",
        ),
        ("lanes/1/group", json!("rack"), "'lanes.1.group=rack' is not one of 'all', 'zone' and 'cell'"),
        ("lanes/0/giveUpMs", json!(-5.0), "'lanes.0.giveUpMs=-5' is negative"),
        ("lanes/0/giveUpMs", json!(0), "'lanes.0.giveUpMs=0' rounds to 0 microseconds"),
        ("lanes/1/onTimeMs", json!(0.0001), "'lanes.1.onTimeMs=0.0001' rounds to 0 microseconds"),
        ("lanes/1/name", json!("lookup"), "'lanes.1.name=lookup' is used twice"),
        ("tiersOfService/0/unitsPerS", json!(-1), "'tiersOfService.0.unitsPerS=-1' is negative"),
        ("tiersOfService/0/maxOut", json!(1.5), "'tiersOfService.0.maxOut=1.5' is not a whole number"),
        ("tiersOfService/0/excessCost", json!(-2), "'tiersOfService.0.excessCost=-2' is negative"),
        ("discovery", json!("pull"), "'discovery=pull' is neither 'pushed' nor 'on_request'"),
        ("ceilings/sendCap", json!(0), "'ceilings.sendCap=0': at least one attempt is required"),
        ("ceilings/dialTimeoutMs", json!(0), "'ceilings.dialTimeoutMs=0' rounds to 0 microseconds"),
        ("rules/coldFrom", json!(3), "'rules.coldFrom=3' is greater than 1"),
        ("rules/warmUpMs", json!(-1), "'rules.warmUpMs=-1' is negative"),
        ("../limits/sockets", json!(10), "'limits.sockets=10' is below 64: no client could be accepted"),
    ] {
        let mut config: Value = serde_json::from_str(example).expect("json");
        let (mut target, mut root_path) = (&mut config["settings"], "");
        if let Some(outer) = path.strip_prefix("../") {
            (target, root_path) = (&mut config, outer);
        }
        for key in if root_path.is_empty() { path } else { root_path }.split('/') {
            target = match key.parse::<usize>() {
                Ok(index) => &mut target[index],
                Err(_) => &mut target[key],
            };
        }
        *target = value;
        let file = write_file(folder.path(), "config.json", &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        let output = command.env("BALANCER_CONFIG", &file).output().expect("the command runs");
        assert_eq!(output.status.code(), Some(1), "{path}");
        let lines = errors(&output);
        assert!(lines.len() == 1 && lines[0].contains(expected), "{path}: {lines:?}");
    }
}
