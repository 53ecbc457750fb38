//! Guards the adapter's protocol: compares its replies with the recorded replies to a session of several gateways, which
//! contains every kind of line.

mod common;

const INPUT: &str = include_str!("session/input.txt");
const OUTPUT: &str = include_str!("session/output.txt");

#[test]
fn a_recorded_session_gets_the_recorded_replies() {
    let replies = common::replies(INPUT);
    for (number, (reply, recorded)) in replies.lines().zip(OUTPUT.lines()).enumerate() {
        assert_eq!(reply, recorded, "line {}", number + 1);
    }
    assert_eq!(replies.len(), OUTPUT.len());
}

#[test]
fn the_session_contains_every_kind_of_line() {
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
