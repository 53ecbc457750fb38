//! The events that the decision module receives and the records that they contain. This module holds no state
//! and decides nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A time in microseconds, by a clock that all gateways share, or a duration in microseconds.
pub type Micros = u64;

/// An identifier exactly as in the protocol.
pub type Id = Arc<str>;

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request among those in flight at this gateway.
    pub id: Id,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// The tenant whose quota the request uses.
    pub tenant: Id,
    /// The units that the request takes from the quota.
    pub units: f64,
    /// Number of the first gateway that the tenant uses. Its requests arrive through
    /// [`Request::gateway_spread`] consecutive gateways from this one on, modulo the number of gateways.
    pub first_gateway: u32,
    /// How many gateways the tenant's requests arrive through.
    pub gateway_spread: u32,
    /// Time until the client's deadline.
    pub time_left: Micros,
}

/// How an attempt, a health check or a call to the shared counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// The answer was an error.
    Error,
    /// It was rejected for lack of capacity, without having run.
    Overloaded,
    /// No answer arrived in time.
    TimedOut,
    /// No connection was established.
    NotConnected,
    /// The connection ended before the answer.
    Reset,
    /// This gateway cancelled it.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// A server's report of its load. Values that the server does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being processed.
    pub in_flight: Option<f64>,
    /// Requests waiting to be processed.
    pub queued: Option<f64>,
    /// Utilization, from 0 to 1.
    pub utilization: Option<f64>,
    /// Mean service time.
    pub service_time: Option<Micros>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptCompleted {
    /// The request that the attempt belongs to.
    pub request: Id,
    /// The attempt's number, from 0.
    pub attempt: usize,
    /// The server that it was sent to.
    pub server: Id,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, as this gateway saw it.
    pub elapsed: Micros,
    /// The part of `elapsed` for which the answer lay unread at this gateway; 0 if unknown.
    pub read_delay: Micros,
    /// Whether the request has its final answer, from this attempt or from an earlier event.
    pub is_final: bool,
    /// The actual units, which replace the request's estimate.
    pub units: Option<f64>,
    /// The server's load, as reported with the answer.
    pub load: LoadReport,
}

/// Whether an endpoint takes new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server takes new attempts.
    Ready,
    /// The server completes its attempts and takes no new ones.
    Draining,
    /// The server has been removed.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's name.
    pub server: Id,
    /// Index of the server's zone.
    pub zone: u32,
    /// Index of the server's hardware type.
    pub hardware_type: u32,
    /// Index of the server's cell (a rack).
    pub cell: u32,
    /// Whether the server takes new attempts.
    pub state: EndpointState,
    /// The server's capacity relative to the others, as far as the list knows.
    pub weight: f64,
    /// When the server last started, by the clock of the decision module's host; absent if that is long ago.
    pub started_at: Option<Micros>,
    /// The start time as discovery reports it, which is the same number at all gateways.
    pub listed_start: Option<Micros>,
}

/// The subset of servers that is assigned to one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Subset {
    /// Each server's weight in this gateway's traffic; 0 for a server in reserve.
    pub weights: BTreeMap<Id, f64>,
    /// How many gateways use a server, on average.
    pub gateways_per_server: f64,
}
