//! Brings about each reason for rejecting or failing a request, and checks that the reason is reported.

mod common;

use common::*;
use fernscale_policy::RejectReason;
use fernscale_policy::*;

const TIME_LEFT: Micros = 300 * MS;

/// The reasons for the requests that were rejected or failed.
fn reported_reasons(fixture: &Fixture) -> Vec<RejectReason> {
    fixture.host.0.borrow().rejections.iter().map(|(_, reason)| *reason).collect()
}

#[test]
fn unprofitable_excess_is_rejected_as_over_quota() {
    let plan = Plan { rate: 1.0, burst: 1.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let mut fixture =
        Fixture::new(Settings { has_shared_counter: false, ..settings(Idempotency::Idempotent, plan) }, 2);
    (0..4).for_each(|_| drop(fixture.request("c", TIME_LEFT)));
    let reasons = reported_reasons(&fixture);
    assert!(
        !reasons.is_empty() && reasons.iter().all(|reason| *reason == RejectReason::OverQuota),
        "{reasons:?}"
    );
}

#[test]
fn the_ceiling_is_the_reason_beyond_the_ceiling() {
    let ceiling = Some(Ceiling { rate: 0.001, burst: 0.001 });
    let mut fixture =
        Fixture::new(settings(Idempotency::Idempotent, Plan { ceiling, ..unlimited_plan() }), 2);
    fixture.request("c", TIME_LEFT);
    assert_eq!(reported_reasons(&fixture), [RejectReason::Ceiling]);
}

#[test]
fn a_close_deadline_is_the_reason() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 2);
    fixture.request("c", 50 * MS);
    assert_eq!(reported_reasons(&fixture), [RejectReason::DeadlineTooClose]);
}

#[test]
fn without_servers_queued_requests_expire_and_others_find_the_queue_full() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 0);
    (0..3).for_each(|_| drop(fixture.request("c", TIME_LEFT)));
    assert_eq!(reported_reasons(&fixture), [RejectReason::QueueFull]);
    fixture.advance(TIME_LEFT);
    assert_eq!(
        reported_reasons(&fixture),
        [RejectReason::QueueFull, RejectReason::NoServer, RejectReason::NoServer]
    );
}

#[test]
fn a_counter_timeout_is_the_reason_if_the_decision_needed_a_reply() {
    let plan = Plan { rate: 100.0, burst: 0.5, ..unlimited_plan() };
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 2);
    fixture.request("c", TIME_LEFT);
    fixture.advance(TIME_LEFT);
    assert_eq!(reported_reasons(&fixture), [RejectReason::CounterTimeout]);
}

#[test]
fn an_unfinished_attempt_is_the_reason_at_the_deadline() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 2);
    fixture.request("c", TIME_LEFT);
    fixture.advance(TIME_LEFT);
    assert_eq!(reported_reasons(&fixture), [RejectReason::AttemptUnfinished]);
}

/// The reasons for a request whose attempts all end with `outcome`, each after a millisecond.
fn reasons_after_attempts(settings: Settings, outcome: Outcome) -> Vec<RejectReason> {
    let mut fixture = Fixture::new(settings, 8);
    let request = fixture.request("c", 1_000 * MS);
    for attempt in 0.. {
        let Some((_, server)) = forwards(&fixture.take_actions()).pop() else { break };
        fixture.complete_attempt(&request, attempt, &server, outcome, MS);
    }
    reported_reasons(&fixture)
}

#[test]
fn a_non_idempotent_request_is_not_retried() {
    let reasons =
        reasons_after_attempts(settings(Idempotency::NonIdempotent, unlimited_plan()), Outcome::Error);
    assert_eq!(reasons, [RejectReason::NotIdempotent]);
}

#[test]
fn exhausted_attempts_are_the_reason() {
    let reasons = reasons_after_attempts(settings(Idempotency::Idempotent, unlimited_plan()), Outcome::Error);
    assert_eq!(reasons, [RejectReason::AttemptsExhausted]);
}

#[test]
fn an_exhausted_retry_budget_is_the_reason() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 64);
    for _ in 0..60 {
        let request = fixture.request("c", 1_000 * MS);
        for attempt in 0.. {
            let Some((_, server)) = forwards(&fixture.take_actions()).pop() else { break };
            fixture.complete_attempt(&request, attempt, &server, Outcome::NotConnected, MS);
        }
    }
    let reasons = reported_reasons(&fixture);
    assert!(reasons.contains(&RejectReason::RetryBudgetExhausted), "{reasons:?}");
}
