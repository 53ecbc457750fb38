//! The messages between lease candidates and acceptors. Any of them may be lost, duplicated or late: an answer names what it
//! answers. The encoding is postcard: the order of fields and variants must stay as it is.

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
    /// To the gateways that come next for a lease: the sender has released it, and nobody holds it any more.
    Released {
        /// The lease.
        lease: Name,
        /// The token by which it was held.
        token: FencingToken,
    },
    /// To the holder of a lease: the sender has a better rank for it, and takes it over once the holder has kept it for its
    /// minimum tenure.
    Offer {
        /// The lease.
        lease: Name,
    },
}

/// A request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    /// A candidate claims a lease, or renews it.
    Claim {
        /// The lease.
        lease: Name,
        /// The token by which the candidate would hold it.
        token: FencingToken,
        /// Distinguishes one time of asking from another.
        round: u64,
        /// The acceptor set under which the candidate counts grants.
        acceptors: AcceptorSetId,
    },
    /// A holder or a candidate does not act by this token any more: others may have the lease at once.
    Release {
        /// The lease.
        lease: Name,
        /// The token.
        token: FencingToken,
    },
    /// Another acceptor starts, and asks what is known of it.
    Recover(RecoveryRequest),
    /// Another acceptor announces its durable writes.
    WriteCount {
        /// The acceptor's name.
        acceptor: Name,
        /// How many durable writes it has made.
        write_count: u64,
        /// Its incarnation.
        incarnation: u64,
    },
}

/// The state of an acceptor that starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryRequest {
    /// The acceptor's name.
    pub acceptor: Name,
    /// Distinguishes this start of it from all others.
    pub start: ProcessId,
    /// How many durable writes it has made, by its store.
    pub write_count: u64,
    /// Its incarnation, by its store.
    pub incarnation: u64,
    /// It knows that its store lacks promises that it has made.
    pub lost_promises: bool,
    /// Its store holds nothing at all.
    pub is_empty: bool,
}

/// An answer of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// The claim is granted, for the duration of a lease.
    Granted {
        /// The lease.
        lease: Name,
        /// The token of the claim.
        token: FencingToken,
        /// The round of the claim: the acceptor's lease counts from after it began.
        round: u64,
        /// The acceptor's incarnation: grants of an earlier one, from before a loss of its store, do not count.
        incarnation: u64,
        /// The lowest incarnation of each other acceptor that counts, as far as this one knows.
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
        /// Why.
        reason: Rejection,
    },
    /// What is known of an acceptor that starts.
    Recovery(RecoveryReply),
}

/// Why an acceptor rejects a claim. The texts are read by operators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// Another process holds the lease, or may hold it.
    #[error("another has it by term {} for {} ms more", .holder.term, .remaining / 1_000)]
    HeldByOther {
        /// Microseconds until the acceptor may grant it to others.
        remaining: Micros,
        /// The other's token.
        holder: FencingToken,
    },
    /// This token, of the same or of a higher term, was promised.
    #[error("term {} has been promised", .0.term)]
    HigherPromise(FencingToken),
    /// The acceptor does not vote, or the claim is not of the process that sent it.
    #[error("the voter does not vote now")]
    NotVoting,
    /// Too many promises wait for the acceptor's disk.
    #[error("the voter's disk has more to write than it can")]
    Overloaded,
    /// The acceptor keeps promises for as many leases as it can, or the lease's name is not valid.
    #[error("the voter has no room for another job")]
    CapacityExceeded,
    /// The acceptor promises under another acceptor set, which is this one.
    #[error("the voter counts by change {} of the voters, not by this gateway's", .0.epoch)]
    DifferentAcceptors(AcceptorSetId),
}

/// What an acceptor knows of another one that starts, and what it has promised itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryReply {
    /// The acceptor that starts.
    pub acceptor: Name,
    /// Highest number of durable writes that it is known to have made.
    pub write_count: u64,
    /// Lowest incarnation of it whose promises count.
    pub incarnation: u64,
    /// The acceptor that answers has voted or was admitted before.
    pub is_initialized: bool,
    /// It lacks promises itself.
    pub lost_promises: bool,
    /// It has never promised anything.
    pub never_promised: bool,
    /// The acceptor set under which it promises.
    pub acceptors: AcceptorSetId,
    /// It grants nothing under the acceptor sets of earlier epochs than this.
    pub frozen_epoch: u32,
    /// Its highest promise for each lease.
    pub promises: BTreeMap<Name, FencingToken>,
}
