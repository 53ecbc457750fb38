//! The lab: stand-ins for everything a gateway meets, a load on it, faults at stated moments, and a ledger that judges
//! the five rules from the outside. It shares no code with the gateway: what both misread alike would never be found.
//!
//! `model` has how each party behaves, without sockets or clocks; `live` drives the models on loopback.

pub mod checkers;
pub mod explore;
pub mod fault_schedule;
pub mod history;
pub mod lease_explorer;
pub mod lease_simulation;
pub mod live;
pub mod membership_simulation;
pub mod model;
pub mod outlier_simulation;
pub mod quota_simulation;
pub mod report;
pub mod request_ledger;
pub mod scenario;
pub mod soak;
pub mod store_benchmark;
pub mod subsetting_comparison;
pub mod virtual_time;
pub mod wire;

/// Whole microseconds since the run began, or of a length of time. All parties of a run share one clock.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The bits of a name that seeds may be made from, the same on every machine.
pub fn seed_of(seed: u64, name: &str) -> u64 {
    // Each byte moves all bits: two names of one run must not draw alike.
    name.bytes().fold(seed ^ 0x9e37_79b9_7f4a_7c15, |mixed, byte| {
        (mixed ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(29)
    })
}
