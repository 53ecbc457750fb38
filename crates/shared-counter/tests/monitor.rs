//! Tests that the monitor detects a lost, reset, partitioned, slow or stale counter, and that it adds no amount twice.

use fernscale_shared_counter::monitor::{
    AddStep, CallOutcome, CounterHealth, CounterMonitor, CounterReply, GossipTotal,
};
use fernscale_shared_counter::{Micros, MILLISECOND, SECOND};
use quickcheck::{quickcheck, TestResult};

const LIFETIME: Micros = 60 * SECOND;
/// The default latency of a call.
const LATENCY: Micros = 500;

fn reply_with_total(
    monitor: &mut CounterMonitor,
    now: Micros,
    name: &str,
    amount: f64,
    total: f64,
) -> (AddStep, CounterReply) {
    let step = monitor.add(now, name, amount, LIFETIME, None);
    (step, monitor.call_completed(now, name, CallOutcome::Total(total), LATENCY, None))
}

#[test]
fn the_total_of_a_healthy_counter_is_passed_on_unchanged() {
    let mut monitor = CounterMonitor::new(0);
    assert_eq!(
        reply_with_total(&mut monitor, 1, "n", 2.0, 10.0),
        (AddStep::Forward(2.0), CounterReply::Total(10.0))
    );
    assert_eq!(
        reply_with_total(&mut monitor, 2, "n", 1.0, 12.5),
        (AddStep::Forward(1.0), CounterReply::Total(12.5))
    );
    assert_eq!(monitor.health(), CounterHealth::Healthy);
}

#[test]
fn a_reset_counter_is_given_what_it_lacks_once() {
    let mut monitor = CounterMonitor::new(0);
    for name in ["a", "b"] {
        reply_with_total(&mut monitor, 1, name, 10.0, 10.0);
    }
    // A single low total may be stale, so the total of another key has to confirm the reset.
    assert_eq!(
        reply_with_total(&mut monitor, SECOND, "a", 1.0, 1.0),
        (AddStep::Forward(1.0), CounterReply::Total(11.0))
    );
    assert_eq!(
        reply_with_total(&mut monitor, SECOND + 1, "b", 1.0, 1.0),
        (AddStep::Forward(1.0), CounterReply::Total(11.0))
    );
    assert_eq!(monitor.health(), CounterHealth::Reset);
    assert_eq!(
        reply_with_total(&mut monitor, SECOND + 2, "b", 1.0, 12.0),
        (AddStep::Forward(11.0), CounterReply::Total(12.0))
    );
    assert_eq!(
        reply_with_total(&mut monitor, SECOND + 3, "b", 1.0, 13.0).0,
        AddStep::Forward(1.0),
        "the missing amount is added only once"
    );
}

#[test]
fn an_amount_of_unknown_outcome_is_not_added_again() {
    let mut monitor = CounterMonitor::new(0);
    reply_with_total(&mut monitor, 1, "a", 10.0, 10.0);
    monitor.add(2, "a", 5.0, LIFETIME, None);
    assert_eq!(monitor.call_completed(3, "a", CallOutcome::Unknown, LATENCY, None), CounterReply::Unknown);
    assert_eq!(
        reply_with_total(&mut monitor, 4, "a", 1.0, 11.0),
        (AddStep::Forward(1.0), CounterReply::Total(11.0))
    );
    monitor.add(5, "a", 3.0, LIFETIME, None);
    assert_eq!(
        monitor.call_completed(6, "a", CallOutcome::NotApplied, LATENCY, None),
        CounterReply::NotApplied(3.0)
    );
    assert_eq!(
        reply_with_total(&mut monitor, 7, "a", 1.0, 12.0).0,
        AddStep::Forward(1.0),
        "the decision module itself adds the amount again"
    );
}

#[test]
fn units_that_other_gateways_take_off_are_no_reset() {
    let mut monitor = CounterMonitor::new(0);
    reply_with_total(&mut monitor, 1, "a", 10.0, 10.0);
    assert_eq!(
        reply_with_total(&mut monitor, 2, "a", 1.0, 8.0),
        (AddStep::Forward(1.0), CounterReply::Total(11.0))
    );
    assert_eq!(reply_with_total(&mut monitor, 3, "a", 1.0, 9.0).0, AddStep::Forward(1.0));
    assert_eq!(monitor.health(), CounterHealth::Healthy);
}

