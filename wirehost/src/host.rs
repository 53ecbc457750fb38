//! One gateway's side of the wire: the settings read for it, and the actions it writes.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use fernscale::interface::{Ceiling, Group, Host, Id, Kind, Lane, Micros, Plan, Settings};

use crate::wire::{base64, millis, Line, Parsed};

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

    fn nack(&mut self, transaction: &Id, wait: Micros) {
        self.write("decline", format_args!(" tid={transaction} holdOffMs={}", millis(wait)));
    }

    fn abandon(&mut self, transaction: &Id) {
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

pub fn settings(line: &Line) -> Parsed<Settings> {
    let on = |key: &str| line.flag(key);
    Ok(Settings {
        seed: line.whole("prng")?,
        me: line.whole_or("me", 0)? as u32,
        gateways: line.whole_or("balancers", 1)? as u32,
        lanes: (0..line.whole_or("lanes.count", 0)?).map(|at| lane(line, at)).collect::<Parsed<_>>()?,
        plans: (0..line.whole_or("tiersOfService.count", 0)?)
            .map(|at| plan(line, at))
            .collect::<Parsed<_>>()?,
        most_trips: line.whole_or("ceilings.sendCap", 1)? as u32,
        may_cancel: on("ceilings.cancel")?,
        longest_wait: if on("ceilings.retryAfter")? {
            line.time_or("ceilings.maxRetryAfterMs", 0)?
        } else {
            0
        },
        counter: on("specifics.sharedCounter")?,
        list_on_request: match line.fields.get("discovery") {
            Some(&"on_request") => Some(line.time_or("rules.askWithinMs", 0)?),
            _ => None,
        },
        cold_share: line.number_or("rules.coldFrom", 1.0)?,
        warm_up: line.time_or("rules.warmUpMs", 0)?,
        fall_multiple: line.number_or("rules.fallMultiple", 1.0)?,
        fall_window: line.time_or("rules.fallMs", 0)?,
    })
}

fn lane(line: &Line, at: u64) -> Parsed<Lane> {
    let key = |name: &str| format!("lanes.{at}.{name}");
    let kind = match line.text(&key("effect"))? {
        "read_like" => Kind::Redoable,
        "idempotency_key" => Kind::Labelled {
            group: match line.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("'{other}' is no group")),
            },
            memory: line.time_or(&key("memorySpanMs"), 0)?,
        },
        "non_idempotent" => Kind::Irreversible,
        other => return Err(format!("'{other}' is no effect")),
    };
    Ok(Lane { kind, agreed: line.time(&key("onTimeMs"))?, importance: line.number_or(&key("value"), 1.0)? })
}

fn plan(line: &Line, at: u64) -> Parsed<Plan> {
    let number = |name: &str| line.number_or(&format!("tiersOfService.{at}.{name}"), 0.0);
    let ceiling = Ceiling { rate: number("capRate")?, burst: number("ceilingBurst")? };
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("burst")?,
        most_out: number("maxOut")? as u32,
        price: line.number_or(&format!("tiersOfService.{at}.valueFactor"), 1.0)?,
        over_worth: number("excessWorth")?,
        over_cost: number("excessCost")?,
        ceiling: Some(ceiling).filter(|ceiling| ceiling.rate > 0.0),
    })
}
