//! A host that records the actions of an engine, and a fixture that reports events to it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::rc::Rc;

use fernscale_policy::Engine;
use fernscale_policy::RejectReason;
use fernscale_policy::*;

pub const MS: Micros = 1_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Forward(Id, Id, Micros),
    Cancel(Id, usize),
    Reject(Id, Micros),
    Fail(Id),
    SetTimer(Micros, String),
    UpdateCounter(String, f64),
    WatchEndpoints(bool),
}

#[derive(Default)]
pub struct Recording {
    pub now: Micros,
    pub actions: Vec<Action>,
    /// The reason of each request that was rejected or failed.
    pub refused: Vec<(Id, RejectReason)>,
    /// Timers that have not fired yet, but for the wakeup that a fixture has every ten milliseconds.
    pub timers: Vec<(Micros, String)>,
}

#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<Recording>>);

impl RecordingHost {
    fn record(&self, action: Action) {
        self.0.borrow_mut().actions.push(action);
    }
}

impl Host for RecordingHost {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn forward(&mut self, request_id: &Id, server: &Id, limit: Micros) {
        self.record(Action::Forward(request_id.clone(), server.clone(), limit));
    }
    fn cancel(&mut self, request_id: &Id, attempt: usize) {
        self.record(Action::Cancel(request_id.clone(), attempt));
    }
    fn reject(&mut self, request_id: &Id, wait: Micros, why: RejectReason) {
        self.0.borrow_mut().refused.push((request_id.clone(), why));
        self.record(Action::Reject(request_id.clone(), wait));
    }
    fn fail(&mut self, request_id: &Id, why: RejectReason) {
        self.0.borrow_mut().refused.push((request_id.clone(), why));
        self.record(Action::Fail(request_id.clone()));
    }
    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.record(Action::SetTimer(delay, token.into()));
        if token != "look" {
            let at = self.now() + delay;
            self.0.borrow_mut().timers.push((at, token.into()));
        }
    }
    fn check_health(&mut self, _server: &Id) {}
    fn close_idle_connections(&mut self, _server: &Id) {}
    fn update_counter(&mut self, count: &str, amount: f64, _life: Micros) {
        self.record(Action::UpdateCounter(count.into(), amount));
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.record(Action::WatchEndpoints(on));
    }
    fn poll_endpoints(&mut self) {}
    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {}
    fn log(&mut self, _text: &str) {}
}

/// One gateway under test.
pub struct Fixture {
    pub host: RecordingHost,
    pub gateway: Engine<RecordingHost>,
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

/// A plan that admits all.
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

impl Fixture {
    /// A gateway, at a time of one hour, with so many warm servers: s0, s1, ...; even ones in zone 0.
    pub fn new(settings: Settings, servers: usize) -> Self {
        let host = RecordingHost::default();
        host.0.borrow_mut().now = 3_600_000 * MS;
        let gateway = Engine::new(settings, host.clone());
        let mut fixture = Fixture { host, gateway, asked: 0 };
        let list: Vec<Endpoint> = (0..servers)
            .map(|at| listed(&format!("s{at}"), at as u32 % 2, EndpointState::Ready, None))
            .collect();
        fixture.gateway.endpoints_updated(true, &list);
        fixture.take_actions();
        fixture
    }

    pub fn now(&self) -> Micros {
        self.host.now()
    }

    /// Takes the actions since they were last taken, but for timers.
    pub fn take_actions(&self) -> Vec<Action> {
        let actions = std::mem::take(&mut self.host.0.borrow_mut().actions);
        actions.into_iter().filter(|actions| !matches!(actions, Action::SetTimer(..))).collect()
    }

    /// Lets time pass, with a wakeup every ten milliseconds and timers when they are due.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now() + time;
        while self.now() < end {
            let next = end.min(self.now() + 10 * MS);
            self.host.0.borrow_mut().now = next;
            let mut timers = std::mem::take(&mut self.host.0.borrow_mut().timers);
            timers.retain(|(at, token)| {
                let due = *at <= next;
                if due {
                    self.gateway.timer_fired(token);
                }
                !due
            });
            self.host.0.borrow_mut().timers.extend(timers);
            self.gateway.timer_fired("look");
        }
    }

    /// A new request of the tenant, whose requests come through gateways 0 and 1; its id.
    pub fn request(&mut self, tenant: &str, left: Micros) -> Id {
        self.asked += 1;
        let asked = id(format!("t{}", self.asked));
        self.gateway.request_received(Request {
            id: asked.clone(),
            class: 0,
            plan: 0,
            tenant: id(tenant),
            units: 1.0,
            first_gateway: 0,
            gateway_spread: 2,
            time_left: left,
        });
        asked
    }

    pub fn end(&mut self, request_id: &Id, attempt: usize, server: &Id, outcome: Outcome, took: Micros) {
        self.end_read_late(request_id, attempt, server, outcome, took, 0);
    }

    /// The same for an attempt whose answer lay unread for the last part of its time.
    pub fn end_read_late(
        &mut self,
        request_id: &Id,
        attempt: usize,
        server: &Id,
        outcome: Outcome,
        took: Micros,
        read_delay: Micros,
    ) {
        self.gateway.attempt_completed(AttemptCompleted {
            request: request_id.clone(),
            attempt,
            server: server.clone(),
            outcome,
            elapsed: took,
            read_delay,
            is_final: outcome == Outcome::Ok,
            units: None,
            load: LoadReport::default(),
        });
    }
}

/// The forwards among some actions: request and server.
pub fn sends(actions: &[Action]) -> Vec<(Id, Id)> {
    actions
        .iter()
        .filter_map(|actions| match actions {
            Action::Forward(request_id, server, _) => Some((request_id.clone(), server.clone())),
            _ => None,
        })
        .collect()
}

/// The updates of the shared counter among some actions: key and amount.
pub fn counter_updates(actions: &[Action]) -> Vec<(String, f64)> {
    let added = |actions: &Action| match actions {
        Action::UpdateCounter(name, amount) => Some((name.clone(), *amount)),
        _ => None,
    };
    actions.iter().filter_map(added).collect()
}

/// Completes all attempts that were forwarded, each after its server's time; how many they were.
pub fn complete_all(fixture: &mut Fixture, took: impl Fn(&Id) -> Micros) -> usize {
    let sent = sends(&fixture.take_actions());
    for (id, server) in &sent {
        fixture.end(id, 0, server, Outcome::Ok, took(server));
    }
    sent.len()
}

/// The requests rejected by some actions.
pub fn rejected_requests(actions: &[Action]) -> Vec<Id> {
    let rejected =
        |actions: &Action| if let Action::Reject(id, _) = actions { Some(id.clone()) } else { None };
    actions.iter().filter_map(rejected).collect()
}
