//! Stands between the decision module and the shared counter. It hears of every call and every answer, knows for each count
//! what of this gateway's own must be in the counter, and so tells a good counter from one that is lost, emptied or apart.
//!
//! What it gives the module is one total. Where the counter has an answer, that, or more if more is known to have been
//! added; where it has none, what the mesh of gateways knows, if all of them are in it. What a counter lacks is told anew
//! with the next call, unless it may have been added: nothing is added twice.
//!
//! Callers: `add` before each call, `counted` with its end, each with what the mesh knows of that count, this gateway's
//! amount included. Amounts are weighed as the module weighs them, and a count's name lives as long as the module says.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::{Micros, MILLISECOND, SECOND};

/// Calls in vain in a row, and the time without an answer, after which the counter is taken for lost: one bad connection
/// loses some calls at once and is replaced within a tenth of a second.
const MAX_FAILED_CALLS: u32 = 3;
const MAX_SILENCE: Micros = 200 * MILLISECOND;
/// How often a lost counter is asked all the same: its return is noticed within this.
const LOST_QUERY_INTERVAL: Micros = 200 * MILLISECOND;
/// Totals are exact to seven digits; parts of a sum that is off by less are there.
const RELATIVE_TOLERANCE: f64 = 1e-6;
/// What one count seems to lack, settled units of others may have taken off: they are some of what was offered. Only a
/// total below this part of what was told before is taken for a loss.
const RESET_FRACTION: f64 = 0.5;
/// And only if another answer within this time says the same: what one answer says may be an old one overtaken.
const CONFIRMATION_TIME: Micros = 2 * SECOND;
/// A counter that knows less than this part of what the mesh knows, for so long, is another than the others'.
const PARTITION_FRACTION: f64 = 0.7;
const PARTITION_TIME: Micros = 2 * SECOND;
/// An answer that takes so many times what the quickest took, and so long at the least, is slow; a mean over some answers
/// says so, as one may be late by chance.
const SLOW_FACTOR: f64 = 5.0;
const MIN_SLOW_LATENCY: Micros = 10 * MILLISECOND;
const LATENCY_SMOOTHING: f64 = 0.125;
/// Answers in a row that lack their own amount, after which totals are taken for old.
const STALE_REPLIES: u32 = 3;
/// Counts that are followed. Beyond it a new one goes to the counter and back as though there were no tally.
const MAX_COUNTERS: usize = 65_536;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Total(f64),
    /// Surely not added.
    NotApplied,
    /// Perhaps added, or yet to be.
    Unknown,
}

/// What to do with an amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddStep {
    /// Ask the counter to add this much: the amount, and what it lacks of earlier ones.
    Forward(f64),
    /// The counter is lost; this is the total.
    Reply(f64),
}

/// What the module is to hear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    Total(f64),
    /// Not added, and not kept: so much is to be taken back wherever else it was told.
    NotApplied(f64),
    Unknown,
}

/// What the mesh knows of a count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipTotal {
    pub total: f64,
    /// All configured gateways are in it. Those that were seen once are not enough: a partition would double a quota.
    pub is_complete: bool,
}

/// How the counter stands, as far as the answers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterHealth {
    Healthy,
    /// Answers take several times what the quickest took.
    Slow,
    /// No answer comes.
    Lost,
    /// It has lost what was added, or is another that starts empty.
    Reset,
    /// Its totals lack even what it has just been told: they are from some time ago.
    Stale,
    /// It knows much less than all gateways together have added: others use another one.
    Partitioned,
}

impl CounterHealth {
    /// The word by which logs and operators are told.
    pub fn name(self) -> &'static str {
        match self {
            CounterHealth::Healthy => "good",
            CounterHealth::Slow => "slow",
            CounterHealth::Lost => "lost",
            CounterHealth::Reset => "emptied",
            CounterHealth::Stale => "old",
            CounterHealth::Partitioned => "apart",
        }
    }
}

