//! The shared counter: names with totals that live for a time, so many calls a second, and the ways in which it fails.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Micros, SECOND};

#[derive(Clone, Debug)]
pub struct Spec {
    /// Calls a second.
    pub capacity: f64,
    /// Time of a call beside its turn; an exponential part as long again comes on top.
    pub latency: Micros,
    /// Calls that may wait for their turn; further ones are turned away.
    pub queue: f64,
    /// Connections of one gateway; further ones are reset.
    pub connections: usize,
}

/// A life of a name longer than this counts as this.
const LONGEST_LIFE: Micros = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyFault {
    Well,
    /// Every call is turned away.
    Busy,
    /// Calls are added, and nothing is said.
    Silent,
    /// Nothing is heard, added or said.
    Deaf,
    /// Times as long as usual.
    Slow(f64),
    /// Totals are those from so long ago.
    Old(Micros),
    /// Answers have no number in them; the amounts are added.
    Garbled,
}

#[derive(Clone, Debug)]
struct Name {
    total: f64,
    ends: Micros,
    /// What was added when, as far back as old totals are told.
    added: Vec<(Micros, f64)>,
}

/// What is said to a call, and when; nothing where it stays silent.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Total(f64),
    Busy,
    Nothing,
    Spoilt,
}

pub struct Counter {
    spec: Spec,
    names: BTreeMap<String, Name>,
    swept: Micros,
    /// When the calls that have come will all have had their turn.
    free: Micros,
    chance: ChaCha8Rng,
    pub ill: ReplyFault,
    pub calls: u64,
    pub turned_away: u64,
}

impl Counter {
    pub fn new(spec: Spec, seed: u64) -> Self {
        Counter {
            spec,
            names: BTreeMap::new(),
            swept: 0,
            free: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            ill: ReplyFault::Well,
            calls: 0,
            turned_away: 0,
        }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// All that was added is gone, as after a restart or where another takes its place.
    pub fn empty(&mut self) {
        self.names.clear();
    }

    /// A copy that goes on by itself, as on the other side of a split.
    pub fn split(&self, seed: u64) -> Self {
        let mut other = Counter::new(self.spec.clone(), seed);
        other.names = self.names.clone();
        other
    }

    /// A call has come; what is said to it, and when.
    pub fn add(&mut self, now: Micros, name: &str, amount: f64, life: Micros) -> (Reply, Micros) {
        self.calls += 1;
        self.sweep(now);
        if self.ill == ReplyFault::Deaf {
            return (Reply::Nothing, now);
        }
        let slow = if let ReplyFault::Slow(times) = self.ill { times } else { 1.0 };
        let turn = (SECOND as f64 * slow / self.spec.capacity) as Micros;
        let begins = self.free.max(now);
        if self.ill == ReplyFault::Busy || (begins - now) as f64 > self.spec.queue * turn as f64 {
            self.turned_away += 1;
            return (Reply::Busy, now);
        }
        self.free = begins + turn;
        let own = self.spec.latency as f64 * slow;
        let late = own * -(1.0 - self.chance.gen::<f64>()).ln();
        let at = begins + turn + (own + late) as Micros;
        let entry = self.names.entry(name.to_string()).or_insert_with(|| Name {
            total: 0.0,
            ends: now + life.min(LONGEST_LIFE),
            added: Vec::new(),
        });
        entry.total += amount;
        let total = match self.ill {
            ReplyFault::Old(by) => {
                entry.added.push((now, amount));
                entry.added.retain(|(at, _)| at + by > now);
                entry.total - entry.added.iter().map(|(_, amount)| amount).sum::<f64>()
            }
            _ => {
                entry.added.clear();
                entry.total
            }
        };
        // Totals are exact to seven digits.
        let total = format!("{total:.6e}").parse().unwrap_or(total);
        match self.ill {
            ReplyFault::Silent => (Reply::Nothing, at),
            ReplyFault::Garbled => (Reply::Spoilt, at),
            _ => (Reply::Total(total), at),
        }
    }

    fn sweep(&mut self, now: Micros) {
        if now >= self.swept + SECOND {
            self.swept = now;
            self.names.retain(|_, name| name.ends > now);
        }
    }
}
