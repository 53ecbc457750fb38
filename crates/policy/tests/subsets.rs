//! Which servers a gateway uses, and how it comes by the endpoint list.

mod common;

use std::collections::HashMap;

use common::*;
use fernscale_policy::*;

#[test]
fn subsets_of_many_gateways_cover_all_servers() {
    let used = |me: u32| {
        let mut fixture = Fixture::new(
            Settings { gateway_index: me, gateway_count: 8, ..settings(Idempotency::Idempotent, wide()) },
            32,
        );
        (0..60).for_each(|_| drop(fixture.request("c", 2_000 * MS)));
        let mut used: Vec<Id> =
            sends(&fixture.take_actions()).into_iter().map(|(_, server)| server).collect();
        used.sort();
        used.dedup();
        used
    };
    let all: Vec<Vec<Id>> = (0..8).map(used).collect();
    assert!(all.iter().all(|used| used.len() == 8));
    let mut together = all.concat();
    together.sort();
    together.dedup();
    assert_eq!(together.len(), 32);
}

#[test]
fn a_growing_endpoint_list_keeps_subsets_stable() {
    let mut fixture =
        Fixture::new(Settings { gateway_count: 8, ..settings(Idempotency::Idempotent, wide()) }, 32);
    let used = |fixture: &mut Fixture| -> std::collections::BTreeSet<Id> {
        (0..60).for_each(|_| drop(fixture.request("c", 300 * MS)));
        let sent = sends(&fixture.take_actions()).into_iter().map(|(_, server)| server).collect();
        fixture.pass(400 * MS);
        sent
    };
    let before = used(&mut fixture);
    fixture.gateway.endpoints_updated(
        false,
        &[listed("a0", 0, EndpointState::Ready, None), listed("a1", 1, EndpointState::Ready, None)],
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
    let mut asked: Vec<Micros> = Vec::new();
    for me in 0..100 {
        let told = settings(Idempotency::Idempotent, wide());
        let told = Settings {
            gateway_index: me,
            seed: u64::from(me),
            list_poll_interval: Some(20_000 * MS),
            ..told
        };
        let mut fixture = Fixture::new(told, 4);
        let began = fixture.now();
        fixture.gateway.endpoints_unavailable();
        while fixture.now() < began + 60_000 * MS {
            fixture.pass(10 * MS);
            if fixture.take_actions().contains(&Action::WatchEndpoints(true)) {
                asked.push(fixture.now() - began);
                fixture.gateway.endpoints_unavailable();
            }
        }
    }
    let (early, late) = (|at: &&Micros| **at < 10_000 * MS, |at: &&Micros| **at >= 30_000 * MS);
    let (first, last) = (asked.iter().filter(early).count(), asked.iter().filter(late).count());
    assert!((200..=400).contains(&first), "{first} calls in the first ten seconds");
    assert!((180..=360).contains(&last), "{last} calls in the last thirty");
    let most = (0..120).map(|at| asked.iter().filter(|asked| **asked / (500 * MS) == at).count()).max();
    assert!(most <= Some(60), "{most:?} calls in half a second");
}

/// The servers that a gateway forwards to, each offered more than it has slots for.
fn used(fixture: &mut Fixture) -> std::collections::BTreeSet<Id> {
    (0..100).for_each(|_| drop(fixture.request("c", 300 * MS)));
    let sent: Vec<_> = sends(&fixture.take_actions());
    sent.iter().for_each(|(id, server)| fixture.end(id, 0, server, Outcome::Ok, 100 * MS));
    let mut all: std::collections::BTreeSet<Id> = sent.into_iter().map(|(_, server)| server).collect();
    for _ in 0..40 {
        fixture.pass(100 * MS);
        fixture.request("c", 300 * MS);
        for (id, server) in sends(&fixture.take_actions()) {
            fixture.end(&id, 0, &server, Outcome::Ok, 100 * MS);
            all.insert(server);
        }
    }
    all
}

#[test]
fn list_changes_move_few_servers_and_keep_subsets_even() {
    let told = |me| Settings {
        gateway_index: me,
        gateway_count: 100,
        seed: u64::from(me),
        ..settings(Idempotency::Idempotent, wide())
    };
    let mut beds: Vec<Fixture> = (0..100).map(|me| Fixture::new(told(me), 60)).collect();
    let mut before: Vec<_> = beds.iter_mut().map(used).collect();
    // A release: nine at a time drain, successors come at another time, and in the middle ten are missing.
    let drains =
        |from: usize| (from..from + 9).map(|at| listed(&format!("s{at}"), 0, EndpointState::Draining, None));
    let comes =
        |from: usize| (from..from + 9).map(|at| listed(&format!("n{at}"), 0, EndpointState::Ready, None));
    let changes: [Vec<Endpoint>; 4] =
        [drains(0).collect(), drains(9).collect(), comes(0).collect(), comes(9).chain(drains(18)).collect()];
    let (mut moved, mut kept) = (0, 0);
    for (at, change) in changes.iter().enumerate() {
        let gone = |server: &Id| {
            changes[..=at]
                .iter()
                .flatten()
                .any(|one| one.server == *server && one.state == EndpointState::Draining)
        };
        beds.iter_mut().for_each(|fixture| fixture.gateway.endpoints_updated(false, change));
        let after: Vec<_> = beds.iter_mut().map(used).collect();
        let mut gateways: HashMap<Id, usize> = HashMap::new();
        for (before, after) in before.iter().zip(&after) {
            assert!((8..=9).contains(&after.len()), "{} servers", after.len());
            assert!(!after.iter().any(gone));
            kept += before.iter().filter(|server| after.contains(*server)).count();
            moved += before.iter().filter(|server| !after.contains(*server) && !gone(server)).count();
            after.iter().for_each(|server| *gateways.entry(server.clone()).or_default() += 1);
        }
        let (most, least) = (gateways.values().max().copied(), gateways.values().min().copied());
        assert!(most <= least.map(|least| least + 3), "{least:?} to {most:?} gateways use a server");
        before = after;
    }
    assert!(moved * 4 < kept, "{moved} servers given up that were not gone, {kept} kept");
}
