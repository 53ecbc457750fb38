//! Properties of assignments, for few and many gateways and servers, equal and unequal, and for views that differ.

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
    fn arbitrary(random: &mut Gen) -> Self {
        let below = |random: &mut Gen, most: usize| usize::arbitrary(random) % most;
        let (gateway_count, zones) = (1 + below(random, 150), 1 + below(random, 3) as u32);
        let mut gateways_seen = gateways(gateway_count);
        for gateway in &mut gateways_seen {
            (gateway.load, gateway.zone) =
                (below(random, 30) as f64 / 10.0, below(random, zones as usize) as u32);
        }
        let mut servers_seen = servers(1 + below(random, 150));
        for server in &mut servers_seen {
            (server.weight, server.zone) =
                (1.0 + below(random, 8) as f64, below(random, zones as usize) as u32);
        }
        Fleet(gateways_seen, servers_seen)
    }
}

/// The weights of every gateway sum to 1, no subset is too small, and every server has gateways.
fn is_valid(Fleet(gateways_seen, servers_seen): Fleet) -> bool {
    let own = assign(&gateways_seen, &servers_seen, SETTINGS);
    let found = evenness(&gateways_seen, &servers_seen, &own);
    let floor = MIN_SUBSET_SIZE.min(servers_seen.len());
    own.by_gateway.iter().all(|assigned| {
        let sum: f64 = assigned.iter().map(|assignment| assignment.weight).sum();
        assigned.len() >= floor
            && (sum - 1.0).abs() < 1e-9
            && assigned.iter().all(|assignment| assignment.weight >= 0.0)
    }) && found.uncovered == 0
}

#[test]
fn every_gateway_has_servers_and_every_server_has_gateways() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(300)
        .quickcheck(is_valid as fn(Fleet) -> bool);
}

/// Assignments follow from names, not from the order in which they are given.
fn is_independent_of_order(Fleet(gateways_seen, servers_seen): Fleet) -> bool {
    let own = assign(&gateways_seen, &servers_seen, SETTINGS);
    let (mut reversed_gateways, mut reversed_servers) = (gateways_seen.clone(), servers_seen.clone());
    reversed_gateways.reverse();
    reversed_servers.reverse();
    let other = assign(&reversed_gateways, &reversed_servers, SETTINGS);
    let named = |gateways_seen: &[Gateway], servers_seen: &[Server], assignments: &Assignments| {
        let mut named: Vec<(String, String, i64)> = Vec::new();
        for (gateway, assigned) in gateways_seen.iter().zip(&assignments.by_gateway) {
            let share = |share: f64| (share * 1e6).round() as i64;
            let of = |assignment: &fernscale_subsetting::Assignment| {
                (gateway.name.clone(), servers_seen[assignment.server].name.clone(), share(assignment.weight))
            };
            named.extend(assigned.iter().map(of));
        }
        named.sort();
        named
    };
    let (one, two) =
        (named(&gateways_seen, &servers_seen, &own), named(&reversed_gateways, &reversed_servers, &other));
    one.len() == two.len()
        && one.iter().zip(&two).all(|(one, two)| (&one.0, &one.1) == (&two.0, &two.1) && one.2 == two.2)
}

#[test]
fn assignments_do_not_depend_on_the_order_of_names() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 8))
        .tests(100)
        .quickcheck(is_independent_of_order as fn(Fleet) -> bool);
}

#[test]
fn equal_gateways_load_all_servers_evenly_at_any_size() {
    for (gateway_count, server_count) in [
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
        let (gateways_seen, mut servers_seen) = (gateways(gateway_count), servers(server_count));
        let even = evenness(&gateways_seen, &servers_seen, &assign(&gateways_seen, &servers_seen, SETTINGS));
        assert!(even.max_load < 1.05 && even.min_load > 0.95, "{gateway_count} by {server_count}: {even:?}");
        servers_seen.iter_mut().enumerate().for_each(|(at, server)| server.weight = 1.0 + (at % 4) as f64);
        let weighed =
            evenness(&gateways_seen, &servers_seen, &assign(&gateways_seen, &servers_seen, SETTINGS));
        assert!(
            weighed.max_load < 1.05 && weighed.min_load > 0.95,
            "{gateway_count} by {server_count}: {weighed:?}"
        );
        assert!(weighed.pairs <= gateway_count * server_count && weighed.uncovered == 0);
    }
}