/// All gateways are members, and the counter rejects calls. Additions are still counted and reach the counter later.
#[test]
fn complete_gossip_substitutes_for_a_lost_counter() {
    let mut monitor = CounterMonitor::new(0);
    let gossip = |total| Some(GossipTotal { total, is_complete: true });
    let mut now = SECOND;
    for total in 1..=3 {
        // The next call includes amounts that were certainly not added.
        assert_eq!(
            monitor.add(now, "a", 1.0, LIFETIME, gossip(f64::from(total))),
            AddStep::Forward(f64::from(total))
        );
        assert_eq!(
            monitor.call_completed(now, "a", CallOutcome::NotApplied, LATENCY, gossip(f64::from(total))),
            CounterReply::Total(f64::from(total))
        );
        now += MILLISECOND;
    }
    assert_eq!(monitor.health(), CounterHealth::Lost);
    assert_eq!(monitor.add(now, "a", 1.0, LIFETIME, gossip(40.0)), AddStep::Reply(40.0));
    // The lost counter is called periodically, with all amounts that it lacks.
    now += SECOND;
    assert_eq!(monitor.add(now, "a", 1.0, LIFETIME, gossip(50.0)), AddStep::Forward(5.0));
    assert_eq!(
        monitor.call_completed(now, "a", CallOutcome::Total(5.0), LATENCY, gossip(50.0)),
        CounterReply::Total(50.0)
    );
    assert_eq!(monitor.health(), CounterHealth::Healthy);
    assert_eq!(monitor.add(now, "a", 1.0, LIFETIME, gossip(51.0)), AddStep::Forward(1.0));
}

#[test]
fn stale_totals_are_no_reset() {
    let mut monitor = CounterMonitor::new(0);
    let totals = [0.0, 0.0, 1.0, 2.0, 3.0, 4.0, 7.0];
    for (step, total) in totals.into_iter().enumerate() {
        let (call, reply) = reply_with_total(&mut monitor, step as Micros * SECOND, "a", 1.0, total);
        assert_eq!(call, AddStep::Forward(1.0), "nothing is added again");
        assert_eq!(
            reply,
            CounterReply::Total(step as f64 + 1.0),
            "the total includes all of the gateway's own additions"
        );
    }
    assert_eq!(monitor.health(), CounterHealth::Healthy);
}

#[test]
fn a_counter_is_slow_or_stale_until_its_replies_recover() {
    let mut monitor = CounterMonitor::new(0);
    let mut call = |total: f64, latency| {
        monitor.add(SECOND, "a", 1.0, LIFETIME, None);
        monitor.call_completed(SECOND, "a", CallOutcome::Total(total), latency, None);
        monitor.health()
    };
    assert_eq!(call(1.0, LATENCY), CounterHealth::Healthy);
    let slow_replies: Vec<_> = (2..8).map(|total| call(f64::from(total), 60 * MILLISECOND)).collect();
    assert_eq!(
        (slow_replies[0], slow_replies[5]),
        (CounterHealth::Healthy, CounterHealth::Slow),
        "a single slow reply is not enough"
    );
    let quick_replies: Vec<_> = (8..40).map(|total| call(f64::from(total), LATENCY)).collect();
    assert_eq!(quick_replies[31], CounterHealth::Healthy);
    let stale_replies: Vec<_> = (0..3).map(|_| call(0.5, LATENCY)).collect();
    assert_eq!(stale_replies, [CounterHealth::Healthy, CounterHealth::Healthy, CounterHealth::Stale]);
    assert_eq!(call(43.0, LATENCY), CounterHealth::Healthy);
}

#[test]
fn incomplete_gossip_does_not_substitute_for_a_lost_counter() {
    let mut monitor = CounterMonitor::new(0);
    let gossip = Some(GossipTotal { total: 9.0, is_complete: false });
    for _ in 0..9 {
        assert_eq!(monitor.add(SECOND, "a", 1.0, LIFETIME, gossip), AddStep::Forward(1.0));
        assert_eq!(
            monitor.call_completed(SECOND, "a", CallOutcome::NotApplied, LATENCY, gossip),
            CounterReply::NotApplied(1.0)
        );
    }
    assert_eq!(monitor.health(), CounterHealth::Lost);
}

