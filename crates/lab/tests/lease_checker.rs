//! The lease checker on histories written by hand: for each rule a violation, and cases that are almost one.

use fernscale_lab::checkers::lease::{LeaseBounds, LeaseChecker};
use fernscale_lab::history::{Checker, Event, LinkTraffic};
use fernscale_lab::{MILLISECOND, SECOND};
use serde_json::json;

fn new_checker() -> LeaseChecker {
    let jobs = vec!["bills".to_string()];
    let mut checker = LeaseChecker::new(LeaseBounds {
        gateways: 3,
        acceptors: vec![0, 1, 2],
        leases: jobs,
        lease: SECOND,
        settle_time: 2 * SECOND,
    });
    for gateway in 0..3 {
        checker.observe(0, &Event::Started { gateway });
        let fields = json!({ "run": format!("{:016x}", gateway + 10) });
        let event = "owner.starts".to_string();
        checker.observe(0, &Event::Record { gateway, event, fields, within: 0 });
    }
    checker
}

fn effect(term: u64, run: u64, taken: bool) -> Event {
    Event::Effect { job: "bills".into(), term, run, number: 0, taken }
}

fn broken(checker: &LeaseChecker) -> Vec<u64> {
    checker.rules().iter().map(|(_, broken)| broken.count).collect()
}

#[test]
fn an_effect_of_a_lower_term_after_a_higher_is_a_violation_unless_it_is_refused() {
    let mut checker = new_checker();
    checker.observe(SECOND, &effect(1, 10, true));
    checker.observe(2 * SECOND, &effect(2, 11, true));
    checker.observe(3 * SECOND, &effect(1, 10, false));
    checker.observe(3 * SECOND, &effect(2, 11, true));
    assert_eq!(broken(&checker), [0, 0]);
    checker.observe(4 * SECOND, &effect(1, 10, true));
    assert_eq!(broken(&checker), [1, 0]);
}

#[test]
fn a_term_of_two_runs_is_a_violation() {
    let mut checker = new_checker();
    checker.observe(SECOND, &effect(4, 10, true));
    checker.observe(2 * SECOND, &effect(4, 11, true));
    assert_eq!(broken(&checker), [1, 0]);
}

#[test]
fn a_lease_without_a_holder_at_the_end_is_a_violation_after_the_settle_time() {
    let mut checker = new_checker();
    checker.observe(SECOND, &effect(1, 10, true));
    checker.observe(3 * SECOND, &Event::FaultBegan { number: 0 });
    checker.observe(5 * SECOND, &Event::FaultEnded { number: 0 });
    let mut early = new_checker();
    early.observe(SECOND, &effect(1, 10, true));
    early.observe(5 * SECOND, &Event::FaultEnded { number: 0 });
    early.finish(6 * SECOND);
    assert_eq!(broken(&early), [0, 0], "the settle time after the last fault is not over");
    checker.finish(9 * SECOND);
    assert_eq!(broken(&checker), [0, 1]);
}

#[test]
fn the_time_without_a_holder_is_measured_if_a_majority_is_connected() {
    let mut checker = new_checker();
    checker.observe(SECOND, &effect(1, 10, true));
    checker.observe(SECOND + 10, &Event::Killed { gateway: 0 });
    // A late effect of the stopped holder does not end the wait.
    checker.observe(SECOND + 20, &effect(1, 10, true));
    checker.observe(SECOND + 700 * MILLISECOND, &effect(2, 11, true));
    checker.observe(2 * SECOND, &Event::ShutdownRequested { gateway: 1 });
    checker.observe(2 * SECOND + 50 * MILLISECOND, &effect(3, 12, true));
    let figures = checker.report();
    assert_eq!((&figures["after_crash"]["count"], &figures["after_term"]["count"]), (&json!(1), &json!(0)));
    let max_ms = figures["after_crash"]["most_ms"].as_f64().expect("a number");
    assert!((699.0..701.0).contains(&max_ms), "{max_ms}");

    let mut partitioned = new_checker();
    partitioned.observe(SECOND, &effect(1, 10, true));
    partitioned.observe(
        SECOND,
        &Event::TrafficBlocked { from: 1, to: 2, traffic: LinkTraffic::Datagrams, on: true },
    );
    partitioned.observe(SECOND + 10, &Event::Killed { gateway: 0 });
    partitioned.observe(9 * SECOND, &effect(2, 11, true));
    assert_eq!(partitioned.report()["after_crash"]["count"], json!(0));
}

fn lease_record(gateway: u32, run: u64, what: &str) -> Event {
    let fields = json!({ "run": format!("{run:016x}"), "job": "bills" });
    Event::Record { gateway, event: format!("owner.{what}"), fields, within: 0 }
}

/// Guards against counting two waits, each within the bound, as one that exceeds it: the next holder is killed before its first
/// effect.
#[test]
fn a_holder_that_stops_before_its_first_effect_ends_one_wait_and_begins_another() {
    let after_crash = |events: &[(u64, Event)]| {
        let mut checker = new_checker();
        checker.observe(SECOND, &effect(1, 10, true));
        checker.observe(SECOND, &Event::Killed { gateway: 0 });
        checker.observe(2 * SECOND, &Event::Started { gateway: 0 });
        events.iter().for_each(|(ms, event)| checker.observe(SECOND + ms * MILLISECOND, event));
        let figures = checker.report()["after_crash"].clone();
        (figures["count"].as_u64().expect("a number"), figures["most_ms"].as_f64().expect("a number"))
    };
    let killed = Event::Killed { gateway: 1 };
    let next_effect = effect(3, 12, true);
    let (acquired, next_killed) = (lease_record(1, 11, "owns"), killed.clone());
    assert_eq!(
        after_crash(&[(980, acquired.clone()), (1_010, next_killed.clone()), (2_100, next_effect.clone())]),
        (2, 1_090.0)
    );
    // The log is read late.
    let mut events =
        vec![(1_010, next_killed.clone()), (980, acquired.clone()), (2_100, next_effect.clone())];
    assert_eq!(after_crash(&events), (2, 1_090.0));
    // A gateway that never held the lease, has released it, or held it for long without an effect ends no wait.
    events.remove(1);
    // But acceptors may have promised the lease to a gateway that stops meanwhile: one lease time is subtracted for each.
    assert_eq!(after_crash(&events), (1, 1_100.0));
    assert_eq!(after_crash(&[(3_100, next_effect.clone())]), (1, 3_100.0));
    assert_eq!(after_crash(&[(3_100, next_effect.clone()), (3_200, next_killed.clone())]), (1, 3_100.0));
    let left = (990, lease_record(1, 11, "left"));
    assert_eq!(
        after_crash(&[
            (980, acquired.clone()),
            left,
            (1_010, next_killed.clone()),
            (2_100, next_effect.clone())
        ]),
        (1, 1_100.0)
    );
    assert_eq!(after_crash(&[(980, acquired), (1_500, next_killed), (2_600, next_effect)]), (1, 1_600.0));
}
