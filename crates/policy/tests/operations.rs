//! What operators do: servers taken out of use and called back, and a process that takes another's place.

mod common;

use common::*;
use fernscale_policy::*;

/// Asks so often, 20 ms apart, answers all, and counts what went to this server.
fn sent_to(bed: &mut Bed, server: &str, asks: usize) -> usize {
    let mut sent = 0;
    for _ in 0..asks {
        bed.ask("c", 900 * MS);
        for (id, to) in sends(&bed.did()) {
            sent += usize::from(&*to == server);
            bed.end(&id, 0, &to, Outcome::Ok, 20 * MS);
        }
        bed.pass(20 * MS);
    }
    sent
}

#[test]
fn no_list_takes_a_server_back_into_use() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 4);
    assert!(sent_to(&mut bed, "s1", 40) > 5);
    (0..2).for_each(|_| bed.gateway.cordon(&id("s1")));
    assert!(bed.gateway.is_avoided(&id("s1")) && !bed.gateway.is_avoided(&id("s0")));
    assert_eq!(sent_to(&mut bed, "s1", 40), 0);
    let entry = |state, started| [listed("s1", 1, state, started)];
    let whole: Vec<Endpoint> =
        (0..4).map(|at| listed(&format!("s{at}"), at % 2, EndpointState::Ready, None)).collect();
    let now = bed.now();
    for (full, list) in [
        (false, entry(EndpointState::Ready, None).to_vec()),
        (false, entry(EndpointState::Ready, Some(now)).to_vec()),
        (false, entry(EndpointState::Draining, Some(now)).to_vec()),
        (false, entry(EndpointState::Removed, None).to_vec()),
        (true, whole[..1].to_vec()),
        (true, whole),
    ] {
        bed.gateway.endpoints_updated(full, &list);
        assert_eq!(sent_to(&mut bed, "s1", 20), 0, "{full} {list:?}");
    }
    let now = bed.now();
    bed.gateway.uncordon(&id("s1"), now);
    assert!(!bed.gateway.is_avoided(&id("s1")));
    assert!(sent_to(&mut bed, "s1", 100) > 0);
}

#[test]
fn a_server_called_back_is_cold_whatever_the_list_says_and_is_met_at_once() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 4);
    let usual = sent_to(&mut bed, "s1", 100);
    bed.gateway.cordon(&id("s1"));
    sent_to(&mut bed, "s1", 50);
    let now = bed.now();
    bed.gateway.uncordon(&id("s1"), now);
    assert_eq!(sent_to(&mut bed, "s1", 1), 1);
    // The list, late, goes on to say that it has run for long.
    bed.gateway.endpoints_updated(false, &[listed("s1", 1, EndpointState::Ready, None)]);
    let cold = sent_to(&mut bed, "s1", 99);
    assert!((1..usual * 2 / 3).contains(&cold), "{cold} sent while cold, {usual} before");
    bed.pass(10_000 * MS);
    assert!(sent_to(&mut bed, "s1", 100) * 3 > usual * 2, "warm again");
}

#[test]
fn a_repeat_does_not_go_to_the_last_server_of_its_group_that_is_out_of_use() {
    let kind = Idempotency::Keyed { scope: KeyScope::Zone, retention: 60_000 * MS };
    let mut bed = Bed::new(settings(kind, wide()), 4);
    let asked = bed.ask("c", 60_000 * MS);
    let first = sends(&bed.did())[0].1.clone();
    let fellow = ["s2", "s3", "s0", "s1"][first[1..].parse::<usize>().expect("a number")];
    bed.gateway.cordon(&id(fellow));
    bed.end(&asked, 0, &first, Outcome::TimedOut, 100 * MS);
    let did = bed.did();
    assert_eq!(sends(&did), []);
    assert_eq!(did, [Did::Abandon(asked)]);
}

/// Sends of both processes while one takes the other's place: each is told its part at the times given, in ms.
fn overlap(plan: Plan, parts: [&[(u64, f64)]; 2], until: u64, cold: bool) -> usize {
    let mut beds = [0, 1].map(|at| {
        let mut bed = Bed::new(Settings { seed: at, ..settings(Idempotency::Idempotent, plan.clone()) }, 8);
        bed.gateway.set_process_share(parts[at as usize][0].1);
        bed
    });
    let mut sent = 0;
    for at in (0..until).step_by(20) {
        for (bed, parts) in beds.iter_mut().zip(parts) {
            for (_, part) in parts.iter().filter(|(when, _)| (*when..*when + 20).contains(&at)) {
                bed.gateway.set_process_share(*part);
            }
            if cold && at == 2_000 {
                let started = Some(bed.now());
                bed.gateway.endpoints_updated(false, &[listed("s0", 0, EndpointState::Ready, started)]);
            }
            (0..4).for_each(|_| drop(bed.ask("c", 900 * MS)));
            for (id, to) in sends(&bed.did()) {
                sent += usize::from(!cold || at >= 2_000 && &*to == "s0");
                bed.end(&id, 0, &to, Outcome::Ok, 10 * MS);
            }
            bed.pass(20 * MS);
        }
    }
    sent
}

