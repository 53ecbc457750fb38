//! Timeouts of the failure detector as functions of the number of members. They grow with its logarithm, as in SWIM.

use fernscale_shared_counter::{Micros, MILLISECOND};

/// Length of a probe period. One member is probed in each period.
pub(super) const PROBE_PERIOD: Micros = 200 * MILLISECOND;
/// Probe periods that a suspicion lasts for each doubling of the members. A refutation needs as many hops as the suspicion.
const SUSPICION_PERIODS_PER_DOUBLING: u64 = 3;
const MIN_SUSPICION_PERIODS: u64 = 5;
/// The minimum time for a refutation to arrive, since the suspected member learns about the suspicion from gossip.
pub(super) const MIN_REFUTATION_TIME: Micros = PROBE_PERIOD * MIN_SUSPICION_PERIODS;

/// How long a member is suspected before it is declared dead, given the number of other known members.
pub(super) fn suspicion_timeout(other_members: usize) -> Micros {
    let doublings = u64::from(u64::BITS - (other_members as u64 + 1).leading_zeros());
    PROBE_PERIOD * (SUSPICION_PERIODS_PER_DOUBLING * doublings).max(MIN_SUSPICION_PERIODS)
}

/// The maximum time for which a member may have been unreachable before its state changed.
pub(super) fn detection_delay(other_members: usize) -> Micros {
    suspicion_timeout(other_members) + MIN_REFUTATION_TIME
}
