//! The rank of each gateway for each lease, by rendezvous hashing of their names. Leases are spread evenly over the
//! gateways, and few leases move when the fleet grows or shrinks. A rank gives no right to a lease, so differing views
//! of the fleet cost only one more change of the holder.

use crate::{seeded_hash, Name};

/// A gateway that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    /// The gateway's name.
    pub name: Name,
    /// Ranks the gateway after all willing gateways: it is slow, cordoned, shutting down, or cut off from a resource
    /// that the lease needs.
    pub unwilling: bool,
}

/// Seed of the hash. All gateways must use the same value.
const RANKING_SEED: u64 = 0x6f77_6e65_7273;

/// The names of the participants in the order of their ranks for a lease.
pub fn ranked(lease: &str, participants: &[Participant]) -> Vec<Name> {
    let key = |participant: &Participant| {
        let hash = seeded_hash(RANKING_SEED, &[lease, &participant.name], 0);
        (participant.unwilling, hash, participant.name.clone())
    };
    let mut keys: Vec<_> = participants.iter().map(key).collect();
    keys.sort_unstable();
    keys.into_iter().map(|(_, _, name)| name).collect()
}

/// The rank of a gateway for a lease, from 0; `None` if the gateway is not a participant.
pub fn rank_of(lease: &str, participants: &[Participant], gateway: &str) -> Option<usize> {
    ranked(lease, participants).iter().position(|name| **name == *gateway)
}

/// The name of the participant with the first rank for a lease.
pub fn first_ranked(lease: &str, participants: &[Participant]) -> Option<Name> {
    ranked(lease, participants).into_iter().next()
}
