//! Selects the servers that this gateway uses: the assigned subset, or else a segment of the hash ring.

use crate::endpoints::Server;
use crate::event::{Id, Subset};

/// Number of gateways per server above which each gateway uses only a subset of the servers. One attempt from
/// each of many gateways overloads a server.
const MAX_GATEWAYS_PER_SERVER: usize = 2;

/// Minimum number of servers that a gateway uses.
const MIN_SUBSET_SIZE: usize = 8;

/// This gateway's position among all gateways.
#[derive(Clone, Copy)]
pub struct GatewayPosition {
    /// The gateway's number, from 0.
    pub index: u32,
    /// How many gateways there are.
    pub count: u32,
}

/// Marks the servers that this gateway uses, with their weights. Returns how many gateways use a server.
///
/// `ring` holds all eligible servers, ordered by their positions. Without a subset the gateway uses a segment
/// of the ring that starts at the gateway's own position; a new list changes this segment little.
pub fn assign(ring: &mut [(&Id, &mut Server)], gateway: GatewayPosition, subset: Option<&Subset>) -> f64 {
    if let Some(subset) = subset {
        for (id, server) in ring.iter_mut() {
            server.assign(subset.weights.get(*id).copied());
        }
        return subset.gateways_per_server;
    }
    let servers = ring.len().max(1);
    let gateways = gateway.count.max(1) as usize;
    let size = (servers / (gateways / MAX_GATEWAYS_PER_SERVER).max(1)).max(MIN_SUBSET_SIZE).min(servers);
    let first = gateway.index as usize % gateways * servers / gateways;
    for (position, (_, server)) in ring.iter_mut().enumerate() {
        let in_segment = (position + servers - first) % servers < size;
        let weight = server.listed_weight;
        server.assign(in_segment.then_some(weight));
    }
    ((gateways * size) as f64 / servers as f64).max(1.0)
}
