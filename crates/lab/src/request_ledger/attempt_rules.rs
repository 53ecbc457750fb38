//! What the ledger judges when an attempt comes to a server: effects, drains, clients that have left, slow start, ceilings.

use super::{Arrival, Link, RequestLedger, Trip, SOCKETS};
use crate::model::clients::{Idempotency, KeyScope};
use crate::model::discovery::Status;
use crate::model::server::AttemptEnd;
use crate::{Micros, MILLISECOND, SECOND};

/// Nothing is sent on for a transaction so long after its client has left.
const LEFT: Micros = 300 * MILLISECOND;
/// What a ceiling's store may miss, as part of its burst; or one of the largest transactions, if that is more.
const CEILING_SLACK: f64 = 0.1;
/// For how long sockets let the ceiling's rate run on.
const CEILING_SOCKETS: Micros = 150 * MILLISECOND;
/// A cold box is pushed over by those who knew, if so large a part of the push was theirs.
const KNOWING: f64 = 2.0 / 3.0;

/// The number of the rule on effects.
const EFFECTS: usize = 1;

impl RequestLedger {
    /// Judges an attempt of a request that has had others before.
    pub(super) fn sent_again(&mut self, arrival: &Arrival, earlier: &[usize]) {
        self.judge_in_flight_together(arrival, earlier);
        self.judge_repetition(arrival, earlier);
    }

    /// No two attempts of a request are in flight together.
    fn judge_in_flight_together(&mut self, arrival: &Arrival, earlier: &[usize]) {
        let apart = self.apart.remove(&(arrival.id, arrival.server.clone())).unwrap_or_default();
        let in_flight = |number: &&usize| {
            let attempt = &self.trips[**number];
            !attempt.over && !self.is_link_faulty(arrival, attempt)
        };
        let (overtaken, together): (Vec<&usize>, Vec<&usize>) =
            earlier.iter().filter(in_flight).partition(|number| apart.contains(*number));
        let is_broken = !together.is_empty();
        self.overtaken += overtaken.len() as u64;
        if is_broken {
            let what =
                format!("transaction {:x} has a trip to {} while another is out", arrival.id, arrival.server);
            self.breaks(EFFECTS, arrival.at, what);
        }
    }

    /// Whether a link of either attempt was faulty since the earlier one came: one that holds bytes back makes two at once of what
    /// were one after the other.
    fn is_link_faulty(&self, arrival: &Arrival, earlier: &Trip) -> bool {
        let link = |server: &str| Link::Server(arrival.gateway, server.into());
        let links = [link(&earlier.box_), link(&arrival.server)];
        links.iter().any(|link| self.faulty(link, earlier.arrived, arrival.at))
    }

    /// A request is sent again after an attempt that may have run only as its class allows.
    fn judge_repetition(&mut self, arrival: &Arrival, earlier: &[usize]) {
        let Some(transaction) = self.transactions.get(&arrival.id) else { return };
        let class = self.terms.lanes[transaction.ask.class].clone();
        let may_have_run = |number: &&usize| self.trips[**number].ran != Some(AttemptEnd::Rejected);
        let Some(first) = earlier.iter().find(may_have_run).map(|number| &self.trips[*number]) else {
            return;
        };
        let (first_server, first_at) = (first.box_.clone(), first.arrived);
        let (id, at, server) = (arrival.id, arrival.at, &arrival.server);
        let why = match class.idempotency {
            Idempotency::Idempotent => return,
            Idempotency::NonIdempotent => {
                let what =
                    format!("transaction {id:x} went to {server} after {first_server} may have run it");
                return self.breaks(EFFECTS, at, what);
            }
            Idempotency::Keyed if !self.share_keys(class.scope, &first_server, server) => "another group",
            Idempotency::Keyed if at > first_at + class.retention + self.terms.slack => {
                "its key is forgotten"
            }
            Idempotency::Keyed => return,
        };
        let what = format!("labelled transaction {id:x} went from {first_server} to {server}: {why}");
        self.breaks(EFFECTS, at, what);
    }

