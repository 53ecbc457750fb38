//! How much a server gets: concurrency limits, slow start, outliers, priorities, scopes of idempotency keys.

mod common;

use common::*;
use fernscale_policy::*;

#[test]
fn slow_hardware_keeps_its_concurrency_limit() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 2);
    let pace = |server: &Id| if &**server == "s0" { 160 * MS } else { 100 * MS };
    for _ in 0..300 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_all(&mut fixture, pace);
    }
    (0..40).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    let slow = sends(&fixture.take_actions()).iter().filter(|(_, server)| &**server == "s0").count();
    assert!(slow >= 2, "{slow} places at the slow server");
}

#[test]
fn the_lowest_priority_is_shed_first_and_at_once() {
    let mut told = settings(Idempotency::Idempotent, wide());
    told.plans.push(Plan { priority_factor: 3.0, ..wide() });
    let mut fixture = Fixture::new(told, 1);
    let mut ask = |name: &str, plan: usize| {
        let asked = Request {
            id: id(name),
            class: 0,
            plan,
            tenant: id(format!("c{plan}")),
            units: 1.0,
            first_gateway: 0,
            gateway_spread: 2,
            time_left: 2_000 * MS,
        };
        fixture.gateway.request_received(asked);
        fixture.take_actions()
    };
    // Two slots and a queue of two.
    assert_eq!(sends(&ask("a", 0)).len() + sends(&ask("b", 0)).len(), 2);
    assert_eq!(sends(&[ask("cheap", 0), ask("cheaper", 0)].concat()), []);
    assert_eq!(rejected_requests(&ask("dear", 1)), [id("cheaper")]);
    assert_eq!(rejected_requests(&ask("cheap too", 0)), [id("cheap too")]);
}

#[test]
fn a_rejecting_server_in_slow_start_is_not_overloaded() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    for _ in 0..30 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_all(&mut fixture, |_| 100 * MS);
        fixture.pass(100 * MS);
    }
    let started = Some(fixture.now());
    fixture.gateway.endpoints_updated(false, &[listed("s0", 0, EndpointState::Ready, started)]);
    let mut pushed = 0;
    for _ in 0..20 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        for (id, server) in sends(&fixture.take_actions()) {
            let cold = &*server == "s0";
            pushed += usize::from(cold);
            fixture.end(&id, 0, &server, if cold { Outcome::Overloaded } else { Outcome::Ok }, 50 * MS);
        }
        fixture.pass(50 * MS);
    }
    // A warm server gets ten a second from here: three times a fifth of that, and half of it for safety.
    assert!((1..=3).contains(&pushed), "{pushed} sent to a cold server within a second");
}

#[test]
fn a_server_that_fails_fast_does_not_attract_all_traffic() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    let mut failing = 0;
    for round in 0..60 {
        // More than the others have slots for; the failing one always has capacity.
        (0..8).for_each(|_| drop(fixture.request("c", 3_000 * MS)));
        let sent = sends(&fixture.take_actions());
        for (id, server) in sent.iter().filter(|(_, server)| &**server == "s0") {
            failing += usize::from(round >= 20);
            fixture.end(id, 0, server, Outcome::Error, MS);
        }
        fixture.take_actions();
        fixture.pass(100 * MS);
        for (id, server) in sent.iter().filter(|(_, server)| &**server != "s0") {
            fixture.end(id, 0, server, Outcome::Ok, 100 * MS);
        }
    }
    assert!(failing <= 12, "{failing} sent to a failing server within four seconds");
}

