//! The queue of actions from the engine to the dispatcher.
//!
//! The engine calls its [`Host`] in the middle of a decision, when no action may be performed yet. [`ActionQueue`] is a host
//! that only records each call. The dispatcher performs the recorded actions in order after the engine has returned.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use fernscale_policy::{AttemptLimits, Host, Id, Micros, RejectReason};
use slog::{info, Logger};

use crate::counter::CounterUpdate;
use crate::discovery;
use crate::protocol::call::FinalAnswer;
use crate::upstream;

/// A call that the engine made on its host, to be performed by the dispatcher.
pub(super) enum Action {
    /// Forward a request to a server. A time limit of 0 means until the request's deadline.
    Forward { request: Id, server: Id, limits: AttemptLimits },
    /// Cancel an attempt. Attempts are numbered from 0 within their request.
    Cancel { request: Id, attempt: usize },
    /// Reject or fail a request without a reply from a server.
    Answer { request: Id, answer: FinalAnswer, reason: RejectReason },
    /// Notify the engine at this time of the gateway's clock, with this token.
    SetTimer { at: Micros, token: Box<str> },
    /// Send an order to the upstream actor of a server.
    Upstream { server: Id, order: upstream::Order },
    /// Add an amount to a shared counter.
    UpdateCounter(CounterUpdate),
    /// Send an order to the discovery actor.
    Discovery(discovery::Order),
}

/// The recorded actions, and the time that the engine reads.
///
/// Clones are handles to the same queue. The engine holds one as its host, the dispatcher holds another.
#[derive(Clone)]
pub(super) struct ActionQueue(Rc<State>);

struct State {
    now: Cell<Micros>,
    actions: RefCell<VecDeque<Action>>,
    log: Logger,
}

impl ActionQueue {
    pub(super) fn new(now: Micros, log: Logger) -> Self {
        ActionQueue(Rc::new(State { now: Cell::new(now), actions: RefCell::default(), log }))
    }

    /// Sets the time that the engine reads. This time is constant during one decision.
    pub(super) fn set_now(&self, now: Micros) {
        self.0.now.set(now);
    }

    pub(super) fn push(&self, action: Action) {
        self.0.actions.borrow_mut().push_back(action);
    }

    pub(super) fn pop(&self) -> Option<Action> {
        self.0.actions.borrow_mut().pop_front()
    }
}

impl Host for ActionQueue {
    fn now(&self) -> Micros {
        self.0.now.get()
    }

    fn forward(&mut self, request: &Id, server: &Id, limits: AttemptLimits) {
        self.push(Action::Forward { request: request.clone(), server: server.clone(), limits });
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.push(Action::Cancel { request: request.clone(), attempt });
    }

    fn reject(&mut self, request: &Id, retry_after: Micros, reason: RejectReason) {
        let answer = FinalAnswer::Rejected(retry_after);
        self.push(Action::Answer { request: request.clone(), answer, reason });
    }

    fn fail(&mut self, request: &Id, reason: RejectReason) {
        self.push(Action::Answer { request: request.clone(), answer: FinalAnswer::Failed, reason });
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        let at = self.now() + delay;
        self.push(Action::SetTimer { at, token: token.into() });
    }

    fn check_health(&mut self, server: &Id) {
        self.push(Action::Upstream { server: server.clone(), order: upstream::Order::CheckHealth });
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.push(Action::Upstream { server: server.clone(), order: upstream::Order::CloseIdle });
    }

    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros) {
        let created_at = Instant::now();
        self.push(Action::UpdateCounter(CounterUpdate { key: key.into(), amount, lifetime, created_at }));
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.push(Action::Discovery(discovery::Order::Watch(on)));
    }

    fn poll_endpoints(&mut self) {
        self.push(Action::Discovery(discovery::Order::Poll));
    }

    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {
        // This gateway has no transport for the engine's messages between gateways. The engine tolerates their loss.
    }

    fn log(&mut self, text: &str) {
        info!(self.0.log, #"module.says", "message of the decision engine"; "text" => text);
    }
}
