//! PN-counters (Shapiro et al., 2011): each instance's additions to and subtractions from each counter, as two sums that only
//! grow. Merging takes the maximum of each sum, so loss, delay, duplication and reordering of messages do no lasting harm. This
//! module sends nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::expiring_map::{Expiring, ExpiringMap};
use crate::Micros;

/// The id of one process of a gateway. It is generated randomly at each start, so that the contributions of an earlier process
/// stay separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance(pub u64);

/// The contribution of one instance to one counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Contribution {
    /// The sum of additions; never negative.
    pub increments: f64,
    /// The sum of subtractions; never negative.
    pub decrements: f64,
}

impl Contribution {
    /// The additions minus the subtractions.
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

    /// Takes the maximum of each sum, and returns whether a sum changed.
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

/// Maximum plausible sum. The counter accepts no amount above a billion, and a key lives for a minute, so a larger sum is
/// corrupt.
const MAX_SUM: f64 = 1e15;
/// Maximum number of instances that contribute to one counter. Each start of a gateway creates an instance, and no fleet has
/// more of them within a key's lifetime.
const MAX_CONTRIBUTORS: usize = 4_096;
/// Maximum size of a counter's key, as limited by the shared counter.
pub const MAX_KEY_BYTES: usize = 64;

type Contributions = BTreeMap<Instance, Contribution>;

/// A change to a contribution.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The counter's key.
    pub key: Arc<str>,
    /// Whether no earlier contribution of the instance to the counter was known.
    pub is_new: bool,
}

/// One contribution to one counter.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownContribution<'a> {
    /// The counter's key.
    pub key: &'a Arc<str>,
    /// Time until the counter expires.
    pub expires_in: Micros,
    /// The contributing instance.
    pub instance: Instance,
    /// The contribution of the instance.
    pub contribution: Contribution,
}

/// The known counters. Their number is limited, and further ones are ignored.
#[derive(Clone, Debug)]
pub struct PnCounters {
    counters: ExpiringMap<Contributions>,
    max_counters: usize,
}

impl PnCounters {
    /// Creates an empty set that accepts at most `max_counters` counters.
    pub fn new(max_counters: usize) -> Self {
        PnCounters { counters: ExpiringMap::new(), max_counters }
    }

    /// Number of known counters.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether there are no known counters.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes expired counters.
    pub fn remove_expired(&mut self, now: Micros) {
        self.counters.remove_expired(now);
    }

    /// The shared key and the contributions of a counter. Creates the counter if it is valid and the limit is not reached.
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

    /// Adds an instance's amount, which is subtracted if it is negative. Returns `None` and changes nothing if the amount is not
    /// finite, or if the counter is new and either invalid or above the limit.
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

    /// Merges an instance's contribution as reported by another gateway, and returns the change if there is one.
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

    /// The contribution of an instance to a counter.
    pub fn contribution(&self, key: &str, instance: Instance) -> Option<Contribution> {
        self.counters.get(key)?.value.get(&instance).copied()
    }

    /// The instances that have contributed to a counter, in ascending order.
    pub fn contributors(&self, key: &str) -> impl Iterator<Item = Instance> + '_ {
        self.counters.get(key).into_iter().flat_map(|counter| counter.value.keys().copied())
    }

    /// The keys of the counters that an instance has contributed to, in ascending order.
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

    /// Time until a counter expires.
    pub fn expires_in(&self, now: Micros, key: &str) -> Option<Micros> {
        self.counters.get(key).map(|counter| counter.expires_at.saturating_sub(now))
    }

    /// All contributions to all counters that have not expired, ordered by key and instance.
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
