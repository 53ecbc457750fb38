//! Quotas of units: token bucket, admission fraction, sparse tenants and hard ceiling, at one gateway and at
//! many.

mod common;

use std::collections::HashMap;

use common::*;
use fernscale_policy::*;

#[test]
fn units_of_queued_requests_are_not_refilled_in_the_ceiling() {
    let ceiling = Ceiling { rate: 200.0, burst: 8.0 };
    let mut fixture = Fixture::new(
        settings(Idempotency::Idempotent, Plan { ceiling: Some(ceiling), ..unlimited_plan() }),
        2,
    );
    fixture.advance(1_000 * MS);
    // Two servers have two slots each. Further requests are queued while time passes.
    (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    let sent = forwards(&fixture.take_actions());
    fixture.advance(200 * MS);
    (0..2).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    fixture.advance(200 * MS);
    // All are forwarded at one instant: the queued requests, and those that the refilled tokens admit.
    fixture.take_actions();
    sent.iter().for_each(|(id, server)| fixture.complete_attempt(id, 0, server, Outcome::Ok, 100 * MS));
    let mut forwarded = complete_forwarded(&mut fixture, |_| 50 * MS);
    for _ in 0..6 {
        fixture.request("c", 2_000 * MS);
        forwarded += complete_forwarded(&mut fixture, |_| 50 * MS);
    }
    assert!((2..=4).contains(&forwarded), "{forwarded} forwarded at once, 4 are allowed");
}

#[test]
fn a_surge_between_updates_uses_only_the_bucket() {
    let plan = Plan { rate: 10.0, burst: 6.0, excess_cost: 1.0, priority_factor: 1.0, ..Plan::default() };
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, plan), 12);
    (0..20).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    // The even share of one of two gateways, for a tenant without a total.
    assert_eq!(forwards(&fixture.take_actions()).len(), 3);
}

/// What a fleet did in ten seconds: units forwarded, those of them beyond the quotas, calls to the counter in
/// the last second, and those of them that the counter rejected.
struct FleetTotals {
    forwarded: usize,
    over_quota: usize,
    counter_calls: usize,
    rejected_calls: usize,
}

/// Simulates many gateways and one counter with a capacity in calls per second, in steps of ten milliseconds.
/// Requests are distributed over gateways and tenants at random.
fn fleet(gateways: u32, plan: Plan, counter_capacity: usize, tenants: u64, offered: u64) -> FleetTotals {
    let gateway_settings = |index| Settings {
        gateway_index: index,
        gateway_count: gateways,
        seed: u64::from(index),
        ..settings(Idempotency::Idempotent, plan.clone())
    };
    let mut fixtures: Vec<Fixture> =
        (0..gateways).map(|index| Fixture::new(gateway_settings(index), 60)).collect();
    let (mut counts, mut random) = (HashMap::new(), 1u64);
    let (mut forwarded, mut over_quota, mut counter_calls, mut rejected_calls) = (0, 0, 0, 0);
    let (mut buckets, mut tenant_of_request) = (HashMap::new(), HashMap::new());
    for step in 0..1_000u64 {
        let mut capacity = counter_capacity / 100;
        for number in 0..offered * (step + 1) / 100 - offered * step / 100 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let (tenant_number, fixture) = (random >> 33, (random >> 40) as usize % fixtures.len());
            let (id, tenant) = (id(format!("{step}-{number}")), id(format!("c{}", tenant_number % tenants)));
            tenant_of_request.insert(id.clone(), tenant.clone());
            let (first, spread, timeout) = (0, gateways, 2_000 * MS);
            let request = Request {
                id,
                class: 0,
                plan: 0,
                tenant,
                units: 1.0,
                first_gateway: first,
                gateway_spread: spread,
                time_left: timeout,
            };
            fixtures[fixture].gateway.request_received(request);
        }
        for fixture in &mut fixtures {
            let mut actions = fixture.take_actions();
            while !actions.is_empty() {
                for (id, server) in forwards(&actions) {
                    forwarded += 1;
                    let full = (plan.burst, 0);
                    let (tokens, refilled_at) = buckets.entry(tenant_of_request[&id].clone()).or_insert(full);
                    *tokens = (*tokens + plan.rate * (step - *refilled_at) as f64 / 100.0).min(plan.burst);
                    *refilled_at = step;
                    over_quota += usize::from(*tokens < 1.0);
                    *tokens -= if *tokens < 1.0 { 0.0 } else { 1.0 };
                    fixture.complete_attempt(&id, 0, &server, Outcome::Ok, 100 * MS);
                }
                for (key, amount) in counter_updates(&actions) {
                    counter_calls += usize::from(step >= 900);
                    rejected_calls += usize::from(step >= 900 && capacity == 0);
                    let total = counts.entry(key.clone()).or_insert(0.0);
                    *total += if capacity > 0 { amount } else { 0.0 };
                    let outcome = if capacity > 0 { Outcome::Ok } else { Outcome::Overloaded };
                    // The last calls of a step have waited in the counter's queue.
                    let elapsed = if capacity * 4 > counter_capacity / 100 { 2 * MS } else { 8 * MS };
                    capacity = capacity.saturating_sub(1);
                    fixture.gateway.counter_replied(&key, outcome, *total, elapsed);
                }
                actions = fixture.take_actions();
            }
            fixture.advance(10 * MS);
        }
    }
    FleetTotals { forwarded, over_quota, counter_calls, rejected_calls }
}

