//! The mesh under random schedules of loss, delay, doubling, overtaking, partitions and restarts; and its hard cases.

use fernscale_lab::membership_simulation::{LinkFaults, SimulatedFleet};
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use fernscale_membership::node::Event;
use fernscale_membership::packet::{Packet, PacketBody, Peer};
use fernscale_membership::seal::{Key, OpenError, Sealer};
use fernscale_shared_counter::pn_counter::Instance;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIFE: Micros = 600 * SECOND;
/// Random schedules that are played; thousands by the lab's command, these in every run of the tests.
const SCHEDULES: u64 = 150;

/// One schedule: some seconds of trouble, then fair weather. Whatever happened, all know all and the same totals.
fn schedule(seed: u64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let count = chance.gen_range(2..=6);
    let mut mesh = SimulatedFleet::new(count, seed);
    mesh.weather = LinkFaults {
        loss: chance.gen_range(0.0..0.4),
        doubled: chance.gen_range(0.0..0.2),
        delay: (100, chance.gen_range(200..150 * MILLISECOND)),
    };
    for _ in 0..chance.gen_range(5..25) {
        mesh.run(mesh.now + chance.gen_range(10..600) * MILLISECOND);
        let (one, other) = (chance.gen_range(0..count), chance.gen_range(0..count));
        match chance.gen_range(0..10) {
            0 => mesh.kill(one),
            1 | 2 if mesh.node(one).is_none() => mesh.start(one),
            1 => mesh.leave(one),
            3 => mesh.cut(one, other),
            4 => {
                for (side, far) in (0..count).flat_map(|side| (0..count).map(move |far| (side, far))) {
                    if (side < one) != (far < one) {
                        mesh.cut(side, far);
                    }
                }
            }
            5 => mesh.heal(),
            _ => {}
        }
        for at in 0..count {
            // Halves add up exactly in any order, so that totals can be compared to the last bit.
            let amount = [1.0, 2.5, -0.5][chance.gen_range(0..3)];
            mesh.add(at, ["a", "b"][chance.gen_range(0..2)], amount, LIFE);
        }
    }
    mesh.heal();
    mesh.weather = LinkFaults::FAIR;
    for at in 0..count {
        if mesh.node(at).is_none() {
            mesh.start(at);
        }
    }
    mesh.run(mesh.now + 45 * SECOND);
    assert!(mesh.converged(), "seed {seed}: views differ: {:?}", views(&mesh));
    for name in ["a", "b"] {
        let totals: Vec<_> = (0..count)
            .filter_map(|at| mesh.node(at))
            .map(|node| node.counter_total(mesh.now, name))
            .collect();
        assert!(totals.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}, {name}: {totals:?}");
        let Some(node) = mesh.node(0) else { continue };
        for ((count, instance), truth) in mesh.truth.iter().filter(|((count, _), _)| count == name) {
            let known = node.counters().contribution(count, *instance).map(|part| part.net());
            let runs = (0..mesh.count())
                .filter_map(|at| mesh.node(at))
                .any(|node| node.local().instance == *instance);
            // What a killed one had not told anybody is gone with it; nothing else is lost, and nothing is doubled.
            assert!(!runs || known == Some(*truth), "seed {seed}, {name}: {known:?}, {truth} added");
        }
    }
}

fn views(mesh: &SimulatedFleet) -> Vec<Vec<String>> {
    let view = |at| {
        let members = mesh.node(at).into_iter().flat_map(fernscale_membership::node::Node::live_members);
        members.map(|member| format!("{} {:?}", member.peer.name, member.state)).collect()
    };
    (0..mesh.count()).map(view).collect()
}

#[test]
fn after_any_trouble_all_know_all_and_nothing_is_lost_or_doubled() {
    (0..SCHEDULES).for_each(schedule);
}

