//! The subset of one gateway through time. A change of the fleet must settle before it moves anything, weights change in steps,
//! a server that is gone is removed at once, and where most of the subset is avoided other servers supplement it.
//!
//! The caller reports what it sees (`fleet_changed`), which servers it avoids (`set_avoided`) and the time
//! (`handle_timeout`), and takes the servers to use (`current`) and those to connect to ahead (`take_preconnects`). This module
//! opens no connections and chooses no server for a request.

mod ramps;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::ramps::{Ramps, RAMP_TIME};
use crate::assigner::Assigner;
use crate::hashing::preference_order;
use crate::{Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE, SECOND};

/// A view that has not changed for so long is settled; one that keeps changing is, so long after its first change.
///
/// Danger: a gateway that restarts, or a fleet that restarts one by one, would otherwise move servers at each step.
const SETTLING_TIME: Micros = 3 * SECOND;
const MAX_SETTLING_TIME: Micros = 8 * SECOND;
/// With fewer gateways than this part of the settled ones a view settles sooner, as the others have to carry their load.
const SHRUNK_FLEET_FRACTION: f64 = 0.75;
const SHRUNK_SETTLING_TIME: Micros = SECOND;
/// How often weights change.
const STEP_INTERVAL: Micros = SECOND / 4;
/// The share of the traffic whose servers must not be avoided. With less, others supplement them.
const MIN_HEALTHY_WEIGHT: f64 = 0.5;
/// How long a supplement stays after it was last needed, so that servers that are good and bad by turns are not taken and
/// dropped each time.
const SUPPLEMENT_RETENTION: Micros = 10 * SECOND;

/// What a gateway sees of the fleet.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct FleetView {
    /// The gateways that take part, with this one.
    pub gateways: Vec<Gateway>,
    /// The servers that are in use.
    pub servers: Vec<Server>,
}

impl FleetView {
    fn server_names(&self) -> BTreeSet<&str> {
        self.servers.iter().map(|server| &*server.name).collect()
    }
}

/// The servers that one gateway is to use.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CurrentSubset {
    /// The share of its traffic for each server; they sum to 1. Empty before the first assignment.
    pub weights: BTreeMap<String, f64>,
    /// The mean number of gateways that use a server.
    pub gateways_per_server: f64,
}

/// When the latest view changed, first and last, since a view was settled.
#[derive(Clone, Copy, Debug)]
struct UnsettledChange {
    first: Micros,
    last: Micros,
}

/// Follows the subset of one gateway.
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
    /// Servers beside the assigned ones, and until when.
    supplements: BTreeMap<String, Micros>,
    /// Servers to connect to ahead, and when.
    preconnects: BTreeMap<String, Micros>,
    current: CurrentSubset,
}

impl SubsetTracker {
    /// A tracker that has seen nothing, for the gateway that others see by this name. The seed spreads preconnects.
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

    /// The fleet as it is seen now. A server that is gone is removed at once; all other changes have to settle.
    ///
    /// `is_complete` says that as many gateways are seen as are configured, so that a first view need not settle.
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

    /// Servers that this gateway avoids now because of what it observed there.
    pub fn set_avoided(&mut self, avoided: BTreeSet<String>) {
        self.avoided = avoided;
    }

    /// When `handle_timeout` is to be called next, at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.last_step + STEP_INTERVAL
    }

    /// Does what is due, and returns whether the current subset has changed.
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

    /// Servers to connect to ahead now; each is returned once.
    pub fn take_preconnects(&mut self, now: Micros) -> Vec<String> {
        let due = self.preconnects.iter().filter(|(_, at)| **at <= now);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        self.preconnects.retain(|_, at| *at > now);
        due
    }

    /// The fleet that the present assignment is made of.
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

    /// Removes servers that are no longer seen, unless none would be left.
    fn remove_missing_servers(&mut self, now: Micros) {
        let seen = self.latest_view.server_names();
        let present = self.settled.servers.iter().filter(|server| seen.contains(&*server.name));
        let present: Vec<Server> = present.cloned().collect();
        if present.len() < self.settled.servers.len() && !present.is_empty() {
            self.settled.servers = present;
            self.reassign(now);
        }
    }

    /// Assigns servers by the settled view, and begins to move weights towards that.
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
            // Of all gateways that take it over, each connects at its own time.
            self.preconnects.insert(server, now + self.rng.gen_range(0..RAMP_TIME));
        }
    }

    /// Supplements the subset while too much of its weight is on servers that are avoided.
    ///
    /// The supplements come by this gateway's own preference, so that a fleet that avoids the same servers does not move to
    /// the same others.
    fn update_supplements(&mut self, now: Micros) {
        self.supplements.retain(|_, until| now < *until);
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
        // The order is the same each time, so that supplements stay.
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
