//! The host that the decision module calls: it carries nothing out, but writes the actions down in their order for the
//! module's actor.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use fernscale_policy::RejectReason;
use fernscale_policy::{Host, Id, Micros};
use slog::{info, Logger};

use crate::counter::Add;
use crate::discovery;
use crate::protocol::call::FinalAnswer;
use crate::upstream;

/// What the module wants done, in its order.
pub enum Action {
    Forward { request: Id, server: Id, limit: Micros },
    Cancel { request: Id, attempt: usize },
    Answer { request: Id, answer: FinalAnswer, reason: RejectReason },
    SetTimer(Micros, Box<str>),
    Upstream(Id, upstream::Order),
    UpdateCounter(Add),
    Discovery(discovery::Order),
}

/// The time that the module is told, and what it has asked for.
pub struct ActionQueue {
    pub now: Micros,
    pub actions: VecDeque<Action>,
    pub log: Logger,
}

/// The decision module's [`Host`]: it writes down what is to be done.
pub struct ActionRecorder(pub Rc<RefCell<ActionQueue>>);

impl ActionRecorder {
    fn record(&self, action: Action) {
        self.0.borrow_mut().actions.push_back(action);
    }
}

impl Host for ActionRecorder {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn forward(&mut self, request: &Id, server: &Id, limit: Micros) {
        self.record(Action::Forward { request: request.clone(), server: server.clone(), limit });
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.record(Action::Cancel { request: request.clone(), attempt });
    }
    fn reject(&mut self, request: &Id, wait: Micros, reason: RejectReason) {
        self.record(Action::Answer { request: request.clone(), answer: FinalAnswer::Rejected(wait), reason });
    }
    fn fail(&mut self, request: &Id, reason: RejectReason) {
        self.record(Action::Answer { request: request.clone(), answer: FinalAnswer::Failed, reason });
    }
    fn set_timer(&mut self, delay: Micros, token: &str) {
        let at = self.now() + delay;
        self.record(Action::SetTimer(at, token.into()));
    }
    fn check_health(&mut self, server: &Id) {
        self.record(Action::Upstream(server.clone(), upstream::Order::CheckHealth));
    }
    fn close_idle_connections(&mut self, server: &Id) {
        self.record(Action::Upstream(server.clone(), upstream::Order::CloseIdle));
    }
    fn update_counter(&mut self, key: &str, amount: f64, window: Micros) {
        self.record(Action::UpdateCounter(Add {
            count: key.into(),
            amount,
            life: window,
            made: Instant::now(),
        }));
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.record(Action::Discovery(discovery::Order::Follow(enabled)));
    }
    fn poll_endpoints(&mut self) {
        self.record(Action::Discovery(discovery::Order::Fetch));
    }
    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {
        // Gateways have no way to each other here, as where a message is lost.
    }
    fn log(&mut self, text: &str) {
        info!(self.0.borrow().log, #"module.says", "module"; "text" => text);
    }
}
