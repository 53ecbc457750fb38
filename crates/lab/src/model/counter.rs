//! Model of the shared counter: keys with totals that expire, a limited number of calls a second, and the ways in which the
//! counter can fail.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Micros, SECOND};

#[derive(Clone, Debug)]
pub struct Spec {
    /// Calls a second.
    pub capacity: f64,
    /// Latency of a call in addition to its service time; an exponential time with the same mean is added.
    pub latency: Micros,
    /// Calls that may wait in the queue; further calls are rejected.
    pub queue: f64,
    /// Connections of one gateway; further connections are reset.
    pub connections: usize,
}

/// Longer lifetimes of a key are limited to this.
const MAX_LIFETIME: Micros = 60 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplyFault {
    Healthy,
    /// Every call is rejected.
    Busy,
    /// Amounts are added, but no call is answered.
    Silent,
    /// Calls are not read: nothing is added or answered.
    Deaf,
    /// Calls take this multiple of the usual time.
    Slow(f64),
    /// Totals are outdated by this time.
    Old(Micros),
    /// Answers contain no number; the amounts are added.
    Garbled,
}

#[derive(Clone, Debug)]
struct Entry {
    total: f64,
    expires_at: Micros,
    /// Recent amounts with their times, as far back as outdated totals need them.
    added: Vec<(Micros, f64)>,
}

/// The answer to a call, if any.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Total(f64),
    Busy,
    Nothing,
    Malformed,
}

pub struct Counter {
    spec: Spec,
    entries: BTreeMap<String, Entry>,
    last_sweep: Micros,
    /// When all calls that have arrived will have been served.
    busy_until: Micros,
    rng: ChaCha8Rng,
    pub fault: ReplyFault,
    pub calls: u64,
    pub turned_away: u64,
}

impl Counter {
    pub fn new(spec: Spec, seed: u64) -> Self {
        Counter {
            spec,
            entries: BTreeMap::new(),
            last_sweep: 0,
            busy_until: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault: ReplyFault::Healthy,
            calls: 0,
            turned_away: 0,
        }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Removes all keys, as after a restart or a replacement.
    pub fn empty(&mut self) {
        self.entries.clear();
    }

    /// An independent copy, as on the other side of a network partition.
    pub fn split(&self, seed: u64) -> Self {
        let mut other = Counter::new(self.spec.clone(), seed);
        other.entries = self.entries.clone();
        other
    }

    /// Handles a call. Returns the answer and when it is sent.
    pub fn add(&mut self, now: Micros, key: &str, amount: f64, lifetime: Micros) -> (Reply, Micros) {
        self.calls += 1;
        self.sweep(now);
        if self.fault == ReplyFault::Deaf {
            return (Reply::Nothing, now);
        }
        let slowdown = if let ReplyFault::Slow(factor) = self.fault { factor } else { 1.0 };
        let service_time = (SECOND as f64 * slowdown / self.spec.capacity) as Micros;
        let begins = self.busy_until.max(now);
        if self.fault == ReplyFault::Busy || (begins - now) as f64 > self.spec.queue * service_time as f64 {
            self.turned_away += 1;
            return (Reply::Busy, now);
        }
        self.busy_until = begins + service_time;
        let latency = self.spec.latency as f64 * slowdown;
        let jitter = latency * -(1.0 - self.rng.gen::<f64>()).ln();
        let at = begins + service_time + (latency + jitter) as Micros;
        let entry = self.entries.entry(key.to_string()).or_insert_with(|| Entry {
            total: 0.0,
            expires_at: now + lifetime.min(MAX_LIFETIME),
            added: Vec::new(),
        });
        entry.total += amount;
        let total = match self.fault {
            ReplyFault::Old(delay) => {
                entry.added.push((now, amount));
                entry.added.retain(|(at, _)| at + delay > now);
                entry.total - entry.added.iter().map(|(_, amount)| amount).sum::<f64>()
            }
            _ => {
                entry.added.clear();
                entry.total
            }
        };
        // Totals are exact to seven digits.
        let total = format!("{total:.6e}").parse().unwrap_or(total);
        match self.fault {
            ReplyFault::Silent => (Reply::Nothing, at),
            ReplyFault::Garbled => (Reply::Malformed, at),
            _ => (Reply::Total(total), at),
        }
    }

    fn sweep(&mut self, now: Micros) {
        if now >= self.last_sweep + SECOND {
            self.last_sweep = now;
            self.entries.retain(|_, key| key.expires_at > now);
        }
    }
}
