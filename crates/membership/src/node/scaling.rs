//! How the time-outs of the failure detector grow with the number of members: with its logarithm, as in SWIM. Pure functions
//! without state.

use fernscale_shared_counter::{Micros, MILLISECOND};

/// One member is probed in each period.
pub(super) const PROBE_PERIOD: Micros = 200 * MILLISECOND;
/// Probe periods that a suspicion lasts, for each doubling of the members: a refutation travels as far as the suspicion.
const SUSPICION_PERIODS_PER_DOUBLING: u64 = 3;
const MIN_SUSPICION_PERIODS: u64 = 5;
/// The least time that a refutation takes to arrive here: the suspected member learns of the suspicion from gossip.
pub(super) const MIN_REFUTATION_TIME: Micros = PROBE_PERIOD * MIN_SUSPICION_PERIODS;
/// How long a suspicion stands before the member is declared dead, with so many other members known.
pub(super) fn suspicion_timeout(other_members: usize) -> Micros {
    let doublings = u64::from(u64::BITS - (other_members as u64 + 1).leading_zeros());
    PROBE_PERIOD * (SUSPICION_PERIODS_PER_DOUBLING * doublings).max(MIN_SUSPICION_PERIODS)
}

/// How long before a change of its state a member may already have been unreachable.
pub(super) fn detection_delay(other_members: usize) -> Micros {
    suspicion_timeout(other_members) + MIN_REFUTATION_TIME
}
