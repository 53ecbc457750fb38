//! Other subsetting algorithms, for comparison in measurements. Gateways do not use them.

use crate::hashing::{name_hash, pair_hash};
use crate::{Assignment, Assignments, Gateway, Server};

fn by_weight(servers: &[Server], subset: Vec<usize>) -> Vec<Assignment> {
    let sum: f64 = subset.iter().map(|server| servers[*server].weight).sum();
    subset.into_iter().map(|server| Assignment { server, weight: servers[server].weight / sum }).collect()
}

/// No subsetting: every gateway uses every server, by weight.
pub fn all_servers(gateways: &[Gateway], servers: &[Server]) -> Assignments {
    let all = || by_weight(servers, (0..servers.len()).collect());
    Assignments { by_gateway: gateways.iter().map(|_| all()).collect() }
}

/// Contiguous subsets: the servers form a ring in the order of their hashes. Each gateway takes `max_servers`
/// successive servers from a position that is proportional to the gateway's index.
pub fn contiguous(gateways: &[Gateway], servers: &[Server], max_servers: usize) -> Assignments {
    let mut ring: Vec<usize> = (0..servers.len()).collect();
    ring.sort_by_key(|server| name_hash(&servers[*server].name));
    let subset = |number: usize| {
        let start = number * ring.len() / gateways.len().max(1);
        let positions = 0..max_servers.min(ring.len());
        by_weight(servers, positions.map(|offset| ring[(start + offset) % ring.len()]).collect())
    };
    Assignments { by_gateway: (0..gateways.len()).map(subset).collect() }
}

/// Round-robin subsets: each round shuffles the servers in the same way at all gateways, and divides them among the
/// gateways of the round.
pub fn round_robin(gateways: &[Gateway], servers: &[Server], max_servers: usize) -> Assignments {
    let size = max_servers.min(servers.len()).max(1);
    let gateways_per_round = (servers.len() / size).max(1);
    let subset = |number: usize| {
        let round = number / gateways_per_round;
        let position = number % gateways_per_round;
        let mut shuffled: Vec<usize> = (0..servers.len()).collect();
        shuffled.sort_by_key(|server| pair_hash(name_hash(&servers[*server].name), round as u64));
        by_weight(servers, shuffled.into_iter().skip(position * size).take(size).collect())
    };
    Assignments { by_gateway: (0..gateways.len()).map(subset).collect() }
}
