//! What each gateway has added to each count: two sums that only grow, of what was added and what was taken off, so that
//! merging is taking the larger of each. A message that is lost, late, doubled or out of order changes nothing for good.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// One run of one gateway's process: drawn anew at each start, so that what an earlier run added stays its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance(pub u64);

/// What one instance has added to one count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Contribution {
    pub increments: f64,
    pub decrements: f64,
}

impl Contribution {
    pub fn net(&self) -> f64 {
        self.increments - self.decrements
    }

    fn add(&mut self, amount: f64) {
        if amount >= 0.0 {
            self.increments += amount
        } else {
            self.decrements -= amount
        }
    }

    /// Takes the larger of each, and says whether that changed anything.
    fn join(&mut self, other: Contribution) -> bool {
        let before = *self;
        self.increments = self.increments.max(other.increments);
        self.decrements = self.decrements.max(other.decrements);
        *self != before
    }

    fn is_valid(&self) -> bool {
        [self.increments, self.decrements].iter().all(|sum| (0.0..=MAX_SUM).contains(sum))
    }
}

/// Sums beyond this are nobody's: a counter takes no amount over a billion, and a name lives a minute.
const MAX_SUM: f64 = 1e15;
/// Instances that may have parts in one count. Each start of a gateway is one; more in a minute than this are no fleet.
const MAX_CONTRIBUTORS: usize = 4_096;
/// Bytes of a name, as of the counter.
pub const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, Debug)]
struct Counter {
    expires_at: Micros,
    contributions: BTreeMap<Instance, Contribution>,
}

/// A part that is another one now, by the name as it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub name: Arc<str>,
    /// Nothing was known of this instance's part before.
    pub is_new: bool,
}

/// The counts that are known, up to a bound: at it, a new one is not taken, and nothing is known of it here.
#[derive(Clone, Debug)]
pub struct PnCounters {
    counters: BTreeMap<Arc<str>, Counter>,
    /// Names by when they end.
    expirations: BTreeMap<(Micros, Arc<str>), ()>,
    max_counters: usize,
}

impl PnCounters {
    pub fn new(max_counters: usize) -> Self {
        PnCounters { counters: BTreeMap::new(), expirations: BTreeMap::new(), max_counters }
    }

    pub fn len(&self) -> usize {
        self.counters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Forgets what has ended.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some(((expires_at, _), ())) = self.expirations.first_key_value() {
            if *expires_at > now {
                return;
            }
            if let Some(((_, name), ())) = self.expirations.pop_first() {
                self.counters.remove(&name);
            }
        }
    }

    fn counter(&mut self, now: Micros, name: &str, lifetime: Micros) -> Option<(Arc<str>, &mut Counter)> {
        self.remove_expired(now);
        if !self.counters.contains_key(name) {
            if self.counters.len() >= self.max_counters
                || name.len() > MAX_NAME_BYTES
                || name.is_empty()
                || lifetime == 0
            {
                return None;
            }
            let (name, expires_at): (Arc<str>, _) = (name.into(), now.saturating_add(lifetime));
            self.expirations.insert((expires_at, name.clone()), ());
            self.counters.insert(name, Counter { expires_at, contributions: BTreeMap::new() });
        }
        let known = self.counters.get_key_value(name).map(|(known, _)| known.clone())?;
        self.counters.get_mut(name).map(|counter| (known, counter))
    }

    /// An instance adds an amount of its own; nothing happens at the bound.
    pub fn add(
        &mut self,
        now: Micros,
        instance: Instance,
        name: &str,
        amount: f64,
        lifetime: Micros,
    ) -> Option<Change> {
        if !amount.is_finite() {
            return None;
        }
        let (name, counter) = self.counter(now, name, lifetime)?;
        let is_new = !counter.contributions.contains_key(&instance);
        counter.contributions.entry(instance).or_default().add(amount);
        Some(Change { name, is_new })
    }

    /// Merges what was told of an instance's part, and says what that changed, if anything.
    pub fn merge(
        &mut self,
        now: Micros,
        name: &str,
        instance: Instance,
        contribution: Contribution,
        lifetime: Micros,
    ) -> Option<Change> {
        if !contribution.is_valid() {
            return None;
        }
        let (name, counter) = self.counter(now, name, lifetime)?;
        let is_new = !counter.contributions.contains_key(&instance);
        if counter.contributions.len() >= MAX_CONTRIBUTORS && is_new {
            return None;
        }
        counter
            .contributions
            .entry(instance)
            .or_default()
            .join(contribution)
            .then_some(Change { name, is_new })
    }

    pub fn contribution(&self, name: &str, instance: Instance) -> Option<Contribution> {
        self.counters.get(name)?.contributions.get(&instance).copied()
    }

    /// The instances that have a part in a count.
    pub fn contributors(&self, name: &str) -> impl Iterator<Item = Instance> + '_ {
        self.counters.get(name).into_iter().flat_map(|counter| counter.contributions.keys().copied())
    }

    /// The counts that an instance has a part in.
    pub fn names_of_instance(&self, instance: Instance) -> impl Iterator<Item = Arc<str>> + '_ {
        let its =
            self.counters.iter().filter(move |(_, counter)| counter.contributions.contains_key(&instance));
        its.map(|(name, _)| name.clone())
    }

    /// What all together have added, as far as is known here.
    pub fn total(&self, now: Micros, name: &str) -> Option<f64> {
        let counter = self.counters.get(name).filter(|counter| counter.expires_at > now)?;
        Some(counter.contributions.values().map(Contribution::net).sum())
    }

    /// How long a name still lives.
    pub fn expires_in(&self, now: Micros, name: &str) -> Option<Micros> {
        self.counters.get(name).map(|counter| counter.expires_at.saturating_sub(now))
    }

    /// All parts of all counts, with the life that is left.
    pub fn entries(&self, now: Micros) -> impl Iterator<Item = (&Arc<str>, Micros, Instance, Contribution)> {
        let live = self.counters.iter().filter(move |(_, counter)| counter.expires_at > now);
        live.flat_map(move |(name, counter)| {
            counter.contributions.iter().map(move |(instance, contribution)| {
                (name, counter.expires_at - now, *instance, *contribution)
            })
        })
    }
}
