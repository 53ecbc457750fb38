//! One gateway's side of the wire: the settings read for it, and the actions it writes.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use fernscale_policy::interface::{Host, Id, Micros};
use fernscale_policy::refusal::Refusal;

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

    fn send(&mut self, transaction: &Id, server: &Id, limit: Micros) {
        self.write("issue", format_args!(" tid={transaction} limitMs={} server={server}", millis(limit)));
    }

    fn cancel(&mut self, transaction: &Id, trip: usize) {
        self.write("retract", format_args!(" tid={transaction} go={trip}"));
    }

    fn nack(&mut self, transaction: &Id, wait: Micros, _why: Refusal) {
        self.write("decline", format_args!(" tid={transaction} holdOffMs={}", millis(wait)));
    }

    fn abandon(&mut self, transaction: &Id, _why: Refusal) {
        self.write("fail", format_args!(" tid={transaction}"));
    }

    fn set_alarm(&mut self, delay: Micros, token: &str) {
        self.write("set_alarm", format_args!(" waitMs={} ctx={token}", millis(delay)));
    }

    fn probe(&mut self, server: &Id) {
        self.write("health_check", format_args!(" server={server}"));
    }

    fn close_idle(&mut self, server: &Id) {
        self.write("drop_conns", format_args!(" server={server}"));
    }

    fn add(&mut self, count: &str, amount: f64, life: Micros) {
        self.write("post_amount", format_args!(" name={count} amount={amount} livesMs={}", millis(life)));
    }

    fn follow_list(&mut self, on: bool) {
        self.write("keep_informed", format_args!(" active={}", u8::from(on)));
    }

    fn fetch_list(&mut self) {
        self.write("lookup", format_args!(""));
    }

    fn tell(&mut self, gateway: Option<u32>, data: &[u8]) {
        let to = gateway.map_or("-1".into(), |gateway| gateway.to_string());
        self.write("signal", format_args!(" addressee={to} data={}", base64(data)));
    }

    fn report(&mut self, text: &str) {
        self.write("emit", format_args!(" message={}", text.replace('\n', " ")));
    }
}
