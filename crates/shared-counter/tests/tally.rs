//! What the tally makes of a counter that is lost, emptied, apart or merely late; and that it adds nothing twice.

use fernscale_shared_counter::monitor::{
    AddStep, CallOutcome, CounterHealth, CounterMonitor, CounterReply, GossipTotal,
};
use fernscale_shared_counter::pn_counter::{Contribution, Instance, PnCounters};
use fernscale_shared_counter::{Micros, MILLISECOND, SECOND};
use quickcheck::{quickcheck, TestResult};

const LIFE: Micros = 60 * SECOND;
/// How long a call takes.
const SOME: Micros = 500;

fn good(
    tally: &mut CounterMonitor,
    now: Micros,
    name: &str,
    amount: f64,
    total: f64,
) -> (AddStep, CounterReply) {
    let step = tally.add(now, name, amount, LIFE, None);
    (step, tally.call_completed(now, name, CallOutcome::Total(total), SOME, None))
}

#[test]
fn a_good_counter_is_believed_as_it_is() {
    let mut tally = CounterMonitor::new(0);
    assert_eq!(good(&mut tally, 1, "n", 2.0, 10.0), (AddStep::Forward(2.0), CounterReply::Total(10.0)));
    assert_eq!(good(&mut tally, 2, "n", 1.0, 12.5), (AddStep::Forward(1.0), CounterReply::Total(12.5)));
    assert_eq!(tally.health(), CounterHealth::Healthy);
}

#[test]
fn a_counter_that_comes_back_empty_is_told_anew_once() {
    let mut tally = CounterMonitor::new(0);
    for name in ["a", "b"] {
        good(&mut tally, 1, name, 10.0, 10.0);
    }
    // One answer may be an old one that was overtaken; another count says the same.
    assert_eq!(good(&mut tally, SECOND, "a", 1.0, 1.0), (AddStep::Forward(1.0), CounterReply::Total(11.0)));
    assert_eq!(
        good(&mut tally, SECOND + 1, "b", 1.0, 1.0),
        (AddStep::Forward(1.0), CounterReply::Total(11.0))
    );
    assert_eq!(tally.health(), CounterHealth::Reset);
    assert_eq!(
        good(&mut tally, SECOND + 2, "b", 1.0, 12.0),
        (AddStep::Forward(11.0), CounterReply::Total(12.0))
    );
    assert_eq!(good(&mut tally, SECOND + 3, "b", 1.0, 13.0).0, AddStep::Forward(1.0), "once is enough");
}

#[test]
fn what_may_have_been_added_is_not_told_anew() {
    let mut tally = CounterMonitor::new(0);
    good(&mut tally, 1, "a", 10.0, 10.0);
    tally.add(2, "a", 5.0, LIFE, None);
    assert_eq!(tally.call_completed(3, "a", CallOutcome::Unknown, SOME, None), CounterReply::Unknown);
    assert_eq!(good(&mut tally, 4, "a", 1.0, 11.0), (AddStep::Forward(1.0), CounterReply::Total(11.0)));
    tally.add(5, "a", 3.0, LIFE, None);
    assert_eq!(
        tally.call_completed(6, "a", CallOutcome::NotApplied, SOME, None),
        CounterReply::NotApplied(3.0)
    );
    assert_eq!(
        good(&mut tally, 7, "a", 1.0, 12.0).0,
        AddStep::Forward(1.0),
        "the module adds it again itself"
    );
}

#[test]
fn units_that_others_settle_are_no_loss() {
    let mut tally = CounterMonitor::new(0);
    good(&mut tally, 1, "a", 10.0, 10.0);
    assert_eq!(good(&mut tally, 2, "a", 1.0, 8.0), (AddStep::Forward(1.0), CounterReply::Total(11.0)));
    assert_eq!(good(&mut tally, 3, "a", 1.0, 9.0).0, AddStep::Forward(1.0));
    assert_eq!(tally.health(), CounterHealth::Healthy);
}

