//! The messages between lease candidates and acceptors. Messages may be lost, duplicated or delayed, so each reply
//! identifies its request. The encoding is postcard: the order of fields and variants must not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AcceptorSetId, FencingToken, Micros, Name, ProcessId};

/// Any message between gateways about leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To an acceptor.
    Request(AcceptorRequest),
    /// From an acceptor.
    Reply(AcceptorReply),
    /// To the successors of a holder: the sender has released the lease, which now has no holder.
    Released {
        /// The lease.
        lease: Name,
        /// The token of the former holder.
        token: FencingToken,
    },
    /// To the holder of a lease: the sender has a better rank and takes the lease over after the holder's minimum
    /// tenure.
    Offer {
        /// The lease.
        lease: Name,
    },
}

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    /// A candidate claims or renews a lease.
    Claim {
        /// The lease.
        lease: Name,
        /// The token with which the candidate will hold the lease.
        token: FencingToken,
        /// Distinguishes the rounds of requests with the same token.
        round: u64,
        /// The acceptor set under which the candidate counts grants.
        acceptors: AcceptorSetId,
    },
    /// A holder or a candidate no longer acts with this token: the acceptor may grant the lease to others at once.
    Release {
        /// The lease.
        lease: Name,
        /// The token.
        token: FencingToken,
    },
    /// A starting acceptor asks what the receiver knows about it.
    Recover(RecoveryRequest),
    /// Another acceptor announces its number of durable writes.
    WriteCount {
        /// The acceptor's name.
        acceptor: Name,
        /// The acceptor's number of durable writes.
        write_count: u64,
        /// The acceptor's incarnation.
        incarnation: u64,
    },
}

/// The state of a starting acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryRequest {
    /// The acceptor's name.
    pub acceptor: Name,
    /// Identifies this start of the acceptor.
    pub start: ProcessId,
    /// The acceptor's number of durable writes, according to its store.
    pub write_count: u64,
    /// The acceptor's incarnation, according to its store.
    pub incarnation: u64,
    /// Whether the acceptor knows that its store lacks promises that it has made.
    pub lost_promises: bool,
    /// Whether the acceptor's store is empty.
    pub is_empty: bool,
}

/// A reply of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// The claim is granted for the lease duration.
    Granted {
        /// The lease.
        lease: Name,
        /// The token of the claim.
        token: FencingToken,
        /// The round of the claim. The acceptor's lease starts after the round began.
        round: u64,
        /// The acceptor's incarnation. Grants of incarnations before a loss of its store do not count.
        incarnation: u64,
        /// The lowest valid incarnation of each other acceptor that this acceptor knows.
        incarnations: BTreeMap<Name, u64>,
    },
    /// The claim is rejected.
    Rejected {
        /// The lease.
        lease: Name,
        /// The token of the claim.
        token: FencingToken,
        /// The round of the claim.
        round: u64,
        /// The reason.
        reason: Rejection,
    },
    /// What this acceptor knows about a starting acceptor.
    Recovery(RecoveryReply),
}

/// Why an acceptor rejects a claim. Operators are shown the texts, so they must not change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// Another process holds or may hold the lease.
    #[error("another has it by term {} for {} ms more", .holder.term, .remaining / 1_000)]
    HeldByOther {
        /// Microseconds until the acceptor may grant the lease to others.
        remaining: Micros,
        /// The token of the other process.
        holder: FencingToken,
    },
    /// The acceptor has promised this token, with the same or a higher term.
    #[error("term {} has been promised", .0.term)]
    HigherPromise(FencingToken),
    /// The acceptor does not vote, or the claim names another process than its sender.
    #[error("the voter does not vote now")]
    NotVoting,
    /// Too many promises wait for the acceptor's disk.
    #[error("the voter's disk has more to write than it can")]
    Overloaded,
    /// The acceptor has promises for the maximum number of leases, or the name of the lease is invalid.
    #[error("the voter has no room for another job")]
    CapacityExceeded,
    /// The acceptor promises under this acceptor set, not under the acceptor set of the claim.
    #[error("the voter counts by change {} of the voters, not by this gateway's", .0.epoch)]
    DifferentAcceptors(AcceptorSetId),
}

/// What an acceptor knows about a starting acceptor, with the replying acceptor's own state and promises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryReply {
    /// The starting acceptor.
    pub acceptor: Name,
    /// Highest known number of durable writes of the starting acceptor.
    pub write_count: u64,
    /// Lowest incarnation of the starting acceptor whose promises count.
    pub incarnation: u64,
    /// Whether the replying acceptor has voted or was admitted before.
    pub is_initialized: bool,
    /// Whether the replying acceptor's store lacks promises that it has made.
    pub lost_promises: bool,
    /// Whether the replying acceptor has never promised anything.
    pub never_promised: bool,
    /// The acceptor set under which the replying acceptor promises.
    pub acceptors: AcceptorSetId,
    /// The replying acceptor grants nothing under acceptor sets of epochs before this epoch.
    pub frozen_epoch: u32,
    /// The replying acceptor's highest promise for each lease.
    pub promises: BTreeMap<Name, FencingToken>,
}