#[test]
fn two_processes_admit_no_more_than_one_under_a_ceiling() {
    let ceiling = Ceiling { rate: 20.0, burst: 20.0 };
    let plan = Plan { ceiling: Some(ceiling), ..wide() };
    // The second comes at 4 s, is known at 4.1 s, and is alone from 8 s on.
    let sent = overlap(
        plan.clone(),
        [&[(0, 1.0), (4_100, 0.5)], &[(0, 0.0), (4_200, 0.5), (8_000, 1.0)]],
        10_000,
        false,
    );
    // Of two gateways that share the customer this one has a half: ten at once, and ten a second.
    let most = 10 + 10 * 10;
    assert!((60..=most).contains(&sent), "{sent} sent, {most} may be");
    let both = overlap(plan, [&[(0, 1.0)], &[(0, 1.0)]], 10_000, false);
    assert!(both > most, "without parts the two send {both}");
}

#[test]
fn two_processes_push_a_cold_server_no_more_than_one() {
    let one = overlap(wide(), [&[(0, 1.0)], &[(0, 0.0)]], 4_000, true);
    let two = overlap(wide(), [&[(0, 0.5)], &[(0, 0.5)]], 4_000, true);
    let blind = overlap(wide(), [&[(0, 1.0)], &[(0, 1.0)]], 4_000, true);
    assert!(one > 0 && two <= one + 4, "{two} sent by two, {one} by one");
    assert!(blind > one + 4, "without parts the two send {blind}");
}

#[test]
fn a_subset_is_used_by_its_shares_and_without_one_the_row_is_back() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 6);
    bed.pass(1_000 * MS);
    let parts = [("s1", 1.5), ("s4", 0.5), ("s9", 1.0)].map(|(name, part)| (id(name), part));
    bed.gateway.set_subset(Some(Subset { weights: parts.into(), gateways_per_server: 1.0 }));
    let count = |bed: &mut Bed| {
        let mut sent = std::collections::BTreeMap::new();
        for _ in 0..400 {
            bed.ask("c", 2_000 * MS);
            for (asked, server) in sends(&bed.did()) {
                *sent.entry(server.to_string()).or_insert(0) += 1;
                bed.end(&asked, 0, &server, Outcome::Ok, 20 * MS);
            }
            bed.pass(10 * MS);
        }
        sent
    };
    let sent = count(&mut bed);
    // One that the list does not have gets nothing.
    assert_eq!(sent.keys().collect::<Vec<_>>(), ["s1", "s4"]);
    let share = f64::from(sent["s1"]) / f64::from(sent["s1"] + sent["s4"]);
    assert!((0.70..0.80).contains(&share), "{sent:?}");
    bed.gateway.set_subset(None);
    assert_eq!(count(&mut bed).len(), 6);
}

#[test]
fn a_server_that_others_found_bad_gets_no_first_trip_until_it_is_let_in_again() {
    let mut bed = Bed::new(settings(Idempotency::Idempotent, wide()), 4);
    bed.pass(1_000 * MS);
    assert!(sent_to(&mut bed, "s2", 40) > 5);
    bed.gateway.set_ejected(&id("s2"), true);
    assert_eq!(sent_to(&mut bed, "s2", 40), 0);
    // A new list does not undo others' word, and one that nobody knows is no harm.
    bed.gateway.endpoints_updated(
        true,
        &[0, 1, 2, 3].map(|at| listed(&format!("s{at}"), at % 2, EndpointState::Ready, None)),
    );
    bed.gateway.set_ejected(&id("s9"), true);
    assert_eq!(sent_to(&mut bed, "s2", 40), 0);
    bed.gateway.set_ejected(&id("s2"), false);
    assert!(sent_to(&mut bed, "s2", 40) > 5);
    // Where all of them are barred nobody is left: those who bar see to it that some are not.
    (0..4).for_each(|at| bed.gateway.set_ejected(&id(format!("s{at}")), at != 1));
    assert!(sent_to(&mut bed, "s1", 40) > 30);
}

#[test]
fn changes_of_a_list_say_what_whole_lists_do() {
    let ready = |at: usize| listed(&format!("s{at:02}"), at as u32 % 2, EndpointState::Ready, None);
    let without = |out: std::ops::Range<usize>| (0..40).filter(move |at| !out.contains(at)).map(ready);
    let gone = |at: usize| Endpoint { state: EndpointState::Removed, ..ready(at) };
    // Three lists, each as a whole and as what is new in it.
    let lists: [(Vec<Endpoint>, Vec<Endpoint>); 3] = [
        (without(0..0).collect(), without(0..0).collect()),
        (without(10..25).collect(), (10..25).map(gone).collect()),
        (without(20..30).collect(), (20..30).map(gone).chain((10..20).map(ready)).collect()),
    ];
    let mut beds = [0, 1].map(|_| Bed::new(settings(Idempotency::Idempotent, wide()), 4));
    for (whole, changes) in lists {
        beds[0].gateway.endpoints_updated(true, &whole);
        beds[1].gateway.endpoints_updated(false, &changes);
        // Those that the beds began with have gone with the first whole list.
        beds[1].gateway.endpoints_updated(
            false,
            &(0..4).map(|at| listed(&format!("s{at}"), 0, EndpointState::Removed, None)).collect::<Vec<_>>(),
        );
        for _ in 0..200 {
            let [one, other] = &mut beds;
            let sent = [one, other].map(|bed| {
                bed.ask("c", 900 * MS);
                let sent = sends(&bed.did());
                sent.iter().for_each(|(id, to)| bed.end(id, 0, to, Outcome::Ok, 20 * MS));
                bed.pass(20 * MS);
                sent
            });
            assert_eq!(sent[0], sent[1]);
            assert_eq!(sent[0].len(), 1);
        }
    }
}
