//! The command line and the configuration files: what is accepted, what is rejected, and how problems are reported.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

const GOOD: &str = r#"
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
    command.args(arguments).env_remove("BALANCER_CONFIG").output().expect("it runs")
}

fn errors(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stderr).lines().map(String::from).collect()
}

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let file = folder.join(name);
    std::fs::write(&file, text).expect("written");
    file
}

/// The problems that `check` reports of a text, each from its position on.
fn problems(text: &str) -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = write_file(folder.path(), "fernscale.toml", text);
    let output = fernscale(&["check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(i32::from(!output.stderr.is_empty())));
    let place = |line: &String| line.split_once("': ").expect("a place").1.to_string();
    errors(&output).iter().map(place).collect()
}

#[test]
fn a_valid_file_is_accepted() {
    assert_eq!(problems(GOOD), Vec::<String>::new());
}

#[test]
fn every_problem_is_reported_with_its_position() {
    let text = GOOD.replace("listen", "lisen").replace("400ms", "400").replace("burst = 10", "burst = -1");
    let told = problems(&text);
    let begins = [
        "line 2, column 1: 'gateway.listen' is missing",
        "line 4, column 1: 'gateway.lisen' is no known key; 'listen' is perhaps meant",
        "line 10, column 10: 'lane[0].agreed' is '400', which is no time",
        "line 15, column 9: 'plan[0].burst' is -1; from 0 to 1000000000 is allowed",
    ];
    assert_eq!(told.len(), begins.len(), "{told:#?}");
    for (told, begins) in told.iter().zip(begins) {
        assert!(told.starts_with(begins), "{told}");
    }
}

#[test]
fn contradicting_values_are_reported() {
    for (from, to, meant) in [
        ("hard-stop = \"1s 500ms\"", "hard-stop = \"100ms\"", "before the agreed time"),
        ("repeat = \"redoable\"", "repeat = \"labelled\"", "'lane[0].memory' is missing"),
        ("repeat = \"redoable\"", "repeat = \"redoable\"\ngroup = \"zone\"", "labelled lanes only"),
        ("listen = ", "number = 1\nlisten = ", "'gateway.number' is 1, of 1 gateways"),
        ("burst = 10", "burst = 10\nceiling = { rate = 2, burst = 1 }", "below the plan's own"),
        ("burst = 10", "", "'plan[0].burst' is missing"),
        ("name = \"team\"", "name = \"te,am\"", "can't be a name"),
        ("rate = 5", "rate = nan", "from 0 to"),
        ("[[plan]]", "[log]\nform = \"jsn\"\n[[plan]]", "'json' is perhaps meant"),
        (
            "[[plan]]",
            "[mesh]\nlisten = \"127.0.0.1:1\"\nkeys = [\"abc\"]\n[[plan]]",
            "a key is 32 hex digits",
        ),
        ("[[plan]]", "[mesh]\nlisten = \"127.0.0.1:1\"\nkeys = []\n[[plan]]", "holds no key"),
        ("[[plan]]", "[mesh]\nlisten = \"127.0.0.1:1\"\n[[plan]]", "'mesh.keys' is missing"),
        (
            "[[plan]]",
            "[mesh]\nlisten = \"127.0.0.1:1\"\nadvertise = \"0.0.0.0:1\"\n[[plan]]",
            "an address of its own",
        ),
        ("[[plan]]", "[trials]\nclock-ahead = \"1s\"\nclock-behind = \"1s\"\n[[plan]]", "not both"),
        ("[[plan]]", "[trials]\nclock-pace = 9\n[[plan]]", "from 0.5 to 2"),
        ("[[plan]]", "[subsets]\nleast = 2\n[[plan]]", "'subsets.least' is 2; from 3 to"),
        (
            "[[plan]]",
            "[subsets]\nzone = \"b\"\n[servers]\nzones = [\"a\"]\n[[plan]]",
            "not among 'servers.zones'",
        ),
        ("[[plan]]", "[subsets]\nzone = \"b\"\n[[plan]]", "none of the zones"),
        ("[[plan]]", "[signals]\n[[plan]]", "[signals] needs [mesh]"),
        (
            "[[plan]]",
            "[signals]\nzone = \"b\"\n[servers]\nzones = [\"a\"]\n[[plan]]",
            "not among 'servers.zones'",
        ),
        ("[[plan]]", "[subsets]\nleats = 9\n[[plan]]", "'least' is perhaps meant"),
        ("agreed = \"400ms\"", "agreed = \"400ms", "line 10, column"),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let told = problems(&GOOD.replace(from, to));
        assert!(told.iter().any(|told| told.contains(meant)), "{to}: {told:#?}");
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
    let none = fernscale(&[]);
    assert_eq!((none.status.code(), errors(&none).len()), (Some(1), 1));
}

#[test]
fn a_hypothetical_fleet_is_printed_and_drawn() {
    let folder = tempfile::tempdir().expect("a folder");
    let svg = folder.path().join("who-uses-whom.svg");
    let drawn = svg.display().to_string();
    let shown = fernscale(&["subsets", "--gateways", "30", "--servers", "24", "--json", "--svg", &drawn]);
    let shown: Value = serde_json::from_slice(&shown.stdout).expect("an object");
    assert!(shown["pairs"].as_u64().is_some_and(|pairs| (360..720).contains(&pairs)), "{shown}");
    assert!(shown["busiest"].as_f64().is_some_and(|busiest| busiest < 1.05), "{shown}");
    let drawn = std::fs::read_to_string(svg).expect("drawn");
    assert_eq!(drawn.matches("<title>").count() as u64, shown["pairs"].as_u64().unwrap_or(0));
    let (table, few) = (
        fernscale(&["subsets", "--gateways", "300", "--servers", "200"]),
        fernscale(&["subsets", "--gateways", "300", "--servers", "200", "--least", "2"]),
    );
    assert!(String::from_utf8_lossy(&table.stdout).contains("instead of 60000"));
    assert!(errors(&few).iter().any(|line| line.contains("3 at the least")), "{few:?}");
    let alone = fernscale(&["subsets", "--gateways", "3"]);
    assert_eq!(alone.status.code(), Some(2));
}

/// The platform's values win over those of the file, key by key; the log is JSON with stable event names.
#[test]
fn the_platform_file_wins_over_the_installation_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let own = format!("{GOOD}[log]\nform = \"json\"\n");
    let own = write_file(folder.path(), "fernscale.toml", &own);
    let over = json!({ "name": "other", "limits": { "sockets": 300 }, "seed": "12" });
    let platform = write_file(folder.path(), "platform.json", &over.to_string());
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    gateway.arg("--config").arg(&own).env("BALANCER_CONFIG", &platform).stderr(Stdio::piped());
    let mut gateway = gateway.spawn().expect("it starts");
    let line = BufReader::new(gateway.stderr.take().expect("piped")).lines().next();
    gateway.kill().expect("killed");
    gateway.wait().expect("ended");
    let record: Value = serde_json::from_str(&line.expect("a line").expect("text")).expect("an object");
    assert_eq!(record["event"], "gateway.starts");
    assert_eq!((&record["gateway"], &record["sockets"]), (&json!("other"), &json!(300)));
}

/// Settings of the platform that can't be served end the program with one line that names key and value, before it listens.
#[test]
fn unsupported_settings_are_reported_in_one_line_with_key_and_value() {
    let example = include_str!("../../../examples/config.json");
    let folder = tempfile::tempdir().expect("a folder");
    for (place, value, told) in [
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
        ("../limits/sockets", json!(10), "'limits.sockets=10' is below 64: nobody could be let in"),
    ] {
        let mut config: Value = serde_json::from_str(example).expect("json");
        let (mut at, mut last) = (&mut config["settings"], "");
        if let Some(outer) = place.strip_prefix("../") {
            (at, last) = (&mut config, outer);
        }
        for key in if last.is_empty() { place } else { last }.split('/') {
            at = match key.parse::<usize>() {
                Ok(number) => &mut at[number],
                Err(_) => &mut at[key],
            };
        }
        *at = value;
        let file = write_file(folder.path(), "config.json", &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        let output = command.env("BALANCER_CONFIG", &file).output().expect("it runs");
        assert_eq!(output.status.code(), Some(1), "{place}");
        let lines = errors(&output);
        assert!(lines.len() == 1 && lines[0].contains(told), "{place}: {lines:?}");
    }
}
