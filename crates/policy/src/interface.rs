//! What passes between the decision module and whoever runs it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::refusal::Refusal;

/// Whole microseconds, of a clock that all gateways share.
pub type Micros = u64;

/// An id just as the outside gave it.
pub type Id = Arc<str>;

/// What may be done again with a lane's transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Redoable,
    /// Servers of one group drop repeats for `memory`, counted from the first sending that may have run.
    Labelled {
        group: Group,
        memory: Micros,
    },
    Irreversible,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Lane {
    pub kind: Kind,
    pub agreed: Micros,
    pub importance: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second; 0 where the plan has no quota on the rate.
    pub rate: f64,
    pub burst: f64,
    /// Trips out at once; 0 where the plan has no such quota.
    pub most_out: u32,
    /// Factor on the importance of what is inside the quota.
    pub price: f64,
    /// Share of its importance that a transaction earns, and costs, when sent on beyond the quota.
    pub over_worth: f64,
    pub over_cost: f64,
    pub ceiling: Option<Ceiling>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub me: u32,
    pub gateways: u32,
    pub lanes: Vec<Lane>,
    pub plans: Vec<Plan>,
    /// Trips one transaction may make; the module never has two of them out together.
    pub most_trips: u32,
    pub may_cancel: bool,
    /// The longest wait that a nack may advise; 0 where clients hear of none.
    pub longest_wait: Micros,
    pub counter: bool,
    /// The list of servers comes only to those who ask, and must be asked for within this time.
    pub list_on_request: Option<Micros>,
    /// A fresh server's share of its full capacity, the time in which it is warm, and the push that fells it:
    /// so many times what it can do, for so long.
    pub cold_share: f64,
    pub warm_up: Micros,
    pub fall_multiple: f64,
    pub fall_window: Micros,
}

#[derive(Clone, Debug)]
pub struct Transaction {
    pub id: Id,
    pub lane: usize,
    pub plan: usize,
    pub customer: Id,
    pub units: f64,
    /// The customer's gateways: `spread` of them in a row from number `first`, counted round.
    pub first: u32,
    pub spread: u32,
    /// Time until the client's hard stop.
    pub left: Micros,
}

/// How a trip, a probe or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    NotConnected,
    Reset,
    Cancelled,
    NeverSent,
}

impl Outcome {
    /// The sending surely had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// A server's own word on its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub service: Option<Micros>,
}

/// The end of one trip.
#[derive(Clone, Debug)]
pub struct Returned {
    pub transaction: Id,
    pub trip: usize,
    pub server: Id,
    pub outcome: Outcome,
    pub took: Micros,
    /// The transaction has its final answer, by this outcome or before it.
    pub finished: bool,
    /// The units that take the place of the guess.
    pub units: Option<f64>,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub server: Id,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: State,
    /// Its size beside the others', as far as the list knows.
    pub rating: f64,
    /// When it last started, by the clock that the module is told; absent where that is long past.
    pub started: Option<Micros>,
    /// The same as discovery tells it, which all gateways hear alike.
    pub told_start: Option<Micros>,
}

/// The servers that one gateway is to use, as they were dealt out among all gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Subset {
    /// Each with the part of this gateway's traffic that it is to get, beside the others; 0 for one held in reserve.
    pub parts: BTreeMap<Id, f64>,
    /// How many gateways use a server, in the mean.
    pub shared_by: f64,
}

/// What the module can do, on behalf of one gateway. Its calls take effect in the order they are made.
pub trait Host {
    fn now(&self) -> Micros;
    /// Sends a transaction to a server. Trips count from 0; the limit is cut to the hard stop.
    fn send(&mut self, transaction: &Id, server: &Id, limit: Micros);
    fn cancel(&mut self, transaction: &Id, trip: usize);
    /// Final answer: trying again is harmless, best after `wait`.
    fn nack(&mut self, transaction: &Id, wait: Micros, why: Refusal);
    /// Final answer: nothing is promised.
    fn abandon(&mut self, transaction: &Id, why: Refusal);
    /// Calls `alarm` with the same token, not before `delay` has passed.
    fn set_alarm(&mut self, delay: Micros, token: &str);
    fn probe(&mut self, server: &Id);
    fn close_idle(&mut self, server: &Id);
    /// Adds to a count that all gateways share; `counted` tells the total. A new count is kept for `life`.
    fn add(&mut self, count: &str, amount: f64, life: Micros);
    fn follow_list(&mut self, on: bool);
    fn fetch_list(&mut self);
    /// Tells one other gateway, or all of them, a few bytes.
    fn tell(&mut self, gateway: Option<u32>, data: &[u8]);
    fn report(&mut self, text: &str);
}
