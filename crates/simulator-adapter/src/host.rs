//! Writes the actions of one gateway as lines of the protocol. It neither performs actions nor takes decisions.

use std::cell::RefCell;
use std::fmt::{Display, Write};
use std::rc::Rc;

use fernscale_policy::{AttemptLimits, Host, Id, Micros, RejectReason};

use crate::base64;
use crate::names::{action, field};
use crate::protocol::milliseconds;

/// The receiver field of a message to all gateways.
const ALL_GATEWAYS: &str = "-1";

/// The state that an instance shares with its host: the time of the batch and the written actions.
#[derive(Default)]
pub struct ActionQueue {
    /// The time of the batch.
    pub now: Micros,
    /// The written actions, as lines with line ends.
    pub actions: String,
}

/// The host of one instance.
pub struct ProtocolHost {
    name: String,
    queue: Rc<RefCell<ActionQueue>>,
}

impl ProtocolHost {
    /// Creates the host of the gateway `name`.
    pub fn new(name: &str, queue: &Rc<RefCell<ActionQueue>>) -> Self {
        ProtocolHost { name: name.into(), queue: Rc::clone(queue) }
    }

    fn write(&mut self, action: &str, fields: &[(&str, &dyn Display)]) {
        let actions = &mut self.queue.borrow_mut().actions;
        write!(actions, "{action} {}={}", field::GATEWAY, self.name)
            .expect("writing to a string does not fail");
        for (name, value) in fields {
            write!(actions, " {name}={value}").expect("writing to a string does not fail");
        }
        actions.push('\n');
    }
}

impl Host for ProtocolHost {
    fn now(&self) -> Micros {
        self.queue.borrow().now
    }

    /// The simulator sends an attempt at the moment of this action, so that it needs no time to send it by.
    fn forward(&mut self, request: &Id, server: &Id, limits: AttemptLimits) {
        let time_limit = milliseconds(limits.announced());
        let fields: [(&str, &dyn Display); 3] =
            [(field::REQUEST, request), (field::TIME_LIMIT, &time_limit), (field::SERVER, server)];
        self.write(action::FORWARD, &fields);
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.write(action::CANCEL, &[(field::REQUEST, request), (field::ATTEMPT, &attempt)]);
    }

    fn reject(&mut self, request: &Id, retry_after: Micros, _reason: RejectReason) {
        let retry_after = milliseconds(retry_after);
        self.write(action::REJECT, &[(field::REQUEST, request), (field::RETRY_AFTER, &retry_after)]);
    }

    fn fail(&mut self, request: &Id, _reason: RejectReason) {
        self.write(action::FAIL, &[(field::REQUEST, request)]);
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        let delay = milliseconds(delay);
        self.write(action::SET_TIMER, &[(field::DELAY, &delay), (field::TIMER_TOKEN, &token)]);
    }

    fn check_health(&mut self, server: &Id) {
        self.write(action::CHECK_HEALTH, &[(field::SERVER, server)]);
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.write(action::CLOSE_IDLE_CONNECTIONS, &[(field::SERVER, server)]);
    }

    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros) {
        let lifetime = milliseconds(lifetime);
        let fields: [(&str, &dyn Display); 3] =
            [(field::COUNTER_KEY, &key), (field::AMOUNT, &amount), (field::LIFETIME, &lifetime)];
        self.write(action::UPDATE_COUNTER, &fields);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.write(action::WATCH_ENDPOINTS, &[(field::WATCHING, &u8::from(on))]);
    }

    fn poll_endpoints(&mut self) {
        self.write(action::POLL_ENDPOINTS, &[]);
    }

    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]) {
        let receiver = gateway.map_or(ALL_GATEWAYS.into(), |gateway| gateway.to_string());
        let data = base64::encode(data);
        self.write(action::SEND_MESSAGE, &[(field::RECEIVER, &receiver), (field::DATA, &data)]);
    }

    fn log(&mut self, text: &str) {
        let text = text.replace('\n', " ");
        self.write(action::LOG, &[(field::MESSAGE, &text)]);
    }
}
