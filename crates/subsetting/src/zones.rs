//! The division of traffic between zones: how much of each zone's load stays in the zone, and how much goes to each
//! other zone. The assigner chooses the servers within a zone.

use std::collections::BTreeMap;

use crate::{effective_load, Gateway, Server};

/// The traffic of one zone's gateways to one zone's servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFlow {
    /// The gateways' zone.
    pub from: u32,
    /// The servers' zone.
    pub to: u32,
    /// The share of the gateways' traffic, from 0 to 1.
    pub share: f64,
}

/// Shares up to this limit do not justify separate connections.
const MIN_FLOW_SHARE: f64 = 1e-3;

/// The flows between zones, sorted by the zone of the gateways, then by the zone of the servers.
///
/// Each server should receive a share of the total load in proportion to its weight. A zone's capacity is the sum of
/// its servers' shares. With `prefers_own_zone`, a zone's load first uses the zone's own capacity; the rest is divided
/// among all zones in proportion to their remaining capacity. Without it, zones make no difference. There are no flows
/// if no server is usable.
pub fn zone_flows(gateways: &[Gateway], servers: &[Server], prefers_own_zone: bool) -> Vec<ZoneFlow> {
    let mut loads: BTreeMap<u32, f64> = BTreeMap::new();
    for gateway in gateways {
        *loads.entry(gateway.zone).or_default() += effective_load(gateway);
    }
    let total_load: f64 = loads.values().sum();
    let capacities = zone_capacities(servers, total_load);
    let local_load = |zone: &u32| match (prefers_own_zone, loads.get(zone)) {
        (true, Some(load)) => capacities.get(zone).copied().unwrap_or(0.0).min(*load),
        _ => 0.0,
    };
    let remaining: BTreeMap<u32, f64> =
        capacities.iter().map(|(zone, capacity)| (*zone, capacity - local_load(zone))).collect();
    let total_remaining: f64 = remaining.values().sum();
    let mut flows = Vec::new();
    for (from, load) in &loads {
        let local = local_load(from);
        for (to, capacity) in &capacities {
            let mut share = if to == from { local / load } else { 0.0 };
            if total_remaining > 0.0 {
                share += (load - local) / load * remaining[to] / total_remaining;
            }
            if share > MIN_FLOW_SHARE || *capacity >= total_load {
                flows.push(ZoneFlow { from: *from, to: *to, share });
            }
        }
    }
    flows
}

/// The share of the total load that the servers of each zone should receive.
fn zone_capacities(servers: &[Server], total_load: f64) -> BTreeMap<u32, f64> {
    let mut capacities: BTreeMap<u32, f64> = BTreeMap::new();
    for server in servers.iter().filter(|server| server.is_usable()) {
        *capacities.entry(server.zone).or_default() += server.weight;
    }
    let total_weight: f64 = capacities.values().sum();
    for capacity in capacities.values_mut() {
        *capacity *= total_load / total_weight;
    }
    capacities
}
