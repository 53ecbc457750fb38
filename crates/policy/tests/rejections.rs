//! Each reason for giving a transaction up, brought about, and told as what it is.

mod common;

use common::*;
use fernscale_policy::RejectReason;
use fernscale_policy::*;

const LEFT: Micros = 300 * MS;

/// Why the only transaction that was given up was.
fn refused(bed: &Bed) -> Vec<RejectReason> {
    bed.notes.0.borrow().refused.iter().map(|(_, why)| *why).collect()
}

#[test]
fn beyond_the_quota_without_pay_it_is_the_quota() {
    let plan = Plan { rate: 1.0, burst: 1.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let mut bed =
        Bed::new(Settings { has_shared_counter: false, ..settings(Idempotency::Idempotent, plan) }, 2);
    (0..4).for_each(|_| drop(bed.ask("c", LEFT)));
    let told = refused(&bed);
    assert!(!told.is_empty() && told.iter().all(|why| *why == RejectReason::OverQuota), "{told:?}");
}

#[test]
fn beyond_the_ceiling_it_is_the_ceiling() {
    let ceiling = Some(Ceiling { rate: 0.001, burst: 0.001 });
    let mut bed = Bed::new(settings(Idempotency::Idempotent, Plan { ceiling, ..wide() }), 2);
    bed.ask("c", LEFT);
    assert_eq!(refused(&bed), [RejectReason::Ceiling]);
}

#[test]
fn with_hardly_any_time_left_it_is_the_time() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 2);
    bed.ask("c", 50 * MS);
    assert_eq!(refused(&bed), [RejectReason::DeadlineTooClose]);
}

#[test]
fn without_servers_the_first_that_wait_have_none_and_the_others_no_room_to_wait() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 0);
    (0..3).for_each(|_| drop(bed.ask("c", LEFT)));
    assert_eq!(refused(&bed), [RejectReason::QueueFull]);
    bed.pass(LEFT);
    assert_eq!(refused(&bed), [RejectReason::QueueFull, RejectReason::NoServer, RejectReason::NoServer]);
}

#[test]
fn a_counter_that_says_nothing_is_the_reason_where_its_word_was_waited_for() {
    let plan = Plan { rate: 100.0, burst: 0.5, ..wide() };
    let mut bed = Bed::new(settings(Idempotency::Idempotent, plan), 2);
    bed.ask("c", LEFT);
    bed.pass(LEFT);
    assert_eq!(refused(&bed), [RejectReason::CounterTimeout]);
}

#[test]
fn an_attempt_that_does_not_end_is_the_reason_at_the_end_of_the_time() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 2);
    bed.ask("c", LEFT);
    bed.pass(LEFT);
    assert_eq!(refused(&bed), [RejectReason::AttemptUnfinished]);
}

/// A transaction whose attempts end like this, each at once: why it is given up in the end.
fn after_attempts(settings: Settings, outcome: Outcome) -> Vec<RejectReason> {
    let mut bed = Bed::new(settings, 8);
    let asked = bed.ask("c", 1_000 * MS);
    for trip in 0.. {
        let Some((_, server)) = sends(&bed.did()).pop() else { break };
        bed.end(&asked, trip, &server, outcome, MS);
    }
    refused(&bed)
}

#[test]
fn what_may_have_had_an_effect_is_not_repeated() {
    let told = after_attempts(settings(Idempotency::NonIdempotent, wide()), Outcome::Error);
    assert_eq!(told, [RejectReason::NotIdempotent]);
}

#[test]
fn after_as_many_attempts_as_one_may_have_it_is_their_number() {
    let told = after_attempts(settings(Idempotency::Idempotent, wide()), Outcome::Error);
    assert_eq!(told, [RejectReason::AttemptsExhausted]);
}

#[test]
fn once_no_further_attempt_is_earned_it_is_their_budget() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 64);
    for _ in 0..60 {
        let asked = bed.ask("c", 1_000 * MS);
        for trip in 0.. {
            let Some((_, server)) = sends(&bed.did()).pop() else { break };
            bed.end(&asked, trip, &server, Outcome::NotConnected, MS);
        }
    }
    let told = refused(&bed);
    assert!(told.contains(&RejectReason::RetryBudgetExhausted), "{told:?}");
}
