//! How much of each zone's load its own servers bear, and where the rest goes.

use std::collections::BTreeMap;

use crate::{effective_load, Gateway, Server};

/// Of the traffic of a zone's gateways, the share that goes to the servers of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFlow {
    pub from: u32,
    pub to: u32,
    pub share: f64,
}

/// A share so small is not worth a connection of its own.
const MIN_FLOW_SHARE: f64 = 1e-3;

/// The flows between zones: each server is to get its part of all by weight, so that a zone's servers have room for as much of
/// all as they weigh. The own zone comes first as far as it has room; the rest goes where room is left, in proportion to it.
/// `apart`: without it zones make no difference.
pub fn zone_flows(gateways: &[Gateway], servers: &[Server], prefers_own_zone: bool) -> Vec<ZoneFlow> {
    let mut loads: BTreeMap<u32, f64> = BTreeMap::new();
    let mut capacities: BTreeMap<u32, f64> = BTreeMap::new();
    for gateway in gateways {
        *loads.entry(gateway.zone).or_default() += effective_load(gateway);
    }
    for server in servers.iter().filter(|server| server.weight > 0.0 && server.weight.is_finite()) {
        *capacities.entry(server.zone).or_default() += server.weight;
    }
    let (total_load, total_weight): (f64, f64) = (loads.values().sum(), capacities.values().sum());
    if total_weight <= 0.0 {
        return Vec::new();
    }
    capacities.values_mut().for_each(|capacity| *capacity *= total_load / total_weight);
    let kept_load = |zone: &u32| {
        if prefers_own_zone {
            capacities.get(zone).copied().unwrap_or(0.0).min(loads[zone])
        } else {
            0.0
        }
    };
    let remaining: BTreeMap<u32, f64> = capacities
        .iter()
        .map(|(zone, capacity)| {
            (*zone, capacity - if loads.contains_key(zone) { kept_load(zone) } else { 0.0 })
        })
        .collect();
    let total_remaining: f64 = remaining.values().sum();
    let mut flows = Vec::new();
    for (zone, load) in &loads {
        let kept = kept_load(zone);
        for (to, capacity) in &capacities {
            let mut share = if to == zone { kept / load } else { 0.0 };
            if total_remaining > 0.0 {
                share += (load - kept) / load * remaining[to] / total_remaining;
            }
            if share > MIN_FLOW_SHARE || *capacity >= total_load {
                flows.push(ZoneFlow { from: *zone, to: *to, share });
            }
        }
    }
    flows
}
