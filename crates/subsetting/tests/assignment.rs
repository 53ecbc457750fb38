//! Properties of assignments for small and large fleets, for equal and unequal loads and weights, and for differing
//! views.

use fernscale_subsetting::assigner::Assigner;
use fernscale_subsetting::{
    assign, baselines, evenness, loads_with_differing_views, moved_share, Assignment, Assignments, Gateway,
    Server, Settings, MIN_SUBSET_SIZE,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn gateways(count: usize) -> Vec<Gateway> {
    (0..count).map(|index| Gateway { name: format!("gateway-{index}"), load: 1.0, zone: 0 }).collect()
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|index| Server { name: format!("box-{index}"), weight: 1.0, zone: 0 }).collect()
}

const SETTINGS: Settings = Settings { min_servers: 12, prefers_own_zone: true };

/// Up to 150 gateways and 150 servers in up to three zones, with loads below 3 and weights from 1 to 8.
#[derive(Clone, Debug)]
struct Fleet(Vec<Gateway>, Vec<Server>);

impl Arbitrary for Fleet {
    fn arbitrary(random: &mut Gen) -> Self {
        let below = |random: &mut Gen, bound: usize| usize::arbitrary(random) % bound;
        let (gateway_count, zones) = (1 + below(random, 150), 1 + below(random, 3) as u32);
        let mut fleet_gateways = gateways(gateway_count);
        for gateway in &mut fleet_gateways {
            (gateway.load, gateway.zone) =
                (below(random, 30) as f64 / 10.0, below(random, zones as usize) as u32);
        }
        let mut fleet_servers = servers(1 + below(random, 150));
        for server in &mut fleet_servers {
            (server.weight, server.zone) =
                (1.0 + below(random, 8) as f64, below(random, zones as usize) as u32);
        }
        Fleet(fleet_gateways, fleet_servers)
    }
}

/// Whether the weights of each gateway sum to 1, no subset is too small, and each server has gateways.
fn is_valid(Fleet(fleet_gateways, fleet_servers): Fleet) -> bool {
    let assignments = assign(&fleet_gateways, &fleet_servers, SETTINGS);
    let measured = evenness(&fleet_gateways, &fleet_servers, &assignments);
    let min_size = MIN_SUBSET_SIZE.min(fleet_servers.len());
    assignments.by_gateway.iter().all(|assigned| {
        let sum: f64 = assigned.iter().map(|assignment| assignment.weight).sum();
        assigned.len() >= min_size
            && (sum - 1.0).abs() < 1e-9
            && assigned.iter().all(|assignment| assignment.weight >= 0.0)
    }) && measured.uncovered == 0
}

#[test]
fn every_gateway_has_servers_and_every_server_has_gateways() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(300)
        .quickcheck(is_valid as fn(Fleet) -> bool);
}

/// Whether the assignment is the same if gateways and servers are given in reverse order.
fn is_independent_of_order(Fleet(fleet_gateways, fleet_servers): Fleet) -> bool {
    let assignments = assign(&fleet_gateways, &fleet_servers, SETTINGS);
    let (mut reversed_gateways, mut reversed_servers) = (fleet_gateways.clone(), fleet_servers.clone());
    reversed_gateways.reverse();
    reversed_servers.reverse();
    let other = assign(&reversed_gateways, &reversed_servers, SETTINGS);
    let named = |fleet_gateways: &[Gateway], fleet_servers: &[Server], assignments: &Assignments| {
        let mut named: Vec<(String, String, i64)> = Vec::new();
        for (gateway, assigned) in fleet_gateways.iter().zip(&assignments.by_gateway) {
            let share = |share: f64| (share * 1e6).round() as i64;
            let named_assignment = |assignment: &fernscale_subsetting::Assignment| {
                (
                    gateway.name.clone(),
                    fleet_servers[assignment.server].name.clone(),
                    share(assignment.weight),
                )
            };
            named.extend(assigned.iter().map(named_assignment));
        }
        named.sort();
        named
    };
    let (one, two) = (
        named(&fleet_gateways, &fleet_servers, &assignments),
        named(&reversed_gateways, &reversed_servers, &other),
    );
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
        let (fleet_gateways, mut fleet_servers) = (gateways(gateway_count), servers(server_count));
        let measured =
            evenness(&fleet_gateways, &fleet_servers, &assign(&fleet_gateways, &fleet_servers, SETTINGS));
        assert!(
            measured.max_load < 1.05 && measured.min_load > 0.95,
            "{gateway_count} by {server_count}: {measured:?}"
        );
        fleet_servers
            .iter_mut()
            .enumerate()
            .for_each(|(index, server)| server.weight = 1.0 + (index % 4) as f64);
        let measured_weighted =
            evenness(&fleet_gateways, &fleet_servers, &assign(&fleet_gateways, &fleet_servers, SETTINGS));
        assert!(
            measured_weighted.max_load < 1.05 && measured_weighted.min_load > 0.95,
            "{gateway_count} by {server_count}: {measured_weighted:?}"
        );
        assert!(measured_weighted.pairs <= gateway_count * server_count && measured_weighted.uncovered == 0);
    }
}

