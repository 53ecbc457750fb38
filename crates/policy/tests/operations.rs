//! Operators' actions: cordoning and uncordoning servers, hot restarts, subsets and ejections.

mod common;

use common::*;
use fernscale_policy::*;

/// Sends `requests` requests, 20 ms apart, completes them all, and returns how many went to `server`.
fn sent_to(fixture: &mut Fixture, server: &str, requests: usize) -> usize {
    let mut sent = 0;
    for _ in 0..requests {
        fixture.request("c", 900 * MS);
        for (id, to) in forwards(&fixture.take_actions()) {
            sent += usize::from(&*to == server);
            fixture.complete_attempt(&id, 0, &to, Outcome::Ok, 20 * MS);
        }
        fixture.advance(20 * MS);
    }
    sent
}

#[test]
fn a_list_does_not_uncordon_a_server() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    assert!(sent_to(&mut fixture, "s1", 40) > 5);
    (0..2).for_each(|_| fixture.gateway.cordon(&id("s1")));
    assert!(fixture.gateway.is_avoided(&id("s1")) && !fixture.gateway.is_avoided(&id("s0")));
    assert_eq!(sent_to(&mut fixture, "s1", 40), 0);
    let entry = |state, started| [endpoint("s1", 1, state, started)];
    let full_list: Vec<Endpoint> =
        (0..4).map(|at| endpoint(&format!("s{at}"), at % 2, EndpointState::Ready, None)).collect();
    let now = fixture.now();
    for (full, list) in [
        (false, entry(EndpointState::Ready, None).to_vec()),
        (false, entry(EndpointState::Ready, Some(now)).to_vec()),
        (false, entry(EndpointState::Draining, Some(now)).to_vec()),
        (false, entry(EndpointState::Removed, None).to_vec()),
        (true, full_list[..1].to_vec()),
        (true, full_list),
    ] {
        fixture.gateway.endpoints_updated(full, &list);
        assert_eq!(sent_to(&mut fixture, "s1", 20), 0, "{full} {list:?}");
    }
    let now = fixture.now();
    fixture.gateway.uncordon(&id("s1"), now);
    assert!(!fixture.gateway.is_avoided(&id("s1")));
    assert!(sent_to(&mut fixture, "s1", 100) > 0);
}

#[test]
fn an_uncordoned_server_is_in_slow_start_and_used_at_once() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    let usual = sent_to(&mut fixture, "s1", 100);
    fixture.gateway.cordon(&id("s1"));
    sent_to(&mut fixture, "s1", 50);
    let now = fixture.now();
    fixture.gateway.uncordon(&id("s1"), now);
    assert_eq!(sent_to(&mut fixture, "s1", 1), 1);
    // The list is out of date and still says that the server started long ago.
    fixture.gateway.endpoints_updated(false, &[endpoint("s1", 1, EndpointState::Ready, None)]);
    let in_slow_start = sent_to(&mut fixture, "s1", 99);
    assert!(
        (1..usual * 2 / 3).contains(&in_slow_start),
        "{in_slow_start} attempts in slow start, {usual} before"
    );
    fixture.advance(10_000 * MS);
    assert!(sent_to(&mut fixture, "s1", 100) * 3 > usual * 2, "the server is warm again");
}

#[test]
fn a_retry_does_not_go_to_a_cordoned_server_of_its_scope() {
    let idempotency = Idempotency::Keyed { scope: KeyScope::Zone, retention: 60_000 * MS };
    let mut fixture = Fixture::new(settings(idempotency, unlimited_plan()), 4);
    let request = fixture.request("c", 60_000 * MS);
    let first = forwards(&fixture.take_actions())[0].1.clone();
    let same_zone = ["s2", "s3", "s0", "s1"][first[1..].parse::<usize>().expect("a number")];
    fixture.gateway.cordon(&id(same_zone));
    fixture.complete_attempt(&request, 0, &first, Outcome::TimedOut, 100 * MS);
    let actions = fixture.take_actions();
    assert_eq!(forwards(&actions), []);
    assert_eq!(actions, [Action::Fail(request)]);
}

