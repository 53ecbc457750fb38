//! Which gateway may try an ejected server. In each interval a hash orders all gateways for each server; the first may try it,
//! and the next ones in their steps if nobody reports. No agreement is needed: by any view of the membership each gateway
//! comes first as often as the others, so that over time the fleet makes one trial an interval.

use crate::{stable_hash, Micros, SECOND};

/// The length of an interval.
const INTERVAL: Micros = SECOND;
/// Steps of an interval, in each of which a further gateway may try.
const STEPS_PER_INTERVAL: u64 = 3;

/// An interval of the clock that all gateways share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interval {
    pub started_at: Micros,
    pub number: u64,
}

impl Interval {
    /// The interval of a time of the shared clock.
    pub fn at(shared: Micros) -> Self {
        Interval { started_at: shared - shared % INTERVAL, number: shared / INTERVAL }
    }
}

/// Whether a gateway may try a server now: as many steps of the interval have passed as there are gateways before it in the
/// order. Gateways that are near the server come first.
pub(crate) fn is_granted(
    shared: Micros,
    local: &str,
    server: &str,
    others: &[&str],
    is_near: impl Fn(&str) -> bool,
) -> bool {
    let interval = Interval::at(shared);
    let step = (shared - interval.started_at) * STEPS_PER_INTERVAL / INTERVAL;
    let rank = |name: &str| (!is_near(name), stable_hash(name, server, interval.number));
    let local_rank = rank(local);
    let before = others.iter().filter(|other| **other != local && rank(other) < local_rank).count() as u64;
    before <= step
}
