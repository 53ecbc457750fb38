//! Tests that merged counters are bounded and do not depend on the order of messages.

use fernscale_shared_counter::pn_counter::{Contribution, Instance, PnCounters};
use fernscale_shared_counter::{Micros, SECOND};
use quickcheck::quickcheck;

const LIFETIME: Micros = 60 * SECOND;

/// Merging gives the same result in any order, and repeated messages change nothing.
fn merging_commutes(parts: Vec<(u8, u8, u8)>, repeated: Vec<u8>) -> bool {
    let part = |(instance, plus, minus): (u8, u8, u8)| {
        (
            Instance(u64::from(instance) % 3),
            Contribution { increments: plus.into(), decrements: minus.into() },
        )
    };
    let (mut first, mut second) = (PnCounters::new(10), PnCounters::new(10));
    for (instance, part) in parts.iter().copied().map(part) {
        first.merge(0, "n", instance, part, LIFETIME);
    }
    for (instance, part) in parts.iter().rev().copied().map(part) {
        second.merge(0, "n", instance, part, LIFETIME);
    }
    for index in repeated {
        if let Some((instance, part)) = parts.get(index as usize % parts.len().max(1)).copied().map(part) {
            assert_eq!(second.merge(1, "n", instance, part, LIFETIME), None, "no change");
        }
    }
    first.total(2, "n") == second.total(2, "n")
}

#[test]
fn merging_is_independent_of_order_and_repetition() {
    quickcheck(merging_commutes as fn(Vec<(u8, u8, u8)>, Vec<u8>) -> bool);
}

#[test]
fn counters_are_bounded_and_reject_invalid_contributions() {
    let mut counters = PnCounters::new(2);
    let own = Instance(1);
    assert!(counters.add(0, own, "a", 1.0, SECOND).is_some());
    assert!(counters.add(0, own, "b", 1.0, 2 * SECOND).is_some());
    assert!(counters.add(0, own, "c", 1.0, SECOND).is_none(), "the number of counters is limited");
    assert!(counters.add(SECOND, own, "c", 1.0, SECOND).is_some(), "a key has expired");
    assert!(counters.add(SECOND, own, "b", f64::NAN, SECOND).is_none());
    for part in [
        Contribution { increments: -1.0, decrements: 0.0 },
        Contribution { increments: f64::INFINITY, decrements: 0.0 },
        Contribution { increments: 1e300, decrements: 0.0 },
    ] {
        assert!(counters.merge(SECOND, "b", Instance(2), part, SECOND).is_none(), "{part:?}");
    }
    assert!(counters.merge(SECOND, &"x".repeat(65), own, Contribution::default(), SECOND).is_none());
    assert_eq!(counters.total(SECOND, "b"), Some(1.0));
}
