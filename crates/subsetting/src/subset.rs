//! The subset of one gateway through time. A change of the fleet takes effect only after it has settled, weights change
//! in steps, a removed server leaves the subset at once, and other servers supplement a subset that is mostly avoided.
//!
//! The caller reports the view of the fleet (`fleet_changed`), the servers to avoid (`set_avoided`) and the time
//! (`handle_timeout`). It reads the servers to use (`current`) and the servers to connect to in advance
//! (`take_preconnects`). This module opens no connections and chooses no server for a request.

mod ramps;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::ramps::{Ramps, RAMP_TIME};
use crate::assigner::Assigner;
use crate::hashing::preference_order;
use crate::{Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE, SECOND};

/// A view is settled when it has not changed for this long. Otherwise the restart of a gateway, or a rolling restart of
/// the fleet, would move servers at each step.
const SETTLING_TIME: Micros = 3 * SECOND;
/// A view that keeps changing is settled this long after its first change.
const MAX_SETTLING_TIME: Micros = 8 * SECOND;
/// A view with fewer gateways than this fraction of the settled view settles sooner, as the remaining gateways must
/// carry the load of the others.
const SHRUNK_FLEET_FRACTION: f64 = 0.75;
const SHRUNK_SETTLING_TIME: Micros = SECOND;
/// Interval between changes of the weights.
const STEP_INTERVAL: Micros = SECOND / 4;
/// Minimum share of the traffic that must go to servers that are not avoided. Below it, other servers supplement the
/// subset.
const MIN_HEALTHY_WEIGHT: f64 = 0.5;
/// How long a supplement stays after it was last needed, so that flapping servers do not add and remove it each time.
const SUPPLEMENT_RETENTION: Micros = 10 * SECOND;

/// A gateway's view of the fleet.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct FleetView {
    /// The participating gateways, including this gateway.
    pub gateways: Vec<Gateway>,
    /// The servers that are in use.
    pub servers: Vec<Server>,
}

impl FleetView {
    fn server_names(&self) -> BTreeSet<&str> {
        self.servers.iter().map(|server| &*server.name).collect()
    }
}

/// The servers that one gateway uses now.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CurrentSubset {
    /// The share of the gateway's traffic for each server. The shares sum to 1. Empty before the first assignment.
    pub weights: BTreeMap<String, f64>,
    /// The mean number of gateways that use a server.
    pub gateways_per_server: f64,
}

/// The times of the first and the last change of the view since a view was settled.
#[derive(Clone, Copy, Debug)]
struct UnsettledChange {
    first: Micros,
    last: Micros,
}

/// Tracks the subset of one gateway.
pub struct SubsetTracker {
    name: String,
    settings: Settings,
    assigner: Assigner,
    rng: ChaCha8Rng,
    latest_view: FleetView,
    unsettled: Option<UnsettledChange>,
    settled: FleetView,
    ramps: Ramps,
    gateways_per_server: f64,
    last_step: Micros,
    /// Servers that this gateway avoids now.
    avoided: BTreeSet<String>,
    /// Servers used in addition to the assigned servers, each with the time at which it is removed.
    supplements: BTreeMap<String, Micros>,
    /// Servers to connect to in advance, each with the time of the connect.
    preconnects: BTreeMap<String, Micros>,
    current: CurrentSubset,
}

impl SubsetTracker {
    /// A tracker without any view, for the gateway with this name. The seed spreads preconnects over time.
    pub fn new(name: &str, settings: Settings, seed: u64) -> Self {
        SubsetTracker {
            name: name.into(),
            settings,
            assigner: Assigner::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            latest_view: FleetView::default(),
            unsettled: None,
            settled: FleetView::default(),
            ramps: Ramps::default(),
            gateways_per_server: 1.0,
            last_step: 0,
            avoided: BTreeSet::new(),
            supplements: BTreeMap::new(),
            preconnects: BTreeMap::new(),
            current: CurrentSubset::default(),
        }
    }

    /// Updates the view of the fleet. Missing servers leave the subset at once; all other changes must settle first.
    ///
    /// `is_complete` states that the view has as many gateways as are configured, so that a first view need not settle.
    pub fn fleet_changed(&mut self, now: Micros, view: FleetView, is_complete: bool) {
        if view != self.latest_view {
            let first = self.unsettled.map_or(now, |change| change.first);
            self.unsettled = Some(UnsettledChange { first, last: now });
            self.latest_view = view;
        }
        if !self.settled.gateways.is_empty() {
            self.remove_missing_servers(now);
        } else if is_complete && !self.latest_view.servers.is_empty() {
            self.settle(now);
        }
    }

    /// Sets the servers that this gateway avoids now because of its own observations.
    pub fn set_avoided(&mut self, avoided: BTreeSet<String>) {
        self.avoided = avoided;
    }

