//! The settings of the decision module, and their reader. Settings are constant after the start.

mod error;
mod fields;
mod platform;

pub use error::SettingsError;
pub use fields::Fields;
pub use platform::{parse_load_field, platform_settings, policy_settings, PlatformSettings};

use crate::event::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// Requests carry an idempotency key. The servers of one `scope` drop repeats for `retention`, counted from
    /// the first attempt that may have run.
    Keyed {
        /// The servers that share their memory of keys.
        scope: KeyScope,
        /// How long the servers remember a key.
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

/// The properties of all requests of one class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The latency objective: the time within which a request should be answered.
    pub latency_objective: Micros,
    /// The value of an answer within quota and objective, relative to other classes.
    pub priority_weight: f64,
}

/// The quotas of a tenant.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units per second; 0 if the plan has no quota on the rate.
    pub rate: f64,
    /// Units that may pass at once.
    pub burst: f64,
    /// Maximum number of requests in flight; 0 if the plan has no such quota.
    pub max_concurrency: u32,
    /// Factor on the priority weight of requests within the quota.
    pub priority_factor: f64,
    /// The share of its priority weight that a request earns when it is forwarded beyond the quota.
    pub excess_value: f64,
    /// The share of its priority weight that a request costs when it is forwarded beyond the quota.
    pub excess_cost: f64,
    /// The hard ceiling, which all gateways together never exceed.
    pub ceiling: Option<Ceiling>,
}

/// A hard ceiling on the units admitted for a tenant, whatever its quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    /// Units per second.
    pub rate: f64,
    /// Units that may pass at once.
    pub burst: f64,
}

/// The settings of the decision module.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the generator of random numbers.
    pub seed: u64,
    /// This gateway's number, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The request classes, by the index in requests.
    pub classes: Vec<RequestClass>,
    /// The plans, by the index in requests.
    pub plans: Vec<Plan>,
    /// Maximum number of attempts for one request. Only one attempt of a request is in flight at a time.
    pub max_attempts: u32,
    /// Whether attempts in flight can be cancelled.
    pub can_cancel: bool,
    /// The longest Retry-After of a rejection; 0 if rejections carry none.
    pub max_retry_after: Micros,
    /// Whether the gateways share a counter.
    pub has_shared_counter: bool,
    /// The maximum interval between polls of the endpoint list; `None` if the list is pushed.
    pub list_poll_interval: Option<Micros>,
    /// The share of its full capacity that a server has when it starts.
    pub slow_start_share: f64,
    /// The time in which a server reaches its full capacity after its start.
    pub slow_start_duration: Micros,
    /// A server in slow start collapses if its load exceeds its capacity by this factor for
    /// [`Settings::overload_window`].
    pub overload_factor: f64,
    /// The time over which the load of a server in slow start is counted.
    pub overload_window: Micros,
}
