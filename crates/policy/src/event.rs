//! The events that reach the decision module and the records that they carry; it holds no state and decides nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Microseconds of a clock that all gateways share, or a span of that unit.
pub type Micros = u64;

/// An identifier exactly as the protocol carries it.
pub type Id = Arc<str>;

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request among those in flight at this gateway.
    pub id: Id,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// The tenant whose quota it uses.
    pub tenant: Id,
    /// What it takes from the quota.
    pub units: f64,
    /// The tenant's requests come through [`Request::gateway_spread`] gateways in a row, from this number on, modulo the
    /// number of gateways.
    pub first_gateway: u32,
    /// How many gateways the tenant's requests come through.
    pub gateway_spread: u32,
    /// Time until the client's deadline.
    pub time_left: Micros,
}

/// How an attempt, a health check or a call to the shared counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It was answered with an error.
    Error,
    /// It was rejected for want of capacity, without having run.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection came up.
    NotConnected,
    /// The connection ended under it.
    Reset,
    /// This gateway cancelled it.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

impl Outcome {
    /// The attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// A server's report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being worked on.
    pub in_flight: Option<f64>,
    /// Requests waiting to be worked on.
    pub queued: Option<f64>,
    /// Utilization, from 0 to 1.
    pub utilization: Option<f64>,
    /// Mean service time.
    pub service_time: Option<Micros>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptCompleted {
    /// The request that the attempt was made for.
    pub request: Id,
    /// The attempt's number, from 0.
    pub attempt: usize,
    /// The server that it was sent to.
    pub server: Id,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from sending to the end, as this gateway saw it.
    pub elapsed: Micros,
    /// For how much of that time the answer lay here before this gateway read it; 0 where that is not known.
    pub read_delay: Micros,
    /// The request has its final answer, by this attempt or before it.
    pub is_final: bool,
    /// The units that replace the request's estimate.
    pub units: Option<f64>,
    /// The server's load, as its answer reported it.
    pub load: LoadReport,
}

/// Whether an endpoint takes new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new attempts.
    Ready,
    /// It completes its attempts and takes no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's name.
    pub server: Id,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its hardware type.
    pub hardware_type: u32,
    /// Index of its cell (a rack).
    pub cell: u32,
    /// Whether it takes new attempts.
    pub state: EndpointState,
    /// Its capacity beside the others', as far as the list knows.
    pub weight: f64,
    /// When it last started, by the clock that the module is given; absent where that is long past.
    pub started_at: Option<Micros>,
    /// The same as discovery reports it, which is the same number at all gateways.
    pub listed_start: Option<Micros>,
}

/// The servers that one gateway is to use, as they were assigned among all gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Subset {
    /// Each server's weight in this gateway's traffic; 0 for one held in reserve.
    pub weights: BTreeMap<Id, f64>,
    /// How many gateways use a server, on average.
    pub gateways_per_server: f64,
}
