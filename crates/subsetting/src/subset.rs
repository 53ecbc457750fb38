//! The servers of one gateway through time: what it sees of the fleet settles before it moves anything, shares go over in
//! steps, what is lost goes at once, and where most of its servers are bad it takes others beside them.
//!
//! Its caller tells it what it sees (`saw`), which of its servers it avoids (`avoids`), and the time (`tick`), and takes
//! what it is to use (`used`) and which servers it had better open a connection to ahead (`opens`).

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::assigner::Assigner;
use crate::{order_of, Assignments, Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE, SECOND};

/// A view that has not changed for so long is settled; or, where it changes all the time, what has stood for the longer.
/// Danger: a gateway that restarts, or a fleet that restarts one by one, would have servers change hands at each step.
const SETTLES: Micros = 3 * SECOND;
const LONGEST: Micros = 8 * SECOND;
/// Where so large a part of the gateways is gone a view settles sooner: what they had carried comes to the others, whose servers
/// are a part of all.
const SHRUNK: f64 = 0.75;
const SOON: Micros = SECOND;
/// The time in which shares go from one deal's to the next's, and how often: a server that comes is met by a few trips first, and
/// gateways that deal at different times make up for each other.
const RAMP: Micros = 2 * SECOND;
const STEP: Micros = SECOND / 4;
/// The share of a gateway's traffic whose servers must be good; with less, others are taken beside them.
const GOOD: f64 = 0.5;
/// How long those are kept after they were last needed: servers that are good and bad by turns must not be left and
/// taken with each of them.
const BESIDE: Micros = 10 * SECOND;

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
struct Share {
    from: f64,
    to: f64,
    /// It is given up at the end of its way.
    leaves: bool,
}

pub struct SubsetTracker {
    name: String,
    settings: Settings,
    dealer: Assigner,
    chance: ChaCha8Rng,
    seen: FleetView,
    /// When it changed first and last since it was settled.
    changed: Option<(Micros, Micros)>,
    settled: FleetView,
    shares: BTreeMap<String, Share>,
    shared_by: f64,
    dealt: Micros,
    stepped: Micros,
    /// Servers that this gateway avoids now.
    bad: BTreeSet<String>,
    /// Those taken beside the deal's, and until when.
    beside: BTreeMap<String, Micros>,
    /// Servers to which a connection is to be opened ahead, and when.
    opens: BTreeMap<String, Micros>,
    told: CurrentSubset,
}

impl SubsetTracker {
    /// `name`: this gateway's, as others see it.
    pub fn new(name: &str, settings: Settings, seed: u64) -> Self {
        SubsetTracker {
            name: name.into(),
            settings,
            dealer: Assigner::default(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            seen: FleetView::default(),
            changed: None,
            settled: FleetView::default(),
            shares: BTreeMap::new(),
            shared_by: 1.0,
            dealt: 0,
            stepped: 0,
            bad: BTreeSet::new(),
            beside: BTreeMap::new(),
            opens: BTreeMap::new(),
            told: CurrentSubset::default(),
        }
    }

    /// What is seen now. A server that is gone goes at once; all else when it has settled. `whole`: as many gateways are seen as
    /// there are to be, so that a first view need not settle.
    pub fn fleet_changed(&mut self, now: Micros, view: FleetView, whole: bool) {
        if view != self.seen {
            let first = self.changed.map_or(now, |(first, _)| first);
            self.changed = Some((first, now));
            self.seen = view;
        }
        if self.settled.gateways.is_empty() {
            if whole && !self.seen.servers.is_empty() {
                self.settle(now);
            }
            return;
        }
        let there: BTreeSet<&str> = self.seen.servers.iter().map(|server| &*server.name).collect();
        let left: Vec<Server> =
            self.settled.servers.iter().filter(|server| there.contains(&*server.name)).cloned().collect();
        if left.len() < self.settled.servers.len() && !left.is_empty() {
            self.settled.servers = left;
            self.deal(now);
        }
    }

    /// Servers that this gateway avoids now, for what it has met there.
    pub fn set_avoided(&mut self, bad: BTreeSet<String>) {
        self.bad = bad;
    }

    /// When `tick` is to be called next, at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.stepped + STEP
    }

