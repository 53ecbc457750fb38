//! Each reason for rejecting or failing a request, brought about and reported.

mod common;

use common::*;
use fernscale_policy::RejectReason;
use fernscale_policy::*;

const LEFT: Micros = 300 * MS;

/// The reasons of the requests that were rejected or failed.
fn refused(fixture: &Fixture) -> Vec<RejectReason> {
    fixture.host.0.borrow().refused.iter().map(|(_, why)| *why).collect()
}

#[test]
fn excess_that_does_not_pay_is_rejected_as_over_quota() {
    let plan = Plan { rate: 1.0, burst: 1.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let mut fixture =
        Fixture::new(Settings { has_shared_counter: false, ..settings(Idempotency::Idempotent, plan) }, 2);
    (0..4).for_each(|_| drop(fixture.request("c", LEFT)));
    let told = refused(&fixture);
    assert!(!told.is_empty() && told.iter().all(|why| *why == RejectReason::OverQuota), "{told:?}");
}

#[test]
fn beyond_the_ceiling_the_reason_is_the_ceiling() {
    let ceiling = Some(Ceiling { rate: 0.001, burst: 0.001 });
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, Plan { ceiling, ..wide() }), 2);
    fixture.request("c", LEFT);
    assert_eq!(refused(&fixture), [RejectReason::Ceiling]);
}

#[test]
fn a_close_deadline_is_the_reason() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 2);
    fixture.request("c", 50 * MS);
    assert_eq!(refused(&fixture), [RejectReason::DeadlineTooClose]);
}

#[test]
fn without_servers_the_queue_expires_and_the_rest_finds_it_full() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 0);
    (0..3).for_each(|_| drop(fixture.request("c", LEFT)));
    assert_eq!(refused(&fixture), [RejectReason::QueueFull]);
    fixture.pass(LEFT);
    assert_eq!(refused(&fixture), [RejectReason::QueueFull, RejectReason::NoServer, RejectReason::NoServer]);
}

#[test]
fn a_silent_counter_is_the_reason_where_a_reply_was_awaited() {
    let plan = Plan { rate: 100.0, burst: 0.5, ..wide() };
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 2);
    fixture.request("c", LEFT);
    fixture.pass(LEFT);
    assert_eq!(refused(&fixture), [RejectReason::CounterTimeout]);
}

#[test]
fn an_unfinished_attempt_is_the_reason_at_the_deadline() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 2);
    fixture.request("c", LEFT);
    fixture.pass(LEFT);
    assert_eq!(refused(&fixture), [RejectReason::AttemptUnfinished]);
}

/// The reasons for a request whose attempts end like this, each at once.
fn after_attempts(settings: Settings, outcome: Outcome) -> Vec<RejectReason> {
    let mut fixture = Fixture::new(settings, 8);
    let asked = fixture.request("c", 1_000 * MS);
    for attempt in 0.. {
        let Some((_, server)) = sends(&fixture.take_actions()).pop() else { break };
        fixture.end(&asked, attempt, &server, outcome, MS);
    }
    refused(&fixture)
}

#[test]
fn a_non_idempotent_request_is_not_retried() {
    let told = after_attempts(settings(Idempotency::NonIdempotent, wide()), Outcome::Error);
    assert_eq!(told, [RejectReason::NotIdempotent]);
}

#[test]
fn exhausted_attempts_are_the_reason() {
    let told = after_attempts(settings(Idempotency::Idempotent, wide()), Outcome::Error);
    assert_eq!(told, [RejectReason::AttemptsExhausted]);
}

#[test]
fn an_exhausted_retry_budget_is_the_reason() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 64);
    for _ in 0..60 {
        let asked = fixture.request("c", 1_000 * MS);
        for attempt in 0.. {
            let Some((_, server)) = sends(&fixture.take_actions()).pop() else { break };
            fixture.end(&asked, attempt, &server, Outcome::NotConnected, MS);
        }
    }
    let told = refused(&fixture);
    assert!(told.contains(&RejectReason::RetryBudgetExhausted), "{told:?}");
}
