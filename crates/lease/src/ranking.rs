//! Who shall own what: for each job an order of the gateways, drawn by its name, so that jobs are spread evenly and few move
//! when the fleet grows or shrinks. Views that differ only cost a move more: who owns is agreed by the voters.

use crate::{drawn, Name};

/// A gateway that may own jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Participant {
    pub name: Name,
    /// It had better not: it is slow, cordoned, about to end, or parted from what the job needs. It comes last.
    pub unwilling: bool,
}

/// A constant of the order, so that all gateways draw alike.
const SEED: u64 = 0x6f77_6e65_7273;

/// The gateways in a job's order.
pub fn ranked(job: &str, candidates: &[Participant]) -> Vec<Name> {
    let key = |own: &Participant| (own.unwilling, drawn(SEED, &[job, &own.name], 0), own.name.clone());
    let mut all: Vec<_> = candidates.iter().map(key).collect();
    all.sort_unstable();
    all.into_iter().map(|(_, _, name)| name).collect()
}

/// The place of a gateway in a job's order, from 0; none where it is no candidate.
pub fn rank_of(job: &str, candidates: &[Participant], of: &str) -> Option<usize> {
    ranked(job, candidates).iter().position(|name| **name == *of)
}

/// Who comes first.
pub fn first_ranked(job: &str, candidates: &[Participant]) -> Option<Name> {
    ranked(job, candidates).into_iter().next()
}
