//! The ledger: hears of every event at the clients and at the stand-ins, and judges the rules from the outside: the five, and
//! that nothing is sent on for a client that has left.
//!
//! It goes by order and counts: every bound that is a time has a slack stated beside it, as the parties and the gateways
//! share a machine that others use. What a fault explains is counted, and not held against a gateway: a transaction is a
//! killed gateway's loss if the kill came between its last byte and its end, and a broken link's if the break did.

mod attempt_rules;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::history::{Checker, Event};
use crate::model::clients::{ClientRequest, Idempotency, KeyScope, Plan, RequestClass};
use crate::model::discovery::Status;
use crate::model::server::{AttemptEnd, SlowStart};
use crate::wire::Answer;
use crate::{Micros, MILLISECOND, SECOND};

/// The rules, by the names of the report.
pub const RULES: [&str; 6] = ["answers", "effects", "drains", "cold", "ceilings", "left"];

/// Sockets make every time limit longer by so much.
const SOCKETS: Micros = 50 * MILLISECOND;

/// Bounds of the rules that the site sets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleBounds {
    /// Nothing new may be sent so long after a gateway was told of a drain.
    pub grace: Micros,
    /// How late things may be seen on a busy machine.
    pub slack: Micros,
    pub lanes: Vec<RequestClass>,
    pub plans: Vec<Plan>,
    /// Units of the largest transaction.
    pub largest: f64,
}

/// Where something of a gateway's may be broken.
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

/// A trip that came whole to a box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    pub at: Micros,
    /// When its first byte came.
    pub began: Micros,
    #[serde(rename = "box_")]
    pub server: String,
    pub gateway: u32,
    pub id: u64,
    pub work: Micros,
}

/// How a transaction went in the end, for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Open,
    /// Not taken: no connection, or broken before the last byte.
    Unsent,
    Completed,
    Rejected,
    Failed,
    /// Without an answer, by a kill or a broken link.
    Excused,
    /// Without an answer.
    Lost,
    /// Its client left before it had one, and is owed nothing.
    Disconnected,
}

struct Transaction {
    ask: ClientRequest,
    inside: bool,
    written: Option<Micros>,
    ended: Option<Micros>,
    gateway: u32,
    fate: Fate,
    trips: Vec<usize>,
    wrong_value: bool,
    left: Option<Micros>,
}

struct Trip {
    box_: String,
    ran: Option<AttemptEnd>,
    /// Its answer was written, or its connection ended.
    over: bool,
    arrived: Micros,
}

/// A box as the ledger knows it, for as long as it has the name.
struct Known {
    zone: String,
    cell: u32,
    started: Option<Micros>,
    power: f64,
    cold: SlowStart,
    pushes: VecDeque<(Micros, Micros, bool)>,
    /// Enough of the last window's push was theirs who knew of its start.
    knew: bool,
    pushed_over: bool,
}

/// A span of time in which something was broken on purpose; without an end it still is.
type Span = (Micros, Option<Micros>);

#[derive(Default)]
pub struct Violations {
    pub count: u64,
    pub instances: Vec<String>,
}

pub struct RequestLedger {
    terms: RuleBounds,
    transactions: BTreeMap<u64, Transaction>,
    trips: Vec<Trip>,
    /// Attempts that were never in flight together with the one that comes next to a server for a request.
    apart: BTreeMap<(u64, String), Vec<usize>>,
    /// Attempts that came while another was in flight, and were not so together at their gateway.
    pub overtaken: u64,
    /// Trips that came; without judging, none of them is kept.
    came: usize,
    judges: bool,
    boxes: BTreeMap<String, Known>,
    /// For each gateway and box, what it was told last, and when.
    endpoint_notified: BTreeMap<(u32, String), (Status, Micros)>,
    /// Boxes that operators have taken out of use at a gateway, and since when.
    cordons: BTreeMap<(u32, String), Micros>,
    /// Gateways that have been told that a box started, by its start.
    told_start: BTreeSet<(u32, String, Micros)>,
    kills: BTreeMap<u32, Vec<Micros>>,
    pauses: BTreeMap<u32, Vec<Span>>,
    faults: BTreeMap<Link, Vec<Span>>,
    ceilings: BTreeMap<u64, (f64, Micros)>,
    quotas: BTreeMap<u64, (f64, Micros)>,
    broken: [Violations; 6],
    pub strays: u64,
    pub hostile: Hostile,
}

