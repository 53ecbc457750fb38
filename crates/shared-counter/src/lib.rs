//! What one gateway can know of counts that all of them add to: from its own additions, from the shared counter's totals
//! and from what other gateways tell of theirs. It does no I/O and has no clock; times are whole microseconds of the
//! caller's one clock, amounts are units as the decision module weighs them.
//!
//! `vectors` holds what each gateway has added, as mergeable state. `tally` stands between the decision module and the
//! counter: it sees every call and every answer, tells a good counter from one that is lost, emptied or apart, and
//! answers with the best total there is. `rumour` has words of any kind heard by everybody.

pub mod rumour;
pub mod tally;
pub mod vectors;

/// Whole microseconds.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
