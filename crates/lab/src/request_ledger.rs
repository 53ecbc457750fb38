//! The request ledger: observes every event at the clients and at the simulated servers, and checks the rules from outside
//! the gateways: the five rules, and that a gateway forwards nothing for a client that has disconnected.
//!
//! The rules depend on order and counts. Every bound that is a time has a stated slack, because clients, servers and gateways
//! share a machine with other work. A loss that a fault explains is counted, but is no violation: a request is lost by a kill
//! of its gateway if the kill came between the request's last byte and its end, and by a link fault if the fault did.

mod attempt_rules;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::history::{Checker, Event};
use crate::model::clients::{ClientRequest, Idempotency, KeyScope, Plan, RequestClass};
use crate::model::discovery::Status;
use crate::model::server::{AttemptEnd, SlowStart};
use crate::wire::Answer;
use crate::{Micros, MILLISECOND, SECOND};

/// Names of the rules in the report.
pub const RULES: [&str; 6] = ["answers", "effects", "drains", "cold", "ceilings", "left"];

/// Time that sockets add to every time limit.
const SOCKET_ALLOWANCE: Micros = 50 * MILLISECOND;

/// Bounds of the rules that the scenario sets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleBounds {
    /// After a gateway learns that a server is draining, it must stop sending new attempts to the server within this time.
    pub grace: Micros,
    /// How late the lab may observe an event on a busy machine.
    pub slack: Micros,
    #[serde(rename = "lanes")]
    pub classes: Vec<RequestClass>,
    pub plans: Vec<Plan>,
    /// Units of the largest request.
    #[serde(rename = "largest")]
    pub max_units: f64,
}

/// A gateway's link that a fault can affect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Link {
    Clients(u32),
    #[serde(rename = "Box_")]
    Server(u32, String),
    List(u32),
    Counter(u32),
}

impl Link {
    pub fn gateway(&self) -> u32 {
        match self {
            Link::Clients(gateway)
            | Link::Server(gateway, _)
            | Link::List(gateway)
            | Link::Counter(gateway) => *gateway,
        }
    }
}

/// An attempt that a server has received completely.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    pub at: Micros,
    /// When the server received the first byte.
    pub began: Micros,
    #[serde(rename = "box_")]
    pub server: String,
    pub gateway: u32,
    pub id: u64,
    pub work: Micros,
}

/// The final outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Open,
    /// Never sent completely: there was no connection, or it broke before the last byte.
    Unsent,
    Completed,
    Rejected,
    Failed,
    /// Unanswered because of a kill, a pause or a link fault.
    Excused,
    /// Unanswered without such an explanation.
    Lost,
    /// The client disconnected before an answer came, so none is due.
    Disconnected,
}

struct RequestState {
    client_request: ClientRequest,
    within_quota: bool,
    written: Option<Micros>,
    ended: Option<Micros>,
    gateway: u32,
    outcome: RequestOutcome,
    attempts: Vec<usize>,
    has_wrong_value: bool,
    disconnected_at: Option<Micros>,
}

struct ForwardedAttempt {
    server: String,
    end: Option<AttemptEnd>,
    /// The server has written the answer, or the connection has ended.
    closed: bool,
    arrived: Micros,
}

/// What the ledger knows of the server that has a name at present.
struct KnownServer {
    zone: String,
    cell: u32,
    started: Option<Micros>,
    power: f64,
    cold: SlowStart,
    window_arrivals: VecDeque<(Micros, Micros, bool)>,
    /// Whether gateways that had been notified of the server's start sent enough of the last window's work.
    informed: bool,
    overloaded: bool,
}

/// The start and end of a fault; a fault without an end is still active.
type Span = (Micros, Option<Micros>);

#[derive(Default)]
pub struct Violations {
    pub count: u64,
    pub instances: Vec<String>,
}