fn settled(count: usize) -> SimulatedFleet {
    let mut mesh = SimulatedFleet::new(count, 7);
    mesh.run(5 * SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
    mesh.events.clear();
    mesh
}

#[test]
fn a_mesh_of_three_that_becomes_one_and_two_heals() {
    let mut mesh = settled(3);
    for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0)] {
        mesh.cut(from, to);
    }
    (0..3).for_each(|at| mesh.add(at, "n", 1.0, LIFE));
    mesh.run(mesh.now + 6 * SECOND);
    let known = |mesh: &SimulatedFleet| {
        [0, 1, 2].map(|at| mesh.node(at).and_then(|node| node.counter_total(mesh.now, "n")))
    };
    assert_eq!(known(&mesh), [Some(1.0), Some(2.0), Some(2.0)]);
    assert_eq!(mesh.node(0).map(|node| node.live_members().count()), Some(0));
    mesh.heal();
    mesh.run(mesh.now + 8 * SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
    assert_eq!(known(&mesh), [Some(3.0); 3]);
}

#[test]
fn what_a_gateway_adds_last_before_it_ends_is_known_to_all_soon_though_datagrams_are_lost() {
    for seed in 0..20 {
        let mut mesh = SimulatedFleet::new(8, seed);
        mesh.run(5 * SECOND);
        (0..8).for_each(|at| mesh.add(at, "n", 1.0, LIFE));
        mesh.run(mesh.now + 2 * SECOND);
        mesh.weather.loss = 0.4;
        mesh.add(4, "n", 5.0, LIFE);
        mesh.leave(4);
        // Far sooner than all that is known is compared next.
        mesh.run(mesh.now + 2 * SECOND);
        let others = (0..8).filter(|at| *at != 4);
        let known: Vec<_> =
            others.map(|at| mesh.node(at).and_then(|node| node.counter_total(mesh.now, "n"))).collect();
        assert!(known.iter().all(|total| *total == Some(13.0)), "seed {seed}: {known:?}");
    }
}

/// Danger: both tellings of a last part are lost in a moment in which nobody is taken for gone, so that nothing is exchanged.
#[test]
fn what_is_added_last_while_one_is_cut_off_comes_to_all_soon_though_nobody_is_taken_for_gone() {
    for lasts in [100, 300, 600, 1_000, 1_500, 2_500, 4_000] {
        for seed in 0..10 {
            let mut mesh = SimulatedFleet::new(5, seed);
            mesh.run(5 * SECOND);
            (0..5).for_each(|at| mesh.add(at, "n", 1.0, LIFE));
            mesh.run(mesh.now + 2 * SECOND);
            for other in 0..4 {
                mesh.cut(4, other);
                mesh.cut(other, 4);
            }
            (0..5).for_each(|at| mesh.add(at, "n", 1.0, LIFE));
            mesh.run(mesh.now + lasts * MILLISECOND);
            mesh.heal();
            // Far sooner than all that is known is compared next.
            mesh.run(mesh.now + 4 * SECOND);
            let known: Vec<_> =
                (0..5).map(|at| mesh.node(at).and_then(|node| node.counter_total(mesh.now, "n"))).collect();
            assert_eq!(known, [Some(10.0); 5], "seed {seed}, cut off for {lasts} ms");
        }
    }
}

#[test]
fn a_link_that_is_cut_one_way_takes_nobody_for_gone() {
    let mut mesh = settled(4);
    mesh.cut(0, 1);
    mesh.run(mesh.now + 20 * SECOND);
    let gone = mesh.events.iter().any(|(.., event)| matches!(event, Event::Died(_)));
    assert!(!gone, "{:?}", mesh.events);
}

