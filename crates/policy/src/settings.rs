//! The settings of the decision module, and their reader; nothing here changes after the start.

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
    /// The longest Retry-After that a rejection may carry; 0 where rejections carry none.
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
