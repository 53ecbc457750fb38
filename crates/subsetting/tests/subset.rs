//! What must hold of a deal, for few and many gateways and servers, equal and unequal; and for views that differ.

use fernscale_subsetting::assigner::Assigner;
use fernscale_subsetting::{
    assign, baselines, evenness, moved_share, together, Assignment, Assignments, Gateway, Server, Settings,
    MIN_SUBSET_SIZE,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn gateways(count: usize) -> Vec<Gateway> {
    (0..count).map(|at| Gateway { name: format!("gateway-{at}"), load: 1.0, zone: 0 }).collect()
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|at| Server { name: format!("box-{at}"), weight: 1.0, zone: 0 }).collect()
}

const SETTINGS: Settings = Settings { min_servers: 12, prefers_own_zone: true };

/// Up to so many of each, with loads up to three times the mean and weights up to eight.
#[derive(Clone, Debug)]
struct Fleet(Vec<Gateway>, Vec<Server>);

impl Arbitrary for Fleet {
    fn arbitrary(chance: &mut Gen) -> Self {
        let below = |chance: &mut Gen, most: usize| usize::arbitrary(chance) % most;
        let (many, zones) = (1 + below(chance, 150), 1 + below(chance, 3) as u32);
        let mut all = gateways(many);
        for gateway in &mut all {
            (gateway.load, gateway.zone) =
                (below(chance, 30) as f64 / 10.0, below(chance, zones as usize) as u32);
        }
        let mut taken = servers(1 + below(chance, 150));
        for server in &mut taken {
            (server.weight, server.zone) =
                (1.0 + below(chance, 8) as f64, below(chance, zones as usize) as u32);
        }
        Fleet(all, taken)
    }
}

/// Shares of every gateway come to one, nobody is below the floor, and every server has users.
fn sound(Fleet(all, taken): Fleet) -> bool {
    let own = assign(&all, &taken, SETTINGS);
    let picture = evenness(&all, &taken, &own);
    let floor = MIN_SUBSET_SIZE.min(taken.len());
    own.by_gateway.iter().all(|parts| {
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        parts.len() >= floor && (sum - 1.0).abs() < 1e-9 && parts.iter().all(|part| part.weight >= 0.0)
    }) && picture.uncovered == 0
}

#[test]
fn every_gateway_has_servers_and_every_server_gateways() {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 7)).tests(300).quickcheck(sound as fn(Fleet) -> bool);
}

/// The deal follows from names, not from the order in which they are given.
fn in_any_order(Fleet(all, taken): Fleet) -> bool {
    let own = assign(&all, &taken, SETTINGS);
    let (mut turned, mut also) = (all.clone(), taken.clone());
    turned.reverse();
    also.reverse();
    let other = assign(&turned, &also, SETTINGS);
    let named = |all: &[Gateway], taken: &[Server], deal: &Assignments| {
        let mut named: Vec<(String, String, i64)> = Vec::new();
        for (gateway, parts) in all.iter().zip(&deal.by_gateway) {
            let share = |share: f64| (share * 1e6).round() as i64;
            let of = |part: &fernscale_subsetting::Assignment| {
                (gateway.name.clone(), taken[part.server].name.clone(), share(part.weight))
            };
            named.extend(parts.iter().map(of));
        }
        named.sort();
        named
    };
    let (one, two) = (named(&all, &taken, &own), named(&turned, &also, &other));
    one.len() == two.len()
        && one.iter().zip(&two).all(|(one, two)| (&one.0, &one.1) == (&two.0, &two.1) && one.2 == two.2)
}

#[test]
fn a_deal_follows_from_names_and_not_from_their_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 8))
        .tests(100)
        .quickcheck(in_any_order as fn(Fleet) -> bool);
}

