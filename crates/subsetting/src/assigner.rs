//! Repeated assignment of servers to gateways. The assigner reuses the parts of the previous assignment that are still
//! valid. The pairs of gateways and servers do not depend on earlier assignments, and the weights depend on them only
//! within the tolerance of the fitting.

mod flow;

use std::collections::BTreeMap;

use self::flow::Flow;
use crate::hashing::{name_hash, pair_hash, preference_order};
use crate::zones::{zone_flows, ZoneFlow};
use crate::{effective_load, Assignment, Assignments, Gateway, Server, Settings, MIN_SUBSET_SIZE};

/// Assigns servers to gateways, and reuses the previous assignment.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    /// The flows of the previous assignment, by the zone of the gateways and the zone of the servers.
    flows: BTreeMap<(u32, u32), Flow>,
}

impl Assigner {
    /// Assigns the servers to the gateways.
    pub fn assign(&mut self, gateways: &[Gateway], servers: &[Server], settings: Settings) -> Assignments {
        // Floating-point sums depend on the order of their terms, and gateways with the same view must get the same
        // sums.
        let mut gateways_by_name: Vec<usize> = (0..gateways.len()).collect();
        gateways_by_name.sort_by(|one, other| gateways[*one].name.cmp(&gateways[*other].name));
        let mut usable_servers: Vec<usize> = (0..servers.len()).collect();
        usable_servers.sort_by(|one, other| servers[*one].name.cmp(&servers[*other].name));
        usable_servers.retain(|server| servers[*server].is_usable());
        let mut assignments = Assignments { by_gateway: vec![Vec::new(); gateways.len()] };
        let mut previous = std::mem::take(&mut self.flows);
        for zone_flow in zone_flows(gateways, servers, settings.prefers_own_zone) {
            let ZoneFlow { from, to, .. } = zone_flow;
            let in_zone = |gateway: &usize| gateways[*gateway].zone == from;
            let rows: Vec<usize> = gateways_by_name.iter().copied().filter(in_zone).collect();
            let in_zone = |server: &usize| servers[*server].zone == to;
            let columns: Vec<usize> = usable_servers.iter().copied().filter(in_zone).collect();
            let mut flow = previous.remove(&(from, to)).unwrap_or_default();
            let min_count = min_servers_of_flow(settings, zone_flow.share);
            let loads: Vec<f64> = rows.iter().map(|row| effective_load(&gateways[*row])).collect();
            let weights: Vec<f64> = columns.iter().map(|column| servers[*column].weight).collect();
            let row_hashes = rows.iter().map(|row| name_hash(&gateways[*row].name)).collect();
            let column_hashes = columns.iter().map(|column| name_hash(&servers[*column].name)).collect();
            flow.update(row_hashes, column_hashes, &loads, &weights, min_count);
            for (row, gateway) in rows.iter().enumerate() {
                let assigned = flow.row(row).map(|(column, amount)| Assignment {
                    server: columns[column],
                    weight: amount / loads[row] * zone_flow.share,
                });
                assignments.by_gateway[*gateway].extend(assigned);
            }
            self.flows.insert((from, to), flow);
        }
        add_spare_servers(gateways, servers, &usable_servers, &mut assignments);
        add_spare_gateways(gateways, servers, &usable_servers, &mut assignments);
        normalize(&mut assignments);
        assignments
    }
}

/// Minimum number of servers of each gateway in a flow that carries a share of its traffic. A small share needs few
/// servers, but enough to survive the loss of two.
fn min_servers_of_flow(settings: Settings, share: f64) -> usize {
    let proportional = (settings.min_servers as f64 * share).ceil() as usize;
    proportional.max(MIN_SUBSET_SIZE).min(settings.min_servers.max(MIN_SUBSET_SIZE))
}

/// Adds spare servers with weight 0 to gateways with too few servers, as when a zone has few. The gateway's preference
/// order selects them. A gateway uses a spare server when it loses its other servers.
fn add_spare_servers(
    gateways: &[Gateway],
    servers: &[Server],
    usable_servers: &[usize],
    assignments: &mut Assignments,
) {
    let min_count = MIN_SUBSET_SIZE.min(usable_servers.len());
    for (gateway, assigned) in gateways.iter().zip(&mut assignments.by_gateway) {
        let missing = min_count.saturating_sub(assigned.len());
        if missing == 0 {
            continue;
        }
        let is_assigned = |server: usize| assigned.iter().any(|assignment| assignment.server == server);
        let others = usable_servers.iter().copied().filter(|server| !is_assigned(*server));
        let others: BTreeMap<&str, usize> = others.map(|server| (&*servers[server].name, server)).collect();
        let spare = preference_order(&gateway.name, others.keys().copied()).into_iter().take(missing);
        assigned.extend(spare.map(|name| Assignment { server: others[name], weight: 0.0 }));
    }
}

/// Assigns each unused server to some gateways with weight 0. A server is unused if no flow to its zone is worth a
/// connection.
fn add_spare_gateways(
    gateways: &[Gateway],
    servers: &[Server],
    usable_servers: &[usize],
    assignments: &mut Assignments,
) {
    let mut is_used = vec![false; servers.len()];
    for assignment in assignments.by_gateway.iter().flatten() {
        is_used[assignment.server] = true;
    }
    for server in usable_servers.iter().copied().filter(|server| !is_used[*server]) {
        let server_hash = name_hash(&servers[server].name);
        let mut ranked: Vec<usize> = (0..gateways.len()).collect();
        ranked.sort_by_key(|gateway| pair_hash(name_hash(&gateways[*gateway].name), server_hash));
        for gateway in ranked.into_iter().take(MIN_SUBSET_SIZE) {
            assignments.by_gateway[gateway].push(Assignment { server, weight: 0.0 });
        }
    }
}

/// Sorts each gateway's servers, and scales their weights to the sum 1.
fn normalize(assignments: &mut Assignments) {
    for assigned in &mut assignments.by_gateway {
        assigned.sort_unstable_by_key(|assignment| assignment.server);
        let sum: f64 = assigned.iter().map(|assignment| assignment.weight).sum();
        if sum > 0.0 {
            assigned.iter_mut().for_each(|assignment| assignment.weight /= sum);
        }
    }
}