#[test]
fn a_hundred_gateways_keep_one_tenant_to_its_quota() {
    let plan = Plan { rate: 4.0, burst: 16.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let forwarded = fleet(100, plan, 10_000, 1, 12).forwarded;
    // Ten seconds at three times the quota, with a bucket that was full: the quota admits 56 of 120.
    assert!((28..=72).contains(&forwarded), "{forwarded} units forwarded, 56 are within the quota");
}

#[test]
fn sparse_tenants_of_a_hundred_gateways_get_their_quotas_and_little_more() {
    // Each tenant offers six times its quota, and reaches a given gateway about once in half a minute.
    let plan = Plan { rate: 0.5, burst: 2.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let FleetTotals { forwarded, over_quota, .. } = fleet(100, plan, 10_000, 20, 60);
    assert!(
        forwarded - over_quota >= 105,
        "{} units forwarded within the quotas, 140 are allowed",
        forwarded - over_quota
    );
    assert!(over_quota * 5 < forwarded, "{over_quota} of {forwarded} units beyond the quotas");
}

#[test]
fn sparse_tenants_without_a_total_are_rejected_while_others_have_one() {
    // The counter accepts a quarter of the calls that would be made.
    let plan = Plan { rate: 0.5, burst: 2.0, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() };
    let FleetTotals { forwarded, over_quota, .. } = fleet(100, plan, 300, 300, 900);
    assert!(forwarded > 900, "{forwarded} units forwarded, 2,100 are allowed");
    assert!(over_quota * 5 < forwarded * 2, "{over_quota} of {forwarded} units beyond the quotas");
}

/// Guards against admitting repeats as readily as first requests when the counter accepts few calls and tenants
/// ask for three times their quota: half of the admitted units were then beyond the quotas.
#[test]
fn sparse_tenants_without_a_total_may_send_again_only_if_excess_costs_little() {
    for (excess_cost, repeat_passes) in [(1.2, false), (0.7, false), (0.6, true), (0.0, true)] {
        let plan = Plan { rate: 1.0, burst: 4.0, priority_factor: 1.0, excess_cost, ..Plan::default() };
        let mut fixture =
            Fixture::new(Settings { gateway_count: 100, ..settings(Idempotency::Idempotent, plan) }, 60);
        let mut sent_count = 0;
        let mut send = |fixture: &mut Fixture, tenant: &str| {
            sent_count += 1;
            fixture.gateway.request_received(Request {
                id: id(format!("a{sent_count}")),
                class: 0,
                plan: 0,
                tenant: id(tenant),
                units: 1.0,
                first_gateway: 0,
                gateway_spread: 100,
                time_left: 2_000 * MS,
            });
            let actions = fixture.take_actions();
            let sent = forwards(&actions);
            sent.iter()
                .for_each(|(id, server)| fixture.complete_attempt(id, 0, server, Outcome::Ok, 100 * MS));
            (!sent.is_empty(), counter_updates(&actions))
        };
        // The counter replies to the first call only, so that most tenants have no total.
        let (_, first) = send(&mut fixture, "c0");
        fixture.gateway.counter_replied(&first[0].0, Outcome::Ok, 1.0, MS);
        fixture.take_actions();
        (1..200).for_each(|at| drop(send(&mut fixture, &format!("c{at}"))));
        let mut send_twice = |tenant: String| (send(&mut fixture, &tenant).0, send(&mut fixture, &tenant).0);
        let results: Vec<(bool, bool)> = (0..20).map(|at| send_twice(format!("d{at}"))).collect();
        assert!(
            results.iter().all(|(first, _)| *first),
            "the first request passes at excess cost {excess_cost}: {results:?}"
        );
        assert!(
            results.iter().all(|(_, second)| *second == repeat_passes),
            "at excess cost {excess_cost}: {results:?}"
        );
        // While the counter is down there are no totals, so a tenant that sends again is no more suspect than
        // before.
        fixture.advance(3_000 * MS);
        let mut send_without_counter = |fixture: &mut Fixture| {
            let (sent, updates) = send(fixture, "e");
            updates
                .iter()
                .for_each(|(key, _)| fixture.gateway.counter_replied(key, Outcome::TimedOut, 0.0, 50 * MS));
            sent || !forwards(&fixture.take_actions()).is_empty()
        };
        assert_eq!(
            (send_without_counter(&mut fixture), send_without_counter(&mut fixture)),
            (true, true),
            "at excess cost {excess_cost} while the counter is down"
        );
    }
}

#[test]
fn two_hundred_gateways_do_not_overload_the_counter() {
    let FleetTotals { counter_calls, rejected_calls, .. } = fleet(200, unlimited_plan(), 800, 100_000, 2_000);
    assert!(
        (200..=1_000).contains(&counter_calls),
        "{counter_calls} calls in a second, the counter accepts 800"
    );
    assert!(rejected_calls * 3 < counter_calls, "{rejected_calls} of {counter_calls} calls rejected");
}

#[test]
fn demand_does_not_grow_without_counter_replies() {
    let mut fixture = Fixture::new(
        settings(Idempotency::Idempotent, Plan { rate: 20.0, burst: 30.0, ..unlimited_plan() }),
        4,
    );
    let mut total = 0.0;
    let mut run_one_second = |fixture: &mut Fixture, reachable: bool| {
        let mut sent = 0;
        // Ten requests a second here and as many at the other gateway: exactly the quota.
        for _ in 0..10 {
            fixture.request("c", 1_000 * MS);
            for _ in 0..2 {
                let actions = fixture.take_actions();
                for (key, amount) in counter_updates(&actions) {
                    total += if reachable { 2.0 * amount } else { 0.0 };
                    fixture.gateway.counter_replied(
                        &key,
                        if reachable { Outcome::Ok } else { Outcome::NotConnected },
                        total,
                        MS,
                    );
                }
                for (id, server) in forwards(&actions) {
                    sent += 1;
                    fixture.complete_attempt(&id, 0, &server, Outcome::Ok, 20 * MS);
                }
            }
            fixture.advance(100 * MS);
        }
        sent
    };
    (0..10).for_each(|_| assert!(run_one_second(&mut fixture, true) >= 7));
    let forwarded_without_counter: Vec<usize> =
        (0..20).map(|_| run_one_second(&mut fixture, false)).collect();
    assert!(
        forwarded_without_counter.iter().all(|sent| *sent >= 6),
        "{forwarded_without_counter:?} forwarded in each second without a counter"
    );
}

/// Guards against tenants that are remembered without end, and against a bound that gives a tenant its quota anew.
#[test]
fn at_the_bound_a_tenant_makes_room_only_when_its_bucket_is_full_again() {
    let plan = Plan { rate: 1.0, burst: 2.0, ..unlimited_plan() };
    let settings = Settings { has_shared_counter: false, ..settings(Idempotency::Idempotent, plan) };
    let mut fixture = Fixture::new(settings, 4);
    fixture.gateway.set_max_tenants(2);
    let forwarded = |fixture: &mut Fixture, tenant: &str| {
        fixture.request(tenant, 60_000 * MS);
        complete_forwarded(fixture, |_| 10 * MS) == 1
    };
    // The even share of the burst is one unit.
    assert!(forwarded(&mut fixture, "a") && forwarded(&mut fixture, "b"));
    assert!(!forwarded(&mut fixture, "c"), "both of the others have used their units");
    let reasons: Vec<RejectReason> =
        fixture.host.0.borrow().rejections.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [RejectReason::TooManyTenants]);
    assert!(!forwarded(&mut fixture, "a"), "its quota is as it was");
    fixture.advance(4_000 * MS);
    assert!(forwarded(&mut fixture, "c"), "the bucket of another is full again");
}
