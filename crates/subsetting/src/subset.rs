//! The servers of one gateway through time: what it sees of the fleet settles before it moves anything, shares go over in
//! steps, what is lost goes at once, and where most of its servers are bad it takes others beside them.
//!
//! Its caller tells it what it sees (`saw`), which of its servers it avoids (`avoids`), and the time (`tick`), and takes
//! what it is to use (`used`) and which servers it had better open a connection to ahead (`opens`).

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::assigner::Assigner;
use crate::{preference_order, Assignments, Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE, SECOND};

/// A view that has not changed for so long is settled; or, where it changes all the time, what has stood for the longer.
/// Danger: a gateway that restarts, or a fleet that restarts one by one, would have servers change hands at each step.
const SETTLING_TIME: Micros = 3 * SECOND;
const MAX_SETTLING_TIME: Micros = 8 * SECOND;
/// Where so large a part of the gateways is gone a view settles sooner: what they had carried comes to the others, whose servers
/// are a part of all.
const SHRUNK_FLEET_FRACTION: f64 = 0.75;
const SHRUNK_SETTLING_TIME: Micros = SECOND;
/// The time in which shares go from one deal's to the next's, and how often: a server that comes is met by a few trips first, and
/// gateways that deal at different times make up for each other.
const RAMP_TIME: Micros = 2 * SECOND;
const STEP_INTERVAL: Micros = SECOND / 4;
/// The share of a gateway's traffic whose servers must be good; with less, others are taken beside them.
const MIN_HEALTHY_WEIGHT: f64 = 0.5;
/// How long those are kept after they were last needed: servers that are good and bad by turns must not be left and
/// taken with each of them.
const SUPPLEMENT_RETENTION: Micros = 10 * SECOND;

/// What a gateway sees: the fleet with itself in it, and the servers that are in use.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct FleetView {
    pub gateways: Vec<Gateway>,
    pub servers: Vec<Server>,
}

/// What one gateway is to use.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CurrentSubset {
    /// Its servers, and the share of its traffic of each; they come to 1.
    pub weights: BTreeMap<String, f64>,
    /// How many gateways use a server, in the mean.
    pub gateways_per_server: f64,
}

/// A share on its way from one deal's to the next's.
#[derive(Clone, Copy, Debug)]
struct WeightRamp {
    from: f64,
    to: f64,
    /// It is given up at the end of its way.
    is_leaving: bool,
}

pub struct SubsetTracker {
    name: String,
    settings: Settings,
    assigner: Assigner,
    rng: ChaCha8Rng,
    latest_view: FleetView,
    /// When it changed first and last since it was settled.
    changed: Option<(Micros, Micros)>,
    settled: FleetView,
    ramps: BTreeMap<String, WeightRamp>,
    gateways_per_server: f64,
    assigned_at: Micros,
    last_step: Micros,
    /// Servers that this gateway avoids now.
    avoided: BTreeSet<String>,
    /// Those taken beside the deal's, and until when.
    supplements: BTreeMap<String, Micros>,
    /// Servers to which a connection is to be opened ahead, and when.
    preconnects: BTreeMap<String, Micros>,
    current: CurrentSubset,
}

impl SubsetTracker {
    /// `name`: this gateway's, as others see it.
    pub fn new(name: &str, settings: Settings, seed: u64) -> Self {
        SubsetTracker {
            name: name.into(),
            settings,
            assigner: Assigner::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            latest_view: FleetView::default(),
            changed: None,
            settled: FleetView::default(),
            ramps: BTreeMap::new(),
            gateways_per_server: 1.0,
            assigned_at: 0,
            last_step: 0,
            avoided: BTreeSet::new(),
            supplements: BTreeMap::new(),
            preconnects: BTreeMap::new(),
            current: CurrentSubset::default(),
        }
    }

    /// What is seen now. A server that is gone goes at once; all else when it has settled. `whole`: as many gateways are seen as
    /// there are to be, so that a first view need not settle.
    pub fn fleet_changed(&mut self, now: Micros, view: FleetView, is_complete: bool) {
        if view != self.latest_view {
            let first = self.changed.map_or(now, |(first, _)| first);
            self.changed = Some((first, now));
            self.latest_view = view;
        }
        if self.settled.gateways.is_empty() {
            if is_complete && !self.latest_view.servers.is_empty() {
                self.settle(now);
            }
            return;
        }
        let there: BTreeSet<&str> = self.latest_view.servers.iter().map(|server| &*server.name).collect();
        let left: Vec<Server> =
            self.settled.servers.iter().filter(|server| there.contains(&*server.name)).cloned().collect();
        if left.len() < self.settled.servers.len() && !left.is_empty() {
            self.settled.servers = left;
            self.reassign(now);
        }
    }

    /// Servers that this gateway avoids now, for what it has met there.
    pub fn set_avoided(&mut self, avoided: BTreeSet<String>) {
        self.avoided = avoided;
    }

