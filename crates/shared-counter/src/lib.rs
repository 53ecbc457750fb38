//! One gateway's view of the counters that all gateways add to. It combines the gateway's own additions, the shared counter's
//! totals and gossip. This package does no I/O and has no clock: times are microseconds of a single clock of the caller, and
//! amounts are units as weighted by the decision module.
//!
//! [`pn_counter`] stores the contributions of all gateways as mergeable state. [`monitor`] sits between the decision module and
//! the shared counter: it sees every call and its outcome, detects that the counter is lost, reset or partitioned, and replies
//! with the best known total. [`gossip`] disseminates reports of any kind to all gateways.

#![warn(missing_docs)]

mod expiring_map;
pub mod gossip;
pub mod monitor;
pub mod pn_counter;

/// Whole microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