#[derive(Debug)]
struct TrackedCounter {
    expires_at: Micros,
    /// What this gateway has added and the module takes for added.
    added: f64,
    /// Of it, what is surely in the counter that answers now, and what is perhaps.
    confirmed: f64,
    possible: f64,
    /// Amounts of the calls that are out, in their order, and of each the part that the module knows of.
    in_flight: VecDeque<(f64, f64)>,
    /// The largest total that was told.
    highest: f64,
    /// What was surely in it, and perhaps, by the last answer that lacked nothing.
    last_complete: (f64, f64),
    suspicion: Option<Suspicion>,
}

impl TrackedCounter {
    /// What is surely not in the counter, and not on its way either.
    fn lacking(&self) -> f64 {
        let in_flight: f64 = self.in_flight.iter().map(|(amount, _)| amount).sum();
        let lacking = self.added - self.confirmed - self.possible - in_flight;
        if lacking.abs() <= RELATIVE_TOLERANCE * (self.added.abs() + self.confirmed.abs()) {
            0.0
        } else {
            lacking
        }
    }
}

/// Answers lack some of what must be in the counter.
#[derive(Debug)]
struct Suspicion {
    started_at: Micros,
    /// What was missing at first, and what was perhaps in the counter then.
    missing: f64,
    possible: f64,
    /// It was much less than was told before.
    is_large: bool,
}

pub struct CounterMonitor {
    counters: BTreeMap<Arc<str>, TrackedCounter>,
    expirations: BTreeMap<(Micros, Arc<str>), ()>,
    health: CounterHealth,
    /// Calls in vain since the last answer, when that came, and when the counter was last asked while lost.
    failed_calls: u32,
    last_reply: Micros,
    last_query: Micros,
    /// The quickest answer, and a mean of the last ones, in microseconds; and answers in a row that were old.
    min_latency: Micros,
    mean_latency: f64,
    stale_replies: u32,
    /// Since when it knows much less than the mesh.
    behind_since: Option<Micros>,
    /// Answers that lacked something, lately: by when, and in which count.
    recent_suspicions: VecDeque<(Micros, Arc<str>)>,
}

impl CounterMonitor {
    pub fn new(now: Micros) -> Self {
        CounterMonitor {
            counters: BTreeMap::new(),
            expirations: BTreeMap::new(),
            health: CounterHealth::Healthy,
            failed_calls: 0,
            last_reply: now,
            last_query: 0,
            min_latency: Micros::MAX,
            mean_latency: 0.0,
            stale_replies: 0,
            behind_since: None,
            recent_suspicions: VecDeque::new(),
        }
    }

    pub fn health(&self) -> CounterHealth {
        self.health
    }