#[test]
fn a_hundred_gateways_do_not_collapse_a_server_in_slow_start() {
    let mut pushed = 0;
    for me in 0..100 {
        let told = Settings {
            gateway_index: me,
            gateway_count: 100,
            seed: u64::from(me),
            ..settings(Idempotency::Idempotent, wide())
        };
        let mut fixture = Fixture::new(told, 8);
        for _ in 0..30 {
            fixture.request("c", 900 * MS);
            complete_all(&mut fixture, |_| 100 * MS);
            fixture.pass(100 * MS);
        }
        let started = Some(fixture.now());
        let fresh: Vec<Endpoint> =
            (0..7).map(|at| listed(&format!("s{at}"), 0, EndpointState::Ready, started)).collect();
        fixture.gateway.endpoints_updated(false, &fresh);
        for _ in 0..10 {
            fixture.request("c", 900 * MS);
            for (id, server) in sends(&fixture.take_actions()) {
                pushed += usize::from(&*server == "s0");
                fixture.end(&id, 0, &server, Outcome::Overloaded, MS);
            }
            fixture.pass(100 * MS);
        }
    }
    // A warm server gets 125 a second: three times a fifth of that.
    assert!((10..=75).contains(&pushed), "{pushed} sent to a cold server by a hundred gateways in a second");
}

#[test]
fn many_gateways_keep_few_attempts_in_flight_at_a_server() {
    let out: usize = (0..100)
        .map(|me| {
            let told = Settings {
                gateway_index: me,
                gateway_count: 100,
                ..settings(Idempotency::Idempotent, wide())
            };
            let mut fixture = Fixture::new(told, 32);
            (0..20).for_each(|_| drop(fixture.request("c", 900 * MS)));
            sends(&fixture.take_actions()).len()
        })
        .sum();
    assert!((100..=8 * 32).contains(&out), "{out} trips in flight at 32 servers");
}

#[test]
fn a_keyed_request_stays_in_its_scope_when_its_first_server_is_removed() {
    let kind = Idempotency::Keyed { scope: KeyScope::Zone, retention: 60_000 * MS };
    let mut fixture = Fixture::new(settings(kind, wide()), 2);
    let asked = fixture.request("c", 60_000 * MS);
    let first = sends(&fixture.take_actions())[0].1.clone();
    let other = if &*first == "s0" { "s1" } else { "s0" };
    let near = u32::from(&*first != "s0");
    fixture.gateway.endpoints_updated(false, &[listed("s9", near, EndpointState::Ready, None)]);
    fixture.end(&asked, 0, &first, Outcome::TimedOut, 100 * MS);
    assert_eq!(sends(&fixture.take_actions()), [(asked.clone(), id("s9"))]);
    fixture.gateway.endpoints_updated(false, &[listed(&first, near, EndpointState::Removed, None)]);
    fixture.end(&asked, 1, &id("s9"), Outcome::TimedOut, 100 * MS);
    assert_eq!(sends(&fixture.take_actions()), [], "{other} would run it twice");
}

#[test]
fn a_fleet_always_in_slow_start_is_still_used() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    let second = |fixture: &mut Fixture| {
        let mut sent = 0;
        for _ in 0..20 {
            (0..2).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
            sent += complete_all(fixture, |_| 50 * MS);
            fixture.pass(50 * MS);
        }
        sent
    };
    (0..20).for_each(|_| assert!(second(&mut fixture) > 30));
    // One of four is replaced every two seconds, and none becomes warm.
    let mut last = 0;
    for at in 0..60 {
        if at % 2 == 0 {
            let (new, old) = (format!("n{}", at / 2), format!("n{}", (at / 2 + 26) % 30));
            let old = if at < 8 { format!("s{}", at / 2) } else { old };
            let entries = [
                listed(&new, 0, EndpointState::Ready, Some(fixture.now())),
                listed(&old, 0, EndpointState::Removed, None),
            ];
            fixture.gateway.endpoints_updated(false, &entries);
        }
        last = second(&mut fixture);
    }
    assert!(last > 12, "{last} sent in the last second, forty asked");
}