    /// When `tick` is to be called next, at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.last_step + STEP_INTERVAL
    }

    /// True: what is to be used has changed.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        if now < self.next_deadline() && self.last_step > 0 {
            return false;
        }
        self.last_step = now;
        let shrunk = (self.latest_view.gateways.len() as f64)
            < SHRUNK_FLEET_FRACTION * self.settled.gateways.len() as f64;
        let settles = if shrunk { SHRUNK_SETTLING_TIME } else { SETTLING_TIME };
        let settled =
            |(first, last): (Micros, Micros)| now >= (last + settles).min(first + MAX_SETTLING_TIME);
        if self.changed.is_some_and(settled) && !self.latest_view.servers.is_empty() {
            self.settle(now);
        }
        if now >= self.assigned_at + RAMP_TIME {
            self.ramps.retain(|_, share| !share.is_leaving);
        }
        self.update_supplements(now);
        let used = self.subset_at(now);
        let changed = used != self.current;
        self.current = used;
        changed
    }

    /// What is to be used from now on; nothing of it: nothing has been dealt yet.
    pub fn current(&self) -> &CurrentSubset {
        &self.current
    }

    /// Servers that are to be opened ahead now; each once.
    pub fn take_preconnects(&mut self, now: Micros) -> Vec<String> {
        let due: Vec<String> =
            self.preconnects.iter().filter(|(_, at)| **at <= now).map(|(name, _)| name.clone()).collect();
        self.preconnects.retain(|_, at| *at > now);
        due
    }

    /// What was settled last: the fleet and the servers that the deal is made of.
    pub fn settled_view(&self) -> &FleetView {
        &self.settled
    }

    fn settle(&mut self, now: Micros) {
        self.changed = None;
        if self.settled != self.latest_view {
            self.settled = self.latest_view.clone();
            self.reassign(now);
        }
    }

    fn reassign(&mut self, now: Micros) {
        let FleetView { gateways, servers } = &self.settled;
        let Some(local) = gateways.iter().position(|gateway| gateway.name == self.name) else { return };
        let Assignments { by_gateway: parts } = self.assigner.assign(gateways, servers, self.settings);
        let pairs: usize = parts.iter().map(Vec::len).sum();
        self.gateways_per_server = (pairs as f64 / servers.len().max(1) as f64).max(1.0);
        let first = self.ramps.is_empty();
        let mut ramps: BTreeMap<String, WeightRamp> = BTreeMap::new();
        for progress in &parts[local] {
            let name = &servers[progress.server].name;
            let from = match self.ramps.get(name) {
                Some(share) => at(share, self.progress(now)),
                None if first => progress.weight,
                None => {
                    // Of all that take it over, each opens at its own time.
                    self.preconnects.insert(name.clone(), now + self.rng.gen_range(0..RAMP_TIME));
                    0.0
                }
            };
            ramps.insert(name.clone(), WeightRamp { from, to: progress.weight, is_leaving: false });
        }
        // What this gateway is to leave it leaves in steps, as those who take it over come in steps.
        let there: BTreeSet<&str> = servers.iter().map(|server| &*server.name).collect();
        for (name, share) in &self.ramps {
            let from = at(share, self.progress(now));
            if !ramps.contains_key(name) && there.contains(&**name) && from > 0.0 {
                ramps.insert(name.clone(), WeightRamp { from, to: 0.0, is_leaving: true });
            }
        }
        (self.ramps, self.assigned_at) = (ramps, now);
    }

    /// How far the way from the last deal to this one is gone.
    fn progress(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.assigned_at) as f64 / RAMP_TIME as f64).min(1.0)
    }

    /// Where too much of the own traffic has only bad servers, the next of this gateway's own order are taken beside them: those
    /// differ from gateway to gateway, so that a fleet that all flees does not flee to the same.
    fn update_supplements(&mut self, now: Micros) {
        self.supplements.retain(|_, until| now < *until);
        let good =
            self.ramps.iter().filter(|(name, share)| !self.avoided.contains(*name) && !share.is_leaving);
        let (sum, count) = good.fold((0.0, 0), |(sum, count), (_, share)| (sum + share.to, count + 1));
        let floor = MIN_SUBSET_SIZE.min(self.ramps.len());
        if self.ramps.is_empty() || sum >= MIN_HEALTHY_WEIGHT && count >= floor {
            return;
        }
        let needed = (self.ramps.len() - count).max(MIN_SUBSET_SIZE);
        let servers: Vec<&Server> = self
            .settled
            .servers
            .iter()
            .filter(|server| !self.avoided.contains(&server.name) && !self.ramps.contains_key(&server.name))
            .collect();
        // Whoever is taken already stays, as the order is the same each time.
        for name in
            preference_order(&self.name, servers.iter().map(|server| &*server.name)).into_iter().take(needed)
        {
            if self.supplements.insert(name.into(), now + SUPPLEMENT_RETENTION).is_none() {
                self.preconnects.insert(name.into(), now);
            }
        }
    }

    fn subset_at(&self, now: Micros) -> CurrentSubset {
        let progress = self.progress(now);
        let own = self.ramps.iter().map(|(name, share)| (name.clone(), at(share, progress)));
        let mut ramps: BTreeMap<String, f64> = own.collect();
        let mean = 1.0 / ramps.len().max(1) as f64;
        ramps.extend(self.supplements.keys().map(|name| (name.clone(), mean)));
        let sum: f64 = ramps.values().sum();
        ramps.values_mut().filter(|_| sum > 0.0).for_each(|share| *share /= sum);
        CurrentSubset { weights: ramps, gateways_per_server: self.gateways_per_server }
    }
}

/// A share that has gone this part of its way.
fn at(share: &WeightRamp, progress: f64) -> f64 {
    share.from + (share.to - share.from) * progress
}
