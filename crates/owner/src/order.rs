//! Who shall own what: for each job an order of the gateways, drawn by its name, so that jobs are spread evenly and few move
//! when the fleet grows or shrinks. Views that differ only cost a move more: who owns is agreed by the voters.

use crate::{drawn, Name};

/// A gateway that may own jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub name: Name,
    /// It had better not: it is slow, cordoned, about to end, or parted from what the job needs. It comes last.
    pub unwilling: bool,
}

/// A constant of the order, so that all gateways draw alike.
const SEED: u64 = 0x6f77_6e65_7273;

/// The place of a gateway in a job's order, from 0; none where it is no candidate.
pub fn place(job: &str, candidates: &[Candidate], of: &str) -> Option<usize> {
    let key = |candidate: &Candidate| {
        (candidate.unwilling, drawn(SEED, &[job, &candidate.name], 0), candidate.name.clone())
    };
    let own = key(candidates.iter().find(|candidate| *candidate.name == *of)?);
    Some(candidates.iter().filter(|candidate| key(candidate) < own).count())
}

/// Who comes first.
pub fn first(job: &str, candidates: &[Candidate]) -> Option<Name> {
    candidates.iter().find(|own| place(job, candidates, &own.name) == Some(0)).map(|own| own.name.clone())
}
