//! What one gateway knows of the counters that all gateways add to: from its own additions, from the shared counter's totals
//! and from gossip. It does no I/O and has no clock; times are whole microseconds of the caller's one clock, amounts are
//! units as the decision module weights them.
//!
//! [`pn_counter`] holds what each gateway has added, as state that merges. [`monitor`] stands between the decision module and
//! the counter: it sees every call and every outcome, tells a healthy counter from one that is lost, reset or partitioned,
//! and replies with the best total there is. [`gossip`] disseminates reports of any kind to all gateways.

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
