//! The judge of owners on histories written by hand: each rule broken, and some that nearly are.

use fernscale_lab::checkers::lease::{LeaseBounds, LeaseChecker};
use fernscale_lab::history::{Checker, Event, LinkTraffic};
use fernscale_lab::{MILLISECOND, SECOND};
use serde_json::json;

fn judge() -> LeaseChecker {
    let jobs = vec!["bills".to_string()];
    let mut judge = LeaseChecker::new(LeaseBounds {
        gateways: 3,
        acceptors: vec![0, 1, 2],
        leases: jobs,
        lease: SECOND,
        settles: 2 * SECOND,
    });
    for gateway in 0..3 {
        judge.observe(0, &Event::Started { gateway });
        let fields = json!({ "run": format!("{:016x}", gateway + 10) });
        let event = "owner.starts".to_string();
        judge.observe(0, &Event::Record { gateway, event, fields, within: 0 });
    }
    judge
}

fn effect(term: u64, run: u64, taken: bool) -> Event {
    Event::Effect { job: "bills".into(), term, run, number: 0, taken }
}

fn broken(judge: &LeaseChecker) -> Vec<u64> {
    judge.rules().iter().map(|(_, broken)| broken.count).collect()
}

#[test]
fn an_effect_of_a_lower_term_after_a_higher_breaks_the_rule_unless_it_is_refused() {
    let mut own = judge();
    own.observe(SECOND, &effect(1, 10, true));
    own.observe(2 * SECOND, &effect(2, 11, true));
    own.observe(3 * SECOND, &effect(1, 10, false));
    own.observe(3 * SECOND, &effect(2, 11, true));
    assert_eq!(broken(&own), [0, 0]);
    own.observe(4 * SECOND, &effect(1, 10, true));
    assert_eq!(broken(&own), [1, 0]);
}

#[test]
fn a_term_of_two_runs_breaks_the_rule() {
    let mut own = judge();
    own.observe(SECOND, &effect(4, 10, true));
    own.observe(2 * SECOND, &effect(4, 11, true));
    assert_eq!(broken(&own), [1, 0]);
}

#[test]
fn a_job_that_nobody_owns_in_the_end_breaks_the_rule_once_all_was_well_for_long_enough() {
    let mut own = judge();
    own.observe(SECOND, &effect(1, 10, true));
    own.observe(3 * SECOND, &Event::FaultBegan { number: 0 });
    own.observe(5 * SECOND, &Event::FaultEnded { number: 0 });
    let mut early = judge();
    early.observe(SECOND, &effect(1, 10, true));
    early.observe(5 * SECOND, &Event::FaultEnded { number: 0 });
    early.finish(6 * SECOND);
    assert_eq!(broken(&early), [0, 0], "too soon after the last fault to say");
    own.finish(9 * SECOND);
    assert_eq!(broken(&own), [0, 1]);
}

#[test]
fn what_a_job_waits_for_its_next_owner_is_measured_where_a_majority_stands() {
    let mut own = judge();
    own.observe(SECOND, &effect(1, 10, true));
    own.observe(SECOND + 10, &Event::Killed { gateway: 0 });
    // Somebody else's late effect of before does not count.
    own.observe(SECOND + 20, &effect(1, 10, true));
    own.observe(SECOND + 700 * MILLISECOND, &effect(2, 11, true));
    own.observe(2 * SECOND, &Event::ShutdownRequested { gateway: 1 });
    own.observe(2 * SECOND + 50 * MILLISECOND, &effect(3, 12, true));
    let shown = own.shown();
    assert_eq!((&shown["after_crash"]["count"], &shown["after_term"]["count"]), (&json!(1), &json!(0)));
    let most = shown["after_crash"]["most_ms"].as_f64().expect("a number");
    assert!((699.0..701.0).contains(&most), "{most}");

    let mut parted = judge();
    parted.observe(SECOND, &effect(1, 10, true));
    parted.observe(
        SECOND,
        &Event::TrafficBlocked { from: 1, to: 2, traffic: LinkTraffic::Datagrams, on: true },
    );
    parted.observe(SECOND + 10, &Event::Killed { gateway: 0 });
    parted.observe(9 * SECOND, &effect(2, 11, true));
    assert_eq!(parted.shown()["after_crash"]["count"], json!(0));
}

fn owns(gateway: u32, run: u64, what: &str) -> Event {
    let fields = json!({ "run": format!("{run:016x}"), "job": "bills" });
    Event::Record { gateway, event: format!("owner.{what}"), fields, within: 0 }
}

/// Danger: the next owner is killed before its first effect; two waits, each within the bound, pass for one that is not.
#[test]
fn an_owner_that_goes_before_its_first_effect_ends_one_wait_and_begins_another() {
    let after_crash = |told: &[(u64, Event)]| {
        let mut own = judge();
        own.observe(SECOND, &effect(1, 10, true));
        own.observe(SECOND, &Event::Killed { gateway: 0 });
        own.observe(2 * SECOND, &Event::Started { gateway: 0 });
        told.iter().for_each(|(ms, event)| own.observe(SECOND + ms * MILLISECOND, event));
        let shown = own.shown()["after_crash"].clone();
        (shown["count"].as_u64().expect("a number"), shown["most_ms"].as_f64().expect("a number"))
    };
    let killed = Event::Killed { gateway: 1 };
    let then = effect(3, 12, true);
    let (said, gone) = (owns(1, 11, "owns"), killed.clone());
    assert_eq!(
        after_crash(&[(980, said.clone()), (1_010, gone.clone()), (2_100, then.clone())]),
        (2, 1_090.0)
    );
    // Its log is read late.
    let mut own = vec![(1_010, gone.clone()), (980, said.clone()), (2_100, then.clone())];
    assert_eq!(after_crash(&own), (2, 1_090.0));
    // Whoever never owned it, has given it back, or had it for long and did nothing, ends no wait.
    own.remove(1);
    // But voters may have promised it to whoever goes meanwhile: a lease more for each, and no more than that.
    assert_eq!(after_crash(&own), (1, 1_100.0));
    assert_eq!(after_crash(&[(3_100, then.clone())]), (1, 3_100.0));
    assert_eq!(after_crash(&[(3_100, then.clone()), (3_200, gone.clone())]), (1, 3_100.0));
    let left = (990, owns(1, 11, "left"));
    assert_eq!(
        after_crash(&[(980, said.clone()), left, (1_010, gone.clone()), (2_100, then.clone())]),
        (1, 1_100.0)
    );
    assert_eq!(after_crash(&[(980, said), (1_500, gone), (2_600, then)]), (1, 1_600.0));
}
