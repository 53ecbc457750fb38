//! How much traffic a server gets: concurrency limits, slow start, outliers, priorities, scopes of idempotency
//! keys.

mod common;

use common::*;
use fernscale_policy::*;

#[test]
fn slow_hardware_keeps_its_concurrency_limit() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 2);
    let latency = |server: &Id| if &**server == "s0" { 160 * MS } else { 100 * MS };
    for _ in 0..300 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_forwarded(&mut fixture, latency);
    }
    (0..40).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    let slow = forwards(&fixture.take_actions()).iter().filter(|(_, server)| &**server == "s0").count();
    assert!(slow >= 2, "{slow} slots at the slow server");
}

#[test]
fn the_lowest_priority_is_shed_first_and_at_once() {
    let mut gateway_settings = settings(Idempotency::Idempotent, unlimited_plan());
    gateway_settings.plans.push(Plan { priority_factor: 3.0, ..unlimited_plan() });
    let mut fixture = Fixture::new(gateway_settings, 1);
    let mut send = |name: &str, plan: usize| {
        let request = Request {
            id: id(name),
            class: 0,
            plan,
            tenant: id(format!("c{plan}")),
            units: 1.0,
            first_gateway: 0,
            gateway_spread: 2,
            time_left: 2_000 * MS,
        };
        fixture.gateway.request_received(request);
        fixture.take_actions()
    };
    // The server has two slots, and the queue holds two requests.
    assert_eq!(forwards(&send("a", 0)).len() + forwards(&send("b", 0)).len(), 2);
    assert_eq!(forwards(&[send("cheap", 0), send("cheaper", 0)].concat()), []);
    assert_eq!(rejected_requests(&send("dear", 1)), [id("cheaper")]);
    assert_eq!(rejected_requests(&send("cheap too", 0)), [id("cheap too")]);
}

#[test]
fn a_rejecting_server_in_slow_start_is_not_overloaded() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    for _ in 0..30 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_forwarded(&mut fixture, |_| 100 * MS);
        fixture.advance(100 * MS);
    }
    let started = Some(fixture.now());
    fixture.gateway.endpoints_updated(false, &[endpoint("s0", 0, EndpointState::Ready, started)]);
    let mut attempts = 0;
    for _ in 0..20 {
        (0..4).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        for (id, server) in forwards(&fixture.take_actions()) {
            let in_slow_start = &*server == "s0";
            attempts += usize::from(in_slow_start);
            fixture.complete_attempt(
                &id,
                0,
                &server,
                if in_slow_start { Outcome::Overloaded } else { Outcome::Ok },
                50 * MS,
            );
        }
        fixture.advance(50 * MS);
    }
    // A warm server gets ten attempts a second from this gateway. A server in slow start may get three times a
    // fifth of that, and half of it is kept as a safety margin.
    assert!((1..=3).contains(&attempts), "{attempts} attempts at a server in slow start within a second");
}

#[test]
fn a_server_that_fails_fast_does_not_attract_all_traffic() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    let mut failing = 0;
    for round in 0..60 {
        // More requests than the other servers have slots for; the failing one always has capacity.
        (0..8).for_each(|_| drop(fixture.request("c", 3_000 * MS)));
        let sent = forwards(&fixture.take_actions());
        for (id, server) in sent.iter().filter(|(_, server)| &**server == "s0") {
            failing += usize::from(round >= 20);
            fixture.complete_attempt(id, 0, server, Outcome::Error, MS);
        }
        fixture.take_actions();
        fixture.advance(100 * MS);
        for (id, server) in sent.iter().filter(|(_, server)| &**server != "s0") {
            fixture.complete_attempt(id, 0, server, Outcome::Ok, 100 * MS);
        }
    }
    assert!(failing <= 12, "{failing} attempts at a failing server within four seconds");
}

#[test]
fn a_hundred_gateways_do_not_collapse_a_server_in_slow_start() {
    let mut attempts = 0;
    for index in 0..100 {
        let gateway_settings = Settings {
            gateway_index: index,
            gateway_count: 100,
            seed: u64::from(index),
            ..settings(Idempotency::Idempotent, unlimited_plan())
        };
        let mut fixture = Fixture::new(gateway_settings, 8);
        for _ in 0..30 {
            fixture.request("c", 900 * MS);
            complete_forwarded(&mut fixture, |_| 100 * MS);
            fixture.advance(100 * MS);
        }
        let started = Some(fixture.now());
        let restarted: Vec<Endpoint> =
            (0..7).map(|at| endpoint(&format!("s{at}"), 0, EndpointState::Ready, started)).collect();
        fixture.gateway.endpoints_updated(false, &restarted);
        for _ in 0..10 {
            fixture.request("c", 900 * MS);
            for (id, server) in forwards(&fixture.take_actions()) {
                attempts += usize::from(&*server == "s0");
                fixture.complete_attempt(&id, 0, &server, Outcome::Overloaded, MS);
            }
            fixture.advance(100 * MS);
        }
    }
    // A warm server gets 125 attempts a second; a server in slow start collapses at three times a fifth of
    // that.
    assert!(
        (10..=75).contains(&attempts),
        "{attempts} attempts at a server in slow start by a hundred gateways in a second"
    );
}

