//! A host that records the actions of an engine, and a fixture that reports events to the engine.
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
    /// The limits of the latest attempt.
    pub last_limits: Option<AttemptLimits>,
    /// The reason of each request that was rejected or failed.
    pub rejections: Vec<(Id, RejectReason)>,
    /// Timers that have not fired yet, except the wakeup, which the fixture fires every ten milliseconds.
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
    fn forward(&mut self, request_id: &Id, server: &Id, limits: AttemptLimits) {
        self.record(Action::Forward(request_id.clone(), server.clone(), limits.announced()));
        self.0.borrow_mut().last_limits = Some(limits);
    }
    fn cancel(&mut self, request_id: &Id, attempt: usize) {
        self.record(Action::Cancel(request_id.clone(), attempt));
    }
    fn reject(&mut self, request_id: &Id, retry_after: Micros, reason: RejectReason) {
        self.0.borrow_mut().rejections.push((request_id.clone(), reason));
        self.record(Action::Reject(request_id.clone(), retry_after));
    }
    fn fail(&mut self, request_id: &Id, reason: RejectReason) {
        self.0.borrow_mut().rejections.push((request_id.clone(), reason));
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
    fn update_counter(&mut self, key: &str, amount: f64, _lifetime: Micros) {
        self.record(Action::UpdateCounter(key.into(), amount));
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
    pub request_count: usize,
}

pub fn id(text: impl AsRef<str>) -> Id {
    Id::from(text.as_ref())
}

pub fn settings(idempotency: Idempotency, plan: Plan) -> Settings {
    Settings {
        seed: 7,
        gateway_index: 0,
        gateway_count: 2,
        classes: vec![RequestClass { idempotency, latency_objective: 1_000 * MS, priority_weight: 1.0 }],
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

/// A plan whose quota no test reaches.
pub fn unlimited_plan() -> Plan {
    Plan { rate: 1e6, burst: 1e6, priority_factor: 1.0, excess_cost: 1.0, ..Plan::default() }
}

pub fn endpoint(server: &str, zone: u32, state: EndpointState, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        server: id(server),
        zone,
        hardware_type: 0,
        cell: zone,
        state,
        weight: 1.0,
        started_at,
        listed_start: started_at,
    }
}

impl Fixture {
    /// Creates a gateway, at a time of one hour, with this number of warm servers: s0, s1, ... Servers with
    /// even numbers are in zone 0.
    pub fn new(settings: Settings, servers: usize) -> Self {
        let host = RecordingHost::default();
        host.0.borrow_mut().now = 3_600_000 * MS;
        let gateway = Engine::new(settings, host.clone());
        let mut fixture = Fixture { host, gateway, request_count: 0 };
        let entries: Vec<Endpoint> = (0..servers)
            .map(|at| endpoint(&format!("s{at}"), at as u32 % 2, EndpointState::Ready, None))
            .collect();
        fixture.gateway.endpoints_updated(true, &entries);
        fixture.take_actions();
        fixture
    }

    pub fn now(&self) -> Micros {
        self.host.now()
    }

    /// Takes the actions recorded since the last call, except timers.
    pub fn take_actions(&self) -> Vec<Action> {
        let actions = std::mem::take(&mut self.host.0.borrow_mut().actions);
        actions.into_iter().filter(|action| !matches!(action, Action::SetTimer(..))).collect()
    }

    /// Advances the clock, with a wakeup every ten milliseconds; other timers fire when they are due.
    pub fn advance(&mut self, time: Micros) {
        let end_time = self.now() + time;
        while self.now() < end_time {
            let tick = end_time.min(self.now() + 10 * MS);
            self.host.0.borrow_mut().now = tick;
            let mut timers = std::mem::take(&mut self.host.0.borrow_mut().timers);
            timers.retain(|(at, token)| {
                let due = *at <= tick;
                if due {
                    self.gateway.timer_fired(token);
                }
                !due
            });
            self.host.0.borrow_mut().timers.extend(timers);
            self.gateway.timer_fired("look");
        }
    }

    /// Reports a new request of the tenant, whose requests arrive through gateways 0 and 1. Returns the
    /// request's id.
    pub fn request(&mut self, tenant: &str, time_left: Micros) -> Id {
        self.request_count += 1;
        let request_id = id(format!("t{}", self.request_count));
        self.gateway.request_received(Request {
            id: request_id.clone(),
            class: 0,
            plan: 0,
            tenant: id(tenant),
            units: 1.0,
            first_gateway: 0,
            gateway_spread: 2,
            time_left,
        });
        request_id
    }

    pub fn complete_attempt(
        &mut self,
        request_id: &Id,
        attempt: usize,
        server: &Id,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        self.complete_attempt_read_late(request_id, attempt, server, outcome, elapsed, 0);
    }

    /// Reports the end of an attempt whose answer lay unread for the last `read_delay` of its time.
    pub fn complete_attempt_read_late(
        &mut self,
        request_id: &Id,
        attempt: usize,
        server: &Id,
        outcome: Outcome,
        elapsed: Micros,
        read_delay: Micros,
    ) {
        self.gateway.attempt_completed(AttemptCompleted {
            request: request_id.clone(),
            attempt,
            server: server.clone(),
            outcome,
            elapsed,
            read_delay,
            is_final: outcome == Outcome::Ok,
            units: None,
            load: LoadReport::default(),
        });
    }
}

/// The forwarded requests among `actions`: request and server.
pub fn forwards(actions: &[Action]) -> Vec<(Id, Id)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Forward(request_id, server, _) => Some((request_id.clone(), server.clone())),
            _ => None,
        })
        .collect()
}

/// The updates of the shared counter among `actions`: key and amount.
pub fn counter_updates(actions: &[Action]) -> Vec<(String, f64)> {
    let update = |action: &Action| match action {
        Action::UpdateCounter(key, amount) => Some((key.clone(), *amount)),
        _ => None,
    };
    actions.iter().filter_map(update).collect()
}

/// Completes all attempts that were forwarded, each after its server's latency. Returns their number.
pub fn complete_forwarded(fixture: &mut Fixture, elapsed: impl Fn(&Id) -> Micros) -> usize {
    let sent = forwards(&fixture.take_actions());
    for (id, server) in &sent {
        fixture.complete_attempt(id, 0, server, Outcome::Ok, elapsed(server));
    }
    sent.len()
}

/// The requests rejected among `actions`.
pub fn rejected_requests(actions: &[Action]) -> Vec<Id> {
    let rejected_id =
        |action: &Action| if let Action::Reject(id, _) = action { Some(id.clone()) } else { None };
    actions.iter().filter_map(rejected_id).collect()
}
