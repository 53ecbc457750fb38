//! Updates of the shared counters: to the counter service, and by gossip to the other gateways.
//!
//! Where gateways gossip, a [`CounterMonitor`] compares the service's replies with the gossip totals, and stands in while the
//! service is lost.

use std::rc::Rc;

use async_channel::{Sender, TrySendError};
use fernscale_policy::{Micros, Outcome};
use fernscale_shared_counter::monitor::{
    AddStep, CallOutcome, CounterHealth, CounterMonitor, CounterReply, GossipTotal,
};
use slog::info;

use crate::counter::CounterUpdate;
use crate::outcome::{CounterCallEnd, CounterTotal};
use crate::shared::{Event, Shared};

/// The mailbox of the counter actor, and what is known of its counters besides its replies.
pub(super) struct CounterCalls {
    shared: Rc<Shared>,
    /// None where no counter service is configured.
    calls: Option<Sender<CounterUpdate>>,
    /// Only where gateways gossip; from the first update on.
    monitor: Option<CounterMonitor>,
}

impl CounterCalls {
    pub(super) fn new(shared: Rc<Shared>, calls: Option<Sender<CounterUpdate>>) -> Self {
        CounterCalls { shared, calls, monitor: None }
    }

    /// From now on calls go to another counter actor, or to none.
    pub(super) fn replace(&mut self, calls: Option<Sender<CounterUpdate>>) {
        self.calls = calls;
    }

    /// Gossips an update, and passes it to the counter service unless that is lost. Gives the event that follows at once,
    /// if there is one.
    pub(super) fn update(&mut self, now: Micros, mut update: CounterUpdate) -> Option<Event> {
        if self.shared.joins_membership {
            let known = self.gossip(now, &update.key, update.amount, update.lifetime);
            let monitor = self.monitor.get_or_insert_with(|| CounterMonitor::new(now));
            match monitor.add(now, &update.key, update.amount, update.lifetime, known) {
                AddStep::Forward(amount) => update.amount = amount,
                AddStep::Reply(total) => {
                    let end = Ok(CounterTotal::Total(total));
                    return Some(Event::GossipTotalKnown { key: update.key, end });
                }
            }
        }
        self.call(update)
    }

    /// Passes an update to the counter actor. That one waits for the dispatcher at times, so the dispatcher must not wait for it:
    /// where its mailbox is full, the call has ended without being made.
    fn call(&self, update: CounterUpdate) -> Option<Event> {
        match self.calls.as_ref()?.try_send(update) {
            Ok(()) => None,
            Err(TrySendError::Full(update) | TrySendError::Closed(update)) => {
                let end = Ok(CounterTotal::Full);
                Some(Event::CounterReplied { key: update.key, end, elapsed: 0 })
            }
        }
    }

    /// Gossips an amount, and gives the total that the gateways know together. While another process of this gateway is the
    /// member of the fleet, the amount is retained until this process is.
    fn gossip(&self, now: Micros, key: &str, amount: f64, lifetime: Micros) -> Option<GossipTotal> {
        match self.shared.membership.get() {
            Some(membership) => membership.add_to_counter(key, amount, lifetime),
            None => {
                self.shared.undelivered_updates.borrow_mut().add(key, amount, now + lifetime);
                None
            }
        }
    }

    /// Takes the end of a call, and gives the end that the engine is to get.
    pub(super) fn completed(
        &mut self,
        now: Micros,
        key: &str,
        end: CounterCallEnd,
        elapsed: Micros,
    ) -> CounterCallEnd {
        let Some(monitor) = &mut self.monitor else { return end };
        let call_outcome = match end.outcome {
            Outcome::Ok => CallOutcome::Total(end.total),
            outcome if outcome.never_ran() => CallOutcome::NotApplied,
            _ => CallOutcome::Unknown,
        };
        let health_before = monitor.health();
        let gossip_total = self.shared.membership.get().and_then(|membership| membership.gossip_total(key));
        let reply = monitor.call_completed(now, key, call_outcome, elapsed, gossip_total);
        let health = monitor.health();
        self.publish_health(health_before, health);
        match reply {
            CounterReply::Total(total) => CounterCallEnd { outcome: Outcome::Ok, total },
            CounterReply::NotApplied(amount) => {
                // The engine takes the amount as not added and adds it again: it must not be gossiped twice.
                self.gossip(now, key, -amount, 0);
                CounterCallEnd { outcome: end.outcome, total: 0.0 }
            }
            CounterReply::Unknown => CounterCallEnd { outcome: end.outcome, total: 0.0 },
        }
    }

    fn publish_health(&self, before: CounterHealth, now: CounterHealth) {
        if let Some(membership) = self.shared.membership.get() {
            membership.counter_health.set(now);
        }
        if now != before {
            info!(self.shared.log, #"counter.stands", "the counter stands otherwise";
                "from" => before.name(), "to" => now.name());
        }
    }
}