#[test]
fn equal_gateways_load_equal_and_unequal_servers_evenly_at_any_size() {
    for (many, few) in [
        (1, 1),
        (1, 40),
        (40, 1),
        (3, 7),
        (20, 24),
        (24, 20),
        (300, 200),
        (200, 300),
        (1_000, 100),
        (17, 1_000),
    ] {
        let (all, mut taken) = (gateways(many), servers(few));
        let even = evenness(&all, &taken, &assign(&all, &taken, SETTINGS));
        assert!(even.max_load < 1.05 && even.min_load > 0.95, "{many} by {few}: {even:?}");
        taken.iter_mut().enumerate().for_each(|(at, server)| server.weight = 1.0 + (at % 4) as f64);
        let weighed = evenness(&all, &taken, &assign(&all, &taken, SETTINGS));
        assert!(weighed.max_load < 1.05 && weighed.min_load > 0.95, "{many} by {few}: {weighed:?}");
        assert!(weighed.pairs <= many * few && weighed.uncovered == 0);
    }
}

#[test]
fn gateways_that_carry_up_to_three_times_the_mean_load_evenly_too() {
    for (many, few) in [(20, 24), (300, 200), (100, 300)] {
        let (mut all, taken) = (gateways(many), servers(few));
        all.iter_mut().enumerate().for_each(|(at, gateway)| gateway.load = [0.2, 0.5, 0.8, 3.0][at % 4]);
        let picture = evenness(&all, &taken, &assign(&all, &taken, SETTINGS));
        assert!(picture.max_load < 1.15 && picture.min_load > 0.85, "{many} by {few}: {picture:?}");
    }
}

#[test]
fn weights_of_one_and_a_thousand_and_a_gateway_of_ten_times_the_mean() {
    let (mut all, mut taken) = (gateways(50), servers(40));
    (all[7].load, taken[3].weight) = (10.0, 1_000.0);
    all[8].load = 0.0;
    let own = assign(&all, &taken, SETTINGS);
    let picture = evenness(&all, &taken, &own);
    assert!(
        picture.uncovered == 0 && own.by_gateway.iter().all(|parts| parts.len() >= MIN_SUBSET_SIZE),
        "{picture:?}"
    );
    let heavy: f64 =
        own.by_gateway.iter().flatten().filter(|part| part.server == 3).map(|part| part.weight).sum();
    assert!(heavy > 40.0, "the one that is nearly all gets nearly all: {heavy}");
}

#[test]
fn one_more_or_less_moves_a_few_times_its_part_of_the_pairs() {
    for (many, few) in [(30, 24), (300, 200), (100, 300)] {
        let (all, taken) = (gateways(many), servers(few));
        let before = assign(&all, &taken, SETTINGS);
        let fewer = &all[..many - 1];
        let after = assign(fewer, &taken, SETTINGS);
        let by_gateway = moved_share((&all, &taken, &before), (fewer, &taken, &after));
        assert!(by_gateway < 4.0 / many as f64, "{many} by {few}: {by_gateway}");
        let left = &taken[1..];
        let after = assign(&all, left, SETTINGS);
        let by_server = moved_share((&all, &taken, &before), (&all, left, &after));
        assert!(by_server < 4.0 / few as f64, "{many} by {few}: {by_server}");
        // By number, as it was, nearly all move.
        let rows = |all: &[Gateway]| baselines::round_robin(all, &taken, 12);
        let others = &all[1..];
        assert!(moved_share((&all, &taken, &rows(&all)), (others, &taken, &rows(others))) > 5.0 * by_gateway);
    }
}

/// A fleet that changes by one here and there, dealt on from what was kept, comes to the pairs that it would be dealt anew, and
/// to shares that differ by little: gateways that have seen different things before use one deal.
#[test]
fn a_deal_does_not_hang_on_what_was_dealt_before() {
    let mut dealer = Assigner::default();
    let (mut all, mut taken) = (gateways(60), servers(50));
    for turn in 0..120usize {
        let at = turn * 7 % 40;
        match turn % 6 {
            0 => drop(all.remove(at)),
            1 => drop(taken.remove(at)),
            2 => all.push(Gateway { name: format!("gateway-new-{turn}"), load: 1.0, zone: turn as u32 % 2 }),
            3 => taken.push(Server { name: format!("box-new-{turn}"), weight: 2.0, zone: turn as u32 % 2 }),
            4 => all[at].load = [0.2, 1.0, 3.0][turn % 3],
            _ => taken[at].weight = [1.0, 4.0, 0.0][turn % 3],
        }
        let (kept, anew) = (dealer.assign(&all, &taken, SETTINGS), assign(&all, &taken, SETTINGS));
        for (kept, anew) in kept.by_gateway.iter().zip(&anew.by_gateway) {
            let used = |parts: &[Assignment]| parts.iter().map(|part| part.server).collect::<Vec<_>>();
            assert_eq!(used(kept), used(anew), "after {turn} changes");
            for (kept, anew) in kept.iter().zip(anew) {
                assert!(
                    (kept.weight - anew.weight).abs() < 0.03 * anew.weight + 1e-6,
                    "{turn}: {kept:?}, {anew:?}"
                );
            }
        }
        let even = evenness(&all, &taken, &kept);
        assert!(even.max_load < 1.15 && even.uncovered == 0, "{turn}: {even:?}");
    }
}

