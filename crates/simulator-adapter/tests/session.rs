//! Guards the adapter's lines: a session of several gateways with every kind of line, and the answers recorded for it.

mod common;

const INPUT: &str = include_str!("session/input.txt");
const OUTPUT: &str = include_str!("session/output.txt");

#[test]
fn a_session_is_answered_as_it_was() {
    let answers = common::replies(INPUT);
    for (number, (answer, recorded)) in answers.lines().zip(OUTPUT.lines()).enumerate() {
        assert_eq!(answer, recorded, "line {}", number + 1);
    }
    assert_eq!(answers.len(), OUTPUT.len());
}

#[test]
fn the_session_has_every_kind_of_line() {
    let events = [
        "born",
        "stop",
        "directory",
        "row",
        "membership",
        "ask",
        "flowing",
        "returned",
        "dropped",
        "reminder",
        "probe_done",
        "mail",
        "tally_back",
    ];
    for name in events {
        assert!(INPUT.lines().any(|line| line.split(' ').next() == Some(name)), "{name}");
    }
    let actions =
        ["issue", "retract", "decline", "fail", "set_alarm", "post_amount", "keep_informed", "done"];
    for name in actions {
        assert!(OUTPUT.lines().any(|line| line.split(' ').next() == Some(name)), "{name}");
    }
}