pub struct RequestLedger {
    bounds: RuleBounds,
    requests: BTreeMap<u64, RequestState>,
    attempts: Vec<ForwardedAttempt>,
    /// By request and server: earlier attempts that were not in flight together with the next attempt to that server.
    apart: BTreeMap<(u64, String), Vec<usize>>,
    /// Attempts that reached a server while another was in flight there, but were not in flight together at their gateway.
    pub overtaken: u64,
    /// Number of attempts that arrived, including those that are not recorded.
    attempt_total: usize,
    records_requests: bool,
    servers: BTreeMap<String, KnownServer>,
    /// For each gateway and server, the last status that discovery sent to the gateway, and when.
    endpoint_notified: BTreeMap<(u32, String), (Status, Micros)>,
    /// Servers that operators have cordoned at a gateway, and since when.
    cordons: BTreeMap<(u32, String), Micros>,
    /// Gateways that discovery has notified of a server's start: gateway, server and start time.
    start_notified: BTreeSet<(u32, String, Micros)>,
    kills: BTreeMap<u32, Vec<Micros>>,
    pauses: BTreeMap<u32, Vec<Span>>,
    faults: BTreeMap<Link, Vec<Span>>,
    ceilings: BTreeMap<u64, (f64, Micros)>,
    quotas: BTreeMap<u64, (f64, Micros)>,
    violations: [Violations; 6],
    pub strays: u64,
    pub hostile: MisbehaviorCounts,
}

/// How the gateways treated misbehaving clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct MisbehaviorCounts {
    pub sent: u64,
    /// Clients that got an error, or whose connection was closed.
    pub answered: u64,
    pub served: u64,
    pub ignored: u64,
}

impl RequestLedger {
    pub fn new(bounds: RuleBounds) -> Self {
        RequestLedger {
            bounds,
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            apart: BTreeMap::new(),
            overtaken: 0,
            attempt_total: 0,
            records_requests: true,
            servers: BTreeMap::new(),
            endpoint_notified: BTreeMap::new(),
            cordons: BTreeMap::new(),
            start_notified: BTreeSet::new(),
            kills: BTreeMap::new(),
            pauses: BTreeMap::new(),
            faults: BTreeMap::new(),
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            violations: Default::default(),
            strays: 0,
            hostile: MisbehaviorCounts::default(),
        }
    }

    /// A ledger that records and checks nothing, for simulated servers that run for an unlimited time.
    pub fn recording_nothing() -> Self {
        let bounds =
            RuleBounds { grace: 0, slack: 0, classes: Vec::new(), plans: Vec::new(), max_units: 0.0 };
        RequestLedger { records_requests: false, ..RequestLedger::new(bounds) }
    }

    pub fn violations(&self) -> impl Iterator<Item = (&'static str, &Violations)> {
        RULES.into_iter().zip(&self.violations)
    }

    pub fn violation_count(&self) -> u64 {
        self.violations.iter().map(|rule| rule.count).sum()
    }

    fn add_violation(&mut self, rule: usize, at: Micros, what: String) {
        self.violations[rule].add(at, what);
    }

    // Faults.

    /// A gateway's process was killed.
    pub fn killed(&mut self, gateway: u32, at: Micros) {
        self.kills.entry(gateway).or_default().push(at);
    }

    /// A gateway's process ended without a request to do so.
    pub fn crashed(&mut self, gateway: u32, at: Micros) {
        self.add_violation(0, at, format!("gateway {gateway} ended by itself"));
    }

    /// A link fault begins. Recorded before the fault is applied, so that none of its effects precedes it.
    pub fn link_broken(&mut self, link: Link, at: Micros) {
        self.faults.entry(link).or_default().push((at, None));
    }

    /// A link fault has ended. Recorded after it is removed. Which of several faults ended does not matter: one span stays
    /// open until the last of them has ended.
    pub fn link_restored(&mut self, link: &Link, at: Micros) {
        let mut open = self.faults.get_mut(link).into_iter().flatten().filter(|span| span.1.is_none());
        if let Some(span) = open.next() {
            span.1 = Some(at);
        }
    }