/// Also where what each needs is just below a whole number, and all would need one more.
#[test]
fn no_size_of_a_fleet_moves_many_pairs_at_one_change() {
    let settings = Settings { min_servers: 3, prefers_own_zone: true };
    for (many, few) in [(300, 200), (150, 100), (60, 40), (100, 20), (40, 81)] {
        let (all, taken) = (gateways(many), servers(few));
        let before = assign(&all, &taken, settings);
        for (all_left, taken_left) in [(&all[1..], &taken[..]), (&all[..], &taken[1..])] {
            let after = assign(all_left, taken_left, settings);
            let moves = moved_share((&all, &taken, &before), (all_left, taken_left, &after));
            let most = 5.0 / many.min(few) as f64;
            assert!(moves < most, "{many} by {few}: {moves}, {most} may");
        }
    }
}

#[test]
fn the_own_zone_comes_first_as_far_as_it_has_room() {
    let (mut all, mut taken) = (gateways(60), servers(40));
    all.iter_mut().enumerate().for_each(|(at, gateway)| gateway.zone = u32::from(at >= 40));
    taken.iter_mut().enumerate().for_each(|(at, server)| server.zone = u32::from(at >= 20));
    let own = assign(&all, &taken, SETTINGS);
    let even = evenness(&all, &taken, &own);
    assert!(even.max_load < 1.05 && even.min_load > 0.95, "{even:?}");
    let across = |zone: u32| {
        let of = all.iter().zip(&own.by_gateway).filter(|(gateway, _)| gateway.zone == zone);
        let far = of.flat_map(|(_, parts)| parts).filter(|part| taken[part.server].zone != zone);
        far.map(|part| part.weight).sum::<f64>()
    };
    // Two thirds of the load stand before one half of the room: a quarter of that goes over, nothing comes back.
    assert!((across(0) - 10.0).abs() < 0.2 && across(1) < 0.2, "{} {}", across(0), across(1));
    // All servers of the other zone are gone.
    let left = &taken[..20];
    let own = assign(&all, left, SETTINGS);
    assert!(
        evenness(&all, left, &own).uncovered == 0
            && own.by_gateway.iter().all(|parts| parts.len() >= MIN_SUBSET_SIZE)
    );
}

#[test]
fn views_that_differ_by_some_members_give_a_sum_that_is_off_by_little() {
    let (all, taken) = (gateways(100), servers(80));
    let whole = assign(&all, &taken, SETTINGS);
    for differ in [1, 5, 10] {
        let some = &all[differ..];
        let view = assign(some, &taken, SETTINGS);
        // Half of the fleet does not see the first few.
        let got = together(&all, &taken, |at| {
            if at % 2 == 0 || at < differ {
                (&all[..], &taken[..], &whole)
            } else {
                (some, &taken[..], &view)
            }
        });
        let mean = 100.0 / 80.0;
        let most = got.iter().copied().fold(0.0, f64::max) / mean;
        let least = got.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        let bound = 1.06 + 0.02 * differ as f64;
        assert!(most < bound && least > 2.0 - bound, "{differ}: {least} to {most}");
    }
    // Parted: each side deals as if it were alone, and covers all.
    let (one, other) = (&all[..37], &all[37..]);
    let views = (assign(one, &taken, SETTINGS), assign(other, &taken, SETTINGS));
    let got = together(&all, &taken, |at| {
        if at < 37 {
            (one, &taken[..], &views.0)
        } else {
            (other, &taken[..], &views.1)
        }
    });
    assert!(got.iter().all(|got| (got / 1.25 - 1.0).abs() < 0.05), "{got:?}");
}