/// What clients that mean harm were owed and got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hostile {
    pub sent: u64,
    /// Told of an error, or let go.
    pub told: u64,
    pub served: u64,
    pub ignored: u64,
}

impl RequestLedger {
    pub fn new(terms: RuleBounds) -> Self {
        RequestLedger {
            terms,
            transactions: BTreeMap::new(),
            trips: Vec::new(),
            apart: BTreeMap::new(),
            overtaken: 0,
            came: 0,
            judges: true,
            boxes: BTreeMap::new(),
            endpoint_notified: BTreeMap::new(),
            cordons: BTreeMap::new(),
            told_start: BTreeSet::new(),
            kills: BTreeMap::new(),
            pauses: BTreeMap::new(),
            faults: BTreeMap::new(),
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            broken: Default::default(),
            strays: 0,
            hostile: Hostile::default(),
        }
    }

    /// One that keeps and judges nothing, for stand-ins that run for as long as somebody likes.
    pub fn recording_nothing() -> Self {
        let terms = RuleBounds { grace: 0, slack: 0, lanes: Vec::new(), plans: Vec::new(), largest: 0.0 };
        RequestLedger { judges: false, ..RequestLedger::new(terms) }
    }

    pub fn broken(&self) -> impl Iterator<Item = (&'static str, &Violations)> {
        RULES.into_iter().zip(&self.broken)
    }

    pub fn violation_count(&self) -> u64 {
        self.broken.iter().map(|rule| rule.count).sum()
    }

    fn breaks(&mut self, rule: usize, at: Micros, what: String) {
        self.broken[rule].add(at, what);
    }

    // What is done on purpose.

    /// A gateway's process was ended at once.
    pub fn killed(&mut self, gateway: u32, at: Micros) {
        self.kills.entry(gateway).or_default().push(at);
    }

    /// A gateway's process ended though nobody had told it to.
    pub fn crashed(&mut self, gateway: u32, at: Micros) {
        self.breaks(0, at, format!("gateway {gateway} ended by itself"));
    }

    /// A link is broken from now on. Told before it is done, so that no effect of it comes before it.
    pub fn link_broken(&mut self, link: Link, at: Micros) {
        self.faults.entry(link).or_default().push((at, None));
    }

    /// One thing that was broken on a link is whole again. Told after it is done. Which of several does not matter: until
    /// the last has ended one span stands open.
    pub fn link_restored(&mut self, link: &Link, at: Micros) {
        let mut open = self.faults.get_mut(link).into_iter().flatten().filter(|span| span.1.is_none());
        if let Some(span) = open.next() {
            span.1 = Some(at);
        }
    }

    /// A gateway's process was stopped, or goes on.
    pub fn paused(&mut self, gateway: u32, on: bool, at: Micros) {
        let pauses = self.pauses.entry(gateway).or_default();
        if on {
            pauses.push((at, None));
        } else if let Some(pause) = pauses.last_mut() {
            pause.1 = Some(at);
        }
    }

    /// Whether its process stood for longer within this time than a busy machine's do.
    fn stood(&self, gateway: u32, from: Micros, to: Micros) -> bool {
        let pauses = self.pauses.get(&gateway).into_iter().flatten();
        let within = |(began, ended): &Span| ended.unwrap_or(to).min(to).saturating_sub((*began).max(from));
        pauses.map(within).sum::<Micros>() > self.terms.slack
    }

    fn faulty(&self, link: &Link, from: Micros, to: Micros) -> bool {
        let spans = self.faults.get(link).into_iter().flatten();
        spans.into_iter().any(|(began, ended)| *began <= to && ended.is_none_or(|ended| ended >= from))
    }

    /// Whether a link is broken now.
    pub fn is_faulty(&self, link: &Link, at: Micros) -> bool {
        self.faulty(link, at, at)
    }

