//! Edge cases of the request ledger, as sequences of events: which losses a kill explains, and which a link fault explains.

use fernscale_lab::model::clients::{ClientRequest, Idempotency, KeyScope, Plan, RequestClass};
use fernscale_lab::model::discovery::Status;
use fernscale_lab::model::server::{AttemptEnd, SlowStart};
use fernscale_lab::request_ledger::{Arrival, Link, RequestLedger, RequestOutcome, RuleBounds};
use fernscale_lab::wire::Answer;
use fernscale_lab::{Micros, MILLISECOND, SECOND};

const DEADLINE: Micros = SECOND;
const SLACK: Micros = 100 * MILLISECOND;
const SLOW_START: SlowStart = SlowStart { share: 0.2, warm_up: 10 * SECOND, multiple: 3.0, window: SECOND };

fn ledger(scope: KeyScope) -> RequestLedger {
    let class = |name: &str, kind| RequestClass {
        name: name.into(),
        idempotency: kind,
        retention: 5 * SECOND,
        scope,
        latency_objective: DEADLINE / 2,
        deadline: DEADLINE,
        priority_weight: 1.0,
        work: MILLISECOND,
    };
    let classes = vec![
        class("get", Idempotency::Idempotent),
        class("book", Idempotency::Keyed),
        class("pay", Idempotency::NonIdempotent),
    ];
    let plan = Plan { name: "p".into(), rate: 10.0, burst: 10.0, price: 1.0, ceiling: Some((10.0, 20.0)) };
    let bounds =
        RuleBounds { grace: 500 * MILLISECOND, slack: SLACK, classes, plans: vec![plan], max_units: 1.0 };
    let mut ledger = RequestLedger::new(bounds);
    for (number, name) in ["a", "b"].into_iter().enumerate() {
        ledger.server_started(name, (&format!("zone-{number}"), number as u32), None, 1.0, SLOW_START);
    }
    ledger
}

fn request(id: u64, class: usize, at: Micros) -> ClientRequest {
    ClientRequest {
        at,
        id,
        group: 0,
        tenant: 1,
        plan: 0,
        class,
        units: 1,
        first_gateway: 0,
        gateway_spread: 1,
        gateway: 0,
        key: Some(id),
        work: MILLISECOND,
        attempt: 0,
        origin: id,
    }
}

fn send_request(ledger: &mut RequestLedger, id: u64, class: usize, at: Micros) {
    ledger.request_created(&request(id, class, at));
    ledger.written(id, 0, at);
}

fn attempt_arrives(ledger: &mut RequestLedger, id: u64, server: &str, at: Micros) -> usize {
    ledger.arrived(&Arrival { at, began: at, server: server.into(), gateway: 0, id, work: MILLISECOND })
}

/// An attempt that arrives, ends and is answered.
fn serve(ledger: &mut RequestLedger, id: u64, server: &str, at: Micros, end: AttemptEnd) {
    let attempt = attempt_arrives(ledger, id, server, at);
    ledger.attempt_ended(attempt, end);
    ledger.attempt_closed(attempt);
}

fn completed_by(id: u64, server: &str) -> Answer {
    Answer::Completed(format!("{id:016x}:{server}").into_bytes())
}

/// Number of violations of each rule, in the order of the rules.
fn broken(ledger: &RequestLedger) -> [u64; 6] {
    let counts: Vec<u64> = ledger.violations().map(|(_, rule)| rule.count).collect();
    counts.try_into().expect("six rules")
}

const RAN: AttemptEnd = AttemptEnd::Ran { first: true };

#[test]
fn a_kill_during_the_answer_explains_the_loss() {
    let mut ledger = ledger(KeyScope::All);
    send_request(&mut ledger, 1, 0, 0);
    ledger.killed(0, 10 * MILLISECOND);
    ledger.unanswered(1, 10 * MILLISECOND, true);
    // Sent after the kill, to the restarted gateway: that gateway lost the request.
    send_request(&mut ledger, 2, 0, SECOND);
    ledger.unanswered(2, SECOND + MILLISECOND, true);
    assert_eq!(broken(&ledger), [1, 0, 0, 0, 0, 0]);
    let outcomes: Vec<RequestOutcome> = ledger.outcomes().map(|(_, _, outcome, _)| outcome).collect();
    assert_eq!(outcomes, [RequestOutcome::Excused, RequestOutcome::Lost]);
}