    /// Whether two servers remember keys together.
    fn share_keys(&self, scope: KeyScope, one: &str, other: &str) -> bool {
        let zone = |name: &str| self.boxes.get(name).map(|known| &known.zone);
        let cell = |name: &str| self.boxes.get(name).map(|known| (&known.zone, known.cell));
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => zone(one) == zone(other),
            KeyScope::Cell => cell(one) == cell(other),
        }
    }

    pub(super) fn drain_kept(&mut self, arrival: &Arrival) {
        let key = (arrival.gateway, arrival.server.clone());
        let told = match self.endpoint_notified.get(&key) {
            Some((Status::Terminating | Status::Terminated, told)) => Some(told),
            _ => None,
        };
        let Some(told) = told.into_iter().chain(self.cordons.get(&key)).min() else { return };
        let until = told + self.terms.grace + self.terms.slack;
        let held = self.faulty(&Link::Server(arrival.gateway, arrival.server.clone()), *told, arrival.at);
        if arrival.began > until && !held {
            let late = (arrival.began - told) / MILLISECOND;
            let what = format!(
                "gateway {} sent to {} {late} ms after it heard of its end",
                arrival.gateway, arrival.server
            );
            self.breaks(2, arrival.at, what);
        }
    }

    pub(super) fn left_kept(&mut self, arrival: &Arrival) {
        let left = self.transactions.get(&arrival.id).and_then(|transaction| transaction.left);
        let Some(left) = left.filter(|left| arrival.began > left + LEFT + SOCKETS + self.terms.slack) else {
            return;
        };
        let gateway = arrival.gateway;
        let links = [Link::Server(gateway, arrival.server.clone()), Link::Clients(gateway)];
        let held = links.iter().any(|link| self.faulty(link, left, arrival.at));
        if !held && !self.stood(gateway, left, arrival.at) {
            let late = (arrival.began - left) / MILLISECOND;
            let what = format!(
                "gateway {gateway} sent transaction {:x} to {} {late} ms after its client had left",
                arrival.id, arrival.server
            );
            self.breaks(5, arrival.at, what);
        }
    }

    pub(super) fn cold_kept(&mut self, arrival: &Arrival) {
        let Some(known) = self.boxes.get_mut(&arrival.server) else { return };
        let Some(started) = known.started else { return };
        let age = arrival.at.saturating_sub(started);
        if age >= known.cold.warm_up || known.pushed_over {
            return;
        }
        let knew = self.told_start.contains(&(arrival.gateway, arrival.server.clone(), started));
        known.pushes.push_back((arrival.at, arrival.work, knew));
        while known.pushes.front().is_some_and(|(at, ..)| at + known.cold.window <= arrival.at) {
            known.pushes.pop_front();
        }
        let push: Micros = known.pushes.iter().map(|(_, work, _)| work).sum();
        let largest = known.pushes.iter().map(|(_, work, _)| *work).max().unwrap_or(0);
        let knowing: Micros = known.pushes.iter().filter(|(.., knew)| *knew).map(|(_, work, _)| work).sum();
        let can = known.cold.capacity(age) * known.power * known.cold.window as f64;
        known.knew = knowing as f64 >= KNOWING * push as f64;
        let over = push as f64 > known.cold.multiple * can + largest as f64;
        if over && known.knew {
            known.pushed_over = true;
            let (times, old) = (push as f64 / can, age / MILLISECOND);
            let what = format!("{} was sent {times:.1} times what it can do, {old} ms old", arrival.server);
            self.breaks(3, arrival.at, what);
        }
    }

    /// A box has fallen under the trip that came last: those who sent the last window's have pushed it over, if they
    /// knew.
    pub fn server_collapsed(&mut self, box_: &str, at: Micros) {
        let fallen = self.boxes.get_mut(box_).filter(|known| known.knew && !known.pushed_over);
        let Some(known) = fallen else { return };
        known.pushed_over = true;
        let age = at.saturating_sub(known.started.unwrap_or(at)) / MILLISECOND;
        self.breaks(3, at, format!("{box_} fell, {age} ms old, under what it was sent"));
    }

    pub(super) fn ceiling_kept(&mut self, arrival: &Arrival) {
        let Some(transaction) = self.transactions.get(&arrival.id) else { return };
        let (customer, units, plan) = (
            transaction.ask.tenant,
            f64::from(transaction.ask.units),
            &self.terms.plans[transaction.ask.plan],
        );
        let Some((rate, burst)) = plan.ceiling else { return };
        let at = arrival.at;
        let (level, since) = self.ceilings.entry(customer).or_insert((burst, at));
        let gone = at.saturating_sub(*since) as f64 / SECOND as f64;
        (*level, *since) = ((*level + gone * rate).min(burst) - units, at);
        let sockets = (CEILING_SOCKETS + self.terms.slack) as f64 / SECOND as f64 * rate;
        let slack = (CEILING_SLACK * burst).max(self.terms.largest) + sockets;
        if *level < -slack {
            let over = -*level;
            self.breaks(
                4,
                at,
                format!("customer {customer:x} is {over:.1} units over its ceiling, {slack:.1} allowed"),
            );
        }
    }
}
