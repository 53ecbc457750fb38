//! What claimers and voters say to each other. Everything may be lost, doubled or late: an answer names what it answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AcceptorSetId, FencingToken, Micros, Name, ProcessId};

/// All that gateways say to each other about jobs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Request(AcceptorRequest),
    Reply(AcceptorReply),
    /// I have given this job back, and you come next for it: nobody holds it any more.
    Released {
        lease: Name,
        token: FencingToken,
    },
    /// I come before you in this job's order: hand it over once you have had it for as long as it is to stay.
    Offer {
        lease: Name,
    },
}

/// To a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest {
    /// Promise me this job by this fence; again, to renew. The number tells one time of asking from another.
    Claim { lease: Name, token: FencingToken, round: u64, acceptors: AcceptorSetId },
    /// I have stopped: others may have it at once.
    Release { lease: Name, token: FencingToken },
    /// Another voter starts and asks what is known of it.
    Recover(RecoveryRequest),
    /// Another voter has written a promise down so often, and is in this life of its own.
    WriteCount { acceptor: Name, write_count: u64, incarnation: u64 },
}

/// How a voter that starts stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryRequest {
    pub acceptor: Name,
    /// Tells this start from any other.
    pub start: ProcessId,
    /// How often it has written a promise down, by its folder.
    pub write_count: u64,
    pub incarnation: u64,
    /// It knows that its folder lacks promises that it has made.
    pub lost_promises: bool,
    /// Its folder holds nothing at all.
    pub is_empty: bool,
}

/// From a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    Granted {
        lease: Name,
        token: FencingToken,
        /// Of the claim that this answers: the voter's lease counts from after that was asked.
        round: u64,
        /// The voter's life: where it has lost its folder since, what it had granted before counts no more.
        incarnation: u64,
        /// The least life of each other voter that still counts, as far as this one knows.
        incarnations: BTreeMap<Name, u64>,
    },
    Rejected {
        lease: Name,
        token: FencingToken,
        round: u64,
        reason: Rejection,
    },
    /// What a voter that starts wants to know.
    Recovery(RecoveryReply),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    #[error("another has it by term {} for {} ms more", .holder.term, .remaining / 1_000)]
    HeldByOther { remaining: Micros, holder: FencingToken },
    #[error("term {} has been promised", .0.term)]
    HigherPromise(FencingToken),
    #[error("the voter does not vote now")]
    NotVoting,
    #[error("the voter's disk has more to write than it can")]
    Overloaded,
    #[error("the voter has no room for another job")]
    CapacityExceeded,
    #[error("the voter counts by change {} of the voters, not by this gateway's", .0.epoch)]
    DifferentAcceptors(AcceptorSetId),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecoveryReply {
    /// About whom.
    pub acceptor: Name,
    /// How often it had written, as far as this voter knows, and the least life of it that counts.
    pub write_count: u64,
    pub incarnation: u64,
    /// The one that answers: it has been let in, lacks promises itself, has never promised anything.
    pub is_initialized: bool,
    pub lost_promises: bool,
    pub never_promised: bool,
    /// The voters that it counts by, and the highest number of them for which it promises nothing by earlier ones any more.
    pub acceptors: AcceptorSetId,
    pub frozen_epoch: u32,
    /// What this voter has promised.
    pub promises: BTreeMap<Name, FencingToken>,
}
