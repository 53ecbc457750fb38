//! Trial permits, which determine the gateway that may try an ejected server. In each interval a hash orders all gateways for
//! each server. The first gateway may try the server at once. The following ones may try it in later steps of the interval if no
//! gateway has reported a result. No agreement is needed: in any view of the membership each gateway comes first equally often,
//! so on average the fleet makes one trial per interval.

use crate::{stable_hash, Micros, SECOND};

/// The length of an interval.
const INTERVAL: Micros = SECOND;
/// Number of steps in an interval. In each step another gateway may try the server.
const STEPS_PER_INTERVAL: u64 = 3;

/// An interval of the clock that all gateways share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interval {
    pub started_at: Micros,
    pub number: u64,
}

impl Interval {
    /// The interval that contains a time of the shared clock.
    pub fn at(shared_time: Micros) -> Self {
        Interval { started_at: shared_time - shared_time % INTERVAL, number: shared_time / INTERVAL }
    }
}

/// Whether a gateway may try a server now: at least as many steps of the interval have passed as there are gateways before it
/// in the order. Gateways for which `is_near` is true come first.
pub(crate) fn is_granted(
    shared_time: Micros,
    local: &str,
    server: &str,
    others: &[&str],
    is_near: impl Fn(&str) -> bool,
) -> bool {
    let interval = Interval::at(shared_time);
    let step = (shared_time - interval.started_at) * STEPS_PER_INTERVAL / INTERVAL;
    let rank = |name: &str| (!is_near(name), stable_hash(name, server, interval.number));
    let local_rank = rank(local);
    let gateways_before =
        others.iter().filter(|other| **other != local && rank(other) < local_rank).count() as u64;
    gateways_before <= step
}
