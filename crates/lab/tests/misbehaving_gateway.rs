//! A ledger that can't fail proves nothing: for each rule a gateway that breaks it on purpose, and is caught.

use std::path::PathBuf;
use std::process::Command;

use fernscale_lab::live::gateway::Program;
use fernscale_lab::live::play::{play, Options};
use fernscale_lab::scenario::parse;
use serde_json::Value;

const SCENARIO: &str = r#"
name = "break"
about = "a gateway that breaks a rule"
lasts = "3s"
claims = []
[fleet]
gateways = 2
boxes = 4
cores = 1
grace = "100ms"
warm-up = "20s"
cold-share = 0.1
fall-multiple = 1
fall-window = "500ms"
[slack]
time = "100ms"
behind = "10s"
[[lanes]]
name = "lookup"
repeat = "redoable"
agreed = "300ms"
hard-stop = "600ms"
work = "1ms"
[[lanes]]
name = "pay"
repeat = "irreversible"
agreed = "300ms"
hard-stop = "600ms"
work = "1ms"
[[plans]]
name = "open"
rate = 50
burst = 50
[[plans]]
name = "capped"
rate = 5
burst = 5
ceiling = { rate = 10, burst = 10 }
[[customers]]
name = "usual"
plan = "open"
count = 4
load = 1.0
spread = 2
"#;

const CEILING: &str = r#"
[[customers]]
name = "much"
plan = "capped"
count = 1
load = 10.0
spread = 2
"#;

const REPLACED: &str = r#"
[[faults]]
at = "500ms"
boxes = { which = [0], how = "replace" }
"#;

/// Plays it with a gateway that does this, and gives how often each rule was broken.
fn broken(breaks: &str, more: &str) -> Value {
    broken_in(breaks, more, "3s")
}

fn broken_in(breaks: &str, more: &str, lasts: &str) -> Value {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_fernscale-lab"));
    let arguments = vec!["rogue".into(), breaks.into()];
    let options = Options { program: Program { path, arguments }, keep: None, history: None, live: false };
    let more = format!("{SCENARIO}{more}").replace("lasts = \"3s\"", &format!("lasts = \"{lasts}\""));
    let report = play(&parse("here", &more).expect("a scenario"), &options).expect("it is played");
    report["rules"].clone()
}

/// The rule is broken, and the others are not.
fn only(rules: &Value, rule: &str) {
    for name in ["answers", "effects", "drains", "cold", "ceilings", "left"] {
        let count = rules[name]["broken"].as_u64().expect("a count");
        assert_eq!(count > 0, name == rule, "{name}: {rules:#}");
    }
}

#[test]
fn a_transaction_without_an_answer_is_caught() {
    only(&broken("lose", ""), "answers");
}

#[test]
fn a_value_that_no_box_made_is_caught() {
    only(&broken("invent", ""), "answers");
}

#[test]
fn a_second_answer_is_caught() {
    only(&broken("answer2", ""), "answers");
}

#[test]
fn an_irreversible_transaction_sent_twice_is_caught() {
    only(&broken("twice", ""), "effects");
}

#[test]
fn a_nack_of_what_ran_is_caught() {
    only(&broken("nack-run", ""), "effects");
}

#[test]
fn a_box_that_is_sent_to_after_its_drain_is_caught() {
    only(&broken("drains", REPLACED), "drains");
}

/// A watch falls silent, a box drains, and whoever still waits on that watch sends on.
#[test]
fn a_watch_that_is_waited_on_in_silence_is_caught() {
    let silent = "[[faults]]\nat = \"500ms\"\ndiscovery = { which = [0, 1], how = \"watches\" }\n";
    let drains = "[[faults]]\nat = \"600ms\"\nboxes = { which = [0], how = \"drain\" }\n";
    only(&broken_in("watch", &format!("{silent}{drains}"), "8s"), "drains");
}

#[test]
fn what_is_sent_on_for_a_client_that_left_is_caught() {
    let leaving = "[[customers]]\nname = \"leaving\"\nplan = \"open\"\ncount = 4\nload = 1.0\nspread = 2\nleaves = 0.5\n";
    only(&broken("left", leaving), "left");
}

#[test]
fn a_cold_box_that_is_pushed_over_is_caught() {
    let surge = "[[faults]]\nat = \"1s\"\nload = { customers = \"usual\", times = 5 }\n";
    only(&broken("cold", &format!("{REPLACED}{surge}")), "cold");
}

#[test]
fn a_ceiling_that_is_passed_is_caught() {
    only(&broken("ceilings", CEILING), "ceilings");
}

/// The same gateway without a wrong of its own, where there is no ceiling to pass: nothing is made up.
#[test]
fn a_gateway_that_breaks_nothing_is_not_accused() {
    only(&broken("ceilings", ""), "none");
}

/// A load that falls behind must not flatter anybody.
#[test]
fn a_load_that_is_late_voids_the_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("late.toml");
    let late = SCENARIO.replace("behind = \"10s\"", "behind = \"1ns\"");
    std::fs::write(&file, late.replace("lasts = \"3s\"", "lasts = \"1s\"")).expect("written");
    let own = env!("CARGO_BIN_EXE_fernscale-lab");
    let mut run = Command::new(own);
    run.arg("run").arg(&file).args(["--gateway", &format!("{own} rogue ceilings")]);
    let output = run.output().expect("it runs");
    assert_eq!(output.status.code(), Some(3), "{}", String::from_utf8_lossy(&output.stdout));
}
