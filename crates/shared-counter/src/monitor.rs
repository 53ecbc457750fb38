//! The monitor between the decision module and the shared counter. It sees every call and its outcome, and tracks for each key
//! how much of this gateway's additions the counter must contain. From this it detects that the counter is lost, reset, stale
//! or partitioned. It makes no calls itself.
//!
//! The monitor gives the decision module one total. If the counter replies, this is the counter's total, or a larger one if more
//! is known to have been added. Otherwise it is gossip's total, if that includes all gateways. An amount that the counter lacks
//! is added by the next call, unless it may have been added already: no amount is added twice.
//!
//! Callers call `add` before each call to the counter and `call_completed` after it. Both take gossip's total of the key, which
//! includes this gateway's amount. The decision module chooses the weight of amounts and the lifetime of keys.

mod reply_statistics;
mod tracked_counter;

use std::collections::VecDeque;
use std::sync::Arc;

use self::reply_statistics::ReplyStatistics;
use self::tracked_counter::{Call, Comparison, TrackedCounter, RELATIVE_TOLERANCE};
use crate::expiring_map::{Expiring, ExpiringMap};
use crate::{Micros, MILLISECOND, SECOND};

/// Interval between calls to a lost counter, which detect its return.
const LOST_QUERY_INTERVAL: Micros = 200 * MILLISECOND;
/// A suspected reset must be confirmed by another total within this time, since a single total may be stale.
const CONFIRMATION_TIME: Micros = 2 * SECOND;
/// If a counter's total stays below this fraction of gossip's total for this time, the other gateways use another counter.
const PARTITION_FRACTION: f64 = 0.7;
const PARTITION_TIME: Micros = 2 * SECOND;
/// Maximum number of tracked keys. At the limit, calls for a new key are forwarded unchanged.
const MAX_COUNTERS: usize = 65_536;

/// The outcome of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The counter's total after the addition.
    Total(f64),
    /// The amount was certainly not added.
    NotApplied,
    /// The amount may have been added, or may still be.
    Unknown,
}

/// The next step for an amount to be added.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddStep {
    /// Call the counter to add this sum of the amount and of earlier amounts that the counter lacks.
    Forward(f64),
    /// Use this total without a call, since the counter is lost.
    Reply(f64),
}

/// The result for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// The total.
    Total(f64),
    /// The amount was not added, and the monitor does not retry it. The caller must subtract this amount wherever it was counted.
    NotApplied(f64),
    /// The amount may have been added.
    Unknown,
}

/// Gossip's total for a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipTotal {
    /// The sum of all known contributions.
    pub total: f64,
    /// Whether all configured gateways are live members. If only the gateways seen so far had to be members, a partition would
    /// double a quota.
    pub is_complete: bool,
}

/// The health of the counter according to its replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterHealth {
    /// The counter works normally.
    Healthy,
    /// The mean latency of replies is several times the lowest latency.
    Slow,
    /// The counter does not reply.
    Lost,
    /// The counter has lost its content, or was replaced by an empty one.
    Reset,
    /// The counter's totals are outdated: they lack even the amount that the same call added.
    Stale,
    /// The counter's totals are far below gossip's: other gateways use another counter.
    Partitioned,
}

impl CounterHealth {
    /// The name in logs and operators' views. These are recorded names, so they differ from the variants' names.
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

/// Monitors the shared counter for one gateway.
pub struct CounterMonitor {
    counters: ExpiringMap<TrackedCounter>,
    health: CounterHealth,
    statistics: ReplyStatistics,
    /// When a lost counter was last called.
    last_query: Micros,
    /// When the counter's totals began to be far below gossip's.
    behind_since: Option<Micros>,
    /// Times and keys of recent totals that suggest a reset.
    recent_suspicions: VecDeque<(Micros, Arc<str>)>,
}

impl CounterMonitor {
    /// Creates a monitor that initially considers the counter healthy.
    pub fn new(now: Micros) -> Self {
        CounterMonitor {
            counters: ExpiringMap::new(),
            health: CounterHealth::Healthy,
            statistics: ReplyStatistics::new(now),
            last_query: 0,
            behind_since: None,
            recent_suspicions: VecDeque::new(),
        }
    }

    /// The health of the counter.
    pub fn health(&self) -> CounterHealth {
        self.health
    }

    /// Number of tracked keys.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an amount of the decision module to a key. A new key expires after `lifetime`.
    pub fn add(
        &mut self,
        now: Micros,
        key: &str,
        amount: f64,
        lifetime: Micros,
        gossip: Option<GossipTotal>,
    ) -> AddStep {
        self.counters.remove_expired(now);
        let is_lost = self.health == CounterHealth::Lost;
        let next_query = self.last_query + LOST_QUERY_INTERVAL;
        let Some(counter) = self.track(now, key, lifetime) else { return AddStep::Forward(amount) };
        let substitute = gossip.filter(|gossip| gossip.is_complete && is_lost);
        if let Some(gossip) = substitute.filter(|_| now < next_query) {
            // Other gateways receive the amount by gossip, and the next call adds it to the counter.
            counter.add_locally(amount);
            return AddStep::Reply(gossip.total);
        }
        let forwarded = counter.begin_call(amount);
        if substitute.is_some() {
            self.last_query = now;
        }
        AddStep::Forward(forwarded)
    }

    /// The tracked counter of a key, or `None` if too many are tracked or the lifetime is zero.
    fn track(&mut self, now: Micros, key: &str, lifetime: Micros) -> Option<&mut TrackedCounter> {
        if !self.counters.contains_key(key) {
            if self.counters.len() >= MAX_COUNTERS {
                return None;
            }
            self.counters.insert(now, key, lifetime, TrackedCounter::default());
        }
        let counter = self.counters.get_mut(key).filter(|counter| counter.expires_at > now)?;
        Some(&mut counter.value)
    }

