//! The decision module of a fernscale gateway: admission by quota, server selection, retries and deadlines.
//!
//! [`Engine`] is a state machine without I/O. Its caller reports each event by calling the method named after
//! the event. Before that method returns, the engine acts through its [`Host`]. The engine holds no clock,
//! socket or thread. Its random numbers come from a generator seeded by [`Settings::seed`], so equal events
//! give equal actions.
#![warn(missing_docs)]

mod admission;
mod concurrency_limit;
mod counter;
mod deadline;
mod endpoints;
mod engine;
mod event;
mod hash;
mod host;
mod in_flight;
mod latency;
mod numeric;
mod outlier;
mod queue;
mod quota;
mod recent_requests;
mod rejection;
mod retry;
mod selection;
pub mod settings;
mod slow_start;
mod subset;
mod tenants;

pub use engine::Engine;
pub use event::{
    AttemptCompleted, Endpoint, EndpointState, Id, LoadReport, Micros, Outcome, Request, Subset,
};
pub use host::{AttemptLimits, Host};
pub use recent_requests::RequestFingerprint;
pub use rejection::RejectReason;
pub use settings::{Ceiling, Idempotency, KeyScope, Plan, RequestClass, Settings};
