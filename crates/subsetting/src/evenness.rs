//! Measures of assignments: how evenly an assignment loads the servers, how many pairs differ between two assignments,
//! and the loads of servers when gateways have different views. Assignments do not depend on these measures.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Assignments, Gateway, Server};

/// The evenness and the size of an assignment. A server's load is relative to its share of the total load by weight, so
/// 1 is perfectly even.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evenness {
    /// The highest load of a server.
    pub max_load: f64,
    /// The lowest load of a server.
    pub min_load: f64,
    /// The mean deviation of a server's load from 1.
    pub mean_deviation: f64,
    /// Number of pairs of a gateway and a server.
    pub pairs: usize,
    /// Number of servers that no gateway uses.
    pub uncovered: usize,
    /// The largest number of servers that one gateway uses.
    pub max_servers_of_gateway: usize,
    /// The largest number of gateways that use one server.
    pub max_gateways_of_server: usize,
}

/// Measures how evenly an assignment loads the servers.
pub fn evenness(gateways: &[Gateway], servers: &[Server], assignments: &Assignments) -> Evenness {
    let mut loads = vec![0.0; servers.len()];
    let mut users = vec![0usize; servers.len()];
    for (gateway, assigned) in gateways.iter().zip(&assignments.by_gateway) {
        for assignment in assigned {
            loads[assignment.server] += gateway.load.max(0.0) * assignment.weight;
            users[assignment.server] += 1;
        }
    }
    let usable: Vec<usize> = (0..servers.len()).filter(|server| servers[*server].is_usable()).collect();
    let total_weight: f64 = usable.iter().map(|server| servers[*server].weight).sum();
    let total_load: f64 = loads.iter().sum();
    let relative_load = |server: &usize| {
        if total_load > 0.0 {
            loads[*server] / total_load * total_weight / servers[*server].weight
        } else {
            1.0
        }
    };
    let relative_loads: Vec<f64> = usable.iter().map(relative_load).collect();
    let count = relative_loads.len().max(1) as f64;
    Evenness {
        max_load: relative_loads.iter().copied().fold(0.0, f64::max),
        min_load: relative_loads.iter().copied().fold(f64::INFINITY, f64::min),
        mean_deviation: relative_loads.iter().map(|load| (load - 1.0).abs()).sum::<f64>() / count,
        pairs: assignments.by_gateway.iter().map(Vec::len).sum(),
        uncovered: usable.iter().filter(|server| users[**server] == 0).count(),
        max_servers_of_gateway: assignments.by_gateway.iter().map(Vec::len).max().unwrap_or(0),
        max_gateways_of_server: users.iter().copied().max().unwrap_or(0),
    }
}

/// The pairs that are in only one of two assignments, as a share of the pairs that are in at least one of them.
pub fn moved_share(
    before: (&[Gateway], &[Server], &Assignments),
    after: (&[Gateway], &[Server], &Assignments),
) -> f64 {
    let before = named_pairs(before.0, before.1, before.2);
    let after = named_pairs(after.0, after.1, after.2);
    let in_either = before.union(&after).count().max(1);
    before.symmetric_difference(&after).count() as f64 / in_either as f64
}

fn named_pairs<'n>(
    gateways: &'n [Gateway],
    servers: &'n [Server],
    assignments: &Assignments,
) -> BTreeSet<(&'n str, &'n str)> {
    let mut pairs = BTreeSet::new();
    for (gateway, assigned) in gateways.iter().zip(&assignments.by_gateway) {
        pairs.extend(assigned.iter().map(|assignment| (&*gateway.name, &*servers[assignment.server].name)));
    }
    pairs
}

/// The load of each server when gateways have different views. Each gateway uses the servers that its own view assigns
/// to it. The traffic for servers that no longer exist goes to the gateway's other servers.
pub fn loads_with_differing_views<'v>(
    gateways: &[Gateway],
    servers: &[Server],
    view: impl Fn(usize) -> (&'v [Gateway], &'v [Server], &'v Assignments),
) -> Vec<f64> {
    let positions: BTreeMap<&str, usize> =
        servers.iter().enumerate().map(|(position, server)| (&*server.name, position)).collect();
    let mut loads = vec![0.0; servers.len()];
    for (index, gateway) in gateways.iter().enumerate() {
        let (viewed_gateways, viewed_servers, assignments) = view(index);
        let Some(own_position) = viewed_gateways.iter().position(|viewed| viewed.name == gateway.name) else {
            continue;
        };
        let existing = assignments.by_gateway[own_position].iter().filter_map(|assignment| {
            let position = positions.get(&*viewed_servers[assignment.server].name)?;
            Some((*position, assignment.weight))
        });
        let existing: Vec<(usize, f64)> = existing.collect();
        let sum: f64 = existing.iter().map(|(_, weight)| weight).sum();
        if sum > 0.0 {
            for (server, weight) in existing {
                loads[server] += gateway.load.max(0.0) * weight / sum;
            }
        }
    }
    loads
}