#[test]
fn a_counter_that_other_gateways_do_not_use_is_partitioned_and_the_larger_total_wins() {
    let mut monitor = CounterMonitor::new(0);
    let gossip = Some(GossipTotal { total: 100.0, is_complete: true });
    for (now, health) in [
        (SECOND, CounterHealth::Healthy),
        (2 * SECOND, CounterHealth::Healthy),
        (4 * SECOND, CounterHealth::Partitioned),
    ] {
        monitor.add(now, "a", 1.0, LIFETIME, gossip);
        assert_eq!(
            monitor.call_completed(now, "a", CallOutcome::Total(now as f64 / 1e6), LATENCY, gossip),
            CounterReply::Total(100.0)
        );
        assert_eq!(monitor.health(), health, "{now}");
    }
    monitor.add(5 * SECOND, "a", 1.0, LIFETIME, gossip);
    monitor.call_completed(5 * SECOND, "a", CallOutcome::Total(101.0), LATENCY, gossip);
    assert_eq!(monitor.health(), CounterHealth::Healthy, "the partition has healed");
}

#[test]
fn an_expired_key_starts_from_zero() {
    let mut monitor = CounterMonitor::new(0);
    reply_with_total(&mut monitor, 0, "a", 10.0, 10.0);
    assert_eq!(
        reply_with_total(&mut monitor, LIFETIME + 1, "a", 1.0, 1.0),
        (AddStep::Forward(1.0), CounterReply::Total(1.0))
    );
    assert_eq!((monitor.len(), monitor.health()), (1, CounterHealth::Healthy));
}

/// Resets the counter at random times, under random calls of which some are lost. The counter must never contain more than the
/// amounts that were reported to the decision module as added. It must not contain less either after a large loss that is
/// followed by successful calls.
fn additions_are_applied_at_most_once(actions: Vec<u8>) -> TestResult {
    let (mut monitor, mut in_counter, mut added, mut possible, mut now) =
        (CounterMonitor::new(0), 0.0, 0.0, 0.0, 0);
    let mut call = |monitor: &mut CounterMonitor, in_counter: &mut f64, now: Micros, action: u8| {
        let AddStep::Forward(amount) = monitor.add(now, "a", 1.0, Micros::MAX / 2, None) else {
            panic!("without gossip every addition is forwarded")
        };
        let outcome = match action % 8 {
            0 => CallOutcome::NotApplied,
            1 => CallOutcome::Unknown,
            2 => {
                *in_counter += amount;
                CallOutcome::Unknown
            }
            _ => {
                *in_counter += amount;
                CallOutcome::Total(*in_counter)
            }
        };
        added += if monitor.call_completed(now, "a", outcome, LATENCY, None) == CounterReply::NotApplied(1.0)
        {
            0.0
        } else {
            1.0
        };
        possible += if outcome == CallOutcome::Unknown { amount } else { 0.0 };
        (added, possible)
    };
    let random = actions.len();
    let steady = std::iter::repeat_n(7, 20);
    for (step, action) in actions.into_iter().chain(steady.clone()).chain([255]).chain(steady).enumerate() {
        now += 10 * MILLISECOND;
        if action >= 250 {
            in_counter = 0.0;
        }
        let (added, _) = call(&mut monitor, &mut in_counter, now, action);
        if in_counter > added + 1e-6 {
            return TestResult::error(format!(
                "step {step} of {random}: {in_counter} in the counter, {added} added"
            ));
        }
    }
    let (added, possible) = call(&mut monitor, &mut in_counter, now, 7);
    // The last reset lost at least twenty calls, and all calls before and after it had replies.
    TestResult::from_bool(in_counter >= added - possible - random as f64 - 1e-6)
}

#[test]
fn random_resets_add_nothing_twice_and_large_losses_are_repaired() {
    quickcheck(additions_are_applied_at_most_once as fn(Vec<u8>) -> TestResult);
}
