//! Which servers a gateway uses, and how it polls the endpoint list.

mod common;

use std::collections::HashMap;

use common::*;
use fernscale_policy::*;

#[test]
fn subsets_of_many_gateways_cover_all_servers() {
    let used = |index: u32| {
        let mut fixture = Fixture::new(
            Settings {
                gateway_index: index,
                gateway_count: 8,
                ..settings(Idempotency::Idempotent, unlimited_plan())
            },
            32,
        );
        (0..60).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let mut used: Vec<Id> =
            forwards(&fixture.take_actions()).into_iter().map(|(_, server)| server).collect();
        used.sort();
        used.dedup();
        used
    };
    let all: Vec<Vec<Id>> = (0..8).map(used).collect();
    assert!(all.iter().all(|used| used.len() == 8));
    let mut union = all.concat();
    union.sort();
    union.dedup();
    assert_eq!(union.len(), 32);
}

#[test]
fn a_growing_endpoint_list_keeps_subsets_stable() {
    let mut fixture = Fixture::new(
        Settings { gateway_count: 8, ..settings(Idempotency::Idempotent, unlimited_plan()) },
        32,
    );
    let used = |fixture: &mut Fixture| -> std::collections::BTreeSet<Id> {
        (0..60).for_each(|_| drop(fixture.request("c", 300 * MS)));
        let sent = forwards(&fixture.take_actions()).into_iter().map(|(_, server)| server).collect();
        fixture.advance(400 * MS);
        sent
    };
    let before = used(&mut fixture);
    fixture.gateway.endpoints_updated(
        false,
        &[endpoint("a0", 0, EndpointState::Ready, None), endpoint("a1", 1, EndpointState::Ready, None)],
    );
    assert!(before.iter().all(|server| server.starts_with('s')) && before.len() == 8);
    assert_eq!(
        used(&mut fixture)
            .iter()
            .filter(|server| server.starts_with('s') && !before.contains(*server))
            .count(),
        0
    );
}

#[test]
fn list_polls_back_off_with_jitter() {
    let mut polls: Vec<Micros> = Vec::new();
    for index in 0..100 {
        let gateway_settings = settings(Idempotency::Idempotent, unlimited_plan());
        let gateway_settings = Settings {
            gateway_index: index,
            seed: u64::from(index),
            list_poll_interval: Some(20_000 * MS),
            ..gateway_settings
        };
        let mut fixture = Fixture::new(gateway_settings, 4);
        let started_at = fixture.now();
        fixture.gateway.endpoints_unavailable();
        while fixture.now() < started_at + 60_000 * MS {
            fixture.advance(10 * MS);
            if fixture.take_actions().contains(&Action::WatchEndpoints(true)) {
                polls.push(fixture.now() - started_at);
                fixture.gateway.endpoints_unavailable();
            }
        }
    }
    let (early, late) = (|at: &&Micros| **at < 10_000 * MS, |at: &&Micros| **at >= 30_000 * MS);
    let (first, last) = (polls.iter().filter(early).count(), polls.iter().filter(late).count());
    assert!((200..=400).contains(&first), "{first} polls in the first ten seconds");
    assert!((180..=360).contains(&last), "{last} polls in the last thirty seconds");
    let busiest = (0..120).map(|at| polls.iter().filter(|poll| **poll / (500 * MS) == at).count()).max();
    assert!(busiest <= Some(60), "{busiest:?} polls in half a second");
}

/// The servers that a gateway forwards to while it is offered more requests than they have slots for.
fn used(fixture: &mut Fixture) -> std::collections::BTreeSet<Id> {
    (0..100).for_each(|_| drop(fixture.request("c", 300 * MS)));
    let sent: Vec<_> = forwards(&fixture.take_actions());
    sent.iter().for_each(|(id, server)| fixture.complete_attempt(id, 0, server, Outcome::Ok, 100 * MS));
    let mut all: std::collections::BTreeSet<Id> = sent.into_iter().map(|(_, server)| server).collect();
    for _ in 0..40 {
        fixture.advance(100 * MS);
        fixture.request("c", 300 * MS);
        for (id, server) in forwards(&fixture.take_actions()) {
            fixture.complete_attempt(&id, 0, &server, Outcome::Ok, 100 * MS);
            all.insert(server);
        }
    }
    all
}

#[test]
fn list_changes_move_few_servers_and_keep_subsets_even() {
    let gateway_settings = |index| Settings {
        gateway_index: index,
        gateway_count: 100,
        seed: u64::from(index),
        ..settings(Idempotency::Idempotent, unlimited_plan())
    };
    let mut fixtures: Vec<Fixture> =
        (0..100).map(|index| Fixture::new(gateway_settings(index), 60)).collect();
    let mut before: Vec<_> = fixtures.iter_mut().map(used).collect();
    // A rolling release: nine servers at a time drain, and their successors join later, so that up to 18 of the
    // 60 servers are missing.
    let draining = |from: usize| {
        (from..from + 9).map(|at| endpoint(&format!("s{at}"), 0, EndpointState::Draining, None))
    };
    let joining =
        |from: usize| (from..from + 9).map(|at| endpoint(&format!("n{at}"), 0, EndpointState::Ready, None));
    let changes: [Vec<Endpoint>; 4] = [
        draining(0).collect(),
        draining(9).collect(),
        joining(0).collect(),
        joining(9).chain(draining(18)).collect(),
    ];
    let (mut moved, mut kept) = (0, 0);
    for (at, change) in changes.iter().enumerate() {
        let removed = |server: &Id| {
            changes[..=at]
                .iter()
                .flatten()
                .any(|entry| entry.server == *server && entry.state == EndpointState::Draining)
        };
        fixtures.iter_mut().for_each(|fixture| fixture.gateway.endpoints_updated(false, change));
        let after: Vec<_> = fixtures.iter_mut().map(used).collect();
        let mut gateways: HashMap<Id, usize> = HashMap::new();
        for (before, after) in before.iter().zip(&after) {
            assert!((8..=9).contains(&after.len()), "{} servers", after.len());
            assert!(!after.iter().any(removed));
            kept += before.iter().filter(|server| after.contains(*server)).count();
            moved += before.iter().filter(|server| !after.contains(*server) && !removed(server)).count();
            after.iter().for_each(|server| *gateways.entry(server.clone()).or_default() += 1);
        }
        let (max_gateways, min_gateways) =
            (gateways.values().max().copied(), gateways.values().min().copied());
        assert!(
            max_gateways <= min_gateways.map(|min_gateways| min_gateways + 3),
            "{min_gateways:?} to {max_gateways:?} gateways use a server"
        );
        before = after;
    }
    assert!(moved * 4 < kept, "{moved} servers moved although they were not removed, {kept} kept");
}