/// Runs two processes of one gateway during a hot restart; each receives its shares at the times given, in ms.
/// Returns the attempts forwarded by both: with `slow_start` those at server s0, which starts after two
/// seconds, else all.
fn attempts_during_hot_restart(plan: Plan, shares: [&[(u64, f64)]; 2], end: u64, slow_start: bool) -> usize {
    let mut fixtures = [0, 1].map(|at| {
        let mut fixture =
            Fixture::new(Settings { seed: at, ..settings(Idempotency::Idempotent, plan.clone()) }, 8);
        fixture.gateway.set_process_share(shares[at as usize][0].1);
        fixture
    });
    let mut sent = 0;
    for at in (0..end).step_by(20) {
        for (fixture, shares) in fixtures.iter_mut().zip(shares) {
            for (_, share) in shares.iter().filter(|(when, _)| (*when..*when + 20).contains(&at)) {
                fixture.gateway.set_process_share(*share);
            }
            if slow_start && at == 2_000 {
                let started = Some(fixture.now());
                fixture.gateway.endpoints_updated(false, &[endpoint("s0", 0, EndpointState::Ready, started)]);
            }
            (0..4).for_each(|_| drop(fixture.request("c", 900 * MS)));
            for (id, to) in forwards(&fixture.take_actions()) {
                sent += usize::from(!slow_start || at >= 2_000 && &*to == "s0");
                fixture.complete_attempt(&id, 0, &to, Outcome::Ok, 10 * MS);
            }
            fixture.advance(20 * MS);
        }
    }
    sent
}

#[test]
fn two_processes_of_a_gateway_keep_one_ceiling() {
    let ceiling = Ceiling { rate: 20.0, burst: 20.0 };
    let plan = Plan { ceiling: Some(ceiling), ..unlimited_plan() };
    // The second process starts at 4 s, becomes known to the first at 4.1 s, and is alone from 8 s on.
    let sent = attempts_during_hot_restart(
        plan.clone(),
        [&[(0, 1.0), (4_100, 0.5)], &[(0, 0.0), (4_200, 0.5), (8_000, 1.0)]],
        10_000,
        false,
    );
    // This gateway has half of the ceiling, as one of two gateways that the tenant uses: ten at once, and ten a
    // second.
    let max_sent = 10 + 10 * 10;
    assert!((60..=max_sent).contains(&sent), "{sent} attempts, {max_sent} are allowed");
    let both = attempts_during_hot_restart(plan, [&[(0, 1.0)], &[(0, 1.0)]], 10_000, false);
    assert!(both > max_sent, "without shares the two processes make {both} attempts");
}

#[test]
fn two_processes_of_a_gateway_keep_one_slow_start_budget() {
    let one = attempts_during_hot_restart(unlimited_plan(), [&[(0, 1.0)], &[(0, 0.0)]], 4_000, true);
    let two = attempts_during_hot_restart(unlimited_plan(), [&[(0, 0.5)], &[(0, 0.5)]], 4_000, true);
    let unshared = attempts_during_hot_restart(unlimited_plan(), [&[(0, 1.0)], &[(0, 1.0)]], 4_000, true);
    assert!(one > 0 && two <= one + 4, "{two} attempts by two processes, {one} by one");
    assert!(unshared > one + 4, "without shares the two processes make {unshared} attempts");
}

#[test]
fn an_assigned_subset_is_used_by_weight_and_the_ring_without_one() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 6);
    fixture.advance(1_000 * MS);
    let shares = [("s1", 1.5), ("s4", 0.5), ("s9", 1.0)].map(|(name, share)| (id(name), share));
    fixture.gateway.set_subset(Some(Subset { weights: shares.into(), gateways_per_server: 1.0 }));
    let count = |fixture: &mut Fixture| {
        let mut sent = std::collections::BTreeMap::new();
        for _ in 0..400 {
            fixture.request("c", 2_000 * MS);
            for (request, server) in forwards(&fixture.take_actions()) {
                *sent.entry(server.to_string()).or_insert(0) += 1;
                fixture.complete_attempt(&request, 0, &server, Outcome::Ok, 20 * MS);
            }
            fixture.advance(10 * MS);
        }
        sent
    };
    let sent = count(&mut fixture);
    // A server that is in the subset but not in the list gets nothing.
    assert_eq!(sent.keys().collect::<Vec<_>>(), ["s1", "s4"]);
    let share = f64::from(sent["s1"]) / f64::from(sent["s1"] + sent["s4"]);
    assert!((0.70..0.80).contains(&share), "{sent:?}");
    fixture.gateway.set_subset(None);
    assert_eq!(count(&mut fixture).len(), 6);
}

