//! One gateway's side of the wire: the settings read for it, and the actions it writes.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use fernscale_policy::RejectReason;
use fernscale_policy::{Host, Id, Micros};

use crate::wire::{base64, millis};

/// What one instance and its host share: the time of the batch and the actions written so far.
#[derive(Default)]
pub struct Desk {
    pub now: Micros,
    pub actions: String,
}

pub struct WireHost {
    pub name: String,
    pub desk: Rc<RefCell<Desk>>,
}

impl WireHost {
    fn write(&mut self, action: &str, rest: std::fmt::Arguments) {
        let actions = &mut self.desk.borrow_mut().actions;
        writeln!(actions, "{action} who={}{rest}", self.name).expect("a string takes all");
    }
}

impl Host for WireHost {
    fn now(&self) -> Micros {
        self.desk.borrow().now
    }

    fn forward(&mut self, transaction: &Id, server: &Id, limit: Micros) {
        self.write("issue", format_args!(" tid={transaction} limitMs={} server={server}", millis(limit)));
    }

    fn cancel(&mut self, transaction: &Id, trip: usize) {
        self.write("retract", format_args!(" tid={transaction} go={trip}"));
    }

    fn reject(&mut self, transaction: &Id, wait: Micros, _why: RejectReason) {
        self.write("decline", format_args!(" tid={transaction} holdOffMs={}", millis(wait)));
    }

    fn fail(&mut self, transaction: &Id, _why: RejectReason) {
        self.write("fail", format_args!(" tid={transaction}"));
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.write("set_alarm", format_args!(" waitMs={} ctx={token}", millis(delay)));
    }

    fn check_health(&mut self, server: &Id) {
        self.write("health_check", format_args!(" server={server}"));
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.write("drop_conns", format_args!(" server={server}"));
    }

    fn update_counter(&mut self, count: &str, amount: f64, life: Micros) {
        self.write("post_amount", format_args!(" name={count} amount={amount} livesMs={}", millis(life)));
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.write("keep_informed", format_args!(" active={}", u8::from(on)));
    }

    fn poll_endpoints(&mut self) {
        self.write("lookup", format_args!(""));
    }

    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]) {
        let to = gateway.map_or("-1".into(), |gateway| gateway.to_string());
        self.write("signal", format_args!(" addressee={to} data={}", base64(data)));
    }

    fn log(&mut self, text: &str) {
        self.write("emit", format_args!(" message={}", text.replace('\n', " ")));
    }
}
