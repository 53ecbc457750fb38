//! A soak that can't fail proves nothing: gateways with a seeded fault, and the rule that each breaks.

use std::path::PathBuf;
use std::thread;

use fernscale_lab::live::gateway::Program;
use fernscale_lab::scenario::parse;
use fernscale_lab::soak::{play_all, Plan, Summary};

const BASE: &str = r#"
name = "seeded"
about = "a gateway with a seeded fault"
lasts = "5s"
settle-in = "1s"
[storm]
faults = 3
longest = "2s"
[storm.shares]
KIND = 1
[fleet]
gateways = 3
boxes = 4
cores = 8
clients-stay = true
grace = "100ms"
[slack]
time = "100ms"
behind = "10s"
[[lanes]]
name = "lookup"
repeat = "redoable"
agreed = "300ms"
hard-stop = "600ms"
work = "40ms"
[[plans]]
name = "open"
rate = 50
burst = 50
[[customers]]
name = "usual"
plan = "open"
count = 4
load = 1.0
spread = 3
"#;

/// The rules that a gateway with this fault breaks on the day of a seed with faults of one kind.
fn broken_rules(fault: &str, kind: &str) -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let arguments = vec!["rogue".into(), fault.into()];
    let plan = Plan {
        base: parse("here", &BASE.replace("KIND", kind)).expect("a scenario"),
        seeds: 1..=1,
        folder: folder.path().into(),
        program: Program { path: PathBuf::from(env!("CARGO_BIN_EXE_fernscale-lab")), arguments },
        side_by_side: 1,
    };
    let days = play_all(&plan).expect("played");
    assert_eq!(Summary::of(&days).days, 1);
    let kept = folder.path().join("soak-1.jsonl").exists();
    assert_eq!(kept, !days[0].broken.is_empty(), "the history is kept where a rule breaks");
    let rule = |line: &String| line.split(',').next().unwrap_or_default().to_string();
    days[0].broken.iter().map(rule).collect()
}

/// Guards against a soak that passes whatever the gateway does.
#[test]
fn each_seeded_fault_is_caught_by_its_rule() {
    // Without a fault of its own the misbehaving gateway drops at SIGTERM what it has read.
    let cases = [
        ("ceilings", "restart", "answers"),
        ("answer2", "drain", "answers"),
        ("drains", "drain", "drains"),
        ("overlap", "drain", "effects"),
    ];
    let plays = cases.map(|case| (case, thread::spawn(move || broken_rules(case.0, case.1))));
    for ((fault, kind, rule), play) in plays {
        let broken = play.join().expect("played");
        assert!(broken.iter().any(|own| own == rule), "{fault} on a day of {kind}: {broken:?}");
    }
}

/// The misbehaving gateway without a seeded fault, on a day that asks nothing of it.
#[test]
fn a_day_on_which_nothing_breaks_is_kept() {
    assert_eq!(broken_rules("ceilings", "ill"), Vec::<String>::new());
}