#[test]
fn a_server_ejected_by_peers_gets_no_first_attempt() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4);
    fixture.advance(1_000 * MS);
    assert!(sent_to(&mut fixture, "s2", 40) > 5);
    fixture.gateway.set_ejected(&id("s2"), true);
    assert_eq!(sent_to(&mut fixture, "s2", 40), 0);
    // A new list does not undo an ejection by other gateways, and ejecting an unknown server is harmless.
    fixture.gateway.endpoints_updated(
        true,
        &[0, 1, 2, 3].map(|at| endpoint(&format!("s{at}"), at % 2, EndpointState::Ready, None)),
    );
    fixture.gateway.set_ejected(&id("s9"), true);
    assert_eq!(sent_to(&mut fixture, "s2", 40), 0);
    fixture.gateway.set_ejected(&id("s2"), false);
    assert!(sent_to(&mut fixture, "s2", 40) > 5);
    // A server that is not ejected gets all the traffic. The gateways that eject servers make sure that some
    // remain.
    (0..4).for_each(|at| fixture.gateway.set_ejected(&id(format!("s{at}")), at != 1));
    assert!(sent_to(&mut fixture, "s1", 40) > 30);
}

#[test]
fn list_changes_equal_full_lists() {
    let ready = |at: usize| endpoint(&format!("s{at:02}"), at as u32 % 2, EndpointState::Ready, None);
    let without =
        |excluded: std::ops::Range<usize>| (0..40).filter(move |at| !excluded.contains(at)).map(ready);
    let removed = |at: usize| Endpoint { state: EndpointState::Removed, ..ready(at) };
    // Three lists, each as a full list and as the changes to the previous one.
    let lists: [(Vec<Endpoint>, Vec<Endpoint>); 3] = [
        (without(0..0).collect(), without(0..0).collect()),
        (without(10..25).collect(), (10..25).map(removed).collect()),
        (without(20..30).collect(), (20..30).map(removed).chain((10..20).map(ready)).collect()),
    ];
    let mut fixtures = [0, 1].map(|_| Fixture::new(settings(Idempotency::Idempotent, unlimited_plan()), 4));
    for (full_list, changes) in lists {
        fixtures[0].gateway.endpoints_updated(true, &full_list);
        fixtures[1].gateway.endpoints_updated(false, &changes);
        // Remove the fixture's initial servers, which the first full list has removed at the other gateway.
        fixtures[1].gateway.endpoints_updated(
            false,
            &(0..4)
                .map(|at| endpoint(&format!("s{at}"), 0, EndpointState::Removed, None))
                .collect::<Vec<_>>(),
        );
        for _ in 0..200 {
            let [one, other] = &mut fixtures;
            let sent = [one, other].map(|fixture| {
                fixture.request("c", 900 * MS);
                let sent = forwards(&fixture.take_actions());
                sent.iter().for_each(|(id, to)| fixture.complete_attempt(id, 0, to, Outcome::Ok, 20 * MS));
                fixture.advance(20 * MS);
                sent
            });
            assert_eq!(sent[0], sent[1]);
            assert_eq!(sent[0].len(), 1);
        }
    }
}

/// Guards against a memory of requests that grows without end, or that forgets one while its client may still repeat it.
#[test]
fn a_request_that_may_have_run_is_remembered_for_a_minute_and_within_a_bound() {
    let mut fixture = Fixture::new(settings(Idempotency::NonIdempotent, unlimited_plan()), 2);
    let forwards_of_repeat = |fixture: &mut Fixture| {
        fixture.request_count = 0;
        fixture.request("c", 1_000 * MS);
        forwards(&fixture.take_actions()).len()
    };
    let first = fixture.request("c", 1_000 * MS);
    let server = forwards(&fixture.take_actions())[0].1.clone();
    fixture.complete_attempt(&first, 0, &server, Outcome::Ok, 10 * MS);
    fixture.advance(59_000 * MS);
    assert_eq!(forwards_of_repeat(&mut fixture), 0, "the client may still wait");
    fixture.advance(2_000 * MS);
    assert_eq!(forwards_of_repeat(&mut fixture), 1, "a minute has passed");
    fixture.gateway.client_disconnected(&first);
    fixture.complete_attempt(&first, 0, &server, Outcome::Cancelled, 10 * MS);
    (0..65_536).for_each(|number| fixture.gateway.request_seen_elsewhere(RequestFingerprint(number)));
    assert_eq!(forwards_of_repeat(&mut fixture), 1, "the oldest makes room");
}
