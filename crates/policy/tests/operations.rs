//! What operators do: servers cordoned and uncordoned, and a process that takes over from another.

mod common;

use common::*;
use fernscale_policy::*;

/// Sends so many requests, 20 ms apart, completes all, and counts what went to this server.
fn sent_to(fixture: &mut Fixture, server: &str, asks: usize) -> usize {
    let mut sent = 0;
    for _ in 0..asks {
        fixture.request("c", 900 * MS);
        for (id, to) in sends(&fixture.take_actions()) {
            sent += usize::from(&*to == server);
            fixture.end(&id, 0, &to, Outcome::Ok, 20 * MS);
        }
        fixture.pass(20 * MS);
    }
    sent
}

#[test]
fn a_list_does_not_uncordon_a_server() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    assert!(sent_to(&mut fixture, "s1", 40) > 5);
    (0..2).for_each(|_| fixture.gateway.cordon(&id("s1")));
    assert!(fixture.gateway.is_avoided(&id("s1")) && !fixture.gateway.is_avoided(&id("s0")));
    assert_eq!(sent_to(&mut fixture, "s1", 40), 0);
    let entry = |state, started| [listed("s1", 1, state, started)];
    let whole: Vec<Endpoint> =
        (0..4).map(|at| listed(&format!("s{at}"), at % 2, EndpointState::Ready, None)).collect();
    let now = fixture.now();
    for (full, list) in [
        (false, entry(EndpointState::Ready, None).to_vec()),
        (false, entry(EndpointState::Ready, Some(now)).to_vec()),
        (false, entry(EndpointState::Draining, Some(now)).to_vec()),
        (false, entry(EndpointState::Removed, None).to_vec()),
        (true, whole[..1].to_vec()),
        (true, whole),
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
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    let usual = sent_to(&mut fixture, "s1", 100);
    fixture.gateway.cordon(&id("s1"));
    sent_to(&mut fixture, "s1", 50);
    let now = fixture.now();
    fixture.gateway.uncordon(&id("s1"), now);
    assert_eq!(sent_to(&mut fixture, "s1", 1), 1);
    // The list, late, still says that it has run for long.
    fixture.gateway.endpoints_updated(false, &[listed("s1", 1, EndpointState::Ready, None)]);
    let cold = sent_to(&mut fixture, "s1", 99);
    assert!((1..usual * 2 / 3).contains(&cold), "{cold} sent while cold, {usual} before");
    fixture.pass(10_000 * MS);
    assert!(sent_to(&mut fixture, "s1", 100) * 3 > usual * 2, "warm again");
}

#[test]
fn a_retry_does_not_go_to_a_cordoned_server_of_its_scope() {
    let kind = Idempotency::Keyed { scope: KeyScope::Zone, retention: 60_000 * MS };
    let mut fixture = Fixture::new(settings(kind, wide()), 4);
    let asked = fixture.request("c", 60_000 * MS);
    let first = sends(&fixture.take_actions())[0].1.clone();
    let fellow = ["s2", "s3", "s0", "s1"][first[1..].parse::<usize>().expect("a number")];
    fixture.gateway.cordon(&id(fellow));
    fixture.end(&asked, 0, &first, Outcome::TimedOut, 100 * MS);
    let actions = fixture.take_actions();
    assert_eq!(sends(&actions), []);
    assert_eq!(actions, [Action::Fail(asked)]);
}

/// Sends of both processes while one takes the other's place: each is told its part at the times given, in ms.
fn overlap(plan: Plan, parts: [&[(u64, f64)]; 2], until: u64, cold: bool) -> usize {
    let mut beds = [0, 1].map(|at| {
        let mut fixture =
            Fixture::new(Settings { seed: at, ..settings(Idempotency::Idempotent, plan.clone()) }, 8);
        fixture.gateway.set_process_share(parts[at as usize][0].1);
        fixture
    });
    let mut sent = 0;
    for at in (0..until).step_by(20) {
        for (fixture, parts) in beds.iter_mut().zip(parts) {
            for (_, part) in parts.iter().filter(|(when, _)| (*when..*when + 20).contains(&at)) {
                fixture.gateway.set_process_share(*part);
            }
            if cold && at == 2_000 {
                let started = Some(fixture.now());
                fixture.gateway.endpoints_updated(false, &[listed("s0", 0, EndpointState::Ready, started)]);
            }
            (0..4).for_each(|_| drop(fixture.request("c", 900 * MS)));
            for (id, to) in sends(&fixture.take_actions()) {
                sent += usize::from(!cold || at >= 2_000 && &*to == "s0");
                fixture.end(&id, 0, &to, Outcome::Ok, 10 * MS);
            }
            fixture.pass(20 * MS);
        }
    }
    sent
}

#[test]
fn two_processes_of_a_gateway_keep_one_ceiling() {
    let ceiling = Ceiling { rate: 20.0, burst: 20.0 };
    let plan = Plan { ceiling: Some(ceiling), ..wide() };
    // The second comes at 4 s, is known at 4.1 s, and is alone from 8 s on.
    let sent = overlap(
        plan.clone(),
        [&[(0, 1.0), (4_100, 0.5)], &[(0, 0.0), (4_200, 0.5), (8_000, 1.0)]],
        10_000,
        false,
    );
    // Of two gateways that share the tenant this one has a half: ten at once, and ten a second.
    let most = 10 + 10 * 10;
    assert!((60..=most).contains(&sent), "{sent} sent, {most} may be");
    let both = overlap(plan, [&[(0, 1.0)], &[(0, 1.0)]], 10_000, false);
    assert!(both > most, "without parts the two send {both}");
}

