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

impl RequestLedger {
    pub(super) fn sent_again(&mut self, arrival: &Arrival, earlier: &[usize]) {
        let Some(transaction) = self.transactions.get(&arrival.id) else { return };
        let lane = self.terms.lanes[transaction.ask.class].clone();
        let (id, at) = (arrival.id, arrival.at);
        let apart = self.apart.remove(&(id, arrival.server.clone())).unwrap_or_default();
        // A link that holds bytes back makes two of what were one after the other.
        let delayed = |trip: &Trip| {
            let links = [
                Link::Server(arrival.gateway, trip.box_.clone()),
                Link::Server(arrival.gateway, arrival.server.clone()),
            ];
            links.iter().any(|link| self.faulty(link, trip.arrived, at))
        };
        let in_flight = |trip: &&usize| !self.trips[**trip].over && !delayed(&self.trips[**trip]);
        let (overtaken, out): (Vec<&usize>, Vec<&usize>) =
            earlier.iter().filter(in_flight).partition(|trip| apart.contains(*trip));
        let out = !out.is_empty();
        let overtaken = overtaken.len() as u64;
        let ran: Vec<_> =
            earlier.iter().filter(|trip| self.trips[**trip].ran != Some(AttemptEnd::Rejected)).collect();
        let first = ran.first().map(|trip| (self.trips[**trip].box_.clone(), self.trips[**trip].arrived));
        self.overtaken += overtaken;
        if out {
            self.breaks(
                1,
                at,
                format!("transaction {id:x} has a trip to {} while another is out", arrival.server),
            );
        }
        let Some((first_box, first_at)) = first else { return };
        match lane.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                let what = format!(
                    "transaction {id:x} went to {} after {first_box} may have run it",
                    arrival.server
                );
                self.breaks(1, at, what);
            }
            Idempotency::Keyed => {
                let place = |name: &str| self.boxes.get(name).map(|known| (known.zone.clone(), known.cell));
                let (one, other) = (place(&first_box), place(&arrival.server));
                let same = match lane.scope {
                    KeyScope::All => true,
                    KeyScope::Zone => one.map(|place| place.0) == other.map(|place| place.0),
                    KeyScope::Cell => one == other,
                };
                let late = at > first_at + lane.retention + self.terms.slack;
                if !same || late {
                    let why = if same { "its key is forgotten" } else { "another group" };
                    let what = format!(
                        "labelled transaction {id:x} went from {first_box} to {}: {why}",
                        arrival.server
                    );
                    self.breaks(1, at, what);
                }
            }
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
