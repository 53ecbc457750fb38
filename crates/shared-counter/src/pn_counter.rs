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

    fn sound(&self) -> bool {
        [self.increments, self.decrements].iter().all(|sum| (0.0..=LARGEST).contains(sum))
    }
}

/// Sums beyond this are nobody's: a counter takes no amount over a billion, and a name lives a minute.
const LARGEST: f64 = 1e15;
/// Instances that may have parts in one count. Each start of a gateway is one; more in a minute than this are no fleet.
const MOST_PARTS: usize = 4_096;
/// Bytes of a name, as of the counter.
pub const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, Debug)]
struct Count {
    ends: Micros,
    parts: BTreeMap<Instance, Contribution>,
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
    counts: BTreeMap<Arc<str>, Count>,
    /// Names by when they end.
    ends: BTreeMap<(Micros, Arc<str>), ()>,
    most: usize,
}

impl PnCounters {
    pub fn new(most: usize) -> Self {
        PnCounters { counts: BTreeMap::new(), ends: BTreeMap::new(), most }
    }

    pub fn len(&self) -> usize {
        self.counts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Forgets what has ended.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some(((ends, _), ())) = self.ends.first_key_value() {
            if *ends > now {
                return;
            }
            if let Some(((_, name), ())) = self.ends.pop_first() {
                self.counts.remove(&name);
            }
        }
    }

    fn count(&mut self, now: Micros, name: &str, life: Micros) -> Option<(Arc<str>, &mut Count)> {
        self.remove_expired(now);
        if !self.counts.contains_key(name) {
            if self.counts.len() >= self.most || name.len() > MAX_NAME_BYTES || name.is_empty() || life == 0 {
                return None;
            }
            let (name, ends): (Arc<str>, _) = (name.into(), now.saturating_add(life));
            self.ends.insert((ends, name.clone()), ());
            self.counts.insert(name, Count { ends, parts: BTreeMap::new() });
        }
        let known = self.counts.get_key_value(name).map(|(known, _)| known.clone())?;
        self.counts.get_mut(name).map(|count| (known, count))
    }

    /// An instance adds an amount of its own; nothing happens at the bound.
    pub fn add(
        &mut self,
        now: Micros,
        own: Instance,
        name: &str,
        amount: f64,
        life: Micros,
    ) -> Option<Change> {
        if !amount.is_finite() {
            return None;
        }
        let (name, count) = self.count(now, name, life)?;
        let fresh = !count.parts.contains_key(&own);
        count.parts.entry(own).or_default().add(amount);
        Some(Change { name, is_new: fresh })
    }

    /// Merges what was told of an instance's part, and says what that changed, if anything.
    pub fn merge(
        &mut self,
        now: Micros,
        name: &str,
        of: Instance,
        part: Contribution,
        life: Micros,
    ) -> Option<Change> {
        if !part.sound() {
            return None;
        }
        let (name, count) = self.count(now, name, life)?;
        let fresh = !count.parts.contains_key(&of);
        if count.parts.len() >= MOST_PARTS && fresh {
            return None;
        }
        count.parts.entry(of).or_default().join(part).then_some(Change { name, is_new: fresh })
    }

    pub fn contribution(&self, name: &str, of: Instance) -> Option<Contribution> {
        self.counts.get(name)?.parts.get(&of).copied()
    }

    /// The instances that have a part in a count.
    pub fn contributors(&self, name: &str) -> impl Iterator<Item = Instance> + '_ {
        self.counts.get(name).into_iter().flat_map(|count| count.parts.keys().copied())
    }

    /// The counts that an instance has a part in.
    pub fn names_of_instance(&self, of: Instance) -> impl Iterator<Item = Arc<str>> + '_ {
        let its = self.counts.iter().filter(move |(_, count)| count.parts.contains_key(&of));
        its.map(|(name, _)| name.clone())
    }

    /// What all together have added, as far as is known here.
    pub fn total(&self, now: Micros, name: &str) -> Option<f64> {
        let count = self.counts.get(name).filter(|count| count.ends > now)?;
        Some(count.parts.values().map(Contribution::net).sum())
    }

    /// How long a name still lives.
    pub fn expires_in(&self, now: Micros, name: &str) -> Option<Micros> {
        self.counts.get(name).map(|count| count.ends.saturating_sub(now))
    }

    /// All parts of all counts, with the life that is left.
    pub fn entries(&self, now: Micros) -> impl Iterator<Item = (&Arc<str>, Micros, Instance, Contribution)> {
        let live = self.counts.iter().filter(move |(_, count)| count.ends > now);
        live.flat_map(move |(name, count)| {
            count.parts.iter().map(move |(of, part)| (name, count.ends - now, *of, *part))
        })
    }
}