#[test]
fn two_processes_of_a_gateway_keep_one_slow_start_budget() {
    let one = overlap(wide(), [&[(0, 1.0)], &[(0, 0.0)]], 4_000, true);
    let two = overlap(wide(), [&[(0, 0.5)], &[(0, 0.5)]], 4_000, true);
    let blind = overlap(wide(), [&[(0, 1.0)], &[(0, 1.0)]], 4_000, true);
    assert!(one > 0 && two <= one + 4, "{two} sent by two, {one} by one");
    assert!(blind > one + 4, "without parts the two send {blind}");
}

#[test]
fn an_assigned_subset_is_used_by_weight_and_the_ring_without_one() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 6);
    fixture.pass(1_000 * MS);
    let parts = [("s1", 1.5), ("s4", 0.5), ("s9", 1.0)].map(|(name, part)| (id(name), part));
    fixture.gateway.set_subset(Some(Subset { weights: parts.into(), gateways_per_server: 1.0 }));
    let count = |fixture: &mut Fixture| {
        let mut sent = std::collections::BTreeMap::new();
        for _ in 0..400 {
            fixture.request("c", 2_000 * MS);
            for (asked, server) in sends(&fixture.take_actions()) {
                *sent.entry(server.to_string()).or_insert(0) += 1;
                fixture.end(&asked, 0, &server, Outcome::Ok, 20 * MS);
            }
            fixture.pass(10 * MS);
        }
        sent
    };
    let sent = count(&mut fixture);
    // One that the list does not have gets nothing.
    assert_eq!(sent.keys().collect::<Vec<_>>(), ["s1", "s4"]);
    let share = f64::from(sent["s1"]) / f64::from(sent["s1"] + sent["s4"]);
    assert!((0.70..0.80).contains(&share), "{sent:?}");
    fixture.gateway.set_subset(None);
    assert_eq!(count(&mut fixture).len(), 6);
}

#[test]
fn a_server_ejected_by_peers_gets_no_first_attempt() {
    let mut fixture = Fixture::new(settings(Idempotency::Idempotent, wide()), 4);
    fixture.pass(1_000 * MS);
    assert!(sent_to(&mut fixture, "s2", 40) > 5);
    fixture.gateway.set_ejected(&id("s2"), true);
    assert_eq!(sent_to(&mut fixture, "s2", 40), 0);
    // A new list does not undo an ejection by peers, and that of an unknown server does no harm.
    fixture.gateway.endpoints_updated(
        true,
        &[0, 1, 2, 3].map(|at| listed(&format!("s{at}"), at % 2, EndpointState::Ready, None)),
    );
    fixture.gateway.set_ejected(&id("s9"), true);
    assert_eq!(sent_to(&mut fixture, "s2", 40), 0);
    fixture.gateway.set_ejected(&id("s2"), false);
    assert!(sent_to(&mut fixture, "s2", 40) > 5);
    // Where all of them are ejected none is left: those who eject see to it that some are not.
    (0..4).for_each(|at| fixture.gateway.set_ejected(&id(format!("s{at}")), at != 1));
    assert!(sent_to(&mut fixture, "s1", 40) > 30);
}

#[test]
fn list_changes_equal_full_lists() {
    let ready = |at: usize| listed(&format!("s{at:02}"), at as u32 % 2, EndpointState::Ready, None);
    let without = |out: std::ops::Range<usize>| (0..40).filter(move |at| !out.contains(at)).map(ready);
    let gone = |at: usize| Endpoint { state: EndpointState::Removed, ..ready(at) };
    // Three lists, each as a whole and as what is new in it.
    let lists: [(Vec<Endpoint>, Vec<Endpoint>); 3] = [
        (without(0..0).collect(), without(0..0).collect()),
        (without(10..25).collect(), (10..25).map(gone).collect()),
        (without(20..30).collect(), (20..30).map(gone).chain((10..20).map(ready)).collect()),
    ];
    let mut beds = [0, 1].map(|_| Fixture::new(settings(Idempotency::Idempotent, wide()), 4));
    for (whole, changes) in lists {
        beds[0].gateway.endpoints_updated(true, &whole);
        beds[1].gateway.endpoints_updated(false, &changes);
        // Those that the fixtures began with have gone with the first full list.
        beds[1].gateway.endpoints_updated(
            false,
            &(0..4).map(|at| listed(&format!("s{at}"), 0, EndpointState::Removed, None)).collect::<Vec<_>>(),
        );
        for _ in 0..200 {
            let [one, other] = &mut beds;
            let sent = [one, other].map(|fixture| {
                fixture.request("c", 900 * MS);
                let sent = sends(&fixture.take_actions());
                sent.iter().for_each(|(id, to)| fixture.end(id, 0, to, Outcome::Ok, 20 * MS));
                fixture.pass(20 * MS);
                sent
            });
            assert_eq!(sent[0], sent[1]);
            assert_eq!(sent[0].len(), 1);
        }
    }
}
