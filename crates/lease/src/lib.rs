//! Leases with fencing tokens. Each lease has at most one holder in the fleet, and late actions of a former holder do
//! no harm.
//!
//! A few named gateways are *acceptors* in the sense of Paxos (Lamport, "The Part-Time Parliament", 1998). A candidate
//! claims a lease by asking all acceptors to promise it a *term*, a number that only rises. An acceptor promises a term
//! at most once, to one process of one gateway, and replies only after the promise is durable. A candidate with grants
//! from a majority holds the lease. Any two majorities share an acceptor, so no term has two holders, and a later
//! holder has a higher term. Each lease is a separate register; there is no log and no leader.
//!
//! The *lease* (Gray and Cheriton, "Leases", 1989) keeps two gateways from doing the same work: acceptors grant it to
//! no other candidate until it has expired by their clocks, and the holder stops earlier by its own clock. Safety does
//! not depend on the lease: every effect that a holder has on the fleet is a [`candidate::AuthorizedEffect`] with a
//! [`FencingToken`], and the receiver's [`fencing::FencingGuard`] rejects tokens lower than the highest token seen.
//!
//! This package has no clock, socket, file or thread. Callers of [`acceptor::Acceptor`], [`candidate::Candidate`] and
//! [`replicated_list::ReplicatedList`] pass in received messages with the time of a monotonic clock, call
//! `handle_timeout` at `next_deadline`, and carry out the outputs of `poll_output` in order.

#![warn(missing_docs)]

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

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// The name of a lease, or of a gateway.
pub type Name = Arc<str>;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of leases with a promise at one acceptor. An acceptor at this limit grants no new lease.
pub const MAX_LEASES: usize = 4_096;
/// Maximum size of an acceptor set. More acceptors make every promise more expensive and none safer.
pub const MAX_ACCEPTORS: usize = 7;

/// Identifies one process of one gateway: a random number drawn at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// Identifies a holder. Tokens are ordered by term, then by process. Only acceptors that have lost their stores can
/// promise one term to two processes; the order by process then makes receivers reject one of the two tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Rises with each new holder of the lease.
    pub term: u64,
    /// The process of the holder.
    pub process: ProcessId,
}

/// The settings that apply to all leases of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long after a grant an acceptor grants the lease to no other process, in microseconds of the acceptor's
    /// clock.
    pub duration: Micros,
    /// Maximum difference between the rates of any two clocks, in parts per million.
    pub max_drift_ppm: u64,
}

impl LeaseSettings {
    /// How long a holder may act after it has sent its claim, in microseconds of the holder's clock. Even if the
    /// holder's clock is slow and the acceptors' clocks are fast, the holder stops before an acceptor grants the lease
    /// to another process.
    pub fn holder_duration(&self) -> Micros {
        let drift_ppm = self.max_drift_ppm.min(PARTS_PER_MILLION);
        (u128::from(self.duration) * u128::from(PARTS_PER_MILLION - drift_ppm)
            / u128::from(PARTS_PER_MILLION)) as Micros
    }
}

const PARTS_PER_MILLION: u64 = 1_000_000;

/// The acceptors of an installation. Each change of the set increments the epoch and names the previous acceptors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorSet {
    /// The number of changes of the set so far.
    pub epoch: u32,
    /// The gateways that are acceptors.
    pub names: Vec<Name>,
    /// The acceptors of the previous epoch; empty in the first epoch.
    pub previous_names: Vec<Name>,
}

impl AcceptorSet {
    /// The first acceptors of an installation.
    pub fn initial(names: &[Name]) -> Self {
        AcceptorSet { epoch: 0, names: names.to_vec(), previous_names: Vec::new() }
    }

    /// The id of this set, which differs from the id of any other set.
    pub fn id(&self) -> AcceptorSetId {
        let mut names: Vec<&str> = self.names.iter().map(|name| &**name).collect();
        names.sort_unstable();
        AcceptorSetId { epoch: self.epoch, digest: seeded_hash(0, &names, 0) }
    }
}

/// Identifies an acceptor set. A grant counts only for the acceptor set named in the claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorSetId {
    /// The epoch of the set.
    pub epoch: u32,
    /// A hash of the names, which detects different configurations of the same epoch.
    pub digest: u64,
}

/// The smallest number of acceptors that is a majority.
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// Hashes names and a counter. The hash is the same on every machine, so decisions based on it can be reproduced.
fn seeded_hash(seed: u64, names: &[&str], counter: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, counter);
    for name in names {
        hasher.write_usize(name.len());
        hasher.write(name.as_bytes());
    }
    hasher.finish()
}