    pub fn len(&self) -> usize {
        self.counters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn remove_expired(&mut self, now: Micros) {
        while self.expirations.first_key_value().is_some_and(|((expires_at, _), ())| *expires_at <= now) {
            if let Some(((_, name), ())) = self.expirations.pop_first() {
                self.counters.remove(&name);
            }
        }
    }

    /// The module adds an amount to a count.
    pub fn add(
        &mut self,
        now: Micros,
        name: &str,
        amount: f64,
        lifetime: Micros,
        gossip: Option<GossipTotal>,
    ) -> AddStep {
        self.remove_expired(now);
        let (health, last_query) = (self.health, self.last_query);
        let Some(counter) = self.counter(now, name, lifetime) else { return AddStep::Forward(amount) };
        if let Some(gossip) = gossip.filter(|gossip| gossip.is_complete && health == CounterHealth::Lost) {
            if now < last_query + LOST_QUERY_INTERVAL {
                // It is kept here and told to the others; the counter hears of it when it is back.
                counter.added += amount;
                return AddStep::Reply(gossip.total);
            }
            self.last_query = now;
        }
        let Some(counter) = self.counters.get_mut(name) else { return AddStep::Forward(amount) };
        // While a doubt stands nothing is told anew on the strength of it.
        let lacking = if counter.suspicion.is_none() { counter.lacking() } else { 0.0 };
        counter.added += amount;
        counter.in_flight.push_back((amount + lacking, amount));
        AddStep::Forward(amount + lacking)
    }

    fn counter(&mut self, now: Micros, name: &str, lifetime: Micros) -> Option<&mut TrackedCounter> {
        if !self.counters.contains_key(name) {
            if self.counters.len() >= MAX_COUNTERS {
                return None;
            }
            let (name, expires_at): (Arc<str>, _) = (name.into(), now.saturating_add(lifetime));
            self.expirations.insert((expires_at, name.clone()), ());
            let counter = TrackedCounter {
                expires_at,
                added: 0.0,
                confirmed: 0.0,
                possible: 0.0,
                in_flight: VecDeque::new(),
                highest: 0.0,
                last_complete: (0.0, 0.0),
                suspicion: None,
            };
            self.counters.insert(name, counter);
        }
        self.counters.get_mut(name).filter(|counter| counter.expires_at > now)
    }

    /// A call has ended, so long after it was made. Calls of one count end in their order.
    pub fn call_completed(
        &mut self,
        now: Micros,
        name: &str,
        outcome: CallOutcome,
        latency: Micros,
        gossip: Option<GossipTotal>,
    ) -> CounterReply {
        let amount = self
            .counters
            .get(name)
            .and_then(|counter| counter.in_flight.front())
            .map_or(0.0, |(amount, _)| *amount);
        self.record_outcome(now, outcome, latency, amount, gossip);
        let complete = gossip.filter(|gossip| gossip.is_complete);
        let known = self
            .counters
            .get_mut(name)
            .and_then(|counter| counter.in_flight.pop_front().map(|in_flight| (counter, in_flight)));
        let Some((counter, (amount, own))) = known else {
            return match (outcome, complete) {
                (CallOutcome::Total(total), _) => {
                    CounterReply::Total(total.max(gossip.map_or(total, |gossip| gossip.total)))
                }
                (_, Some(gossip)) => CounterReply::Total(gossip.total),
                (CallOutcome::NotApplied, None) => CounterReply::NotApplied(0.0),
                (CallOutcome::Unknown, None) => CounterReply::Unknown,
            };
        };
        match (outcome, complete) {
            (CallOutcome::Total(total), _) => {
                counter.confirmed += amount;
                let total = self.detect_reset(now, name, total, amount);
                CounterReply::Total(gossip.map_or(total, |gossip| total.max(gossip.total)))
            }
            (CallOutcome::NotApplied, Some(gossip)) => CounterReply::Total(gossip.total),
            (CallOutcome::NotApplied, None) => {
                // The module takes it for not added, and will add it again.
                counter.added -= own;
                CounterReply::NotApplied(own)
            }
            (CallOutcome::Unknown, complete) => {
                counter.possible += amount;
                complete.map_or(CounterReply::Unknown, |gossip| CounterReply::Total(gossip.total))
            }
        }
    }

    /// What the end of a call says of the counter.
    fn record_outcome(
        &mut self,
        now: Micros,
        outcome: CallOutcome,
        latency: Micros,
        amount: f64,
        gossip: Option<GossipTotal>,
    ) {
        let CallOutcome::Total(total) = outcome else {
            self.failed_calls += 1;
            if self.failed_calls >= MAX_FAILED_CALLS
                && now >= self.last_reply + MAX_SILENCE
                && self.health != CounterHealth::Lost
            {
                (self.health, self.last_query) = (CounterHealth::Lost, now);
            }
            return;
        };
        if self.health == CounterHealth::Lost {
            self.health = CounterHealth::Healthy;
        }
        (self.failed_calls, self.last_reply) = (0, now);
        self.min_latency = self.min_latency.min(latency.max(1));
        self.mean_latency += LATENCY_SMOOTHING * (latency as f64 - self.mean_latency);
        self.stale_replies =
            if total + RELATIVE_TOLERANCE * amount.abs() < amount { self.stale_replies + 1 } else { 0 };
        let slow = self.mean_latency > SLOW_FACTOR * self.min_latency as f64
            && self.mean_latency > MIN_SLOW_LATENCY as f64;
        match self.health {
            CounterHealth::Healthy | CounterHealth::Slow if self.stale_replies >= STALE_REPLIES => {
                self.health = CounterHealth::Stale
            }
            CounterHealth::Stale if self.stale_replies == 0 => self.health = CounterHealth::Healthy,
            CounterHealth::Healthy if slow => self.health = CounterHealth::Slow,
            CounterHealth::Slow if !slow => self.health = CounterHealth::Healthy,
            // What came after it was emptied has been answered: it is as good as any.
            CounterHealth::Reset if self.counters.values().all(|counter| counter.suspicion.is_none()) => {
                self.health = CounterHealth::Healthy
            }
            _ => {}
        }
        let behind_since = gossip.is_some_and(|gossip| {
            gossip.is_complete && gossip.total > 0.0 && total < PARTITION_FRACTION * gossip.total
        });
        if !behind_since {
            self.behind_since = None;
            if self.health == CounterHealth::Partitioned {
                self.health = CounterHealth::Healthy;
            }
        } else if now >= *self.behind_since.get_or_insert(now) + PARTITION_TIME {
            self.health = CounterHealth::Partitioned;
        }
    }

    /// Looks whether a total lacks what must be in it. Gives the total with what is known to be missing.
    fn detect_reset(&mut self, now: Micros, name: &str, total: f64, amount: f64) -> f64 {
        let Some((name, counter)) =
            self.counters.get_key_value(name).map(|(name, _)| name.clone()).and_then(|name| {
                let counter = self.counters.get_mut(&name)?;
                Some((name, counter))
            })
        else {
            return total;
        };
        let tolerance = RELATIVE_TOLERANCE * (total.abs() + counter.confirmed.abs());
        let missing = counter.confirmed - total;
        if missing <= tolerance {
            (counter.suspicion, counter.last_complete) = (None, (counter.confirmed, counter.possible));
            counter.highest = counter.highest.max(total);
            return total + counter.lacking().max(0.0);
        }
        // A total without even what this call has added is an old one, whatever it lacks.
        if total + tolerance < amount {
            return counter.confirmed.max(total);
        }
        // One that is no less than any before: nothing has gone since, whatever others have taken off.
        if total >= counter.highest {
            (counter.highest, counter.last_complete) = (total, (counter.confirmed, counter.possible));
            return counter.confirmed.max(total);
        }
        let (possible, is_large) = (counter.possible, total < RESET_FRACTION * counter.highest);
        let suspicion =
            counter.suspicion.get_or_insert(Suspicion { started_at: now, missing, possible, is_large });
        suspicion.is_large |= is_large;
        while self.recent_suspicions.front().is_some_and(|(at, _)| at + CONFIRMATION_TIME < now) {
            self.recent_suspicions.pop_front();
        }
        // What may have come in since explains that less is missing.
        let persists = missing + (possible - suspicion.possible) + tolerance >= suspicion.missing;
        let is_confirmed =
            suspicion.started_at < now || self.recent_suspicions.iter().any(|(_, other)| *other != name);
        let is_large = suspicion.is_large;
        if is_large {
            self.recent_suspicions.push_back((now, name));
        }
        if !(is_large && persists && is_confirmed) {
            return counter.confirmed.max(total);
        }
        // All that was in it is gone but what was added, or perhaps was, since the last answer that had it; calls still
        // out have yet to be.
        let (confirmed, possible) = counter.last_complete;
        (counter.confirmed, counter.possible) = (counter.confirmed - confirmed, counter.possible - possible);
        (counter.last_complete, counter.suspicion, counter.highest) =
            ((counter.confirmed, counter.possible), None, total);
        self.health = CounterHealth::Reset;
        total + counter.lacking().max(0.0)
    }
}
