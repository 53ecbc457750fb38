//! What passes between the decision module and its caller: settings, events, the records that they carry, and the
//! [`Host`] through which the module acts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rejection::RejectReason;

/// Microseconds of a clock that all gateways share, or a span of that unit.
pub type Micros = u64;

/// An identifier exactly as the protocol carries it.
pub type Id = Arc<str>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// It carries an idempotency key. The servers of one `scope` drop repeats for `retention`, counted from the first
    /// attempt that may have run.
    Keyed {
        /// The servers that share their memory of keys.
        scope: KeyScope,
        /// How long they remember a key.
        retention: Micros,
    },
    /// Running it again has a second effect.
    NonIdempotent,
}

/// The servers that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell (a rack).
    Cell,
}

/// What the requests of one class have in common.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The time within which an answer is wanted.
    pub latency_objective: Micros,
    /// What an answer within quota and objective is worth, beside those of other classes.
    pub priority_weight: f64,
}

/// The quotas of a tenant.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units per second; 0 where the plan has no quota on the rate.
    pub rate: f64,
    /// Units that may pass at once.
    pub burst: f64,
    /// Requests in flight at once; 0 where the plan has no such quota.
    pub max_concurrency: u32,
    /// Factor on the priority weight of requests within the quota.
    pub priority_factor: f64,
    /// The part of its priority weight that a request earns when it is forwarded beyond the quota.
    pub excess_value: f64,
    /// The part of its priority weight that a request costs when it is forwarded beyond the quota.
    pub excess_cost: f64,
    /// The hard ceiling, which all gateways together never exceed.
    pub ceiling: Option<Ceiling>,
}

/// A hard ceiling on what a tenant is admitted, whatever its quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    /// Units per second.
    pub rate: f64,
    /// Units that may pass at once.
    pub burst: f64,
}

/// What the decision module goes by.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// This gateway's number, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The classes of requests, by the index that requests name.
    pub classes: Vec<RequestClass>,
    /// The plans of tenants, by the index that requests name.
    pub plans: Vec<Plan>,
    /// Attempts that one request may have; never two of them are in flight together.
    pub max_attempts: u32,
    /// Attempts in flight can be cancelled.
    pub can_cancel: bool,
    /// The longest Retry-After that a rejection may carry; 0 where clients are told none.
    pub max_retry_after: Micros,
    /// The gateways share a counter.
    pub has_shared_counter: bool,
    /// The endpoint list comes only to those that poll it, and has to be polled within this time.
    pub list_poll_interval: Option<Micros>,
    /// The part of its full capacity that a server has when it starts.
    pub slow_start_share: f64,
    /// The time in which a server that has started reaches its full capacity.
    pub slow_start_duration: Micros,
    /// A server in slow start that is sent so many times what it can do for [`Settings::overload_window`] collapses.
    pub overload_factor: f64,
    /// The time over which the load of a server in slow start is counted.
    pub overload_window: Micros,
}

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request among those in flight at this gateway.
    pub id: Id,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::plans`].
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
    /// Time from sending to the end.
    pub elapsed: Micros,
    /// The request has its final answer, by this attempt or before it.
    pub is_final: bool,
    /// The units that replace the request's estimate.
    pub units: Option<f64>,
    /// The server's load, as its answer reported it.
    pub load: LoadReport,
}

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new attempts.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is gone.
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
    /// Where it stands in its life.
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

/// What the decision module can do, on behalf of one gateway. Its calls take effect in the order in which they are made.
pub trait Host {
    /// The time by the clock that all gateways share.
    fn now(&self) -> Micros;
    /// Forwards a request to a server. Attempts count from 0; the time limit is cut to the client's deadline.
    fn forward(&mut self, request: &Id, server: &Id, time_limit: Micros);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Final answer: rejected without any effect; it may be sent again, best after `retry_after`.
    fn reject(&mut self, request: &Id, retry_after: Micros, reason: RejectReason);
    /// Final answer: failed, and whether it had an effect is not known.
    fn fail(&mut self, request: &Id, reason: RejectReason);
    /// Has the timer of this token fire, not before `delay` has passed.
    fn set_timer(&mut self, delay: Micros, token: &str);
    /// Sends a health check to a server.
    fn check_health(&mut self, server: &Id);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: &Id);
    /// Adds to a counter that all gateways share; the reply tells the total. A new counter is kept for `lifetime`.
    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros);
    /// Opens the watch on the endpoint list, or ends it.
    fn watch_endpoints(&mut self, on: bool);
    /// Polls the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Sends some bytes to one other gateway, or to all of them.
    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
}