#[test]
fn unequal_gateways_load_servers_evenly() {
    for (gateway_count, server_count) in [(20, 24), (300, 200), (100, 300)] {
        let (mut fleet_gateways, fleet_servers) = (gateways(gateway_count), servers(server_count));
        fleet_gateways
            .iter_mut()
            .enumerate()
            .for_each(|(index, gateway)| gateway.load = [0.2, 0.5, 0.8, 3.0][index % 4]);
        let measured =
            evenness(&fleet_gateways, &fleet_servers, &assign(&fleet_gateways, &fleet_servers, SETTINGS));
        assert!(
            measured.max_load < 1.15 && measured.min_load > 0.85,
            "{gateway_count} by {server_count}: {measured:?}"
        );
    }
}

#[test]
fn extreme_weights_and_loads_leave_no_server_without_gateways() {
    let (mut fleet_gateways, mut fleet_servers) = (gateways(50), servers(40));
    (fleet_gateways[7].load, fleet_servers[3].weight) = (10.0, 1_000.0);
    fleet_gateways[8].load = 0.0;
    let assignments = assign(&fleet_gateways, &fleet_servers, SETTINGS);
    let measured = evenness(&fleet_gateways, &fleet_servers, &assignments);
    assert!(
        measured.uncovered == 0
            && assignments.by_gateway.iter().all(|assigned| assigned.len() >= MIN_SUBSET_SIZE),
        "{measured:?}"
    );
    let heavy: f64 = assignments
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
        let (fleet_gateways, fleet_servers) = (gateways(gateway_count), servers(server_count));
        let before = assign(&fleet_gateways, &fleet_servers, SETTINGS);
        let fewer = &fleet_gateways[..gateway_count - 1];
        let after = assign(fewer, &fleet_servers, SETTINGS);
        let by_gateway =
            moved_share((&fleet_gateways, &fleet_servers, &before), (fewer, &fleet_servers, &after));
        assert!(by_gateway < 4.0 / gateway_count as f64, "{gateway_count} by {server_count}: {by_gateway}");
        let remaining_servers = &fleet_servers[1..];
        let after = assign(&fleet_gateways, remaining_servers, SETTINGS);
        let by_server = moved_share(
            (&fleet_gateways, &fleet_servers, &before),
            (&fleet_gateways, remaining_servers, &after),
        );
        assert!(by_server < 4.0 / server_count as f64, "{gateway_count} by {server_count}: {by_server}");
        // Round-robin subsets depend on the gateway's index, so nearly all pairs move.
        let rows = |fleet_gateways: &[Gateway]| baselines::round_robin(fleet_gateways, &fleet_servers, 12);
        let others = &fleet_gateways[1..];
        assert!(
            moved_share(
                (&fleet_gateways, &fleet_servers, &rows(&fleet_gateways)),
                (others, &fleet_servers, &rows(others))
            ) > 5.0 * by_gateway
        );
    }
}

