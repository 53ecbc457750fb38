//! How much of each zone's load its own servers bear, and where the rest goes.

use std::collections::BTreeMap;

use crate::{load, Gateway, Server};

/// Of the traffic of a zone's gateways, the share that goes to the servers of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFlow {
    pub from: u32,
    pub to: u32,
    pub share: f64,
}

/// A share so small is not worth a connection of its own.
const LEAST: f64 = 1e-3;

/// The flows between zones: each server is to get its part of all by weight, so that a zone's servers have room for as much of
/// all as they weigh. The own zone comes first as far as it has room; the rest goes where room is left, in proportion to it.
/// `apart`: without it zones make no difference.
pub fn zone_flows(gateways: &[Gateway], servers: &[Server], apart: bool) -> Vec<ZoneFlow> {
    let mut loads: BTreeMap<u32, f64> = BTreeMap::new();
    let mut rooms: BTreeMap<u32, f64> = BTreeMap::new();
    for gateway in gateways {
        *loads.entry(gateway.zone).or_default() += load(gateway);
    }
    for server in servers.iter().filter(|server| server.weight > 0.0 && server.weight.is_finite()) {
        *rooms.entry(server.zone).or_default() += server.weight;
    }
    let (all, weight): (f64, f64) = (loads.values().sum(), rooms.values().sum());
    if weight <= 0.0 {
        return Vec::new();
    }
    rooms.values_mut().for_each(|room| *room *= all / weight);
    let own = |zone: &u32| if apart { rooms.get(zone).copied().unwrap_or(0.0).min(loads[zone]) } else { 0.0 };
    let left: BTreeMap<u32, f64> = rooms
        .iter()
        .map(|(zone, room)| (*zone, room - if loads.contains_key(zone) { own(zone) } else { 0.0 }))
        .collect();
    let over: f64 = left.values().sum();
    let mut flows = Vec::new();
    for (zone, carried) in &loads {
        let stays = own(zone);
        for (to, room) in &rooms {
            let mut share = if to == zone { stays / carried } else { 0.0 };
            if over > 0.0 {
                share += (carried - stays) / carried * left[to] / over;
            }
            if share > LEAST || *room >= all {
                flows.push(ZoneFlow { from: *zone, to: *to, share });
            }
        }
    }
    flows
}
