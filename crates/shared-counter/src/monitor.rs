//! The monitor between the decision module and the shared counter. It sees every call and every outcome, knows for each key
//! what of this gateway's own the counter must hold, and so tells a healthy counter from one that is lost, reset, stale or
//! partitioned. It makes no calls itself.
//!
//! It gives the decision module one total. If the counter replies, that is its total, or more if more is known to have been
//! added; otherwise it is the total of gossip, if all gateways are in it. What the counter lacks goes with the next call,
//! unless it may have been added: nothing is added twice.
//!
//! Callers: `add` before each call and `call_completed` after it, each with what gossip knows of that key, this gateway's
//! amount included. Amounts are weighted, and a key lives as long, as the decision module says.

mod reply_statistics;
mod tracked_counter;

use std::collections::VecDeque;
use std::sync::Arc;

use self::reply_statistics::ReplyStatistics;
use self::tracked_counter::{Call, Comparison, TrackedCounter, RELATIVE_TOLERANCE};
use crate::expiring_map::{Expiring, ExpiringMap};
use crate::{Micros, MILLISECOND, SECOND};

/// How often a lost counter is called all the same, to notice its return.
const LOST_QUERY_INTERVAL: Micros = 200 * MILLISECOND;
/// A suspicion of a reset counts only if another total confirms it within this time: a single one may be stale.
const CONFIRMATION_TIME: Micros = 2 * SECOND;
/// A counter whose total is below this part of gossip's for so long is not the one that the other gateways use.
const PARTITION_FRACTION: f64 = 0.7;
const PARTITION_TIME: Micros = 2 * SECOND;
/// Keys that are tracked. Beyond it, calls for a new key pass unchanged.
const MAX_COUNTERS: usize = 65_536;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The counter's total after the addition.
    Total(f64),
    /// Certainly not added.
    NotApplied,
    /// Perhaps added, or perhaps yet to be.
    Unknown,
}

/// What to do with an amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddStep {
    /// Call the counter to add this much: the amount, and what it lacks of earlier ones.
    Forward(f64),
    /// The counter is lost, and this is the total. There is no call.
    Reply(f64),
}

/// The result for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// The total.
    Total(f64),
    /// Not added, and not retained: this much is to be taken back wherever else it was counted.
    NotApplied(f64),
    /// Perhaps added.
    Unknown,
}

/// What gossip knows of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipTotal {
    /// The sum of all contributions that are known.
    pub total: f64,
    /// Whether all configured gateways are members. Those that were seen once are not enough: a partition would double a
    /// quota.
    pub is_complete: bool,
}

/// The state of the counter, as far as its replies tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterHealth {
    /// Nothing is wrong with it.
    Healthy,
    /// Replies take several times as long as the quickest.
    Slow,
    /// There are no replies.
    Lost,
    /// It has lost what was added, or is another one that began empty.
    Reset,
    /// Its totals lack even what the same call has added: they are from some time ago.
    Stale,
    /// It knows far less than all gateways together have added: others use another one.
    Partitioned,
}

impl CounterHealth {
    /// The word in logs and operators' views; an encoding, so older than the variants' names.
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

/// Watches one shared counter for one gateway.
pub struct CounterMonitor {
    counters: ExpiringMap<TrackedCounter>,
    health: CounterHealth,
    statistics: ReplyStatistics,
    /// When a call was last made although the counter is lost.
    last_query: Micros,
    /// Since when the counter's totals are far below gossip's.
    behind_since: Option<Micros>,
    /// Recent totals that suggest a reset, by time and key.
    recent_suspicions: VecDeque<(Micros, Arc<str>)>,
}

impl CounterMonitor {
    /// A monitor that takes the counter for healthy.
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

    /// The state of the counter.
    pub fn health(&self) -> CounterHealth {
        self.health
    }

    /// Number of keys that are tracked.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The decision module adds an amount to a key, which lives so long if it is new.
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
            // Other gateways learn of it by gossip; the counter gets it with the next call.
            counter.add_locally(amount);
            return AddStep::Reply(gossip.total);
        }
        let forwarded = counter.begin_call(amount);
        if substitute.is_some() {
            self.last_query = now;
        }
        AddStep::Forward(forwarded)
    }

    /// The counter of a key, unless there are too many or it expires at once.
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

    /// A call has ended, with the time that it took. Calls for one key end in the order in which they were made.
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

    /// The reply to a call that brought no total: that of gossip, if it is complete.
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
                counter.take_back(call);
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

    /// What a total says of the counter's health.
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
            // All that was suspicious has been settled, so it is as good as any.
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

    /// Settles a call that brought a total, and returns the total with what is known to be missing in it.
    fn settle(&mut self, now: Micros, key: &str, call: Call, total: f64) -> f64 {
        let Some(shared_key) = self.counters.shared_key(key) else { return total };
        let Some(counter) = self.counters.get_mut(key).map(|counter| &mut counter.value) else {
            return total;
        };
        counter.confirm(call);
        match counter.compare(now, total, call.amount) {
            Comparison::Complete => counter.completed(total),
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
                counter.completed(total)
            }
        }
    }
}