    fn tracked(&mut self, key: &str) -> Option<&mut TrackedCounter> {
        self.counters.get_mut(key).map(|counter| &mut counter.value)
    }

    /// Records the outcome and the latency of a call. Calls for the same key must complete in the order in which they began.
    pub fn call_completed(
        &mut self,
        now: Micros,
        key: &str,
        outcome: CallOutcome,
        latency: Micros,
        gossip: Option<GossipTotal>,
    ) -> CounterReply {
        let call = self.tracked(key).and_then(TrackedCounter::end_call);
        let amount = call.map_or(0.0, |call| call.amount);
        match outcome {
            CallOutcome::Total(total) => self.record_reply(now, total, latency, amount, gossip),
            CallOutcome::NotApplied | CallOutcome::Unknown => self.record_failure(now),
        }
        let total = match outcome {
            CallOutcome::Total(total) => call.map_or(total, |call| self.settle(now, key, call, total)),
            CallOutcome::NotApplied | CallOutcome::Unknown => {
                return self.settle_failure(key, outcome, call, gossip);
            }
        };
        CounterReply::Total(gossip.map_or(total, |gossip| total.max(gossip.total)))
    }

    /// Settles a call that returned no total. The reply is gossip's total if that is complete.
    fn settle_failure(
        &mut self,
        key: &str,
        outcome: CallOutcome,
        call: Option<Call>,
        gossip: Option<GossipTotal>,
    ) -> CounterReply {
        let substitute = gossip.filter(|gossip| gossip.is_complete);
        let is_unknown = outcome == CallOutcome::Unknown;
        if let Some((counter, call)) = self.tracked(key).zip(call) {
            if is_unknown {
                counter.outcome_unknown(call);
            } else if substitute.is_none() {
                counter.revert_addition(call);
            }
        }
        match substitute {
            Some(gossip) => CounterReply::Total(gossip.total),
            None if is_unknown => CounterReply::Unknown,
            None => CounterReply::NotApplied(call.map_or(0.0, |call| call.requested)),
        }
    }

    fn record_failure(&mut self, now: Micros) {
        self.statistics.record_failure();
        if self.statistics.is_lost(now) && self.health != CounterHealth::Lost {
            self.health = CounterHealth::Lost;
            self.last_query = now;
        }
    }

    /// Updates the health from a reply with a total.
    fn record_reply(
        &mut self,
        now: Micros,
        total: f64,
        latency: Micros,
        amount: f64,
        gossip: Option<GossipTotal>,
    ) {
        if self.health == CounterHealth::Lost {
            self.health = CounterHealth::Healthy;
        }
        let is_stale = total + RELATIVE_TOLERANCE * amount.abs() < amount;
        self.statistics.record_reply(now, latency, is_stale);
        self.health = self.health_by_statistics();
        self.compare_with_gossip(now, total, gossip);
    }

    fn health_by_statistics(&self) -> CounterHealth {
        let is_slow = self.statistics.is_slow();
        match self.health {
            CounterHealth::Healthy | CounterHealth::Slow if self.statistics.is_stale() => {
                CounterHealth::Stale
            }
            CounterHealth::Stale if self.statistics.last_was_current() => CounterHealth::Healthy,
            CounterHealth::Healthy if is_slow => CounterHealth::Slow,
            CounterHealth::Slow if !is_slow => CounterHealth::Healthy,
            // No key is suspicious any more, so the counter is usable again.
            CounterHealth::Reset if !self.has_suspicion() => CounterHealth::Healthy,
            health => health,
        }
    }

    fn has_suspicion(&self) -> bool {
        self.counters.iter().any(|(_, Expiring { value, .. })| value.is_suspicious())
    }

    fn compare_with_gossip(&mut self, now: Micros, total: f64, gossip: Option<GossipTotal>) {
        let is_behind = gossip.is_some_and(|gossip| {
            gossip.is_complete && gossip.total > 0.0 && total < PARTITION_FRACTION * gossip.total
        });
        if is_behind {
            if now >= *self.behind_since.get_or_insert(now) + PARTITION_TIME {
                self.health = CounterHealth::Partitioned;
            }
            return;
        }
        self.behind_since = None;
        if self.health == CounterHealth::Partitioned {
            self.health = CounterHealth::Healthy;
        }
    }

    /// Settles a call that returned a total. Returns the total plus the amounts that are known to be missing from it.
    fn settle(&mut self, now: Micros, key: &str, call: Call, total: f64) -> f64 {
        let Some(shared_key) = self.counters.shared_key(key) else { return total };
        let Some(counter) = self.counters.get_mut(key).map(|counter| &mut counter.value) else {
            return total;
        };
        counter.confirm(call);
        match counter.compare(now, total, call.amount) {
            Comparison::Complete => counter.total_with_missing(total),
            Comparison::Explained => counter.at_least_confirmed(total),
            Comparison::Suspicious { is_large, persists, is_repeated } => {
                let suspicions = &mut self.recent_suspicions;
                while suspicions.front().is_some_and(|(at, _)| at + CONFIRMATION_TIME < now) {
                    suspicions.pop_front();
                }
                let is_confirmed = is_repeated || suspicions.iter().any(|(_, other)| *other != shared_key);
                if is_large {
                    suspicions.push_back((now, shared_key));
                }
                if !(is_large && persists && is_confirmed) {
                    return counter.at_least_confirmed(total);
                }
                counter.reset(total);
                self.health = CounterHealth::Reset;
                counter.total_with_missing(total)
            }
        }
    }
}