/// How many of the requests that come at once find a slot after a round of answers that took so long here, of which the last part
/// lay unread.
fn admitted_after(took: Micros, read_delay: Micros) -> usize {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    let mut round = |took: Micros, read_delay: Micros| {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let sent = sends(&fixture.take_actions());
        for (id, server) in &sent {
            fixture.end_read_late(id, 0, server, Outcome::Ok, took, read_delay);
        }
        // What had to wait goes now.
        complete_all(&mut fixture, |_| took - read_delay);
        fixture.pass(100 * MS);
        sent.len()
    };
    for _ in 0..40 {
        round(100 * MS, 0);
    }
    round(took, read_delay);
    round(100 * MS, 0)
}

/// Guards against a gateway's own standstill being taken for slow servers, and against slow servers being taken for a standstill.
#[test]
fn only_the_time_of_servers_lowers_their_limits() {
    assert_eq!(admitted_after(100 * MS, 0), 8);
    assert_eq!(admitted_after(1_000 * MS, 900 * MS), 8, "the gateway alone was late");
    let slow = admitted_after(1_000 * MS, 0);
    assert!(slow < 8, "{slow} where all servers were slow");
    assert_eq!(
        admitted_after(1_900 * MS, 900 * MS),
        slow,
        "the servers were as slow while the gateway was late too"
    );
}

/// Guards against limits that no longer fall where servers stay slow.
#[test]
fn ten_slow_answers_one_after_the_other_bring_the_limits_to_their_least() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    for _ in 0..40 {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_all(&mut fixture, |_| 100 * MS);
        fixture.pass(100 * MS);
    }
    for _ in 0..10 {
        fixture.request("c", 2_000 * MS);
        complete_all(&mut fixture, |_| 1_000 * MS);
        fixture.pass(20 * MS);
    }
    (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    // One attempt for each of four servers.
    assert_eq!(sends(&fixture.take_actions()).len(), 4);
}

/// Guards against a burst being rejected that idle servers serve long before anybody has waited too long, as after a standstill
/// of this gateway.
#[test]
fn a_burst_waits_where_servers_can_serve_it_in_time_and_is_shed_where_they_can_not() {
    for (latency, rejected) in [(10 * MS, 0), (400 * MS, 26)] {
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
        for _ in 0..60 {
            (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
            complete_all(&mut fixture, |_| latency);
            fixture.pass(latency);
        }
        (0..30).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let actions = fixture.take_actions();
        assert_eq!(rejected_requests(&actions).len(), rejected, "answers take {latency} us");
    }
}

/// Guards against answers that are known to have lain unread for nearly all of their time passing for instant ones: the latency of an
/// idle fleet would fall, and what is usual would look slow.
#[test]
fn answers_read_late_do_not_make_servers_look_faster_than_they_are() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    let mut round = |read_late: bool| {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let sent = sends(&fixture.take_actions());
        for (id, server) in &sent {
            let (took, read_delay) = if read_late { (900 * MS, 900 * MS) } else { (100 * MS, 0) };
            fixture.end_read_late(id, 0, server, Outcome::Ok, took, read_delay);
        }
        complete_all(&mut fixture, |_| 100 * MS);
        fixture.pass(100 * MS);
        sent.len()
    };
    let mut sent = |rounds: usize, read_late: bool| (0..rounds).map(|_| round(read_late)).sum::<usize>();
    sent(40, false);
    assert_eq!([sent(40, true), sent(40, false)], [8 * 40, 8 * 40]);
}

/// Guards against an attempt for a request whose time has run out, where a gateway that was held up hears of a free server before it
/// hears of the time.
#[test]
fn a_queued_request_whose_time_has_run_out_is_rejected_and_not_sent() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 1);
    let requests: Vec<Id> = (0..4).map(|_| fixture.request("c", 200 * MS)).collect();
    let sent = sends(&fixture.take_actions());
    assert_eq!(sent.len(), 2);
    fixture.host.0.borrow_mut().now += 300 * MS;
    fixture.end(&sent[0].0, 0, &sent[0].1, Outcome::Ok, 300 * MS);
    let actions = fixture.take_actions();
    assert_eq!(sends(&actions), []);
    assert_eq!(rejected_requests(&actions), requests[2..]);
}