/// All gateways are in the mesh; the counter refuses. What is added goes on being counted, and the counter hears of it.
#[test]
fn with_a_whole_mesh_a_lost_counter_is_not_waited_for() {
    let mut tally = CounterMonitor::new(0);
    let mesh = |total| Some(GossipTotal { total, is_complete: true });
    let mut now = SECOND;
    for total in 1..=3 {
        // What surely was not added goes with the next call.
        assert_eq!(tally.add(now, "a", 1.0, LIFE, mesh(total as f64)), AddStep::Forward(total as f64));
        assert_eq!(
            tally.call_completed(now, "a", CallOutcome::NotApplied, SOME, mesh(total as f64)),
            CounterReply::Total(total as f64)
        );
        now += MILLISECOND;
    }
    assert_eq!(tally.health(), CounterHealth::Lost);
    assert_eq!(tally.add(now, "a", 1.0, LIFE, mesh(40.0)), AddStep::Reply(40.0));
    // Now and then it is asked, and told all that it lacks.
    now += SECOND;
    assert_eq!(tally.add(now, "a", 1.0, LIFE, mesh(50.0)), AddStep::Forward(5.0));
    assert_eq!(
        tally.call_completed(now, "a", CallOutcome::Total(5.0), SOME, mesh(50.0)),
        CounterReply::Total(50.0)
    );
    assert_eq!(tally.health(), CounterHealth::Healthy);
    assert_eq!(tally.add(now, "a", 1.0, LIFE, mesh(51.0)), AddStep::Forward(1.0));
}

#[test]
fn old_totals_are_no_loss() {
    let mut tally = CounterMonitor::new(0);
    let totals = [0.0, 0.0, 1.0, 2.0, 3.0, 4.0, 7.0];
    for (step, total) in totals.into_iter().enumerate() {
        let (call, told) = good(&mut tally, step as Micros * SECOND, "a", 1.0, total);
        assert_eq!(call, AddStep::Forward(1.0), "nothing is told anew");
        assert_eq!(told, CounterReply::Total(step as f64 + 1.0), "all of its own is surely there");
    }
    assert_eq!(tally.health(), CounterHealth::Healthy);
}

#[test]
fn a_counter_that_is_slow_or_tells_old_totals_is_told_as_such_until_it_is_good_again() {
    let mut tally = CounterMonitor::new(0);
    let mut call = |total: f64, took| {
        tally.add(SECOND, "a", 1.0, LIFE, None);
        tally.call_completed(SECOND, "a", CallOutcome::Total(total), took, None);
        tally.health()
    };
    assert_eq!(call(1.0, SOME), CounterHealth::Healthy);
    let slowly: Vec<_> = (2..8).map(|total| call(total as f64, 60 * MILLISECOND)).collect();
    assert_eq!(
        (slowly[0], slowly[5]),
        (CounterHealth::Healthy, CounterHealth::Slow),
        "one may be late by chance"
    );
    let quickly: Vec<_> = (8..40).map(|total| call(total as f64, SOME)).collect();
    assert_eq!(quickly[31], CounterHealth::Healthy);
    let old: Vec<_> = (0..3).map(|_| call(0.5, SOME)).collect();
    assert_eq!(old, [CounterHealth::Healthy, CounterHealth::Healthy, CounterHealth::Stale]);
    assert_eq!(call(43.0, SOME), CounterHealth::Healthy);
}

#[test]
fn a_mesh_that_is_not_whole_covers_for_nobody() {
    let mut tally = CounterMonitor::new(0);
    let mesh = Some(GossipTotal { total: 9.0, is_complete: false });
    for _ in 0..9 {
        assert_eq!(tally.add(SECOND, "a", 1.0, LIFE, mesh), AddStep::Forward(1.0));
        assert_eq!(
            tally.call_completed(SECOND, "a", CallOutcome::NotApplied, SOME, mesh),
            CounterReply::NotApplied(1.0)
        );
    }
    assert_eq!(tally.health(), CounterHealth::Lost);
}

#[test]
fn a_counter_that_others_do_not_use_is_seen_to_be_apart_and_the_larger_total_holds() {
    let mut tally = CounterMonitor::new(0);
    let mesh = Some(GossipTotal { total: 100.0, is_complete: true });
    for (now, standing) in [
        (SECOND, CounterHealth::Healthy),
        (2 * SECOND, CounterHealth::Healthy),
        (4 * SECOND, CounterHealth::Partitioned),
    ] {
        tally.add(now, "a", 1.0, LIFE, mesh);
        assert_eq!(
            tally.call_completed(now, "a", CallOutcome::Total(now as f64 / 1e6), SOME, mesh),
            CounterReply::Total(100.0)
        );
        assert_eq!(tally.health(), standing, "{now}");
    }
    tally.add(5 * SECOND, "a", 1.0, LIFE, mesh);
    tally.call_completed(5 * SECOND, "a", CallOutcome::Total(101.0), SOME, mesh);
    assert_eq!(tally.health(), CounterHealth::Healthy, "healed");
}

#[test]
fn a_name_that_has_ended_starts_from_nothing() {
    let mut tally = CounterMonitor::new(0);
    good(&mut tally, 0, "a", 10.0, 10.0);
    assert_eq!(good(&mut tally, LIFE + 1, "a", 1.0, 1.0), (AddStep::Forward(1.0), CounterReply::Total(1.0)));
    assert_eq!((tally.len(), tally.health()), (1, CounterHealth::Healthy));
}