    /// A gateway's process was paused, or resumed.
    pub fn paused(&mut self, gateway: u32, on: bool, at: Micros) {
        let pauses = self.pauses.entry(gateway).or_default();
        if on {
            pauses.push((at, None));
        } else if let Some(pause) = pauses.last_mut() {
            pause.1 = Some(at);
        }
    }

    /// Whether the gateway's process was paused in this period for longer than the slack of a busy machine.
    fn was_paused(&self, gateway: u32, from: Micros, to: Micros) -> bool {
        let pauses = self.pauses.get(&gateway).into_iter().flatten();
        let pause_overlap =
            |(began, ended): &Span| ended.unwrap_or(to).min(to).saturating_sub((*began).max(from));
        pauses.map(pause_overlap).sum::<Micros>() > self.bounds.slack
    }

    fn was_link_faulty(&self, link: &Link, from: Micros, to: Micros) -> bool {
        let spans = self.faults.get(link).into_iter().flatten();
        spans.into_iter().any(|(began, ended)| *began <= to && ended.is_none_or(|ended| ended >= from))
    }

    /// Whether a link has an active fault at this time.
    pub fn is_faulty(&self, link: &Link, at: Micros) -> bool {
        self.was_link_faulty(link, at, at)
    }

    pub fn server_started(
        &mut self,
        name: &str,
        location: (&str, u32),
        started: Option<Micros>,
        power: f64,
        cold: SlowStart,
    ) {
        let (zone, cell) = (location.0.to_string(), location.1);
        let server = KnownServer {
            zone,
            cell,
            started,
            power,
            cold,
            window_arrivals: VecDeque::new(),
            informed: false,
            overloaded: false,
        };
        self.servers.insert(name.into(), server);
    }

    // Clients.

    /// A client is about to send a request. Returns whether the request is within its tenant's quota, assuming that all earlier
    /// requests were admitted. A client's retry counts as its original request does.
    pub fn request_created(&mut self, client_request: &ClientRequest) -> bool {
        let within_quota = match self.requests.get(&client_request.origin) {
            Some(origin) => origin.within_quota,
            None => self.take_from_quota(client_request),
        };
        let request = RequestState {
            client_request: client_request.clone(),
            within_quota,
            written: None,
            ended: None,
            gateway: client_request.gateway,
            outcome: RequestOutcome::Open,
            attempts: Vec::new(),
            has_wrong_value: false,
            disconnected_at: None,
        };
        self.requests.insert(client_request.id, request);
        within_quota
    }

    fn take_from_quota(&mut self, client_request: &ClientRequest) -> bool {
        let plan = &self.bounds.plans[client_request.plan];
        if plan.rate == 0.0 {
            return true;
        }
        let (level, at) = self.quotas.entry(client_request.tenant).or_insert((plan.burst, client_request.at));
        let elapsed = client_request.at.saturating_sub(*at) as f64 / SECOND as f64;
        (*level, *at) = ((*level + elapsed * plan.rate).min(plan.burst), client_request.at);
        let within_quota = *level >= f64::from(client_request.units);
        if within_quota {
            *level -= f64::from(client_request.units);
        }
        within_quota
    }

    /// The gateway to which the request was sent last.
    pub fn gateway_of(&self, id: u64) -> Option<u32> {
        self.requests.get(&id).map(|request| request.gateway)
    }

