//! The rules that the ledger checks when a server receives an attempt: effects, drains, disconnected clients, slow start and
//! hard ceilings.

use super::{Arrival, ForwardedAttempt, Link, RequestLedger, SOCKET_ALLOWANCE};
use crate::model::clients::{Idempotency, KeyScope};
use crate::model::discovery::Status;
use crate::model::server::AttemptEnd;
use crate::{Micros, MILLISECOND, SECOND};

/// How long after a client disconnects its gateway may still forward the request.
const MAX_FORWARD_AFTER_DISCONNECT: Micros = 300 * MILLISECOND;
/// Allowed excess over a hard ceiling, as a share of its burst; one request of the largest size if that is more.
const CEILING_SLACK_SHARE: f64 = 0.1;
/// Time for which sockets may delay attempts, so that the ceiling's rate counts for longer.
const CEILING_SOCKET_ALLOWANCE: Micros = 150 * MILLISECOND;
/// Share of the work sent to a server in slow start above which gateways that knew of its start are responsible.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// Index of the rule on effects.
const EFFECTS: usize = 1;

impl RequestLedger {
    /// Checks an attempt of a request that has earlier attempts.
    pub(super) fn check_further_attempt(&mut self, arrival: &Arrival, earlier: &[usize]) {
        self.check_in_flight_together(arrival, earlier);
        self.check_repetition(arrival, earlier);
    }

    /// Checks that no two attempts of a request are in flight together.
    fn check_in_flight_together(&mut self, arrival: &Arrival, earlier: &[usize]) {
        let apart = self.apart.remove(&(arrival.id, arrival.server.clone())).unwrap_or_default();
        let in_flight = |number: &&usize| {
            let attempt = &self.attempts[**number];
            !attempt.closed && !self.is_link_faulty(arrival, attempt)
        };
        let (overtaken, together): (Vec<&usize>, Vec<&usize>) =
            earlier.iter().filter(in_flight).partition(|number| apart.contains(*number));
        let is_violation = !together.is_empty();
        self.overtaken += overtaken.len() as u64;
        if is_violation {
            let what = format!(
                "request {:x} has an attempt to {} while another is in flight",
                arrival.id, arrival.server
            );
            self.add_violation(EFFECTS, arrival.at, what);
        }
    }

    /// Whether a link of either attempt was faulty since the earlier attempt arrived. A link that delays bytes can make attempts
    /// overlap that the gateway sent one after the other.
    fn is_link_faulty(&self, arrival: &Arrival, earlier: &ForwardedAttempt) -> bool {
        let link = |server: &str| Link::Server(arrival.gateway, server.into());
        let links = [link(&earlier.server), link(&arrival.server)];
        links.iter().any(|link| self.was_link_faulty(link, earlier.arrived, arrival.at))
    }

    /// Checks that a request is retried after an attempt that may have run only if its class allows that.
    fn check_repetition(&mut self, arrival: &Arrival, earlier: &[usize]) {
        let Some(request) = self.requests.get(&arrival.id) else { return };
        let class = self.bounds.classes[request.client_request.class].clone();
        let may_have_run = |number: &&usize| self.attempts[**number].end != Some(AttemptEnd::Rejected);
        let Some(first) = earlier.iter().find(may_have_run).map(|number| &self.attempts[*number]) else {
            return;
        };
        let (first_server, first_at) = (first.server.clone(), first.arrived);
        let (id, at, server) = (arrival.id, arrival.at, &arrival.server);
        let why = match class.idempotency {
            Idempotency::Idempotent => return,
            Idempotency::NonIdempotent => {
                let what = format!("request {id:x} went to {server} after {first_server} may have run it");
                return self.add_violation(EFFECTS, at, what);
            }
            Idempotency::Keyed if !self.share_keys(class.scope, &first_server, server) => "another key scope",
            Idempotency::Keyed if at > first_at + class.retention + self.bounds.slack => {
                "the retention of its key is over"
            }
            Idempotency::Keyed => return,
        };
        let what = format!("keyed request {id:x} went from {first_server} to {server}: {why}");
        self.add_violation(EFFECTS, at, what);
    }