    pub fn server_started(
        &mut self,
        name: &str,
        place: (&str, u32),
        started: Option<Micros>,
        power: f64,
        cold: SlowStart,
    ) {
        let (zone, cell) = (place.0.to_string(), place.1);
        let known = Known {
            zone,
            cell,
            started,
            power,
            cold,
            pushes: VecDeque::new(),
            knew: false,
            pushed_over: false,
        };
        self.boxes.insert(name.into(), known);
    }

    // Clients.

    /// A transaction is about to be asked for. Says whether it is inside its customer's quota, had all been admitted
    /// that came before; a further try belongs to the first.
    pub fn request_created(&mut self, ask: &ClientRequest) -> bool {
        let inside = match self.transactions.get(&ask.origin) {
            Some(origin) => origin.inside,
            None => self.in_quota(ask),
        };
        let transaction = Transaction {
            ask: ask.clone(),
            inside,
            written: None,
            ended: None,
            gateway: ask.gateway,
            fate: Fate::Open,
            trips: Vec::new(),
            wrong_value: false,
            left: None,
        };
        self.transactions.insert(ask.id, transaction);
        inside
    }

    fn in_quota(&mut self, ask: &ClientRequest) -> bool {
        let plan = &self.terms.plans[ask.plan];
        if plan.rate == 0.0 {
            return true;
        }
        let (level, at) = self.quotas.entry(ask.tenant).or_insert((plan.burst, ask.at));
        let gone = ask.at.saturating_sub(*at) as f64 / SECOND as f64;
        (*level, *at) = ((*level + gone * plan.rate).min(plan.burst), ask.at);
        let inside = *level >= f64::from(ask.units);
        if inside {
            *level -= f64::from(ask.units);
        }
        inside
    }

    /// The gateway that a transaction was asked of last.
    pub fn gateway_of(&self, id: u64) -> Option<u32> {
        self.transactions.get(&id).map(|transaction| transaction.gateway)
    }

    /// Its last byte has been written to a connection that the gateway's machine accepted.
    pub fn written(&mut self, id: u64, gateway: u32, at: Micros) {
        if let Some(transaction) = self.transactions.get_mut(&id) {
            (transaction.written, transaction.gateway) = (Some(at), gateway);
        }
    }

    pub fn unsent(&mut self, id: u64) {
        if let Some(transaction) = self.transactions.get_mut(&id) {
            transaction.fate = Fate::Unsent;
        }
    }

    pub fn answered(&mut self, id: u64, at: Micros, answer: &Answer) {
        let Some(transaction) = self.transactions.get_mut(&id) else { return };
        transaction.ended = Some(at);
        transaction.fate = match answer {
            Answer::Completed(value) => {
                // The answer belongs to this transaction, and one of its boxes made it.
                let text = String::from_utf8_lossy(value);
                let made_by = text.strip_prefix(&format!("{id:016x}:"));
                let ran = |trip: &usize| {
                    matches!(self.trips[*trip].ran, Some(AttemptEnd::Ran { .. }))
                        && made_by == Some(&*self.trips[*trip].box_)
                };
                transaction.wrong_value = !transaction.trips.iter().any(ran);
                Fate::Completed
            }
            Answer::Rejected { .. } => Fate::Rejected,
            Answer::Failed => Fate::Failed,
        };
        let (fate, wrong) = (transaction.fate, transaction.wrong_value);
        let (ask, written, gateway) =
            (transaction.ask.clone(), transaction.written.unwrap_or(at), transaction.gateway);
        if wrong {
            self.breaks(0, at, format!("transaction {id:x} was settled with what no box made for it"));
        }
        let limit = self.terms.lanes[ask.class].deadline + SOCKETS + self.terms.slack;
        let excused = self.faulty(&Link::Clients(gateway), written, at) || self.stood(gateway, written, at);
        if at > written + limit && !excused {
            let late = (at - written - limit) / MILLISECOND;
            self.breaks(0, at, format!("transaction {id:x} was answered {late} ms after its hard stop"));
        }
        if fate == Fate::Rejected {
            self.nack_of_what_ran(id, at);
        }
    }

