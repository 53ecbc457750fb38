//! Calls to the shared counter: how many there are, and which amounts they carry.

mod common;

use common::*;
use fernscale_policy::*;

#[test]
fn a_rejecting_counter_is_called_less_until_it_recovers() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 8);
    let mut second = |outcome: Outcome| {
        let mut called = 0;
        for at in 0..100 {
            (0..5).for_each(|more| drop(fixture.request(&format!("c{at}-{more}"), 2_000 * MS)));
            fixture.pass(10 * MS);
            for (name, amount) in counter_updates(&fixture.take_actions()) {
                called += 1;
                fixture.gateway.counter_replied(&name, outcome, amount, MS);
            }
        }
        called
    };
    let before = (0..4).map(|_| second(Outcome::Ok)).last().unwrap_or(0);
    let refused = (0..4).map(|_| second(Outcome::Overloaded)).last().unwrap_or(before);
    assert!(refused * 2 < before, "{refused} calls a second to a counter that refuses, {before} before");
    let back = (0..12).map(|_| second(Outcome::Ok)).last().unwrap_or(0);
    assert!(back > before / 2, "{back} calls a second once it is back, {before} before");
}

#[test]
fn counter_amounts_stay_in_range_at_any_time_of_a_window() {
    // Gateways on real clocks are born at any time of a minute; the counter takes 1e9, and rounds to thousandths.
    let plan = Plan { rate: 2.0, burst: 4.0, ..wide() };
    for start in 0..120 {
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan.clone()), 4);
        fixture.pass(500 * MS * start);
        fixture.take_actions();
        fixture.request("c", 2_000 * MS);
        let added = counter_updates(&fixture.take_actions());
        assert!(
            added.len() == 1 && (0.5..=1e8).contains(&added[0].1),
            "{added:?} after {start} half seconds"
        );
    }
}

#[test]
fn error_replies_leave_the_call_rate_unchanged() {
    let calls = |spoilt: Outcome| {
        let plan = Plan { rate: 1e3, burst: 1e3, ..wide() };
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 2);
        let mut made = 0;
        for at in 0..4_000 {
            fixture.request(&format!("c{}", at % 500), 1_000 * MS);
            for (name, amount) in counter_updates(&fixture.take_actions()) {
                made += 1;
                let outcome = if made % 20 == 0 { spoilt } else { Outcome::Ok };
                fixture.gateway.counter_replied(&name, outcome, amount, MS);
            }
            fixture.pass(2 * MS);
        }
        made
    };
    let (good, spoilt, none) = (calls(Outcome::Ok), calls(Outcome::Error), calls(Outcome::TimedOut));
    assert!(10 * spoilt > 9 * good, "{spoilt} of {good} calls");
    assert!(2 * none < good, "{none} of {good} calls");
}
