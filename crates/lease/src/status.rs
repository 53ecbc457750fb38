//! The queries of operators about leases, and their answers. The encoding is postcard: the order of fields and variants must
//! stay as it is.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Name};

/// A query or a command of an operator to one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// The status of all leases.
    Leases,
    /// Release this lease, if it is held.
    Release(Name),
    /// With true, hold no lease from now on that another gateway can hold; with false, end that.
    Cordon(bool),
}

/// The answer to a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusReply {
    /// To [`StatusQuery::Leases`].
    Leases(LeaseView),
    /// Whether the lease was held, and is released.
    Released(bool),
    /// Whether the gateway is cordoned from now on.
    Cordoned(bool),
}

/// The status of all leases, as one gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The gateway that answers.
    pub gateway: Name,
    /// Its state as an acceptor; none where it is no acceptor.
    pub acceptor: Option<AcceptorState>,
    /// It holds no lease that another gateway can hold.
    pub cordoned: bool,
    /// The leases that it can hold.
    pub leases: Vec<LeaseSummary>,
    /// The leases that are held, as far as it knows as an acceptor.
    pub held: Vec<HeldLease>,
    /// Live gateways and their process ids, which the tokens above refer to.
    pub processes: Vec<(Name, u64)>,
}

/// The state of an acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorState {
    /// It answers claims.
    Voting,
    /// It has just started, or waits to be readmitted as its store lacks promises.
    Recovering,
    /// It can't make promises durable, or another gateway has its name.
    NotVoting,
}

/// The status of a lease that a gateway can hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    /// The lease.
    pub lease: Name,
    /// The gateway's rank for it, from 0.
    pub rank: u32,
    /// Where the gateway holds it: the token, for how long it has, and for how long it still does, in milliseconds.
    pub held: Option<(FencingToken, u64, u64)>,
    /// Rejections of claims and of effects so far.
    pub rejections: u64,
    /// The text of the latest.
    pub last_rejection: Option<String>,
}

/// A lease that is held, as an acceptor knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: Name,
    /// The holder's token.
    pub holder: FencingToken,
    /// Milliseconds until it expires at this acceptor.
    pub remaining_ms: u64,
}
