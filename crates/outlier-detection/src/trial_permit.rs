//! Whose turn it is to do what few should do: for each thing an order of all gateways, another at each turn, by which the first does
//! it, and the next steps in where no word comes from it. No two need agree: by any views each gateway's chance to come first is
//! that of all others, so that over time the fleet does one thing a turn, whoever sees whom.

use crate::{stable_hash, Micros, SECOND};

/// The time of one turn, by the clock that all share: a server that is well again is used again within some of them.
pub const INTERVAL: Micros = SECOND;
/// How many may step in within a turn, one after the other.
const STEPS_PER_INTERVAL: u64 = 3;

/// When a turn began, and its number.
pub fn current_interval(shared: Micros) -> (Micros, u64) {
    (shared - shared % INTERVAL, shared / INTERVAL)
}

/// Whether a gateway may do it now: it comes first in this turn's order, or as many steps of it have passed without a word as
/// there are before it. `near`: those who stand where the thing is come first.
pub fn is_granted(
    shared: Micros,
    local: &str,
    server: &str,
    others: &[&str],
    is_near: impl Fn(&str) -> bool,
) -> bool {
    let (began, number) = current_interval(shared);
    let step = (shared - began) * STEPS_PER_INTERVAL / INTERVAL;
    let rank = |name: &str| (!is_near(name), stable_hash(name, server, number));
    let own = rank(local);
    let before = others.iter().filter(|other| **other != local && rank(other) < own).count() as u64;
    before <= step
}
