//! Stalls of single gateways in an idle fleet: the claims of the scenario fail if a gateway blames slow servers for its own
//! stall, and hold if it does not.

use std::path::PathBuf;
use std::thread;

use fernscale_lab::live::gateway::Program;
use fernscale_lab::live::play::{play, Options};
use fernscale_lab::report;
use fernscale_lab::scenario::{parse, Scenario, Time};
use fernscale_lab::SECOND;
use serde_json::Value;

const SCENARIO: &str = include_str!("../../../scenarios/stalls.toml");

/// The first seconds of the scenario.
fn first_seconds() -> Scenario {
    let mut scenario = parse("stalls", SCENARIO).expect("a scenario");
    scenario.lasts = Time(8 * SECOND);
    scenario.slack.behind = Time(10 * SECOND);
    scenario.faults.retain(|fault| fault.at < Time(7 * SECOND));
    assert_eq!(scenario.faults.len(), 2);
    scenario
}

/// Plays the scenario with misbehaving gateways that have this fault. Returns the report.
fn played(fault: &str) -> Value {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_fernscale-lab"));
    let arguments = vec!["rogue".into(), fault.into()];
    let options = Options { program: Program { path, arguments }, keep: None, history: None, live: false };
    play(&first_seconds(), &options).expect("played")
}

/// The figures of the claims that did not hold.
fn failed_figures(report: &Value) -> Vec<&str> {
    let claims = report["claims"].as_array().expect("claims");
    let failed = claims.iter().filter(|claim| claim["held"] != true);
    failed.map(|claim| claim["figure"].as_str().expect("a figure")).collect()
}

/// Guards against a scenario that passes although a gateway rejects requests within quota after its own stall, and against one
/// that fails regardless of the gateway.
#[test]
fn a_gateway_that_rejects_after_its_own_stall_fails_only_the_claim_on_rejections() {
    // Without a fault in this scenario, the misbehaving gateway forwards everything that it reads.
    let calm = thread::spawn(|| played("ceilings"));
    let report = played("standstill");
    assert_eq!(failed_figures(&report), ["within.inside_nacked"], "{:#}", report["claims"]);
    assert_eq!(report["rules"]["broken"], 0, "{:#}", report["rules"]);
    let calm = calm.join().expect("played");
    assert!(report::holds(&calm), "{:?}", report::broken(&calm));
}
