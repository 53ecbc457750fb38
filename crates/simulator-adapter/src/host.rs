//! One gateway's side of the wire: the settings read for it, and the actions it writes.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use fernscale_policy::RejectReason;
use fernscale_policy::{Host, Id, Micros};

use crate::protocol::{base64_encode, milliseconds};

/// What one instance and its host share: the time of the batch and the actions written so far.
#[derive(Default)]
pub struct ActionQueue {
    pub now: Micros,
    pub actions: String,
}

pub struct ProtocolHost {
    pub name: String,
    pub queue: Rc<RefCell<ActionQueue>>,
}

impl ProtocolHost {
    fn write(&mut self, action: &str, rest: std::fmt::Arguments) {
        let actions = &mut self.queue.borrow_mut().actions;
        writeln!(actions, "{action} who={}{rest}", self.name).expect("a string takes all");
    }
}

impl Host for ProtocolHost {
    fn now(&self) -> Micros {
        self.queue.borrow().now
    }

    fn forward(&mut self, request: &Id, server: &Id, time_limit: Micros) {
        self.write(
            "issue",
            format_args!(" tid={request} limitMs={} server={server}", milliseconds(time_limit)),
        );
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.write("retract", format_args!(" tid={request} go={attempt}"));
    }

    fn reject(&mut self, request: &Id, retry_after: Micros, _reason: RejectReason) {
        self.write("decline", format_args!(" tid={request} holdOffMs={}", milliseconds(retry_after)));
    }

    fn fail(&mut self, request: &Id, _reason: RejectReason) {
        self.write("fail", format_args!(" tid={request}"));
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.write("set_alarm", format_args!(" waitMs={} ctx={token}", milliseconds(delay)));
    }

    fn check_health(&mut self, server: &Id) {
        self.write("health_check", format_args!(" server={server}"));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.write("drop_conns", format_args!(" server={server}"));
    }

    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros) {
        self.write(
            "post_amount",
            format_args!(" name={key} amount={amount} livesMs={}", milliseconds(lifetime)),
        );
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.write("keep_informed", format_args!(" active={}", u8::from(on)));
    }

    fn poll_endpoints(&mut self) {
        self.write("lookup", format_args!(""));
    }

    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]) {
        let to = gateway.map_or("-1".into(), |gateway| gateway.to_string());
        self.write("signal", format_args!(" addressee={to} data={}", base64_encode(data)));
    }

    fn log(&mut self, text: &str) {
        self.write("emit", format_args!(" message={}", text.replace('\n', " ")));
    }
}
