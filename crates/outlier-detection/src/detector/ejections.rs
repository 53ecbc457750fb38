//! The ejected servers: the limit on their capacity, the duration of each ejection, and the time of each return. The parent
//! module decides which servers are outliers.

use std::collections::{BTreeMap, BTreeSet};

use super::Server;
use crate::{stable_hash, Micros, SECOND};

/// Maximum share of the capacity that may be ejected. Gateways that eject half of the servers would overload the rest.
pub const MAX_EJECTED_SHARE: f64 = 0.25;
/// Minimum duration of an ejection. It doubles with each relapse, at most `MAX_DOUBLINGS` times.
///
/// Without the doubling, all gateways would repeatedly eject and readmit a server that alternates between healthy and faulty.
const MIN_EJECTION_TIME: Micros = 2 * SECOND;
const MAX_DOUBLINGS: u32 = 3;
/// An ejection within this time after a return is a relapse.
const RELAPSE_TIME: Micros = 30 * SECOND;
/// The returns of the gateways to a server are spread over this time.
const RETURN_SPREAD: Micros = 2 * SECOND;

/// The gateways whose reports caused an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionScope {
    OwnZone,
    AllZones,
}

/// A server that should be ejected.
pub(super) struct Outlier {
    pub server: String,
    /// From 0 to 1. The servers with the highest severity are ejected first.
    pub severity: f64,
    pub scope: EjectionScope,
}

#[derive(Clone, Debug)]
pub(super) struct Ejection {
    pub since: Micros,
    pub scope: EjectionScope,
    /// When the server is used again; `None` until it has recovered.
    pub returns_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EjectionHistory {
    relapses: u32,
    last_return: Micros,
}

#[derive(Default)]
pub(super) struct Ejections {
    active: BTreeMap<String, Ejection>,
    /// Outliers that stay in use, since no more capacity may be ejected.
    spared: BTreeSet<String>,
    history: BTreeMap<String, EjectionHistory>,
}

impl Ejections {
    pub fn get(&self, server: &str) -> Option<&Ejection> {
        self.active.get(server)
    }

    pub fn contains(&self, server: &str) -> bool {
        self.active.contains_key(server)
    }

    pub fn since(&self, server: &str) -> Option<Micros> {
        self.get(server).map(|ejection| ejection.since)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.active.keys().map(|name| &**name)
    }

    pub fn is_spared(&self, server: &str) -> bool {
        self.spared.contains(server)
    }

    /// Removes all state of a server that has restarted.
    pub fn forget(&mut self, server: &str) {
        self.active.remove(server);
        self.history.remove(server);
    }

    /// Removes servers that are no longer in the endpoint list, and histories that are too old for a relapse.
    pub fn retain_listed(&mut self, now: Micros, listed: &BTreeSet<&str>) {
        self.active.retain(|name, _| listed.contains(&**name));
        self.history
            .retain(|name, history| listed.contains(&**name) && now < history.last_return + RELAPSE_TIME);
    }

    /// Ejects outliers up to the limit, those with the highest severity first, and schedules the return of the others. Returns
    /// the servers that are in use again from now on.
    pub fn update(
        &mut self,
        now: Micros,
        gateway: &str,
        servers: &[Server],
        outliers: Vec<Outlier>,
    ) -> Vec<String> {
        let confirmed = self.select(servers, outliers);
        for (name, scope) in &confirmed {
            self.eject(now, name, *scope);
        }
        self.schedule_returns(now, gateway, &confirmed);
        self.take_returned(now)
    }

    /// Selects the outliers to eject within the limit, and marks the others as spared.
    fn select(&mut self, servers: &[Server], mut outliers: Vec<Outlier>) -> BTreeMap<String, EjectionScope> {
        let order = |outlier: &Outlier| stable_hash(&outlier.server, "", 0);
        outliers.sort_by(|first, second| {
            second.severity.total_cmp(&first.severity).then_with(|| order(first).cmp(&order(second)))
        });
        let weights: BTreeMap<&str, f64> =
            servers.iter().map(|server| (&*server.name, server.weight)).collect();
        let limit = ejection_limit(&weights);
        // Servers that have recovered but not yet returned still count as ejected.
        let recovered =
            self.active.keys().filter(|name| !outliers.iter().any(|outlier| outlier.server == **name));
        let mut ejected_weight = recovered.map(|name| weights[&**name]).sum::<f64>();
        let mut selected = BTreeMap::new();
        self.spared.clear();
        for Outlier { server, scope, .. } in outliers {
            let weight = weights[&*server];
            if ejected_weight + weight <= limit + 1e-9 {
                ejected_weight += weight;
                selected.insert(server, scope);
            } else {
                self.spared.insert(server);
            }
        }
        selected
    }

    fn eject(&mut self, now: Micros, server: &str, scope: EjectionScope) {
        if let Some(ejection) = self.active.get_mut(server) {
            ejection.scope = scope;
            ejection.returns_at = None;
            return;
        }
        let history = self.history.entry(server.to_string()).or_default();
        let has_returned = history.last_return > 0;
        history.relapses = if has_returned { (history.relapses + 1).min(MAX_DOUBLINGS) } else { 0 };
        self.active.insert(server.to_string(), Ejection { since: now, scope, returns_at: None });
    }

    /// Schedules the return of all ejected servers that are not confirmed outliers. A spared server returns at once, since its
    /// capacity is needed. The gateways return to other servers at different times.
    fn schedule_returns(&mut self, now: Micros, gateway: &str, confirmed: &BTreeMap<String, EjectionScope>) {
        let recovered = self.active.iter_mut().filter(|(name, _)| !confirmed.contains_key(*name));
        for (name, ejection) in recovered {
            if self.spared.contains(name) {
                ejection.returns_at = Some(now);
                continue;
            }
            let relapses = self.history.get(name).map_or(0, |history| history.relapses);
            let earliest = ejection.since + (MIN_EJECTION_TIME << relapses);
            let spread = stable_hash(gateway, name, ejection.since) % RETURN_SPREAD;
            ejection.returns_at.get_or_insert(earliest.max(now) + spread);
        }
    }

    fn take_returned(&mut self, now: Micros) -> Vec<String> {
        let is_due = |ejection: &Ejection| ejection.returns_at.is_some_and(|at| now >= at);
        let due = self.active.iter().filter(|(_, ejection)| is_due(ejection));
        let returned: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in &returned {
            self.active.remove(name);
            self.history.entry(name.clone()).or_default().last_return = now;
        }
        returned
    }
}

/// Maximum weight that may be ejected. If there are at least three servers, one may always be ejected, although with so few the
/// maximum share may be less than one server.
fn ejection_limit(weights: &BTreeMap<&str, f64>) -> f64 {
    let sum: f64 = weights.values().sum();
    let one_server = if weights.len() >= 3 { weights.values().copied().fold(0.0, f64::max) } else { 0.0 };
    (MAX_EJECTED_SHARE * sum).max(one_server)
}
