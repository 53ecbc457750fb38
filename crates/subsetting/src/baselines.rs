//! Other ways to deal, weighed and kept to be measured beside the one that is used: rows by hash, and dealing in rounds.

use crate::{name_hash, pair_hash, Assignment, Assignments, Gateway, Server};

fn by_weight(servers: &[Server], subset: Vec<usize>) -> Vec<Assignment> {
    let sum: f64 = subset.iter().map(|at| servers[*at].weight).sum();
    subset.into_iter().map(|server| Assignment { server, weight: servers[server].weight / sum }).collect()
}

/// Everybody uses every server, by weight.
pub fn all_servers(gateways: &[Gateway], servers: &[Server]) -> Assignments {
    Assignments {
        by_gateway: gateways.iter().map(|_| by_weight(servers, (0..servers.len()).collect())).collect(),
    }
}

/// Servers in a row by hash; each gateway takes so many from its own place on, which is its number among all.
pub fn contiguous(gateways: &[Gateway], servers: &[Server], max_servers: usize) -> Assignments {
    let mut row: Vec<usize> = (0..servers.len()).collect();
    row.sort_by_key(|at| name_hash(&servers[*at].name));
    let take = |(number, _): (usize, &Gateway)| {
        let from = number * row.len() / gateways.len().max(1);
        let taken = (0..max_servers.min(row.len())).map(|step| row[(from + step) % row.len()]);
        by_weight(servers, taken.collect())
    };
    Assignments { by_gateway: gateways.iter().enumerate().map(take).collect() }
}

/// Rounds: in each the servers are shuffled alike for all, and dealt to the gateways of the round by number, so many each.
pub fn round_robin(gateways: &[Gateway], servers: &[Server], max_servers: usize) -> Assignments {
    let max_servers = max_servers.min(servers.len()).max(1);
    let gateways_per_round = (servers.len() / max_servers).max(1);
    let take = |(number, _): (usize, &Gateway)| {
        let (round, place) = (number / gateways_per_round, number % gateways_per_round);
        let mut order: Vec<usize> = (0..servers.len()).collect();
        order.sort_by_key(|at| pair_hash(name_hash(&servers[*at].name), round as u64));
        by_weight(servers, order.into_iter().skip(place * max_servers).take(max_servers).collect())
    };
    Assignments { by_gateway: gateways.iter().enumerate().map(take).collect() }
}