    /// A nack says that to try again is harmless.
    fn nack_of_what_ran(&mut self, id: u64, at: Micros) {
        let Some(transaction) = self.transactions.get(&id) else { return };
        let lane = &self.terms.lanes[transaction.ask.class];
        let harmless = match lane.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => lane.scope == KeyScope::All,
            Idempotency::NonIdempotent => false,
        };
        let may_have_run =
            transaction.trips.iter().any(|trip| self.trips[*trip].ran != Some(AttemptEnd::Rejected));
        if may_have_run && !harmless {
            self.breaks(1, at, format!("transaction {id:x} was nacked after a trip of it may have run"));
        }
    }

    /// Its connection ended without a whole answer, or nothing had come when its client left for good.
    pub fn unanswered(&mut self, id: u64, at: Micros, closed: bool) {
        let Some(transaction) = self.transactions.get(&id) else { return };
        let (gateway, written) = (transaction.gateway, transaction.written.unwrap_or(at));
        let killed = self.kills.get(&gateway).into_iter().flatten();
        // The end of a killed process's connection is seen at once; a client's own patience may end just before.
        let killed = killed.into_iter().any(|kill| *kill + self.terms.slack >= written && *kill <= at);
        let excused =
            killed || self.faulty(&Link::Clients(gateway), written, at) || self.stood(gateway, written, at);
        if !excused {
            let how = if closed { "its connection was closed" } else { "nothing came" };
            let took = at.saturating_sub(written) / MILLISECOND;
            self.breaks(
                0,
                at,
                format!(
                    "transaction {id:x} was lost by gateway {gateway}: {how}, {took} ms after its last byte"
                ),
            );
        }
        if let Some(transaction) = self.transactions.get_mut(&id) {
            (transaction.ended, transaction.fate) =
                (Some(at), if excused { Fate::Excused } else { Fate::Lost });
        }
    }

    /// Its client has closed the connection.
    pub fn client_disconnected(&mut self, id: u64, at: Micros) {
        if let Some(transaction) = self.transactions.get_mut(&id) {
            (transaction.left, transaction.ended, transaction.fate) =
                (Some(at), Some(at), Fate::Disconnected);
        }
    }

    /// Something came on a connection on which nothing was open.
    pub fn stray(&mut self, gateway: u32, since: Micros, at: Micros, what: &[u8]) {
        self.strays += 1;
        if !self.faulty(&Link::Clients(gateway), since, at) {
            let what = String::from_utf8_lossy(&what[..what.len().min(60)]).escape_debug().to_string();
            self.breaks(0, at, format!("gateway {gateway} sent '{what}' to a client that was owed nothing"));
        }
    }

    // Boxes.

    /// A trip has come whole to a box. Gives its number, for `ran` and `over`.
    pub fn arrived(&mut self, arrival: &Arrival) -> usize {
        let number = self.came;
        self.came += 1;
        if !self.judges {
            return number;
        }
        let (box_, arrived) = (arrival.server.clone(), arrival.at);
        self.trips.push(Trip { box_, ran: None, over: false, arrived });
        self.drain_kept(arrival);
        self.left_kept(arrival);
        self.cold_kept(arrival);
        let known = self.transactions.get(&arrival.id).map(|transaction| transaction.trips.clone());
        let Some(earlier) = known else {
            // Hostile clients' and other loads' own: no transaction of this ledger.
            return number;
        };
        if earlier.is_empty() {
            self.ceiling_kept(arrival);
        } else {
            self.sent_again(arrival, &earlier);
        }
        if let Some(transaction) = self.transactions.get_mut(&arrival.id) {
            transaction.trips.push(number);
        }
        number
    }

    /// The gateway had ended the connection of this attempt, or of the one that comes next to the server, before it sent the
    /// other of the two.
    pub fn attempts_apart(&mut self, id: u64, server: &str, attempt: usize) {
        if self.judges {
            self.apart.entry((id, server.into())).or_default().push(attempt);
        }
    }

    /// What became of a trip at its box, whether or not anybody hears of it.
    pub fn attempt_ended(&mut self, trip: usize, end: AttemptEnd) {
        if let Some(trip) = self.trips.get_mut(trip) {
            trip.ran = Some(end);
        }
    }

    /// Its answer has been written, or its connection has ended.
    pub fn attempt_closed(&mut self, trip: usize) {
        if let Some(trip) = self.trips.get_mut(trip) {
            trip.over = true;
        }
    }

    /// Discovery has written this to a gateway.
    pub fn endpoint_notified(
        &mut self,
        gateway: u32,
        box_: &str,
        status: Status,
        started: Option<Micros>,
        at: Micros,
    ) {
        if !self.judges {
            return;
        }
        if let Some(started) = started {
            self.told_start.insert((gateway, box_.into(), started));
        }
        let key = (gateway, box_.to_string());
        match self.endpoint_notified.get(&key) {
            // Told again of what it knows: the first time counts.
            Some((known, _)) if *known == status => {}
            Some((Status::Terminating, _)) if status == Status::Terminated => {}
            _ => drop(self.endpoint_notified.insert(key, (status, at))),
        }
    }

    /// A gateway starts anew, and knows what it was given at the start only.
    pub fn forgets(&mut self, gateway: u32) {
        self.endpoint_notified.retain(|(told, _), _| *told != gateway);
        self.cordons.retain(|(told, _), _| *told != gateway);
        self.told_start.retain(|(told, ..)| *told != gateway);
    }

    /// An operator took a box out of use at a gateway, or called it back, and heard yes.
    pub fn cordoned(&mut self, gateway: u32, box_: &str, out: bool, at: Micros) {
        let key = (gateway, box_.to_string());
        if out {
            self.cordons.entry(key).or_insert(at);
        } else {
            self.cordons.remove(&key);
        }
    }

    /// A client that means harm has had its turn.
    pub fn misbehavior_ended(&mut self, at: Micros, gateway: u32, got: MisbehaviorOutcome) {
        self.hostile.sent += 1;
        match got {
            MisbehaviorOutcome::Answered => self.hostile.told += 1,
            MisbehaviorOutcome::Ignored => self.hostile.ignored += 1,
            MisbehaviorOutcome::Served(what) => {
                self.hostile.served += 1;
                self.breaks(
                    0,
                    at,
                    format!("gateway {gateway} served what nobody could have asked: '{what}'"),
                );
            }
        }
    }

    // Figures.

    /// All transactions, as (ask, inside its quota, fate, time from its last byte to its end).
    pub fn fates(&self) -> impl Iterator<Item = (&ClientRequest, bool, Fate, Option<Micros>)> {
        self.transactions.values().map(|transaction| {
            let took = transaction.written.zip(transaction.ended).map(|(from, to)| to.saturating_sub(from));
            (&transaction.ask, transaction.inside, transaction.fate, took)
        })
    }

    pub fn has_attempt(&self, id: u64) -> bool {
        self.transactions.get(&id).is_some_and(|transaction| !transaction.trips.is_empty())
    }

    pub fn attempt_count(&self) -> usize {
        self.came
    }

    /// Keys that had more than one effect, however many transactions carried them.
    pub fn doubled_keys(&self) -> u64 {
        let mut effects: BTreeMap<(u64, u64), u32> = BTreeMap::new();
        for transaction in self.transactions.values() {
            let Some(key) = transaction.ask.key else { continue };
            let ran = |trip: &&usize| matches!(self.trips[**trip].ran, Some(AttemptEnd::Ran { first: true }));
            let count = transaction.trips.iter().filter(ran).count() as u32;
            *effects.entry((transaction.ask.tenant, key)).or_default() += count;
        }
        effects.values().filter(|count| **count > 1).count() as u64
    }
}

impl Checker for RequestLedger {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::RequestCreated { request: ask } => drop(self.request_created(ask)),
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
            Event::AttemptEnded { attempt: trip, end } => self.attempt_ended(*trip, *end),
            Event::AttemptClosed { attempt: trip } => self.attempt_closed(*trip),
            Event::ServerCollapsed { name } => self.server_collapsed(name, at),
            Event::EndpointNotified { gateway, name, status, started } => {
                self.endpoint_notified(*gateway, name, *status, *started, at);
            }
            Event::Cordoned { gateway, name, out } => self.cordoned(*gateway, name, *out, at),
            Event::Started { gateway } => self.forgets(*gateway),
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
        self.broken().collect()
    }
}

/// What a client that means harm got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MisbehaviorOutcome {
    /// An error, or the end of its connection, in time.
    #[serde(rename = "Told")]
    Answered,
    Ignored,
    /// It was served as though what it asked had run.
    Served(String),
}
