//! Sends updates of the shared counters to the counter service and, by gossip, to the other gateways.
//!
//! If gateways gossip, a [`CounterMonitor`] compares the replies of the counter service with the gossip totals, and replies in
//! place of the service while the service is lost.

use std::rc::Rc;

use async_channel::{Sender, TrySendError};
use fernscale_policy::{Micros, Outcome};
use fernscale_shared_counter::monitor::{
    AddStep, CallOutcome, CounterHealth, CounterMonitor, CounterReply, GossipTotal,
};
use slog::info;

use crate::counter::CounterUpdate;
use crate::outcome::{CounterAnswer, CounterCallEnd};
use crate::shared::{Event, Shared};

/// Sends updates to the counter actor, and replaces its replies by gossip totals while the counter service is lost.
pub(super) struct CounterCalls {
    shared: Rc<Shared>,
    /// The mailbox of the counter actor; none if no counter service is configured.
    mailbox: Option<Sender<CounterUpdate>>,
    /// Present from the first update on, if gateways gossip.
    monitor: Option<CounterMonitor>,
}

impl CounterCalls {
    pub(super) fn new(shared: Rc<Shared>, mailbox: Option<Sender<CounterUpdate>>) -> Self {
        CounterCalls { shared, mailbox, monitor: None }
    }

    /// From now on sends updates to another counter actor, or to none.
    pub(super) fn replace(&mut self, mailbox: Option<Sender<CounterUpdate>>) {
        self.mailbox = mailbox;
    }

    /// Gossips an update, and sends it to the counter service unless the service is lost. Returns an event if the result is
    /// known at once.
    pub(super) fn update(&mut self, now: Micros, mut update: CounterUpdate) -> Option<Event> {
        if self.shared.joins_membership {
            let known_total = self.gossip(now, &update.key, update.amount, update.lifetime);
            let monitor = self.monitor.get_or_insert_with(|| CounterMonitor::new(now));
            match monitor.add(now, &update.key, update.amount, update.lifetime, known_total) {
                AddStep::Forward(amount) => update.amount = amount,
                AddStep::Reply(total) => {
                    let end = Ok(CounterAnswer::Total(total));
                    return Some(Event::GossipTotalKnown { key: update.key, end });
                }
            }
        }
        self.call(update)
    }

    /// Sends an update to the counter actor without waiting. The counter actor sometimes waits for the dispatcher, so waiting
    /// for it here could deadlock. If its mailbox is full, the call ends as overloaded without being made.
    fn call(&self, update: CounterUpdate) -> Option<Event> {
        match self.mailbox.as_ref()?.try_send(update) {
            Ok(()) => None,
            Err(TrySendError::Full(update) | TrySendError::Closed(update)) => {
                let end = Ok(CounterAnswer::Overloaded);
                Some(Event::CounterReplied { key: update.key, end, elapsed: 0 })
            }
        }
    }

    /// Gossips an amount, and returns the gossip total of all gateways. While another process of this gateway is the member of
    /// the fleet, keeps the amount until this process is the member, and returns none.
    fn gossip(&self, now: Micros, key: &str, amount: f64, lifetime: Micros) -> Option<GossipTotal> {
        match self.shared.membership.get() {
            Some(membership) => membership.add_to_counter(key, amount, lifetime),
            None => {
                self.shared.undelivered_updates.borrow_mut().add(key, amount, now + lifetime);
                None
            }
        }
    }

    /// Passes the result of a call to the monitor, and returns the result for the engine.
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
                // The engine treats the amount as not added and adds it again, so the first gossip is taken back.
                self.gossip(now, key, -amount, 0);
                CounterCallEnd { outcome: end.outcome, total: 0.0 }
            }
            CounterReply::Unknown => CounterCallEnd { outcome: end.outcome, total: 0.0 },
        }
    }

    /// Publishes the counter's health to operators' queries, and logs a change.
    fn publish_health(&self, before: CounterHealth, after: CounterHealth) {
        if let Some(membership) = self.shared.membership.get() {
            membership.counter_health.set(after);
        }
        if after != before {
            info!(self.shared.log, #"counter.stands", "health of the shared counter changed";
                "from" => before.name(), "to" => after.name());
        }
    }
}