#[test]
fn unequal_gateways_load_servers_evenly() {
    for (gateway_count, server_count) in [(20, 24), (300, 200), (100, 300)] {
        let (mut gateways_seen, servers_seen) = (gateways(gateway_count), servers(server_count));
        gateways_seen
            .iter_mut()
            .enumerate()
            .for_each(|(at, gateway)| gateway.load = [0.2, 0.5, 0.8, 3.0][at % 4]);
        let found = evenness(&gateways_seen, &servers_seen, &assign(&gateways_seen, &servers_seen, SETTINGS));
        assert!(
            found.max_load < 1.15 && found.min_load > 0.85,
            "{gateway_count} by {server_count}: {found:?}"
        );
    }
}

#[test]
fn extreme_weights_and_loads_leave_no_server_without_gateways() {
    let (mut gateways_seen, mut servers_seen) = (gateways(50), servers(40));
    (gateways_seen[7].load, servers_seen[3].weight) = (10.0, 1_000.0);
    gateways_seen[8].load = 0.0;
    let own = assign(&gateways_seen, &servers_seen, SETTINGS);
    let found = evenness(&gateways_seen, &servers_seen, &own);
    assert!(
        found.uncovered == 0 && own.by_gateway.iter().all(|assigned| assigned.len() >= MIN_SUBSET_SIZE),
        "{found:?}"
    );
    let heavy: f64 = own
        .by_gateway
        .iter()
        .flatten()
        .filter(|assignment| assignment.server == 3)
        .map(|assignment| assignment.weight)
        .sum();
    assert!(heavy > 40.0, "the server with nearly all of the weight gets nearly all of the load: {heavy}");
}

#[test]
fn removing_one_gateway_or_server_moves_few_pairs() {
    for (gateway_count, server_count) in [(30, 24), (300, 200), (100, 300)] {
        let (gateways_seen, servers_seen) = (gateways(gateway_count), servers(server_count));
        let before = assign(&gateways_seen, &servers_seen, SETTINGS);
        let fewer = &gateways_seen[..gateway_count - 1];
        let after = assign(fewer, &servers_seen, SETTINGS);
        let by_gateway =
            moved_share((&gateways_seen, &servers_seen, &before), (fewer, &servers_seen, &after));
        assert!(by_gateway < 4.0 / gateway_count as f64, "{gateway_count} by {server_count}: {by_gateway}");
        let left = &servers_seen[1..];
        let after = assign(&gateways_seen, left, SETTINGS);
        let by_server = moved_share((&gateways_seen, &servers_seen, &before), (&gateways_seen, left, &after));
        assert!(by_server < 4.0 / server_count as f64, "{gateway_count} by {server_count}: {by_server}");
        // With subsets by the gateway's number nearly all pairs move.
        let rows = |gateways_seen: &[Gateway]| baselines::round_robin(gateways_seen, &servers_seen, 12);
        let others = &gateways_seen[1..];
        assert!(
            moved_share(
                (&gateways_seen, &servers_seen, &rows(&gateways_seen)),
                (others, &servers_seen, &rows(others))
            ) > 5.0 * by_gateway
        );
    }
}

/// A fleet that changes by one member at a time, assigned repeatedly, has the pairs of a fresh assignment and nearly its weights:
/// gateways with different histories agree.
#[test]
fn assignments_do_not_depend_on_earlier_ones() {
    let mut assigner = Assigner::default();
    let (mut gateways_seen, mut servers_seen) = (gateways(60), servers(50));
    for step in 0..120usize {
        let at = step * 7 % 40;
        match step % 6 {
            0 => drop(gateways_seen.remove(at)),
            1 => drop(servers_seen.remove(at)),
            2 => gateways_seen.push(Gateway {
                name: format!("gateway-new-{step}"),
                load: 1.0,
                zone: step as u32 % 2,
            }),
            3 => servers_seen.push(Server {
                name: format!("box-new-{step}"),
                weight: 2.0,
                zone: step as u32 % 2,
            }),
            4 => gateways_seen[at].load = [0.2, 1.0, 3.0][step % 3],
            _ => servers_seen[at].weight = [1.0, 4.0, 0.0][step % 3],
        }
        let (repeated, fresh) = (
            assigner.assign(&gateways_seen, &servers_seen, SETTINGS),
            assign(&gateways_seen, &servers_seen, SETTINGS),
        );
        for (repeated, fresh) in repeated.by_gateway.iter().zip(&fresh.by_gateway) {
            let used = |assigned: &[Assignment]| {
                assigned.iter().map(|assignment| assignment.server).collect::<Vec<_>>()
            };
            assert_eq!(used(repeated), used(fresh), "after {step} changes");
            for (repeated, fresh) in repeated.iter().zip(fresh) {
                assert!(
                    (repeated.weight - fresh.weight).abs() < 0.03 * fresh.weight + 1e-6,
                    "{step}: {repeated:?}, {fresh:?}"
                );
            }
        }
        let even = evenness(&gateways_seen, &servers_seen, &repeated);
        assert!(even.max_load < 1.15 && even.uncovered == 0, "{step}: {even:?}");
    }
}