#[test]
fn a_cut_explains_the_loss_of_a_request_written_at_the_same_moment() {
    let mut ledger = ledger(KeyScope::All);
    send_request(&mut ledger, 1, 0, 1000);
    ledger.link_broken(Link::Clients(0), 1000);
    ledger.unanswered(1, 1000, true);
    ledger.link_restored(&Link::Clients(0), 2000);
    // One request is written at the moment at which the cut ends, another after it.
    send_request(&mut ledger, 2, 0, 2000);
    ledger.unanswered(2, 3000, true);
    assert_eq!(broken(&ledger), [0; 6]);
    send_request(&mut ledger, 3, 0, 2001);
    ledger.unanswered(3, 3000, true);
    assert_eq!(broken(&ledger)[0], 1);
}

#[test]
fn a_fault_of_another_gateway_explains_no_loss() {
    let mut ledger = ledger(KeyScope::All);
    ledger.link_broken(Link::Clients(1), 0);
    ledger.killed(1, 5);
    send_request(&mut ledger, 1, 0, 1);
    ledger.unanswered(1, 10, true);
    assert_eq!(broken(&ledger)[0], 1);
}

#[test]
fn an_answer_is_on_time_up_to_the_slack_and_late_beyond_it() {
    let mut ledger = ledger(KeyScope::All);
    let last = DEADLINE + 50 * MILLISECOND + SLACK;
    for (id, elapsed) in [(1, last), (2, last + 1)] {
        send_request(&mut ledger, id, 0, 0);
        ledger.answered(id, elapsed, &Answer::Failed);
    }
    assert_eq!(broken(&ledger), [1, 0, 0, 0, 0, 0]);
}

#[test]
fn a_value_must_belong_to_the_request_and_come_from_a_server_that_ran_it() {
    for (answer, end, violations) in [
        (completed_by(1, "a"), RAN, 0),
        (completed_by(1, "b"), RAN, 1),
        (completed_by(2, "a"), RAN, 1),
        (completed_by(1, "a"), AttemptEnd::Rejected, 1),
    ] {
        let mut ledger = ledger(KeyScope::All);
        send_request(&mut ledger, 1, 0, 0);
        serve(&mut ledger, 1, "a", 10, end);
        ledger.answered(1, 20, &answer);
        assert_eq!(broken(&ledger), [violations, 0, 0, 0, 0, 0], "{answer:?}");
    }
}