    /// Whether two servers share their memory of keys.
    fn share_keys(&self, scope: KeyScope, one: &str, other: &str) -> bool {
        let zone = |name: &str| self.servers.get(name).map(|server| &server.zone);
        let cell = |name: &str| self.servers.get(name).map(|server| (&server.zone, server.cell));
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => zone(one) == zone(other),
            KeyScope::Cell => cell(one) == cell(other),
        }
    }

    pub(super) fn check_drain(&mut self, arrival: &Arrival) {
        let key = (arrival.gateway, arrival.server.clone());
        let notified_at = match self.endpoint_notified.get(&key) {
            Some((Status::Terminating | Status::Terminated, notified_at)) => Some(notified_at),
            _ => None,
        };
        let Some(notified_at) = notified_at.into_iter().chain(self.cordons.get(&key)).min() else { return };
        let deadline = notified_at + self.bounds.grace + self.bounds.slack;
        let link_was_faulty = self.was_link_faulty(
            &Link::Server(arrival.gateway, arrival.server.clone()),
            *notified_at,
            arrival.at,
        );
        if arrival.began > deadline && !link_was_faulty {
            let late = (arrival.began - notified_at) / MILLISECOND;
            let what = format!(
                "gateway {} sent to {} {late} ms after it was notified of the drain or cordon",
                arrival.gateway, arrival.server
            );
            self.add_violation(2, arrival.at, what);
        }
    }

    pub(super) fn check_client_disconnected(&mut self, arrival: &Arrival) {
        let disconnected_at = self.requests.get(&arrival.id).and_then(|request| request.disconnected_at);
        let Some(disconnected_at) = disconnected_at.filter(|disconnected_at| {
            arrival.began
                > disconnected_at + MAX_FORWARD_AFTER_DISCONNECT + SOCKET_ALLOWANCE + self.bounds.slack
        }) else {
            return;
        };
        let gateway = arrival.gateway;
        let links = [Link::Server(gateway, arrival.server.clone()), Link::Clients(gateway)];
        let link_was_faulty =
            links.iter().any(|link| self.was_link_faulty(link, disconnected_at, arrival.at));
        if !link_was_faulty && !self.was_paused(gateway, disconnected_at, arrival.at) {
            let late = (arrival.began - disconnected_at) / MILLISECOND;
            let what = format!(
                "gateway {gateway} sent request {:x} to {} {late} ms after its client disconnected",
                arrival.id, arrival.server
            );
            self.add_violation(5, arrival.at, what);
        }
    }

    pub(super) fn check_slow_start(&mut self, arrival: &Arrival) {
        let Some(server) = self.servers.get_mut(&arrival.server) else { return };
        let Some(started) = server.started else { return };
        let age = arrival.at.saturating_sub(started);
        if age >= server.cold.warm_up || server.overloaded {
            return;
        }
        let informed = self.start_notified.contains(&(arrival.gateway, arrival.server.clone(), started));
        server.window_arrivals.push_back((arrival.at, arrival.work, informed));
        while server.window_arrivals.front().is_some_and(|(at, ..)| at + server.cold.window <= arrival.at) {
            server.window_arrivals.pop_front();
        }
        let window_work: Micros = server.window_arrivals.iter().map(|(_, work, _)| work).sum();
        let largest = server.window_arrivals.iter().map(|(_, work, _)| *work).max().unwrap_or(0);
        let informed_work: Micros =
            server.window_arrivals.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        let capacity = server.cold.capacity(age) * server.power * server.cold.window as f64;
        server.informed = informed_work as f64 >= INFORMED_SHARE * window_work as f64;
        let is_overloaded = window_work as f64 > server.cold.multiple * capacity + largest as f64;
        if is_overloaded && server.informed {
            server.overloaded = true;
            let (times, old) = (window_work as f64 / capacity, age / MILLISECOND);
            let what =
                format!("{} was sent {times:.1} times its capacity {old} ms after its start", arrival.server);
            self.add_violation(3, arrival.at, what);
        }
    }

    /// A server collapsed under the last attempt. The gateways that sent the last window's work overloaded it if they knew of its
    /// start.
    pub fn server_collapsed(&mut self, server: &str, at: Micros) {
        let overloaded = self.servers.get_mut(server).filter(|server| server.informed && !server.overloaded);
        let Some(server_state) = overloaded else { return };
        server_state.overloaded = true;
        let age = at.saturating_sub(server_state.started.unwrap_or(at)) / MILLISECOND;
        self.add_violation(
            3,
            at,
            format!("{server} collapsed under the work sent to it {age} ms after its start"),
        );
    }

    pub(super) fn check_ceiling(&mut self, arrival: &Arrival) {
        let Some(request) = self.requests.get(&arrival.id) else { return };
        let (tenant, units, plan) = (
            request.client_request.tenant,
            f64::from(request.client_request.units),
            &self.bounds.plans[request.client_request.plan],
        );
        let Some((rate, burst)) = plan.ceiling else { return };
        let at = arrival.at;
        let (level, since) = self.ceilings.entry(tenant).or_insert((burst, at));
        let elapsed = at.saturating_sub(*since) as f64 / SECOND as f64;
        (*level, *since) = ((*level + elapsed * rate).min(burst) - units, at);
        let socket_units = (CEILING_SOCKET_ALLOWANCE + self.bounds.slack) as f64 / SECOND as f64 * rate;
        let slack = (CEILING_SLACK_SHARE * burst).max(self.bounds.max_units) + socket_units;
        if *level < -slack {
            let excess = -*level;
            self.add_violation(
                4,
                at,
                format!("tenant {tenant:x} is {excess:.1} units over its ceiling, {slack:.1} allowed"),
            );
        }
    }
}
