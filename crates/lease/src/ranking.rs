//! Who shall own what: for each job an order of the gateways, drawn by its name, so that jobs are spread evenly and few move
//! when the fleet grows or shrinks. Views that differ only cost a move more: who owns is agreed by the voters.

use crate::{seeded_hash, Name};

/// A gateway that may own jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    pub name: Name,
    /// It had better not: it is slow, cordoned, about to end, or parted from what the job needs. It comes last.
    pub unwilling: bool,
}

/// A constant of the order, so that all gateways draw alike.
const RANKING_SEED: u64 = 0x6f77_6e65_7273;

/// The gateways in a job's order.
pub fn ranked(lease: &str, participants: &[Participant]) -> Vec<Name> {
    let key = |participant: &Participant| {
        (
            participant.unwilling,
            seeded_hash(RANKING_SEED, &[lease, &participant.name], 0),
            participant.name.clone(),
        )
    };
    let mut keys: Vec<_> = participants.iter().map(key).collect();
    keys.sort_unstable();
    keys.into_iter().map(|(_, _, name)| name).collect()
}

/// The place of a gateway in a job's order, from 0; none where it is no candidate.
pub fn rank_of(lease: &str, participants: &[Participant], participant: &str) -> Option<usize> {
    ranked(lease, participants).iter().position(|name| **name == *participant)
}

/// Who comes first.
pub fn first_ranked(lease: &str, participants: &[Participant]) -> Option<Name> {
    ranked(lease, participants).into_iter().next()
}