#[test]
fn who_can_be_heard_by_nobody_makes_nobody_gone_for_the_others_once_it_is_heard_again() {
    let mut mesh = settled(8);
    (0..8).filter(|other| *other != 2).for_each(|other| mesh.cut(2, other));
    mesh.run(mesh.now + 6 * SECOND);
    mesh.heal();
    mesh.events.clear();
    mesh.run(mesh.now + 12 * SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
    let gone: Vec<_> = mesh
        .events
        .iter()
        .filter(|(_, at, event)| *at != 2 && matches!(event, Event::Died(peer) if peer.name != "gateway-2"))
        .collect();
    assert!(gone.is_empty(), "{gone:?}");
}

#[test]
fn who_starts_to_add_to_a_count_hears_of_the_parts_of_those_who_have_ended() {
    let mut mesh = settled(4);
    (0..3).for_each(|at| mesh.add(at, "n", 5.0, LIFE));
    mesh.run(mesh.now + SECOND);
    mesh.kill(2);
    mesh.run(mesh.now + 8 * SECOND);
    // Nothing of an exchange reaches it, as streams fail while any of these ways is cut.
    mesh.kill(3);
    mesh.start(3);
    (0..3).for_each(|other| mesh.streams_fail(3, other));
    mesh.run(mesh.now + 2 * SECOND);
    assert_eq!(mesh.node(3).and_then(|node| node.counter_total(mesh.now, "n")), None);
    mesh.add(3, "n", 1.0, LIFE);
    mesh.run(mesh.now + SECOND);
    assert_eq!(mesh.node(3).and_then(|node| node.counter_total(mesh.now, "n")), Some(16.0));
}

#[test]
fn what_a_gone_one_added_last_comes_to_all_who_share_the_count() {
    let mut mesh = settled(3);
    (0..3).for_each(|at| mesh.add(at, "n", 1.0, LIFE));
    mesh.run(mesh.now + SECOND);
    // The last that it adds reaches one of the two, and it ends; what that one tells of it on is lost as well.
    mesh.cut(2, 1);
    mesh.cut(0, 1);
    mesh.add(2, "n", 4.0, LIFE);
    mesh.run(mesh.now + 200 * MILLISECOND);
    mesh.kill(2);
    mesh.heal();
    (0..2).for_each(|one| mesh.streams_fail(one, 1 - one));
    mesh.run(mesh.now + 6 * SECOND);
    assert_eq!(mesh.node(1).and_then(|node| node.counter_total(mesh.now, "n")), Some(7.0));
}

#[test]
fn a_gateway_that_starts_again_is_another_and_what_it_added_before_stays() {
    let mut mesh = settled(3);
    mesh.add(2, "n", 5.0, LIFE);
    mesh.run(mesh.now + SECOND);
    mesh.kill(2);
    mesh.start(2);
    mesh.add(2, "n", 1.0, LIFE);
    mesh.run(mesh.now + 3 * SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
    let totals: Vec<_> =
        (0..3).map(|at| mesh.node(at).and_then(|node| node.counter_total(mesh.now, "n"))).collect();
    assert_eq!(totals, [Some(6.0); 3]);
}

#[test]
fn who_leaves_is_known_to_have_left_at_once_and_who_dies_soon() {
    let mut mesh = settled(5);
    mesh.leave(4);
    mesh.run(mesh.now + SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
    assert!(mesh.events.iter().all(|(.., event)| matches!(event, Event::Left(_))), "{:?}", mesh.events);
    mesh.kill(3);
    mesh.run(mesh.now + 6 * SECOND);
    assert!(mesh.converged(), "{:?}", views(&mesh));
}

#[test]
fn one_time_customers_do_not_keep_out_what_many_ask() {
    let mut mesh = settled(3);
    for step in 0..200u64 {
        for once in 0..200 {
            mesh.add(0, &format!("q1:{:016x}", step * 1000 + once), 1.0, 10 * SECOND);
        }
        for _ in 0..3 {
            mesh.add(0, "q1:steady", 1.0, LIFE);
        }
        mesh.run(mesh.now + 10 * MILLISECOND);
        if step > 20 {
            let (known, truth) =
                (mesh.node(1).and_then(|node| node.counter_total(mesh.now, "q1:steady")), (step + 1) * 3);
            let behind = truth as f64 - known.unwrap_or(0.0);
            assert!(behind <= 60.0, "step {step}: {behind} behind, a fifth of a second's at the most");
        }
    }
}

fn key(digit: char) -> Key {
    Key::parse(&digit.to_string().repeat(32)).expect("a key")
}

fn packet() -> Packet {
    let me = Peer { name: "a".into(), instance: Instance(1), address: ([127, 0, 0, 1], 1).into() };
    Packet {
        sender: me,
        incarnation: 1,
        body: PacketBody::Ping(3),
        updates: Vec::new(),
        counters: Vec::new(),
    }
}

#[test]
fn what_was_changed_anywhere_or_sealed_by_a_stranger_is_refused() {
    let mut one = Sealer::new(vec![key('1')], Instance(1)).expect("keys");
    let good = one.seal(SECOND, &packet());
    for at in 0..good.len() {
        for change in [1u8, 0x80] {
            let mut bad = good.clone();
            bad[at] ^= change;
            let mut other = Sealer::new(vec![key('1')], Instance(2)).expect("keys");
            assert!(other.open::<Packet>(SECOND, &bad).is_err(), "byte {at}");
        }
        let mut other = Sealer::new(vec![key('1')], Instance(2)).expect("keys");
        assert!(other.open::<Packet>(SECOND, &good[..at]).is_err(), "cut at {at}");
    }
    let mut stranger = Sealer::new(vec![key('2')], Instance(2)).expect("keys");
    assert_eq!(stranger.open::<Packet>(SECOND, &good).err(), Some(OpenError::UnknownKey));
}

#[test]
fn each_packet_is_believed_once_whatever_overtakes_it_and_none_that_is_old() {
    let mut one = Sealer::new(vec![key('1')], Instance(1)).expect("keys");
    let mut other = Sealer::new(vec![key('1')], Instance(2)).expect("keys");
    let sealed: Vec<_> = (0..100).map(|_| one.seal(SECOND, &packet())).collect();
    for at in [0, 2, 1, 60, 40, 99] {
        assert!(other.open::<Packet>(SECOND, &sealed[at]).is_ok(), "{at}");
        assert_eq!(other.open::<Packet>(SECOND, &sealed[at]).err(), Some(OpenError::Replayed), "{at}");
    }
    assert_eq!(
        other.open::<Packet>(SECOND, &sealed[3]).err(),
        Some(OpenError::Replayed),
        "too far behind to be told"
    );
    let mut fresh = Sealer::new(vec![key('1')], Instance(3)).expect("keys");
    assert_eq!(fresh.open::<Packet>(60 * SECOND, &sealed[0]).err(), Some(OpenError::TimeOutOfRange));
    assert!(fresh.open::<Packet>(SECOND + 300 * MILLISECOND, &sealed[0]).is_ok(), "clocks differ by this");
}

#[test]
fn keys_are_changed_without_a_moment_in_which_nobody_is_understood() {
    let (old, new) = (key('1'), key('2'));
    let rings = [vec![old.clone()], vec![old.clone(), new.clone()], vec![new.clone(), old], vec![new]];
    for steps in rings.windows(2) {
        for (from, to) in [(&steps[0], &steps[1]), (&steps[1], &steps[0])] {
            let mut one = Sealer::new(from.clone(), Instance(1)).expect("keys");
            let mut other = Sealer::new(to.clone(), Instance(2)).expect("keys");
            let sealed = one.seal(SECOND, &packet());
            assert!(other.open::<Packet>(SECOND, &sealed).is_ok());
        }
    }
}

/// Danger: of a fleet in two halves only one member sees both; a refutation comes through by it alone, and it tells what it
/// hears to some, a few times.
#[test]
fn a_bridge_between_two_halves_keeps_all_of_them_there() {
    let (one, other) = ([0, 3, 4, 5], [1, 2, 4, 6]);
    for seed in 1..8 {
        let mut mesh = SimulatedFleet::new(7, seed);
        mesh.run(8 * SECOND);
        for (from, to) in (0..7).flat_map(|from| (0..7).map(move |to| (from, to))) {
            let together = |group: &[usize]| group.contains(&from) && group.contains(&to);
            if !together(&one) && !together(&other) {
                mesh.cut(from, to);
            }
        }
        let before = mesh.events.len();
        mesh.run(mesh.now + 15 * SECOND);
        let gone = mesh.events[before..].iter().filter(|(.., event)| matches!(event, Event::Died(_))).count();
        assert_eq!(gone, 0, "seed {seed}");
    }
}
