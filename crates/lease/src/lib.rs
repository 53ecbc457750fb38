//! One owner at a time for each job of the fleet, and no harm from an old one that wakes up late.
//!
//! A few named gateways are *voters*. Whoever wants a job asks all of them to promise it a *term*, a number that only rises.
//! A voter promises a term once, to one run of one gateway, and answers only after the promise is durable; a majority of
//! promises makes an owner. Any two majorities have a voter in common, so that no term has two owners, and a later owner's
//! term is higher. Each job is by itself; there is no log and no leader.
//!
//! The *lease* keeps two from working in vain: voters promise nothing to others until it has ended by their clocks, and the
//! owner stops before that by its own. Safety does not hang on it. Whatever an owner does for the fleet carries a
//! [`claimer::Warrant`], and whoever takes the effect in keeps the highest [`Fence`] seen and refuses less ([`fencing`]).
//!
//! No clock, socket, file or thread is here. Callers of [`voter::Voter`] and [`claimer::Claimer`]: tell what came, with the
//! time by an even clock that nobody can set; call `tick` when `due` has come; carry out what `take` gives, in its order.

pub mod acceptor;
pub mod candidacy;
pub mod candidate;
pub mod fencing;
pub mod message;
pub mod ranking;
pub mod replicated_list;
pub mod status;

use std::hash::Hasher;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Microseconds, of a time or of a span.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A job's name, or a gateway's.
pub type Name = Arc<str>;

/// Bytes of a name at the most.
pub const MAX_NAME_BYTES: usize = 64;
/// Jobs at the most: some times what a fleet has. Beyond it a voter promises no new one.
pub const MAX_LEASES: usize = 4_096;
/// Voters at the most: more make every promise dearer, and none safer.
pub const MAX_ACCEPTORS: usize = 7;

/// One run of one gateway's process, drawn anew at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// What an owner is told apart by. The order is that of terms; of one term, which only lost disks can give out twice, that
/// of the runs, so that of any two one is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    pub term: u64,
    pub process: ProcessId,
}

/// What an installation says of its leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// For how long a voter promises nothing to others, by its own clock, after it has answered.
    pub duration: Micros,
    /// How unevenly any two clocks run at the most, in millionths.
    pub max_drift_ppm: u64,
}

impl LeaseTerms {
    /// For how long an owner acts, by its own clock, after it has asked: if that runs slowly and the voters' fast, it has
    /// stopped all the same when the first of them promises the job to another.
    pub fn holder_duration(&self) -> Micros {
        (u128::from(self.duration) * u128::from(MILLION - self.max_drift_ppm.min(MILLION))
            / u128::from(MILLION)) as Micros
    }
}

const MILLION: u64 = 1_000_000;

/// Which gateways vote. A change of them has the next number and names those before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorSet {
    pub epoch: u32,
    pub names: Vec<Name>,
    /// Those of the number before; none at first.
    pub previous_names: Vec<Name>,
}

impl AcceptorSet {
    pub fn initial(names: &[Name]) -> Self {
        AcceptorSet { epoch: 0, names: names.to_vec(), previous_names: Vec::new() }
    }

    /// Tells these from any others.
    pub fn id(&self) -> AcceptorSetId {
        let mut names: Vec<&str> = self.names.iter().map(|name| &**name).collect();
        names.sort_unstable();
        AcceptorSetId { epoch: self.epoch, digest: seeded_hash(0, &names, 0) }
    }
}

/// A set of voters: what is promised to a claim counts for one set only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorSetId {
    pub epoch: u32,
    /// Of the names, so that two configurations of one number that differ are found out.
    pub digest: u64,
}

/// How many of so many voters are a majority.
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// A number from some names and numbers, the same on every machine: what is drawn by it can be played again.
fn seeded_hash(seed: u64, names: &[&str], counter: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, counter);
    for name in names {
        hasher.write_usize(name.len());
        hasher.write(name.as_bytes());
    }
    hasher.finish()
}