    /// When to call `handle_timeout` next, at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.last_step + STEP_INTERVAL
    }

    /// Carries out the steps that are due, and returns whether the current subset has changed.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        if now < self.next_deadline() && self.last_step > 0 {
            return false;
        }
        self.last_step = now;
        if self.is_settled(now) && !self.latest_view.servers.is_empty() {
            self.settle(now);
        }
        self.ramps.remove_finished(now);
        self.update_supplements(now);
        let subset = self.subset_at(now);
        let has_changed = subset != self.current;
        self.current = subset;
        has_changed
    }

    /// The servers to use from now on.
    pub fn current(&self) -> &CurrentSubset {
        &self.current
    }

    /// Returns the servers to connect to in advance now. Each server is returned once.
    pub fn take_preconnects(&mut self, now: Micros) -> Vec<String> {
        let due = self.preconnects.iter().filter(|(_, connect_at)| **connect_at <= now);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        self.preconnects.retain(|_, connect_at| *connect_at > now);
        due
    }

    /// The view of the fleet that the current assignment is based on.
    pub fn settled_view(&self) -> &FleetView {
        &self.settled
    }

    fn is_settled(&self, now: Micros) -> bool {
        let Some(change) = self.unsettled else { return false };
        let min_gateways = SHRUNK_FLEET_FRACTION * self.settled.gateways.len() as f64;
        let has_shrunk = (self.latest_view.gateways.len() as f64) < min_gateways;
        let settling_time = if has_shrunk { SHRUNK_SETTLING_TIME } else { SETTLING_TIME };
        now >= (change.last + settling_time).min(change.first + MAX_SETTLING_TIME)
    }

    fn settle(&mut self, now: Micros) {
        self.unsettled = None;
        if self.settled != self.latest_view {
            self.settled = self.latest_view.clone();
            self.reassign(now);
        }
    }

    /// Removes servers that are missing from the latest view, unless no server would remain.
    fn remove_missing_servers(&mut self, now: Micros) {
        let seen = self.latest_view.server_names();
        let present = self.settled.servers.iter().filter(|server| seen.contains(&*server.name));
        let present: Vec<Server> = present.cloned().collect();
        if present.len() < self.settled.servers.len() && !present.is_empty() {
            self.settled.servers = present;
            self.reassign(now);
        }
    }

    /// Assigns servers by the settled view, and starts ramps to the new weights.
    fn reassign(&mut self, now: Micros) {
        let FleetView { gateways, servers } = &self.settled;
        let Some(local) = gateways.iter().position(|gateway| gateway.name == self.name) else { return };
        let assignments = self.assigner.assign(gateways, servers, self.settings);
        let pairs: usize = assignments.by_gateway.iter().map(Vec::len).sum();
        self.gateways_per_server = (pairs as f64 / servers.len().max(1) as f64).max(1.0);
        let assigned = &assignments.by_gateway[local];
        let targets =
            assigned.iter().map(|assignment| (&*servers[assignment.server].name, assignment.weight));
        let present = self.settled.server_names();
        let added = self.ramps.retarget(now, targets, &present);
        for server in added {
            // The gateways that add this server connect to it at different times.
            self.preconnects.insert(server, now + self.rng.gen_range(0..RAMP_TIME));
        }
    }

    /// Supplements the subset while too much of its weight is on avoided servers.
    ///
    /// Each gateway selects supplements by its own preference, so that gateways that avoid the same servers do not all
    /// move to the same other servers.
    fn update_supplements(&mut self, now: Micros) {
        self.supplements.retain(|_, removed_at| now < *removed_at);
        let healthy = self.ramps.targets().filter(|(name, _)| !self.avoided.contains(*name));
        let (healthy_weight, healthy_count) =
            healthy.fold((0.0, 0), |(sum, count), (_, weight)| (sum + weight, count + 1));
        let size = self.ramps.len();
        let is_enough = healthy_weight >= MIN_HEALTHY_WEIGHT && healthy_count >= MIN_SUBSET_SIZE.min(size);
        if size == 0 || is_enough {
            return;
        }
        let needed = (size - healthy_count).max(MIN_SUBSET_SIZE);
        let others = self.settled.servers.iter().map(|server| &*server.name);
        let candidates = others.filter(|name| !self.avoided.contains(*name) && !self.ramps.contains(name));
        // The preference order never changes, so the same supplements are selected again.
        for name in preference_order(&self.name, candidates).into_iter().take(needed) {
            let is_new = self.supplements.insert(name.into(), now + SUPPLEMENT_RETENTION).is_none();
            if is_new {
                self.preconnects.insert(name.into(), now);
            }
        }
    }

    fn subset_at(&self, now: Micros) -> CurrentSubset {
        let mut weights = self.ramps.weights(now);
        let mean = 1.0 / weights.len().max(1) as f64;
        weights.extend(self.supplements.keys().map(|name| (name.clone(), mean)));
        let sum: f64 = weights.values().sum();
        if sum > 0.0 {
            weights.values_mut().for_each(|weight| *weight /= sum);
        }
        CurrentSubset { weights, gateways_per_server: self.gateways_per_server }
    }
}