#[test]
fn an_attempt_that_may_have_run_is_retried_only_if_its_class_allows_it() {
    for (class, end, violations) in [
        (0, RAN, 0),
        (0, AttemptEnd::Rejected, 0),
        (1, RAN, 0),
        (2, AttemptEnd::Rejected, 0),
        (2, AttemptEnd::Failed, 1),
        (2, AttemptEnd::Dropped, 1),
        (2, RAN, 1),
    ] {
        let mut ledger = ledger(KeyScope::All);
        send_request(&mut ledger, 1, class, 0);
        serve(&mut ledger, 1, "a", 10, end);
        serve(&mut ledger, 1, "b", 20, RAN);
        assert_eq!(broken(&ledger), [0, violations, 0, 0, 0, 0], "class {class}, {end:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_within_its_key_scope_and_retention_only() {
    for (scope, server, at, violations) in [
        (KeyScope::Cell, "a", SECOND, 0),
        (KeyScope::Cell, "b", SECOND, 1),
        (KeyScope::Zone, "b", SECOND, 1),
        (KeyScope::All, "b", SECOND, 0),
        (KeyScope::All, "b", 5 * SECOND + SLACK + 1, 0),
        (KeyScope::All, "b", 5 * SECOND + SLACK + 11, 1),
    ] {
        let mut ledger = ledger(scope);
        send_request(&mut ledger, 1, 1, 0);
        serve(&mut ledger, 1, "a", 10, AttemptEnd::Failed);
        serve(&mut ledger, 1, server, at, RAN);
        assert_eq!(broken(&ledger), [0, violations, 0, 0, 0, 0], "{scope:?} {server} {at}");
    }
}

#[test]
fn rejecting_a_request_that_may_have_run_is_a_violation_if_a_retry_would_be_harmful() {
    for (scope, class, end, violations) in [
        (KeyScope::All, 0, RAN, 0),
        (KeyScope::All, 1, RAN, 0),
        (KeyScope::Cell, 1, RAN, 1),
        (KeyScope::Cell, 1, AttemptEnd::Rejected, 0),
        (KeyScope::All, 2, RAN, 1),
        (KeyScope::All, 2, AttemptEnd::Rejected, 0),
    ] {
        let mut ledger = ledger(scope);
        send_request(&mut ledger, 1, class, 0);
        serve(&mut ledger, 1, "a", 10, end);
        ledger.answered(1, 20, &Answer::Rejected { wait_ms: None });
        assert_eq!(broken(&ledger), [0, violations, 0, 0, 0, 0], "{scope:?} class {class} {end:?}");
    }
}

#[test]
fn two_attempts_in_flight_are_a_violation_unless_a_link_fault_delayed_the_first() {
    for is_link_faulty in [false, true] {
        let mut ledger = ledger(KeyScope::All);
        send_request(&mut ledger, 1, 0, 0);
        if is_link_faulty {
            ledger.link_broken(Link::Server(0, "a".into()), 5);
        }
        attempt_arrives(&mut ledger, 1, "a", 10);
        attempt_arrives(&mut ledger, 1, "b", 20);
        assert_eq!(broken(&ledger), [0, u64::from(!is_link_faulty), 0, 0, 0, 0]);
    }
}

#[test]
fn a_drain_counts_from_the_first_notification_of_the_gateway() {
    let mut ledger = ledger(KeyScope::All);
    let deadline = 500 * MILLISECOND + SLACK;
    ledger.endpoint_notified(0, "a", Status::Terminating, None, 0);
    ledger.endpoint_notified(0, "a", Status::Terminated, None, 400 * MILLISECOND);
    ledger.endpoint_notified(1, "b", Status::Terminating, None, 0);
    attempt_arrives(&mut ledger, 1, "a", deadline);
    attempt_arrives(&mut ledger, 2, "b", deadline + 1);
    assert_eq!(broken(&ledger), [0; 6]);
    attempt_arrives(&mut ledger, 3, "a", deadline + 1);
    assert_eq!(broken(&ledger), [0, 0, 1, 0, 0, 0]);
    ledger.endpoint_notified(0, "a", Status::InService, None, 2 * SECOND);
    attempt_arrives(&mut ledger, 4, "a", 2 * SECOND + 1);
    assert_eq!(broken(&ledger), [0, 0, 1, 0, 0, 0], "in service again");
}

#[test]
fn overloading_a_server_in_slow_start_is_a_violation_only_for_notified_gateways() {
    for (is_notified, violations) in [(false, 0), (true, 1)] {
        let mut ledger = ledger(KeyScope::All);
        ledger.server_started("new", ("zone-0", 0), Some(0), 1.0, SLOW_START);
        if is_notified {
            ledger.endpoint_notified(0, "new", Status::InService, Some(0), 0);
        }
        // The server's capacity is a fifth of a second of work in a second, and it collapses at three times that.
        for at in 0..80 {
            let (at, work) = (at * 10 * MILLISECOND, 10 * MILLISECOND);
            ledger.arrived(&Arrival { at, began: at, server: "new".into(), gateway: 0, id: 1000 + at, work });
        }
        assert_eq!(broken(&ledger), [0, 0, 0, violations, 0, 0]);
    }
}

#[test]
fn a_ceiling_counts_the_first_attempt_of_a_request_only() {
    let mut ledger = ledger(KeyScope::All);
    // A burst of 20, two units of slack, and 10 units a second for a quarter of a second.
    for id in 0..24 {
        send_request(&mut ledger, id, 0, 0);
        serve(&mut ledger, id, "a", 0, AttemptEnd::Rejected);
        serve(&mut ledger, id, "b", 0, RAN);
    }
    assert_eq!(broken(&ledger), [0; 6]);
    for id in 24..25 {
        send_request(&mut ledger, id, 0, 0);
        serve(&mut ledger, id, "a", 0, RAN);
    }
    assert_eq!(broken(&ledger), [0, 0, 0, 0, 1, 0]);
}

#[test]
fn a_key_with_two_effects_is_counted_over_all_request_ids() {
    let mut ledger = ledger(KeyScope::Cell);
    for (id, server) in [(1, "a"), (2, "b")] {
        let again = ClientRequest { key: Some(77), attempt: id as u32 - 1, origin: 1, ..request(id, 1, id) };
        ledger.request_created(&again);
        ledger.written(id, 0, id);
        serve(&mut ledger, id, server, id, RAN);
    }
    assert_eq!(ledger.doubled_keys(), 1);
    assert_eq!(broken(&ledger), [0; 6], "each request has stayed within its key scope");
}

#[test]
fn forwarding_for_a_disconnected_client_is_a_violation_beyond_the_slack() {
    // The limit is 300 ms, 50 ms for sockets, and the slack of 100 ms.
    for (after, violations) in [(0, 0), (440, 0), (460, 1)] {
        let mut ledger = ledger(KeyScope::All);
        send_request(&mut ledger, 1, 0, SECOND);
        ledger.client_disconnected(1, SECOND);
        attempt_arrives(&mut ledger, 1, "a", SECOND + after * MILLISECOND);
        assert_eq!(broken(&ledger), [0, 0, 0, 0, 0, violations], "{after} ms after");
    }
}