/// A counter that forgets all at random moments, under random calls, some lost: what it holds of this gateway's is never
/// more than the module was told was added, and never less where the loss was of much and calls went on.
fn nothing_is_added_twice(acts: Vec<u8>) -> TestResult {
    let (mut tally, mut held, mut kept, mut perhaps, mut now) = (CounterMonitor::new(0), 0.0, 0.0, 0.0, 0);
    let mut call = |tally: &mut CounterMonitor, held: &mut f64, now: Micros, act: u8| {
        let AddStep::Forward(amount) = tally.add(now, "a", 1.0, Micros::MAX / 2, None) else {
            panic!("there is no mesh")
        };
        let end = match act % 8 {
            0 => CallOutcome::NotApplied,
            1 => CallOutcome::Unknown,
            2 => {
                *held += amount;
                CallOutcome::Unknown
            }
            _ => {
                *held += amount;
                CallOutcome::Total(*held)
            }
        };
        kept += if tally.call_completed(now, "a", end, SOME, None) == CounterReply::NotApplied(1.0) {
            0.0
        } else {
            1.0
        };
        perhaps += if end == CallOutcome::Unknown { amount } else { 0.0 };
        (kept, perhaps)
    };
    let random = acts.len();
    let steady = std::iter::repeat_n(7, 20);
    for (step, act) in acts.into_iter().chain(steady.clone()).chain([255]).chain(steady).enumerate() {
        now += 10 * MILLISECOND;
        if act >= 250 {
            held = 0.0;
        }
        let (kept, _) = call(&mut tally, &mut held, now, act);
        if held > kept + 1e-6 {
            return TestResult::error(format!("step {step} of {random}: {held} held, {kept} added"));
        }
    }
    let (kept, perhaps) = call(&mut tally, &mut held, now, 7);
    // The last loss was of twenty calls and more, in the midst of calls that all were answered.
    TestResult::from_bool(held >= kept - perhaps - random as f64 - 1e-6)
}

#[test]
fn random_losses_add_nothing_twice_and_a_loss_of_much_is_made_good() {
    quickcheck(nothing_is_added_twice as fn(Vec<u8>) -> TestResult);
}

/// Joining is the same in any order and however often, and never less than what any had.
fn joining_is_in_any_order(parts: Vec<(u8, u8, u8)>, again: Vec<u8>) -> bool {
    let part = |(of, plus, minus): (u8, u8, u8)| {
        (Instance(of as u64 % 3), Contribution { increments: plus.into(), decrements: minus.into() })
    };
    let (mut one, mut other) = (PnCounters::new(10), PnCounters::new(10));
    for (of, part) in parts.iter().copied().map(part) {
        one.merge(0, "n", of, part, LIFE);
    }
    for (of, part) in parts.iter().rev().copied().map(part) {
        other.merge(0, "n", of, part, LIFE);
    }
    for at in again {
        if let Some((of, part)) = parts.get(at as usize % parts.len().max(1)).copied().map(part) {
            assert_eq!(other.merge(1, "n", of, part, LIFE), None, "no news");
        }
    }
    one.total(2, "n") == other.total(2, "n")
}

#[test]
fn what_was_told_may_come_in_any_order_and_again() {
    quickcheck(joining_is_in_any_order as fn(Vec<(u8, u8, u8)>, Vec<u8>) -> bool);
}

#[test]
fn vectors_are_bounded_and_take_no_nonsense() {
    let mut vectors = PnCounters::new(2);
    let own = Instance(1);
    assert!(vectors.add(0, own, "a", 1.0, SECOND).is_some());
    assert!(vectors.add(0, own, "b", 1.0, 2 * SECOND).is_some());
    assert!(vectors.add(0, own, "c", 1.0, SECOND).is_none(), "full");
    assert!(vectors.add(SECOND, own, "c", 1.0, SECOND).is_some(), "a name has ended");
    assert!(vectors.add(SECOND, own, "b", f64::NAN, SECOND).is_none());
    for part in [
        Contribution { increments: -1.0, decrements: 0.0 },
        Contribution { increments: f64::INFINITY, decrements: 0.0 },
        Contribution { increments: 1e300, decrements: 0.0 },
    ] {
        assert!(vectors.merge(SECOND, "b", Instance(2), part, SECOND).is_none(), "{part:?}");
    }
    assert!(vectors.merge(SECOND, &"x".repeat(65), own, Contribution::default(), SECOND).is_none());
    assert_eq!(vectors.total(SECOND, "b"), Some(1.0));
}
