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
    Send { transaction: Id, server: Id, limit: Micros },
    Cancel { transaction: Id, trip: usize },
    Refuse { transaction: Id, answer: FinalAnswer, why: RejectReason },
    Alarm(Micros, Box<str>),
    Server(Id, upstream::Order),
    Add(Add),
    List(discovery::Order),
}

/// The time that the module is told, and what it has asked for.
pub struct Desk {
    pub now: Micros,
    pub actions: VecDeque<Action>,
    pub log: Logger,
}

/// The decision module's [`Host`]: it writes down what is to be done.
pub struct Hands(pub Rc<RefCell<Desk>>);

impl Hands {
    fn note(&self, action: Action) {
        self.0.borrow_mut().actions.push_back(action);
    }
}

impl Host for Hands {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn forward(&mut self, transaction: &Id, server: &Id, limit: Micros) {
        self.note(Action::Send { transaction: transaction.clone(), server: server.clone(), limit });
    }
    fn cancel(&mut self, transaction: &Id, trip: usize) {
        self.note(Action::Cancel { transaction: transaction.clone(), trip });
    }
    fn reject(&mut self, transaction: &Id, wait: Micros, why: RejectReason) {
        self.note(Action::Refuse {
            transaction: transaction.clone(),
            answer: FinalAnswer::Rejected(wait),
            why,
        });
    }
    fn fail(&mut self, transaction: &Id, why: RejectReason) {
        self.note(Action::Refuse { transaction: transaction.clone(), answer: FinalAnswer::Failed, why });
    }
    fn set_timer(&mut self, delay: Micros, token: &str) {
        let at = self.now() + delay;
        self.note(Action::Alarm(at, token.into()));
    }
    fn check_health(&mut self, server: &Id) {
        self.note(Action::Server(server.clone(), upstream::Order::Probe));
    }
    fn close_idle_connections(&mut self, server: &Id) {
        self.note(Action::Server(server.clone(), upstream::Order::CloseIdle));
    }
    fn update_counter(&mut self, count: &str, amount: f64, life: Micros) {
        self.note(Action::Add(Add { count: count.into(), amount, life, made: Instant::now() }));
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.note(Action::List(discovery::Order::Follow(on)));
    }
    fn poll_endpoints(&mut self) {
        self.note(Action::List(discovery::Order::Fetch));
    }
    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {
        // Gateways have no way to each other here, as where a message is lost.
    }
    fn log(&mut self, text: &str) {
        info!(self.0.borrow().log, #"module.says", "module"; "text" => text);
    }
}