/// Even where the number of servers that each needs is just below a whole number, and all would need one more.
#[test]
fn no_size_of_a_fleet_moves_many_pairs_at_one_change() {
    let settings = Settings { min_servers: 3, prefers_own_zone: true };
    for (gateway_count, server_count) in [(300, 200), (150, 100), (60, 40), (100, 20), (40, 81)] {
        let (gateways_seen, servers_seen) = (gateways(gateway_count), servers(server_count));
        let before = assign(&gateways_seen, &servers_seen, settings);
        for (all_left, taken_left) in
            [(&gateways_seen[1..], &servers_seen[..]), (&gateways_seen[..], &servers_seen[1..])]
        {
            let after = assign(all_left, taken_left, settings);
            let moves = moved_share((&gateways_seen, &servers_seen, &before), (all_left, taken_left, &after));
            let most = 5.0 / gateway_count.min(server_count) as f64;
            assert!(moves < most, "{gateway_count} by {server_count}: {moves}, {most} may");
        }
    }
}

#[test]
fn the_own_zone_comes_first_as_far_as_it_has_capacity() {
    let (mut gateways_seen, mut servers_seen) = (gateways(60), servers(40));
    gateways_seen.iter_mut().enumerate().for_each(|(at, gateway)| gateway.zone = u32::from(at >= 40));
    servers_seen.iter_mut().enumerate().for_each(|(at, server)| server.zone = u32::from(at >= 20));
    let own = assign(&gateways_seen, &servers_seen, SETTINGS);
    let even = evenness(&gateways_seen, &servers_seen, &own);
    assert!(even.max_load < 1.05 && even.min_load > 0.95, "{even:?}");
    let across = |zone: u32| {
        let of = gateways_seen.iter().zip(&own.by_gateway).filter(|(gateway, _)| gateway.zone == zone);
        let far = of
            .flat_map(|(_, assigned)| assigned)
            .filter(|assignment| servers_seen[assignment.server].zone != zone);
        far.map(|assignment| assignment.weight).sum::<f64>()
    };
    // Two thirds of the load have one half of the capacity: a quarter of that goes to the other zone, and nothing comes back.
    assert!((across(0) - 10.0).abs() < 0.2 && across(1) < 0.2, "{} {}", across(0), across(1));
    // All servers of the other zone are gone.
    let left = &servers_seen[..20];
    let own = assign(&gateways_seen, left, SETTINGS);
    assert!(
        evenness(&gateways_seen, left, &own).uncovered == 0
            && own.by_gateway.iter().all(|assigned| assigned.len() >= MIN_SUBSET_SIZE)
    );
}

#[test]
fn differing_views_load_servers_nearly_evenly() {
    let (gateways_seen, servers_seen) = (gateways(100), servers(80));
    let whole = assign(&gateways_seen, &servers_seen, SETTINGS);
    for differ in [1, 5, 10] {
        let some = &gateways_seen[differ..];
        let view = assign(some, &servers_seen, SETTINGS);
        // Half of the fleet does not see the first few.
        let got = together(&gateways_seen, &servers_seen, |at| {
            if at % 2 == 0 || at < differ {
                (&gateways_seen[..], &servers_seen[..], &whole)
            } else {
                (some, &servers_seen[..], &view)
            }
        });
        let mean = 100.0 / 80.0;
        let most = got.iter().copied().fold(0.0, f64::max) / mean;
        let least = got.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        let bound = 1.06 + 0.02 * differ as f64;
        assert!(most < bound && least > 2.0 - bound, "{differ}: {least} to {most}");
    }
    // In a partition each side assigns servers as if it were alone, and covers all.
    let (one, other) = (&gateways_seen[..37], &gateways_seen[37..]);
    let views = (assign(one, &servers_seen, SETTINGS), assign(other, &servers_seen, SETTINGS));
    let got = together(&gateways_seen, &servers_seen, |at| {
        if at < 37 {
            (one, &servers_seen[..], &views.0)
        } else {
            (other, &servers_seen[..], &views.1)
        }
    });
    assert!(got.iter().all(|got| (got / 1.25 - 1.0).abs() < 0.05), "{got:?}");
}
