//! What claimers and voters say to each other. Everything may be lost, doubled or late: an answer names what it answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Fence, Micros, Name, Run, Set};

/// All that gateways say to each other about jobs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Letter {
    Ask(Ask),
    Say(Say),
    /// I have given this job back, and you come next for it: nobody holds it any more.
    Free {
        job: Name,
        fence: Fence,
    },
    /// I come before you in this job's order: hand it over once you have had it for as long as it is to stay.
    Offer {
        job: Name,
    },
}

/// To a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// Promise me this job by this fence; again, to renew. The number tells one time of asking from another.
    Claim { job: Name, fence: Fence, number: u64, set: Set },
    /// I have stopped: others may have it at once.
    Release { job: Name, fence: Fence },
    /// Another voter starts and asks what is known of it.
    Hello(Hello),
    /// Another voter has written a promise down so often, and is in this life of its own.
    Wrote { of: Name, writes: u64, life: u64 },
}

/// How a voter that starts stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hello {
    pub of: Name,
    /// Tells this start from any other.
    pub start: Run,
    /// How often it has written a promise down, by its folder.
    pub writes: u64,
    pub life: u64,
    /// It knows that its folder lacks promises that it has made.
    pub forgot: bool,
    /// Its folder holds nothing at all.
    pub empty: bool,
}

/// From a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Say {
    Granted {
        job: Name,
        fence: Fence,
        /// Of the claim that this answers: the voter's lease counts from after that was asked.
        number: u64,
        /// The voter's life: where it has lost its folder since, what it had granted before counts no more.
        life: u64,
        /// The least life of each other voter that still counts, as far as this one knows.
        lives: BTreeMap<Name, u64>,
    },
    Refused {
        job: Name,
        fence: Fence,
        number: u64,
        why: Refusal,
    },
    /// What a voter that starts wants to know.
    Known(Known),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    #[error("another has it by term {} for {} ms more", .by.term, .left / 1_000)]
    Held { left: Micros, by: Fence },
    #[error("term {} has been promised", .0.term)]
    Higher(Fence),
    #[error("the voter does not vote now")]
    Silent,
    #[error("the voter's disk has more to write than it can")]
    Busy,
    #[error("the voter has no room for another job")]
    Full,
    #[error("the voter counts by change {} of the voters, not by this gateway's", .0.number)]
    Set(Set),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Known {
    /// About whom.
    pub of: Name,
    /// How often it had written, as far as this voter knows, and the least life of it that counts.
    pub writes: u64,
    pub life: u64,
    /// The one that answers: it has been let in, lacks promises itself, has never promised anything.
    pub founded: bool,
    pub forgot: bool,
    pub pristine: bool,
    /// The voters that it counts by, and the highest number of them for which it promises nothing by earlier ones any more.
    pub set: Set,
    pub frozen: u32,
    /// What this voter has promised.
    pub promises: BTreeMap<Name, Fence>,
}
