//! What operators ask gateways about jobs, and are told.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Name};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// How do all jobs stand?
    Leases,
    /// Give this job back, if you own it.
    Release(Name),
    /// Own nothing from now on where another can, as the operators are about to work on this gateway; or do as before.
    Cordon(bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusReply {
    Leases(LeaseView),
    /// Whether it was owned, and is given back.
    Released(bool),
    Cordoned(bool),
}

/// How jobs stand, as one gateway knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    pub gateway: Name,
    /// None where this gateway is no voter.
    pub acceptor: Option<AcceptorState>,
    /// Its operators want it to own nothing where another can.
    pub cordoned: bool,
    /// What it can do itself.
    pub leases: Vec<LeaseSummary>,
    /// What is held, as far as it knows as a voter.
    pub held: Vec<HeldLease>,
    /// Live gateways and their runs, so that the runs above can be named.
    pub processes: Vec<(Name, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorState {
    Voting,
    /// It has just started, or waits to be let in anew, as its folder lacks promises.
    Recovering,
    /// It can't make promises durable, or there is another gateway of its name.
    NotVoting,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    pub lease: Name,
    /// This gateway's place in the job's order, from 0.
    pub rank: u32,
    /// By which fence, for how long it has had it and still has, in milliseconds, where this gateway owns it.
    pub held: Option<(FencingToken, u64, u64)>,
    /// Refusals of claims and of effects so far, and why the last.
    pub rejections: u64,
    pub last_rejection: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    pub lease: Name,
    pub holder: FencingToken,
    pub remaining_ms: u64,
}
