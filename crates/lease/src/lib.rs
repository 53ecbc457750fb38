//! Leases with fencing tokens: at most one holder of each lease in the fleet, and no harm from a former holder that acts
//! late.
//!
//! A few named gateways are *acceptors* in the sense of Paxos (Lamport, "The Part-Time Parliament", 1998). A candidate that
//! wants a lease asks all of them to promise it a *term*, a number that only rises. An acceptor promises a term at most once,
//! to one process of one gateway, and answers only after the promise is durable; a majority of grants makes a holder. Any
//! two majorities have an acceptor in common, so that no term has two holders, and a later holder's term is higher. Each
//! lease is a register of its own; there is no log and no leader.
//!
//! The *lease* (Gray and Cheriton, "Leases", 1989) avoids that two gateways do the same work: acceptors grant it to nobody
//! else until it has expired by their clocks, and the holder stops before that by its own. Safety does not depend on it.
//! Whatever a holder does for the fleet is a [`candidate::AuthorizedEffect`] with a [`FencingToken`], and where the effect
//! arrives a [`fencing::FencingGuard`] rejects tokens lower than the highest one seen.
//!
//! There is no clock, socket, file or thread here. Callers of [`acceptor::Acceptor`], [`candidate::Candidate`] and
//! [`replicated_list::ReplicatedList`] pass in what has arrived, with the time of an even clock that nobody sets; call
//! `handle_timeout` when `next_deadline` has come; and carry out what `poll_output` returns, in its order.

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

/// Microseconds, of a time or of a span.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// The name of a lease, or of a gateway.
pub type Name = Arc<str>;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Leases that an acceptor keeps promises for. Beyond that it grants no new lease.
pub const MAX_LEASES: usize = 4_096;
/// Members of an acceptor set. More would make every promise more expensive, and none safer.
pub const MAX_ACCEPTORS: usize = 7;

/// Identifies one process of one gateway: a random number that is drawn at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// Identifies a holder. The order is that of the terms; within one term, which only acceptors that have lost their stores can
/// promise twice, it is that of the processes, so that one of any two is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Rises with each new holder of the lease.
    pub term: u64,
    /// The process of the holder.
    pub process: ProcessId,
}

/// The settings of an installation for all leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long an acceptor grants a lease to nobody else after it has answered, by its own clock, in microseconds.
    pub duration: Micros,
    /// Largest difference between the rates of any two clocks, in parts per million.
    pub max_drift_ppm: u64,
}

impl LeaseSettings {
    /// How long a holder acts after it has asked, by its own clock, in microseconds. Even if that clock is slow and the
    /// acceptors' are fast, the holder has stopped when the first acceptor grants the lease to another.
    pub fn holder_duration(&self) -> Micros {
        let drift_ppm = self.max_drift_ppm.min(MILLION);
        (u128::from(self.duration) * u128::from(MILLION - drift_ppm) / u128::from(MILLION)) as Micros
    }
}

const MILLION: u64 = 1_000_000;

/// The acceptors of an installation. A change of them has the next epoch, and names those before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorSet {
    /// Counts the changes.
    pub epoch: u32,
    /// The gateways that are acceptors.
    pub names: Vec<Name>,
    /// Those of the previous epoch; empty at first.
    pub previous_names: Vec<Name>,
}

impl AcceptorSet {
    /// The first acceptors of an installation.
    pub fn initial(names: &[Name]) -> Self {
        AcceptorSet { epoch: 0, names: names.to_vec(), previous_names: Vec::new() }
    }

    /// Distinguishes this set from any other.
    pub fn id(&self) -> AcceptorSetId {
        let mut names: Vec<&str> = self.names.iter().map(|name| &**name).collect();
        names.sort_unstable();
        AcceptorSetId { epoch: self.epoch, digest: seeded_hash(0, &names, 0) }
    }
}

/// Identifies an acceptor set. Grants count for the set of the claim only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorSetId {
    /// The epoch of the set.
    pub epoch: u32,
    /// A hash of the names, so that configurations of one epoch that differ are detected.
    pub digest: u64,
}

/// The smallest number of acceptors that is a majority.
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// A hash of names and a counter that is the same on every machine, so that decisions by it can be reproduced.
fn seeded_hash(seed: u64, names: &[&str], counter: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, counter);
    for name in names {
        hasher.write_usize(name.len());
        hasher.write(name.as_bytes());
    }
    hasher.finish()
}