#[test]
fn many_gateways_keep_few_attempts_in_flight_at_a_server() {
    let in_flight: usize = (0..100)
        .map(|index| {
            let gateway_settings = Settings {
                gateway_index: index,
                gateway_count: 100,
                ..settings(Idempotency::Idempotent, unlimited_plan())
            };
            let mut fixture = Fixture::new(gateway_settings, 32);
            (0..20).for_each(|_| drop(fixture.request("c", 900 * MS)));
            forwards(&fixture.take_actions()).len()
        })
        .sum();
    assert!((100..=8 * 32).contains(&in_flight), "{in_flight} attempts in flight at 32 servers");
}

#[test]
fn a_keyed_request_stays_in_its_scope_when_its_first_server_is_removed() {
    let idempotency = Idempotency::Keyed { scope: KeyScope::Zone, retention: 60_000 * MS };
    let mut fixture = Fixture::new(settings(idempotency, unlimited_plan()), 2);
    let request = fixture.request("c", 60_000 * MS);
    let first = forwards(&fixture.take_actions())[0].1.clone();
    let other = if &*first == "s0" { "s1" } else { "s0" };
    let zone = u32::from(&*first != "s0");
    fixture.gateway.endpoints_updated(false, &[endpoint("s9", zone, EndpointState::Ready, None)]);
    fixture.complete_attempt(&request, 0, &first, Outcome::TimedOut, 100 * MS);
    assert_eq!(forwards(&fixture.take_actions()), [(request.clone(), id("s9"))]);
    fixture.gateway.endpoints_updated(false, &[endpoint(&first, zone, EndpointState::Removed, None)]);
    fixture.complete_attempt(&request, 1, &id("s9"), Outcome::TimedOut, 100 * MS);
    assert_eq!(forwards(&fixture.take_actions()), [], "{other} would run the request twice");
}

/// Guards against a retry that waits for its connection until the servers have forgotten its key.
#[test]
fn a_keyed_retry_has_to_be_sent_before_its_key_is_forgotten() {
    let retention = 900 * MS;
    let idempotency = Idempotency::Keyed { scope: KeyScope::All, retention };
    let mut fixture = Fixture::new(settings(idempotency, unlimited_plan()), 2);
    let send_before = |fixture: &Fixture| fixture.host.0.borrow().last_limits.expect("forwarded").send_before;
    let (request, sent_at) = (fixture.request("c", 60_000 * MS), fixture.now());
    let first = forwards(&fixture.take_actions())[0].1.clone();
    assert_eq!(send_before(&fixture), None, "a first attempt is bound to no key");
    fixture.advance(500 * MS);
    fixture.complete_attempt(&request, 0, &first, Outcome::Reset, 500 * MS);
    assert_eq!(forwards(&fixture.take_actions()).len(), 1);
    let send_before = send_before(&fixture).expect("bounded by the key");
    assert!(send_before > fixture.now() && send_before <= sent_at + retention, "{send_before}");
}

#[test]
fn a_fleet_always_in_slow_start_is_still_used() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    let run_one_second = |fixture: &mut Fixture| {
        let mut sent = 0;
        for _ in 0..20 {
            (0..2).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
            sent += complete_forwarded(fixture, |_| 50 * MS);
            fixture.advance(50 * MS);
        }
        sent
    };
    (0..20).for_each(|_| assert!(run_one_second(&mut fixture) > 30));
    // One of the four servers is replaced every two seconds, so that none becomes warm.
    let mut last = 0;
    for at in 0..60 {
        if at % 2 == 0 {
            let (new, old) = (format!("n{}", at / 2), format!("n{}", (at / 2 + 26) % 30));
            let old = if at < 8 { format!("s{}", at / 2) } else { old };
            let entries = [
                endpoint(&new, 0, EndpointState::Ready, Some(fixture.now())),
                endpoint(&old, 0, EndpointState::Removed, None),
            ];
            fixture.gateway.endpoints_updated(false, &entries);
        }
        last = run_one_second(&mut fixture);
    }
    assert!(last > 12, "{last} of forty requests forwarded in the last second");
}