/// After each change of one member, a repeated assignment has the same pairs as a fresh assignment and nearly the same
/// weights. So gateways with different histories agree.
#[test]
fn assignments_do_not_depend_on_earlier_ones() {
    let mut assigner = Assigner::default();
    let (mut fleet_gateways, mut fleet_servers) = (gateways(60), servers(50));
    for step in 0..120usize {
        let index = step * 7 % 40;
        match step % 6 {
            0 => drop(fleet_gateways.remove(index)),
            1 => drop(fleet_servers.remove(index)),
            2 => fleet_gateways.push(Gateway {
                name: format!("gateway-new-{step}"),
                load: 1.0,
                zone: step as u32 % 2,
            }),
            3 => fleet_servers.push(Server {
                name: format!("box-new-{step}"),
                weight: 2.0,
                zone: step as u32 % 2,
            }),
            4 => fleet_gateways[index].load = [0.2, 1.0, 3.0][step % 3],
            _ => fleet_servers[index].weight = [1.0, 4.0, 0.0][step % 3],
        }
        let (repeated, fresh) = (
            assigner.assign(&fleet_gateways, &fleet_servers, SETTINGS),
            assign(&fleet_gateways, &fleet_servers, SETTINGS),
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
        let measured = evenness(&fleet_gateways, &fleet_servers, &repeated);
        assert!(measured.max_load < 1.15 && measured.uncovered == 0, "{step}: {measured:?}");
    }
}

/// Includes sizes at which the number of servers per gateway is just below a whole number, so that a change could make
/// every gateway need one more server.
#[test]
fn one_change_moves_few_pairs_at_any_fleet_size() {
    let settings = Settings { min_servers: 3, prefers_own_zone: true };
    for (gateway_count, server_count) in [(300, 200), (150, 100), (60, 40), (100, 20), (40, 81)] {
        let (fleet_gateways, fleet_servers) = (gateways(gateway_count), servers(server_count));
        let before = assign(&fleet_gateways, &fleet_servers, settings);
        for (remaining_gateways, remaining_servers) in
            [(&fleet_gateways[1..], &fleet_servers[..]), (&fleet_gateways[..], &fleet_servers[1..])]
        {
            let after = assign(remaining_gateways, remaining_servers, settings);
            let moves = moved_share(
                (&fleet_gateways, &fleet_servers, &before),
                (remaining_gateways, remaining_servers, &after),
            );
            let max_moves = 5.0 / gateway_count.min(server_count) as f64;
            assert!(
                moves < max_moves,
                "{gateway_count} by {server_count}: {moves} of the pairs moved, at most {max_moves} expected"
            );
        }
    }
}

#[test]
fn traffic_stays_in_its_zone_up_to_the_capacity_of_the_zone() {
    let (mut fleet_gateways, mut fleet_servers) = (gateways(60), servers(40));
    fleet_gateways.iter_mut().enumerate().for_each(|(index, gateway)| gateway.zone = u32::from(index >= 40));
    fleet_servers.iter_mut().enumerate().for_each(|(index, server)| server.zone = u32::from(index >= 20));
    let assignments = assign(&fleet_gateways, &fleet_servers, SETTINGS);
    let measured = evenness(&fleet_gateways, &fleet_servers, &assignments);
    assert!(measured.max_load < 1.05 && measured.min_load > 0.95, "{measured:?}");
    let across = |zone: u32| {
        let zone_assignments =
            fleet_gateways.iter().zip(&assignments.by_gateway).filter(|(gateway, _)| gateway.zone == zone);
        let far = zone_assignments
            .flat_map(|(_, assigned)| assigned)
            .filter(|assignment| fleet_servers[assignment.server].zone != zone);
        far.map(|assignment| assignment.weight).sum::<f64>()
    };
    // Zone 0 has two thirds of the load and half of the capacity. A quarter of its load goes to zone 1, and no load of
    // zone 1 goes to zone 0.
    assert!((across(0) - 10.0).abs() < 0.2 && across(1) < 0.2, "{} {}", across(0), across(1));
    // All servers of zone 1 are removed.
    let remaining_servers = &fleet_servers[..20];
    let assignments = assign(&fleet_gateways, remaining_servers, SETTINGS);
    assert!(
        evenness(&fleet_gateways, remaining_servers, &assignments).uncovered == 0
            && assignments.by_gateway.iter().all(|assigned| assigned.len() >= MIN_SUBSET_SIZE)
    );
}

#[test]
fn differing_views_load_servers_nearly_evenly() {
    let (fleet_gateways, fleet_servers) = (gateways(100), servers(80));
    let full_view_assignments = assign(&fleet_gateways, &fleet_servers, SETTINGS);
    for differ in [1, 5, 10] {
        let seen_gateways = &fleet_gateways[differ..];
        let seen_assignments = assign(seen_gateways, &fleet_servers, SETTINGS);
        // Half of the fleet does not see the first `differ` gateways.
        let loads = loads_with_differing_views(&fleet_gateways, &fleet_servers, |index| {
            if index % 2 == 0 || index < differ {
                (&fleet_gateways[..], &fleet_servers[..], &full_view_assignments)
            } else {
                (seen_gateways, &fleet_servers[..], &seen_assignments)
            }
        });
        let mean = 100.0 / 80.0;
        let max_load = loads.iter().copied().fold(0.0, f64::max) / mean;
        let min_load = loads.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        let bound = 1.06 + 0.02 * differ as f64;
        assert!(max_load < bound && min_load > 2.0 - bound, "{differ}: {min_load} to {max_load}");
    }
    // In a partition each side assigns servers as if it were the whole fleet, and uses all servers.
    let (one, other) = (&fleet_gateways[..37], &fleet_gateways[37..]);
    let views = (assign(one, &fleet_servers, SETTINGS), assign(other, &fleet_servers, SETTINGS));
    let loads = loads_with_differing_views(&fleet_gateways, &fleet_servers, |index| {
        if index < 37 {
            (one, &fleet_servers[..], &views.0)
        } else {
            (other, &fleet_servers[..], &views.1)
        }
    });
    assert!(loads.iter().all(|load| (load / 1.25 - 1.0).abs() < 0.05), "{loads:?}");
}
