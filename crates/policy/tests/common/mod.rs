//! A host that writes down what the module does, and short ways to tell the module what happened.
#![allow(dead_code)]

use std::cell::RefCell;
use std::rc::Rc;

use fernscale_policy::Engine;
use fernscale_policy::RejectReason;
use fernscale_policy::*;

pub const MS: Micros = 1_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Send(Id, Id, Micros),
    Cancel(Id, usize),
    Nack(Id, Micros),
    Abandon(Id),
    Alarm(Micros, String),
    Add(String, f64),
    Follow(bool),
}

#[derive(Default)]
pub struct Desk {
    pub now: Micros,
    pub did: Vec<Did>,
    /// Why each transaction that was given up was.
    pub refused: Vec<(Id, RejectReason)>,
    /// Alarms that have not rung yet, but for the look that a bed has every ten milliseconds.
    pub alarms: Vec<(Micros, String)>,
}

#[derive(Clone, Default)]
pub struct Notes(pub Rc<RefCell<Desk>>);

impl Notes {
    fn note(&self, did: Did) {
        self.0.borrow_mut().did.push(did);
    }
}

impl Host for Notes {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn forward(&mut self, transaction: &Id, server: &Id, limit: Micros) {
        self.note(Did::Send(transaction.clone(), server.clone(), limit));
    }
    fn cancel(&mut self, transaction: &Id, trip: usize) {
        self.note(Did::Cancel(transaction.clone(), trip));
    }
    fn reject(&mut self, transaction: &Id, wait: Micros, why: RejectReason) {
        self.0.borrow_mut().refused.push((transaction.clone(), why));
        self.note(Did::Nack(transaction.clone(), wait));
    }
    fn fail(&mut self, transaction: &Id, why: RejectReason) {
        self.0.borrow_mut().refused.push((transaction.clone(), why));
        self.note(Did::Abandon(transaction.clone()));
    }
    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.note(Did::Alarm(delay, token.into()));
        if token != "look" {
            let at = self.now() + delay;
            self.0.borrow_mut().alarms.push((at, token.into()));
        }
    }
    fn check_health(&mut self, _server: &Id) {}
    fn close_idle_connections(&mut self, _server: &Id) {}
    fn update_counter(&mut self, count: &str, amount: f64, _life: Micros) {
        self.note(Did::Add(count.into(), amount));
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.note(Did::Follow(on));
    }
    fn poll_endpoints(&mut self) {}
    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {}
    fn log(&mut self, _text: &str) {}
}

/// One gateway under test.
pub struct Bed {
    pub notes: Notes,
    pub gateway: Engine<Notes>,
    pub asked: usize,
}

pub fn id(text: impl AsRef<str>) -> Id {
    Id::from(text.as_ref())
}

pub fn settings(kind: Idempotency, plan: Plan) -> Settings {
    Settings {
        seed: 7,
        gateway_index: 0,
        gateway_count: 2,
        classes: vec![RequestClass {
            idempotency: kind,
            latency_objective: 1_000 * MS,
            priority_weight: 1.0,
        }],
        plans: vec![plan],
        max_attempts: 4,
        can_cancel: true,
        max_retry_after: 500 * MS,
        has_shared_counter: true,
        list_poll_interval: None,
        slow_start_share: 0.2,
        slow_start_duration: 10_000 * MS,
        overload_factor: 3.0,
        overload_window: 1_000 * MS,
    }
}

/// A plan with room for all.
pub fn wide() -> Plan {
    Plan { rate: 1e6, burst: 1e6, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() }
}

pub fn listed(server: &str, zone: u32, state: EndpointState, started: Option<Micros>) -> Endpoint {
    Endpoint {
        server: id(server),
        zone,
        hardware_type: 0,
        cell: zone,
        state,
        weight: 1.0,
        started_at: started,
        listed_start: started,
    }
}

impl Bed {
    /// A gateway, at a time of one hour, with so many warm servers: s0, s1, ...; even ones in zone 0.
    pub fn new(settings: Settings, servers: usize) -> Self {
        let notes = Notes::default();
        notes.0.borrow_mut().now = 3_600_000 * MS;
        let gateway = Engine::new(settings, notes.clone());
        let mut bed = Bed { notes, gateway, asked: 0 };
        let list: Vec<Endpoint> = (0..servers)
            .map(|at| listed(&format!("s{at}"), at as u32 % 2, EndpointState::Ready, None))
            .collect();
        bed.gateway.endpoints_updated(true, &list);
        bed.did();
        bed
    }

    pub fn now(&self) -> Micros {
        self.notes.now()
    }

    /// What was done since last asked, but for the alarms that were set.
    pub fn did(&self) -> Vec<Did> {
        let did = std::mem::take(&mut self.notes.0.borrow_mut().did);
        did.into_iter().filter(|did| !matches!(did, Did::Alarm(..))).collect()
    }

    /// Lets time pass, with the alarm once in a while, as the module asked for it.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now() + time;
        while self.now() < end {
            let next = end.min(self.now() + 10 * MS);
            self.notes.0.borrow_mut().now = next;
            let mut alarms = std::mem::take(&mut self.notes.0.borrow_mut().alarms);
            alarms.retain(|(at, token)| {
                let due = *at <= next;
                if due {
                    self.gateway.timer_fired(token);
                }
                !due
            });
            self.notes.0.borrow_mut().alarms.extend(alarms);
            self.gateway.timer_fired("look");
        }
    }

    /// A new transaction of the customer through gateways 0 and 1; its id.
    pub fn ask(&mut self, customer: &str, left: Micros) -> Id {
        self.asked += 1;
        let asked = id(format!("t{}", self.asked));
        self.gateway.request_received(Request {
            id: asked.clone(),
            class: 0,
            plan: 0,
            tenant: id(customer),
            units: 1.0,
            first_gateway: 0,
            gateway_spread: 2,
            time_left: left,
        });
        asked
    }

    pub fn end(&mut self, transaction: &Id, trip: usize, server: &Id, outcome: Outcome, took: Micros) {
        self.gateway.attempt_completed(AttemptCompleted {
            request: transaction.clone(),
            attempt: trip,
            server: server.clone(),
            outcome,
            elapsed: took,
            is_final: outcome == Outcome::Ok,
            units: None,
            load: LoadReport::default(),
        });
    }
}

/// The sends among what was done: transaction and server.
pub fn sends(did: &[Did]) -> Vec<(Id, Id)> {
    did.iter()
        .filter_map(|did| match did {
            Did::Send(transaction, server, _) => Some((transaction.clone(), server.clone())),
            _ => None,
        })
        .collect()
}