    /// The client has written the request's last byte to a connection that the gateway's machine accepted.
    pub fn written(&mut self, id: u64, gateway: u32, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            (request.written, request.gateway) = (Some(at), gateway);
        }
    }

    pub fn unsent(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.outcome = RequestOutcome::Unsent;
        }
    }

    pub fn answered(&mut self, id: u64, at: Micros, answer: &Answer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = Some(at);
        request.outcome = match answer {
            Answer::Completed(value) => {
                // The value must belong to this request and come from a server that ran one of its attempts.
                let text = String::from_utf8_lossy(value);
                let answering_server = text.strip_prefix(&format!("{id:016x}:"));
                let ran = |attempt: &usize| {
                    matches!(self.attempts[*attempt].end, Some(AttemptEnd::Ran { .. }))
                        && answering_server == Some(&*self.attempts[*attempt].server)
                };
                request.has_wrong_value = !request.attempts.iter().any(ran);
                RequestOutcome::Completed
            }
            Answer::Rejected { .. } => RequestOutcome::Rejected,
            Answer::Failed => RequestOutcome::Failed,
        };
        let (outcome, has_wrong_value) = (request.outcome, request.has_wrong_value);
        let (client_request, written, gateway) =
            (request.client_request.clone(), request.written.unwrap_or(at), request.gateway);
        if has_wrong_value {
            self.add_violation(
                0,
                at,
                format!("request {id:x} was completed with a value that no server returned for it"),
            );
        }
        let limit = self.bounds.classes[client_request.class].deadline + SOCKET_ALLOWANCE + self.bounds.slack;
        let is_explained = self.was_link_faulty(&Link::Clients(gateway), written, at)
            || self.was_paused(gateway, written, at);
        if at > written + limit && !is_explained {
            let late = (at - written - limit) / MILLISECOND;
            self.add_violation(0, at, format!("request {id:x} was answered {late} ms after its deadline"));
        }
        if outcome == RequestOutcome::Rejected {
            self.check_rejection(id, at);
        }
    }

    /// A rejection promises the client that a retry is harmless.
    fn check_rejection(&mut self, id: u64, at: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.bounds.classes[request.client_request.class];
        let repeat_is_harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => class.scope == KeyScope::All,
            Idempotency::NonIdempotent => false,
        };
        let may_have_run =
            request.attempts.iter().any(|attempt| self.attempts[*attempt].end != Some(AttemptEnd::Rejected));
        if may_have_run && !repeat_is_harmless {
            self.add_violation(
                1,
                at,
                format!("request {id:x} was rejected after one of its attempts may have run"),
            );
        }
    }

    /// The connection ended without a complete answer, or the client gave up before any answer came.
    pub fn unanswered(&mut self, id: u64, at: Micros, closed: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let (gateway, written) = (request.gateway, request.written.unwrap_or(at));
        let killed = self.kills.get(&gateway).into_iter().flatten();
        // The client sees the end of a killed process's connection immediately; its own timeout may expire just before.
        let killed = killed.into_iter().any(|kill| *kill + self.bounds.slack >= written && *kill <= at);
        let is_explained = killed
            || self.was_link_faulty(&Link::Clients(gateway), written, at)
            || self.was_paused(gateway, written, at);
        if !is_explained {
            let how = if closed { "its connection was closed" } else { "no answer came" };
            let elapsed = at.saturating_sub(written) / MILLISECOND;
            self.add_violation(
                0,
                at,
                format!(
                    "request {id:x} was lost by gateway {gateway}: {how}, {elapsed} ms after its last byte"
                ),
            );
        }
        if let Some(request) = self.requests.get_mut(&id) {
            (request.ended, request.outcome) =
                (Some(at), if is_explained { RequestOutcome::Excused } else { RequestOutcome::Lost });
        }
    }

    /// The client has closed the connection.
    pub fn client_disconnected(&mut self, id: u64, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            (request.disconnected_at, request.ended, request.outcome) =
                (Some(at), Some(at), RequestOutcome::Disconnected);
        }
    }

    /// A client received bytes on a connection without an open request.
    pub fn stray(&mut self, gateway: u32, since: Micros, at: Micros, what: &[u8]) {
        self.strays += 1;
        if !self.was_link_faulty(&Link::Clients(gateway), since, at) {
            let what = String::from_utf8_lossy(&what[..what.len().min(60)]).escape_debug().to_string();
            self.add_violation(
                0,
                at,
                format!("gateway {gateway} sent '{what}' to a client without an open request"),
            );
        }
    }

    // Servers.

    /// A server has received an attempt completely. Returns the attempt's number for `attempt_ended` and `attempt_closed`.
    pub fn arrived(&mut self, arrival: &Arrival) -> usize {
        let number = self.attempt_total;
        self.attempt_total += 1;
        if !self.records_requests {
            return number;
        }
        let (server, arrived) = (arrival.server.clone(), arrival.at);
        self.attempts.push(ForwardedAttempt { server, end: None, closed: false, arrived });
        self.check_drain(arrival);
        self.check_client_disconnected(arrival);
        self.check_slow_start(arrival);
        let earlier_attempts = self.requests.get(&arrival.id).map(|request| request.attempts.clone());
        let Some(earlier) = earlier_attempts else {
            // The attempt belongs to a misbehaving client or to another load: the ledger has no such request.
            return number;
        };
        if earlier.is_empty() {
            self.check_ceiling(arrival);
        } else {
            self.check_further_attempt(arrival, &earlier);
        }
        if let Some(request) = self.requests.get_mut(&arrival.id) {
            request.attempts.push(number);
        }
        number
    }

    /// The gateway ended the connection of one of two attempts before it sent the other: this earlier attempt, and the next
    /// one that the server receives for the request.
    pub fn attempts_apart(&mut self, id: u64, server: &str, attempt: usize) {
        if self.records_requests {
            self.apart.entry((id, server.into())).or_default().push(attempt);
        }
    }

    /// An attempt ended at its server, whether or not the gateway receives the answer.
    pub fn attempt_ended(&mut self, attempt: usize, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.end = Some(end);
        }
    }

    /// The server has written the answer, or the connection has ended.
    pub fn attempt_closed(&mut self, attempt: usize) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.closed = true;
        }
    }

    /// Discovery has sent a server's status to a gateway.
    pub fn endpoint_notified(
        &mut self,
        gateway: u32,
        server: &str,
        status: Status,
        started: Option<Micros>,
        at: Micros,
    ) {
        if !self.records_requests {
            return;
        }
        if let Some(started) = started {
            self.start_notified.insert((gateway, server.into(), started));
        }
        let key = (gateway, server.to_string());
        match self.endpoint_notified.get(&key) {
            // A repeated notification: the first one counts.
            Some((known, _)) if *known == status => {}
            Some((Status::Terminating, _)) if status == Status::Terminated => {}
            _ => drop(self.endpoint_notified.insert(key, (status, at))),
        }
    }

    /// A gateway has restarted and knows only what it received at its start.
    pub fn forget_gateway(&mut self, gateway: u32) {
        self.endpoint_notified.retain(|(informed_gateway, _), _| *informed_gateway != gateway);
        self.cordons.retain(|(informed_gateway, _), _| *informed_gateway != gateway);
        self.start_notified.retain(|(informed_gateway, ..)| *informed_gateway != gateway);
    }

    /// A gateway has confirmed an operator's request to cordon or uncordon a server.
    pub fn cordoned(&mut self, gateway: u32, server: &str, out: bool, at: Micros) {
        let key = (gateway, server.to_string());
        if out {
            self.cordons.entry(key).or_insert(at);
        } else {
            self.cordons.remove(&key);
        }
    }

    /// A misbehaving client has finished.
    pub fn misbehavior_ended(&mut self, at: Micros, gateway: u32, got: MisbehaviorOutcome) {
        self.hostile.sent += 1;
        match got {
            MisbehaviorOutcome::Answered => self.hostile.answered += 1,
            MisbehaviorOutcome::Ignored => self.hostile.ignored += 1,
            MisbehaviorOutcome::Served(what) => {
                self.hostile.served += 1;
                self.add_violation(
                    0,
                    at,
                    format!("gateway {gateway} served a request that no client could have sent: '{what}'"),
                );
            }
        }
    }

    // Figures.

    /// All requests: the request, whether it is within its tenant's quota, its outcome, and the time from its last byte to its
    /// end.
    pub fn outcomes(&self) -> impl Iterator<Item = (&ClientRequest, bool, RequestOutcome, Option<Micros>)> {
        self.requests.values().map(|request| {
            let elapsed = request.written.zip(request.ended).map(|(from, to)| to.saturating_sub(from));
            (&request.client_request, request.within_quota, request.outcome, elapsed)
        })
    }

    pub fn has_attempt(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.attempts.is_empty())
    }

    pub fn attempt_count(&self) -> usize {
        self.attempt_total
    }

    /// Number of idempotency keys that had more than one effect, over all requests with the same key.
    pub fn doubled_keys(&self) -> u64 {
        let mut effects: BTreeMap<(u64, u64), u32> = BTreeMap::new();
        for request in self.requests.values() {
            let Some(key) = request.client_request.key else { continue };
            let ran = |attempt: &&usize| {
                matches!(self.attempts[**attempt].end, Some(AttemptEnd::Ran { first: true }))
            };
            let count = request.attempts.iter().filter(ran).count() as u32;
            *effects.entry((request.client_request.tenant, key)).or_default() += count;
        }
        effects.values().filter(|count| **count > 1).count() as u64
    }
}