    /// True: what is to be used has changed.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        if now < self.next_deadline() && self.stepped > 0 {
            return false;
        }
        self.stepped = now;
        let shrunk = (self.seen.gateways.len() as f64) < SHRUNK * self.settled.gateways.len() as f64;
        let settles = if shrunk { SOON } else { SETTLES };
        let settled = |(first, last): (Micros, Micros)| now >= (last + settles).min(first + LONGEST);
        if self.changed.is_some_and(settled) && !self.seen.servers.is_empty() {
            self.settle(now);
        }
        if now >= self.dealt + RAMP {
            self.shares.retain(|_, share| !share.leaves);
        }
        self.look_beside(now);
        let used = self.used_at(now);
        let changed = used != self.told;
        self.told = used;
        changed
    }

    /// What is to be used from now on; nothing of it: nothing has been dealt yet.
    pub fn current(&self) -> &CurrentSubset {
        &self.told
    }

    /// Servers that are to be opened ahead now; each once.
    pub fn take_preconnects(&mut self, now: Micros) -> Vec<String> {
        let due: Vec<String> =
            self.opens.iter().filter(|(_, at)| **at <= now).map(|(name, _)| name.clone()).collect();
        self.opens.retain(|_, at| *at > now);
        due
    }

    /// What was settled last: the fleet and the servers that the deal is made of.
    pub fn settled_view(&self) -> &FleetView {
        &self.settled
    }

    fn settle(&mut self, now: Micros) {
        self.changed = None;
        if self.settled != self.seen {
            self.settled = self.seen.clone();
            self.deal(now);
        }
    }

    fn deal(&mut self, now: Micros) {
        let FleetView { gateways, servers } = &self.settled;
        let Some(me) = gateways.iter().position(|gateway| gateway.name == self.name) else { return };
        let Assignments { by_gateway: parts } = self.dealer.assign(gateways, servers, self.settings);
        let pairs: usize = parts.iter().map(Vec::len).sum();
        self.shared_by = (pairs as f64 / servers.len().max(1) as f64).max(1.0);
        let first = self.shares.is_empty();
        let mut shares: BTreeMap<String, Share> = BTreeMap::new();
        for part in &parts[me] {
            let name = &servers[part.server].name;
            let from = match self.shares.get(name) {
                Some(share) => at(share, self.part(now)),
                None if first => part.weight,
                None => {
                    // Of all that take it over, each opens at its own time.
                    self.opens.insert(name.clone(), now + self.chance.gen_range(0..RAMP));
                    0.0
                }
            };
            shares.insert(name.clone(), Share { from, to: part.weight, leaves: false });
        }
        // What this gateway is to leave it leaves in steps, as those who take it over come in steps.
        let there: BTreeSet<&str> = servers.iter().map(|server| &*server.name).collect();
        for (name, share) in &self.shares {
            let from = at(share, self.part(now));
            if !shares.contains_key(name) && there.contains(&**name) && from > 0.0 {
                shares.insert(name.clone(), Share { from, to: 0.0, leaves: true });
            }
        }
        (self.shares, self.dealt) = (shares, now);
    }

    /// How far the way from the last deal to this one is gone.
    fn part(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.dealt) as f64 / RAMP as f64).min(1.0)
    }

    /// Where too much of the own traffic has only bad servers, the next of this gateway's own order are taken beside them: those
    /// differ from gateway to gateway, so that a fleet that all flees does not flee to the same.
    fn look_beside(&mut self, now: Micros) {
        self.beside.retain(|_, until| now < *until);
        let good = self.shares.iter().filter(|(name, share)| !self.bad.contains(*name) && !share.leaves);
        let (sum, count) = good.fold((0.0, 0), |(sum, count), (_, share)| (sum + share.to, count + 1));
        let floor = MIN_SUBSET_SIZE.min(self.shares.len());
        if self.shares.is_empty() || sum >= GOOD && count >= floor {
            return;
        }
        let needed = (self.shares.len() - count).max(MIN_SUBSET_SIZE);
        let servers: Vec<&Server> = self
            .settled
            .servers
            .iter()
            .filter(|server| !self.bad.contains(&server.name) && !self.shares.contains_key(&server.name))
            .collect();
        // Whoever is taken already stays, as the order is the same each time.
        for name in order_of(&self.name, servers.iter().map(|server| &*server.name)).into_iter().take(needed)
        {
            if self.beside.insert(name.into(), now + BESIDE).is_none() {
                self.opens.insert(name.into(), now);
            }
        }
    }

    fn used_at(&self, now: Micros) -> CurrentSubset {
        let part = self.part(now);
        let own = self.shares.iter().map(|(name, share)| (name.clone(), at(share, part)));
        let mut shares: BTreeMap<String, f64> = own.collect();
        let mean = 1.0 / shares.len().max(1) as f64;
        shares.extend(self.beside.keys().map(|name| (name.clone(), mean)));
        let sum: f64 = shares.values().sum();
        shares.values_mut().filter(|_| sum > 0.0).for_each(|share| *share /= sum);
        CurrentSubset { weights: shares, gateways_per_server: self.shared_by }
    }
}

/// A share that has gone this part of its way.
fn at(share: &Share, part: f64) -> f64 {
    share.from + (share.to - share.from) * part
}
