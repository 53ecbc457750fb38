//! The quota on requests in flight: the updates of the shared counter and the decisions.

mod common;

use std::collections::HashMap;

use common::*;
use fernscale_policy::*;

#[test]
fn a_rejected_concurrency_update_is_not_repeated_immediately() {
    let plan = Plan { rate: 0.0, burst: 0.0, max_concurrency: 4, ..unlimited_plan() };
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 4);
    fixture.advance(50 * MS);
    fixture.request("c", 2_000 * MS);
    let updates = counter_updates(&fixture.take_actions());
    assert_eq!(updates.len(), 1);
    fixture.gateway.counter_replied(&updates[0].0, Outcome::Overloaded, 0.0, MS);
    fixture.advance(50 * MS);
    assert_eq!(counter_updates(&fixture.take_actions()), []);
}

#[test]
fn a_lost_concurrency_update_occupies_a_slot_only_for_a_window() {
    let mut fixture = Fixture::new(
        settings(
            Idempotency::Idempotent,
            Plan { max_concurrency: 2, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() },
        ),
        4,
    );
    let mut totals = HashMap::<String, f64>::new();
    // The updates that subtract requests are lost for half a second, as when the counter's connection breaks.
    let mut serve = |fixture: &mut Fixture, lose_subtractions: bool| {
        fixture.request("c", 1_000 * MS);
        let mut completed = false;
        loop {
            let actions = fixture.take_actions();
            for (key, amount) in counter_updates(&actions) {
                let (is_lost, total) =
                    (lose_subtractions && amount < 0.0, totals.entry(key.clone()).or_default());
                *total += if is_lost { 0.0 } else { amount };
                let outcome = if is_lost { Outcome::TimedOut } else { Outcome::Ok };
                fixture.gateway.counter_replied(&key, outcome, *total, MS);
            }
            for (id, server) in forwards(&actions) {
                fixture.complete_attempt(&id, 0, &server, Outcome::Ok, 20 * MS);
                completed = true;
            }
            if actions.is_empty() {
                break;
            }
        }
        fixture.advance(100 * MS);
        completed
    };
    assert!((0..5).any(|_| !serve(&mut fixture, true)));
    fixture.advance(5_000 * MS);
    let answered = (0..20).filter(|_| serve(&mut fixture, false)).count();
    assert_eq!(answered, 20);
}

/// A plan with a quota on requests in flight only.
fn concurrency_plan(max_concurrency: u32) -> Plan {
    Plan { rate: 0.0, burst: 0.0, max_concurrency, ..unlimited_plan() }
}

#[test]
fn requests_in_flight_are_carried_over_when_a_window_begins() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, concurrency_plan(4)), 4);
    fixture.request("c", 20_000 * MS);
    let first = counter_updates(&fixture.take_actions()).pop().expect("an update with the request");
    fixture.gateway.counter_replied(&first.0, Outcome::Ok, 1.0, MS);
    assert_eq!(forwards(&fixture.take_actions()).len(), 1);
    // No request arrives or ends for two windows. The one in flight must be counted in each window.
    for _ in 0..2 {
        let mut updates = Vec::new();
        for _ in 0..500 {
            fixture.advance(10 * MS);
            let new_updates = counter_updates(&fixture.take_actions());
            new_updates
                .iter()
                .for_each(|(key, total)| fixture.gateway.counter_replied(key, Outcome::Ok, *total, MS));
            updates.extend(new_updates);
        }
        assert_eq!(updates.len(), 1, "{updates:?}");
        assert!(updates[0].0 != first.0 && updates[0].1 == 1.0, "{updates:?}");
    }
}

#[test]
fn concurrency_windows_of_tenants_begin_at_different_times() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, concurrency_plan(4)), 40);
    for at in 0..50 {
        fixture.request(&format!("c{at}"), 60_000 * MS);
    }
    let mut updates_per_tick = [0; 500];
    for count in &mut updates_per_tick {
        for (key, total) in counter_updates(&fixture.take_actions()) {
            fixture.gateway.counter_replied(&key, Outcome::Ok, total, MS);
            *count += 1;
        }
        fixture.advance(10 * MS);
    }
    let most = updates_per_tick[1..].iter().max().expect("ticks");
    assert!(*most <= 5, "updates for {most} of 50 tenants in ten milliseconds");
}

#[test]
fn the_first_reply_sets_the_mean_of_requests_in_flight_elsewhere() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, concurrency_plan(4)), 4);
    let request = fixture.request("c", 2_000 * MS);
    let key = counter_updates(&fixture.take_actions()).pop().expect("an update").0;
    fixture.gateway.counter_replied(&key, Outcome::Ok, 5.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [request]);
    fixture.gateway.counter_replied(&key, Outcome::Ok, 4.0, MS);
    // Later the counter rejects the call. All that is known is that other gateways had four requests in flight.
    fixture.advance(3_000 * MS);
    let request = fixture.request("c", 2_000 * MS);
    let key = counter_updates(&fixture.take_actions()).pop().expect("an update").0;
    fixture.gateway.counter_replied(&key, Outcome::Overloaded, 0.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [request]);
}

#[test]
fn a_stale_concurrency_total_does_not_admit_where_slots_are_few() {
    let gateway_settings =
        Settings { gateway_count: 100, ..settings(Idempotency::Idempotent, concurrency_plan(3)) };
    let mut fixture = Fixture::new(gateway_settings, 16);
    let send = |fixture: &mut Fixture, id: &str| {
        let (id, tenant, first, spread) = (common::id(id), common::id("c"), 0, 80);
        let request = Request {
            id,
            class: 0,
            plan: 0,
            tenant,
            units: 1.0,
            first_gateway: first,
            gateway_spread: spread,
            time_left: 2_000 * MS,
        };
        fixture.gateway.request_received(request);
        fixture.take_actions()
    };
    let key = counter_updates(&send(&mut fixture, "a")).pop().expect("an update").0;
    fixture.gateway.counter_replied(&key, Outcome::Ok, 2.0, MS);
    assert_eq!(forwards(&fixture.take_actions()).len(), 1);
    // Shortly afterwards the counter rejects a call. By then the two requests in flight may have become three.
    fixture.advance(300 * MS);
    let key = counter_updates(&send(&mut fixture, "b")).pop().expect("an update").0;
    fixture.gateway.counter_replied(&key, Outcome::Overloaded, 0.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [id("b")]);
}
