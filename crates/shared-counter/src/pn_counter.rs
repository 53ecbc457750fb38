//! PN-counters: what each instance has added to and taken off each counter, as two sums that only grow (Shapiro et al., 2011).
//! Merging takes the larger of each, so that loss, delay, duplication and reordering of messages do no lasting harm. It sends
//! nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::expiring_map::{Expiring, ExpiringMap};
use crate::Micros;

/// One process of one gateway. It is drawn at random at each start, so that what an earlier process added stays its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance(pub u64);

/// What one instance has added to one counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Contribution {
    /// The sum of what was added; never negative.
    pub increments: f64,
    /// The sum of what was taken off; never negative.
    pub decrements: f64,
}

impl Contribution {
    /// What was added less what was taken off.
    pub fn net(&self) -> f64 {
        self.increments - self.decrements
    }

    fn add(&mut self, amount: f64) {
        if amount >= 0.0 {
            self.increments += amount;
        } else {
            self.decrements -= amount;
        }
    }

    /// Takes the larger of each sum, and returns whether that changed anything.
    fn merge(&mut self, other: Contribution) -> bool {
        let before = *self;
        self.increments = self.increments.max(other.increments);
        self.decrements = self.decrements.max(other.decrements);
        *self != before
    }

    fn is_valid(&self) -> bool {
        [self.increments, self.decrements].iter().all(|sum| (0.0..=MAX_SUM).contains(sum))
    }
}

/// Sums above this are corrupt: the counter takes no amount above a billion, and a key lives a minute.
const MAX_SUM: f64 = 1e15;
/// Instances that contribute to one counter. Each start of a gateway is one; no fleet has more within a key's lifetime.
const MAX_CONTRIBUTORS: usize = 4_096;
/// Bytes of a counter's key, as the counter itself limits them.
pub const MAX_KEY_BYTES: usize = 64;

type Contributions = BTreeMap<Instance, Contribution>;

/// A contribution has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The counter's key.
    pub key: Arc<str>,
    /// Whether the instance had not contributed to the counter before, as far as was known.
    pub is_new: bool,
}

/// One contribution to one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownContribution<'a> {
    /// The counter's key.
    pub key: &'a Arc<str>,
    /// How long the counter still lives.
    pub expires_in: Micros,
    /// Who contributed.
    pub instance: Instance,
    /// What it contributed.
    pub contribution: Contribution,
}

/// The counters that are known, up to a bound at which a further one is ignored.
#[derive(Clone, Debug)]
pub struct PnCounters {
    counters: ExpiringMap<Contributions>,
    max_counters: usize,
}

impl PnCounters {
    /// No counters yet, and never more than the bound.
    pub fn new(max_counters: usize) -> Self {
        PnCounters { counters: ExpiringMap::new(), max_counters }
    }

    /// Number of counters that are known.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no counter is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the counters that have expired.
    pub fn remove_expired(&mut self, now: Micros) {
        self.counters.remove_expired(now);
    }

    /// A counter's contributions by its shared key; a new one if the counter is valid and there is room.
    fn contributions(
        &mut self,
        now: Micros,
        key: &str,
        lifetime: Micros,
    ) -> Option<(Arc<str>, &mut Contributions)> {
        self.remove_expired(now);
        if !self.counters.contains_key(key) {
            let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && lifetime > 0;
            if !is_valid || self.counters.len() >= self.max_counters {
                return None;
            }
            self.counters.insert(now, key, lifetime, Contributions::new());
        }
        let shared_key = self.counters.shared_key(key)?;
        let counter = self.counters.get_mut(key)?;
        Some((shared_key, &mut counter.value))
    }

    /// An instance adds an amount of its own, or takes it off if it is negative. Nothing changes if the amount is not
    /// finite, or if the counter is new and invalid or beyond the bound.
    pub fn add(
        &mut self,
        now: Micros,
        instance: Instance,
        key: &str,
        amount: f64,
        lifetime: Micros,
    ) -> Option<Change> {
        if !amount.is_finite() {
            return None;
        }
        let (key, contributions) = self.contributions(now, key, lifetime)?;
        let is_new = !contributions.contains_key(&instance);
        contributions.entry(instance).or_default().add(amount);
        Some(Change { key, is_new })
    }

    /// Merges what another gateway reports of an instance's contribution, and returns the change if there is one.
    pub fn merge(
        &mut self,
        now: Micros,
        key: &str,
        instance: Instance,
        contribution: Contribution,
        lifetime: Micros,
    ) -> Option<Change> {
        if !contribution.is_valid() {
            return None;
        }
        let (key, contributions) = self.contributions(now, key, lifetime)?;
        let is_new = !contributions.contains_key(&instance);
        if is_new && contributions.len() >= MAX_CONTRIBUTORS {
            return None;
        }
        let has_changed = contributions.entry(instance).or_default().merge(contribution);
        has_changed.then_some(Change { key, is_new })
    }

    /// What an instance has contributed to a counter.
    pub fn contribution(&self, key: &str, instance: Instance) -> Option<Contribution> {
        self.counters.get(key)?.value.get(&instance).copied()
    }

    /// The instances that have contributed to a counter, in their order.
    pub fn contributors(&self, key: &str) -> impl Iterator<Item = Instance> + '_ {
        self.counters.get(key).into_iter().flat_map(|counter| counter.value.keys().copied())
    }

    /// The keys of the counters that an instance has contributed to, in their order.
    pub fn keys_of_instance(&self, instance: Instance) -> impl Iterator<Item = Arc<str>> + '_ {
        let contributed =
            self.counters.iter().filter(move |(_, counter)| counter.value.contains_key(&instance));
        contributed.map(|(key, _)| key.clone())
    }

    /// The sum of all contributions to a counter that has not expired.
    pub fn total(&self, now: Micros, key: &str) -> Option<f64> {
        let counter = self.counters.get(key).filter(|counter| counter.expires_at > now)?;
        Some(counter.value.values().map(Contribution::net).sum())
    }

    /// How long a counter still lives.
    pub fn expires_in(&self, now: Micros, key: &str) -> Option<Micros> {
        self.counters.get(key).map(|counter| counter.expires_at.saturating_sub(now))
    }

    /// All contributions to all counters that have not expired, in the order of keys and instances.
    pub fn entries(&self, now: Micros) -> impl Iterator<Item = KnownContribution<'_>> {
        let live = self.counters.iter().filter(move |(_, counter)| counter.expires_at > now);
        live.flat_map(move |(key, Expiring { expires_at, value })| {
            value.iter().map(move |(instance, contribution)| KnownContribution {
                key,
                expires_in: expires_at - now,
                instance: *instance,
                contribution: *contribution,
            })
        })
    }
}
