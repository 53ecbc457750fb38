//! The quota on requests in flight: what the shared counter gets of it, and what it admits.

mod common;

use std::collections::HashMap;

use common::*;
use fernscale_policy::*;

#[test]
fn a_rejected_concurrency_update_is_not_repeated_at_once() {
    let plan = Plan { rate: 0.0, burst: 0.0, max_concurrency: 4, ..wide() };
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 4);
    fixture.pass(50 * MS);
    fixture.request("c", 2_000 * MS);
    let added = counter_updates(&fixture.take_actions());
    assert_eq!(added.len(), 1);
    fixture.gateway.counter_replied(&added[0].0, Outcome::Overloaded, 0.0, MS);
    fixture.pass(50 * MS);
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
    let mut counts = HashMap::<String, f64>::new();
    // The updates that take requests off are lost for half a second, as where the counter's connection breaks.
    let mut served = |fixture: &mut Fixture, lost: bool| {
        fixture.request("c", 1_000 * MS);
        let mut done = false;
        loop {
            let actions = fixture.take_actions();
            for (name, amount) in counter_updates(&actions) {
                let (gone, total) = (lost && amount < 0.0, counts.entry(name.clone()).or_default());
                *total += if gone { 0.0 } else { amount };
                let outcome = if gone { Outcome::TimedOut } else { Outcome::Ok };
                fixture.gateway.counter_replied(&name, outcome, *total, MS);
            }
            for (id, server) in sends(&actions) {
                fixture.end(&id, 0, &server, Outcome::Ok, 20 * MS);
                done = true;
            }
            if actions.is_empty() {
                break;
            }
        }
        fixture.pass(100 * MS);
        done
    };
    assert!((0..5).any(|_| !served(&mut fixture, true)));
    fixture.pass(5_000 * MS);
    let good = (0..20).filter(|_| served(&mut fixture, false)).count();
    assert_eq!(good, 20);
}

/// A plan with so many requests in flight at once, and no other quota.
fn capped(max_concurrency: u32) -> Plan {
    Plan { rate: 0.0, burst: 0.0, max_concurrency, ..wide() }
}

#[test]
fn requests_in_flight_are_carried_over_when_a_window_begins() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, capped(4)), 4);
    fixture.request("c", 20_000 * MS);
    let first = counter_updates(&fixture.take_actions()).pop().expect("a call with the transaction");
    fixture.gateway.counter_replied(&first.0, Outcome::Ok, 1.0, MS);
    assert_eq!(sends(&fixture.take_actions()).len(), 1);
    // Nothing comes or ends for two windows: the one request must be counted in each all the same.
    for _ in 0..2 {
        let mut told = Vec::new();
        for _ in 0..500 {
            fixture.pass(10 * MS);
            let added = counter_updates(&fixture.take_actions());
            added
                .iter()
                .for_each(|(name, total)| fixture.gateway.counter_replied(name, Outcome::Ok, *total, MS));
            told.extend(added);
        }
        assert_eq!(told.len(), 1, "{told:?}");
        assert!(told[0].0 != first.0 && told[0].1 == 1.0, "{told:?}");
    }
}

#[test]
fn concurrency_windows_of_tenants_begin_at_different_times() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, capped(4)), 40);
    for at in 0..50 {
        fixture.request(&format!("c{at}"), 60_000 * MS);
    }
    let mut told = [0; 500];
    for slice in &mut told {
        for (name, total) in counter_updates(&fixture.take_actions()) {
            fixture.gateway.counter_replied(&name, Outcome::Ok, total, MS);
            *slice += 1;
        }
        fixture.pass(10 * MS);
    }
    let most = told[1..].iter().max().expect("slices");
    assert!(*most <= 5, "{most} of 50 customers told in ten milliseconds");
}

#[test]
fn the_first_reply_sets_the_mean_of_requests_in_flight_elsewhere() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, capped(4)), 4);
    let asked = fixture.request("c", 2_000 * MS);
    let name = counter_updates(&fixture.take_actions()).pop().expect("a call").0;
    fixture.gateway.counter_replied(&name, Outcome::Ok, 5.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [asked]);
    fixture.gateway.counter_replied(&name, Outcome::Ok, 4.0, MS);
    // Later the counter rejects the call: all that is known is that others had four in flight.
    fixture.pass(3_000 * MS);
    let asked = fixture.request("c", 2_000 * MS);
    let name = counter_updates(&fixture.take_actions()).pop().expect("a call").0;
    fixture.gateway.counter_replied(&name, Outcome::Overloaded, 0.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [asked]);
}

#[test]
fn a_stale_concurrency_total_does_not_admit_where_slots_are_few() {
    let told = Settings { gateway_count: 100, ..settings(Idempotency::Idempotent, capped(3)) };
    let mut fixture = Fixture::new(told, 16);
    let ask = |fixture: &mut Fixture, id: &str| {
        let (id, tenant, first, spread) = (common::id(id), common::id("c"), 0, 80);
        let asked = Request {
            id,
            class: 0,
            plan: 0,
            tenant,
            units: 1.0,
            first_gateway: first,
            gateway_spread: spread,
            time_left: 2_000 * MS,
        };
        fixture.gateway.request_received(asked);
        fixture.take_actions()
    };
    let name = counter_updates(&ask(&mut fixture, "a")).pop().expect("a call").0;
    fixture.gateway.counter_replied(&name, Outcome::Ok, 2.0, MS);
    assert_eq!(sends(&fixture.take_actions()).len(), 1);
    // A moment later the counter has no time for a call: the two that were in flight may be three by now.
    fixture.pass(300 * MS);
    let name = counter_updates(&ask(&mut fixture, "b")).pop().expect("a call").0;
    fixture.gateway.counter_replied(&name, Outcome::Overloaded, 0.0, MS);
    assert_eq!(rejected_requests(&fixture.take_actions()), [id("b")]);
}