impl Checker for RequestLedger {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::RequestCreated { request: client_request } => drop(self.request_created(client_request)),
            Event::RequestWritten { id, gateway } => self.written(*id, *gateway, at),
            Event::RequestUnsent { id } => self.unsent(*id),
            Event::Answered { id, answer } => self.answered(*id, at, answer),
            Event::Unanswered { id, closed } => self.unanswered(*id, at, *closed),
            Event::ClientDisconnected { id } => self.client_disconnected(*id, at),
            Event::Stray { gateway, since, bytes } => self.stray(*gateway, *since, at, bytes),
            Event::MisbehaviorEnded { gateway, got } => self.misbehavior_ended(at, *gateway, got.clone()),
            Event::ServerStarted { name, zone, cell, started, power, cold } => {
                self.server_started(name, (zone, *cell), *started, *power, *cold);
            }
            Event::AttemptArrived { arrival } => drop(self.arrived(arrival)),
            Event::AttemptsApart { id, server, other } => self.attempts_apart(*id, server, *other),
            Event::AttemptEnded { attempt, end } => self.attempt_ended(*attempt, *end),
            Event::AttemptClosed { attempt } => self.attempt_closed(*attempt),
            Event::ServerCollapsed { name } => self.server_collapsed(name, at),
            Event::EndpointNotified { gateway, name, status, started } => {
                self.endpoint_notified(*gateway, name, *status, *started, at);
            }
            Event::Cordoned { gateway, name, out } => self.cordoned(*gateway, name, *out, at),
            Event::Started { gateway } => self.forget_gateway(*gateway),
            Event::Killed { gateway } => self.killed(*gateway, at),
            Event::Crashed { gateway } => self.crashed(*gateway, at),
            Event::Paused { gateway } => self.paused(*gateway, true, at),
            Event::Resumed { gateway } => self.paused(*gateway, false, at),
            Event::LinkBroken { link } => self.link_broken(link.clone(), at),
            Event::LinkRestored { link } => self.link_restored(link, at),
            _ => {}
        }
    }

    fn finish(&mut self, _at: Micros) {}

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        self.violations().collect()
    }
}

/// How a gateway treated a misbehaving client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MisbehaviorOutcome {
    /// The client got an error, or its connection was closed, in time.
    #[serde(rename = "Told")]
    Answered,
    Ignored,
    /// The client got an answer as if its request had run.
    Served(String),
}