/// Returns how many of eight simultaneous requests are forwarded at once, after a round of answers that took
/// `elapsed` here and lay unread for the last `read_delay` of it.
fn admitted_after(elapsed: Micros, read_delay: Micros) -> usize {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    let mut run_round = |elapsed: Micros, read_delay: Micros| {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let sent = forwards(&fixture.take_actions());
        for (id, server) in &sent {
            fixture.complete_attempt_read_late(id, 0, server, Outcome::Ok, elapsed, read_delay);
        }
        // Requests that were queued are forwarded now.
        complete_forwarded(&mut fixture, |_| elapsed - read_delay);
        fixture.advance(100 * MS);
        sent.len()
    };
    for _ in 0..40 {
        run_round(100 * MS, 0);
    }
    run_round(elapsed, read_delay);
    run_round(100 * MS, 0)
}

/// Guards against taking a gateway's own stall for slow servers, and slow servers for a stall.
#[test]
fn slow_servers_lower_their_limits_and_a_slow_gateway_does_not() {
    assert_eq!(admitted_after(100 * MS, 0), 8);
    assert_eq!(admitted_after(1_000 * MS, 900 * MS), 8, "only the gateway was delayed");
    let slow = admitted_after(1_000 * MS, 0);
    assert!(slow < 8, "{slow} admitted although all servers were slow");
    assert_eq!(
        admitted_after(1_900 * MS, 900 * MS),
        slow,
        "the servers were as slow, and the gateway was delayed too"
    );
}

/// Guards against limits that stop falling while servers stay slow.
#[test]
fn ten_slow_answers_in_a_row_lower_the_limits_to_their_minimum() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    for _ in 0..40 {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        complete_forwarded(&mut fixture, |_| 100 * MS);
        fixture.advance(100 * MS);
    }
    for _ in 0..10 {
        fixture.request("c", 2_000 * MS);
        complete_forwarded(&mut fixture, |_| 1_000 * MS);
        fixture.advance(20 * MS);
    }
    (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
    // One attempt at each of four servers.
    assert_eq!(forwards(&fixture.take_actions()).len(), 4);
}

/// Guards against rejecting a burst that idle servers can serve well within the longest wait, as after a stall
/// of this gateway.
#[test]
fn a_burst_is_queued_if_servers_can_serve_it_in_time_and_else_shed() {
    for (latency, rejected) in [(10 * MS, 0), (400 * MS, 26)] {
        let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
        for _ in 0..60 {
            (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
            complete_forwarded(&mut fixture, |_| latency);
            fixture.advance(latency);
        }
        (0..30).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let actions = fixture.take_actions();
        assert_eq!(rejected_requests(&actions).len(), rejected, "answers take {latency} us");
    }
}

/// Guards against counting answers that lay unread for nearly all of their time as instant ones: the idle
/// latency would fall, and the usual latency would look slow.
#[test]
fn answers_read_late_do_not_make_servers_look_faster_than_they_are() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    let mut run_round = |read_late: bool| {
        (0..8).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let sent = forwards(&fixture.take_actions());
        for (id, server) in &sent {
            let (elapsed, read_delay) = if read_late { (900 * MS, 900 * MS) } else { (100 * MS, 0) };
            fixture.complete_attempt_read_late(id, 0, server, Outcome::Ok, elapsed, read_delay);
        }
        complete_forwarded(&mut fixture, |_| 100 * MS);
        fixture.advance(100 * MS);
        sent.len()
    };
    let mut sent = |rounds: usize, read_late: bool| (0..rounds).map(|_| run_round(read_late)).sum::<usize>();
    sent(40, false);
    assert_eq!([sent(40, true), sent(40, false)], [8 * 40, 8 * 40]);
}

/// Guards against an attempt for an expired request, which could happen if a gateway that was delayed learns of
/// a free server before its timer reports the expiry.
#[test]
fn an_expired_request_in_the_queue_is_rejected_and_not_forwarded() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 1);
    let requests: Vec<Id> = (0..4).map(|_| fixture.request("c", 200 * MS)).collect();
    let sent = forwards(&fixture.take_actions());
    assert_eq!(sent.len(), 2);
    fixture.host.0.borrow_mut().now += 300 * MS;
    fixture.complete_attempt(&sent[0].0, 0, &sent[0].1, Outcome::Ok, 300 * MS);
    let actions = fixture.take_actions();
    assert_eq!(forwards(&actions), []);
    assert_eq!(rejected_requests(&actions), requests[2..]);
}
