//! Calls to the shared counter: their number and the amounts that they carry.

mod common;

use common::*;
use fernscale_policy::*;

#[test]
fn a_rejecting_counter_is_called_less_until_it_recovers() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 8);
    let mut run_one_second = |outcome: Outcome| {
        let mut called = 0;
        for at in 0..100 {
            (0..5).for_each(|copy| drop(fixture.request(&format!("c{at}-{copy}"), 2_000 * MS)));
            fixture.advance(10 * MS);
            for (key, amount) in counter_updates(&fixture.take_actions()) {
                called += 1;
                fixture.gateway.counter_replied(&key, outcome, amount, MS);
            }
        }
        called
    };
    let before = (0..4).map(|_| run_one_second(Outcome::Ok)).last().unwrap_or(0);
    let rejecting = (0..4).map(|_| run_one_second(Outcome::Overloaded)).last().unwrap_or(before);
    assert!(
        rejecting * 2 < before,
        "{rejecting} calls a second to a counter that rejects calls, {before} before"
    );
    let recovered = (0..12).map(|_| run_one_second(Outcome::Ok)).last().unwrap_or(0);
    assert!(
        recovered > before / 2,
        "{recovered} calls a second after the counter recovered, {before} before"
    );
}

#[test]
fn counter_amounts_stay_in_range_at_any_time_of_a_window() {
    // On real clocks, gateways start at any time of a minute. The counter accepts amounts up to 1e9 and rounds
    // to thousandths.
    let plan = Plan { rate: 2.0, burst: 4.0, ..unlimited_plan() };
    for start in 0..120 {
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan.clone()), 4);
        fixture.advance(500 * MS * start);
        fixture.take_actions();
        fixture.request("c", 2_000 * MS);
        let updates = counter_updates(&fixture.take_actions());
        assert!(
            updates.len() == 1 && (0.5..=1e8).contains(&updates[0].1),
            "{updates:?} after {start} half seconds"
        );
    }
}

#[test]
fn error_replies_leave_the_call_rate_unchanged() {
    let calls = |faulty: Outcome| {
        let plan = Plan { rate: 1e3, burst: 1e3, ..unlimited_plan() };
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 2);
        let mut call_count = 0;
        for at in 0..4_000 {
            fixture.request(&format!("c{}", at % 500), 1_000 * MS);
            for (key, amount) in counter_updates(&fixture.take_actions()) {
                call_count += 1;
                let outcome = if call_count % 20 == 0 { faulty } else { Outcome::Ok };
                fixture.gateway.counter_replied(&key, outcome, amount, MS);
            }
            fixture.advance(2 * MS);
        }
        call_count
    };
    let (good, faulty, timed_out) = (calls(Outcome::Ok), calls(Outcome::Error), calls(Outcome::TimedOut));
    assert!(10 * faulty > 9 * good, "{faulty} of {good} calls");
    assert!(2 * timed_out < good, "{timed_out} of {good} calls");
}
