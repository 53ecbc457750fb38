//! Runs the adapter on literal batches.

mod common;

use common::{replies, run};

const START: &str = "born who=gateway-0 prng=7 balancers=1 me=0 discovery=pushed lanes.count=1 \
    lanes.0.effect=read_like lanes.0.onTimeMs=750.0 lanes.0.value=2.0 tiersOfService.count=1 \
    tiersOfService.0.unitsPerS=5.0 tiersOfService.0.burst=5.0 tiersOfService.0.excessCost=1.0 \
    ceilings.sendCap=3 rules.coldFrom=0.2 rules.warmUpMs=9000.0 future.setting=x";
const LIST: &str = "directory list=0 membersList=1\n\
    row server=10.0.0.1:80 regionPart=0 hw=0 cluster=0 condition=in_service rating=1\n\
    membership who=gateway-0 form=C revision=1 list=0";
const REQUEST: &str =
    "ask who=gateway-0 tid=a fromNo=0 weight=1 service=0 contract=0 caller=u:1 doors=1 ttlMs=900.5";

fn batch(number: u32, time_ms: f64, events: &[&str]) -> String {
    let events: String = events.iter().map(|event| format!("{event}\n")).collect();
    format!("begin_batch atTimeMs={time_ms} turn={number}\n{events}your_turn\n\n")
}

#[test]
fn empty_batches_are_answered_and_the_end_of_input_ends_the_process() {
    assert_eq!(replies(&(batch(1, 5.0, &[]) + &batch(2, 6.5, &[]))), "done turn=1\ndone turn=2\n");
}

#[test]
fn a_request_is_forwarded_and_a_late_disconnect_does_not_answer_it_again() {
    let returned = "returned who=gateway-0 tid=a go=0 server=10.0.0.1:80 delaySeenMs=20 rc=S doneFlag=1";
    let dropped = "dropped who=gateway-0 tid=a";
    let out =
        replies(&(batch(1, 1000.0, &[START, LIST, REQUEST]) + &batch(2, 1020.25, &[returned, dropped])));
    assert!(out.contains("issue who=gateway-0 tid=a limitMs=890.500 server=10.0.0.1:80\n"), "{out}");
    assert!(!out.contains("decline") && !out.contains("fail"), "{out}");
}

#[test]
fn a_restart_within_a_batch_resets_the_state_and_lists_resolve_in_order() {
    let other = LIST.replace("10.0.0.1", "10.0.0.2");
    let other_request = REQUEST.replace("tid=a", "tid=b");
    let out = replies(&batch(
        1,
        1000.0,
        &[START, LIST, REQUEST, "stop who=gateway-0", START, &other, &other_request],
    ));
    assert!(out.contains("tid=a limitMs=890.500 server=10.0.0.1:80\n"), "{out}");
    assert!(out.contains("tid=b limitMs=890.500 server=10.0.0.2:80\n"), "{out}");
}

#[test]
fn an_invalid_line_is_reported_and_ends_the_process() {
    let invalid_lines = [
        "ask who=gateway-0 tid=a weight=many service=0 ttlMs=5",
        "returned who=gateway-0 tid=a go=0 server=s rc=Q",
        "reminder who=gateway-9 ctx=look",
        "unheard who=gateway-0",
        "nonsense here",
    ];
    for line in invalid_lines {
        let output = run(&batch(1, 1.0, &[START, LIST, line]));
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(line), "{line}");
    }
}
