//! What one gateway can know of counts that all of them add to: from its own additions, from the shared counter's totals
//! and from what other gateways tell of theirs. It does no I/O and has no clock; times are whole microseconds of the
//! caller's one clock, amounts are units as the decision module weighs them.
//!
//! `pn_counter` holds what each gateway has added, as mergeable state. `monitor` stands between the decision module and the
//! counter: it sees every call and every answer, tells a good counter from one that is lost, emptied or apart, and
//! answers with the best total there is. `gossip` has words of any kind heard by everybody.

mod expiring_map;
pub mod gossip;
pub mod monitor;
pub mod pn_counter;

/// Whole microseconds.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
