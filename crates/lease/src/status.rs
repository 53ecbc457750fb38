//! The queries of operators about leases, and the replies. The encoding is postcard: the order of fields and variants
//! must not change.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Name};

/// A query or command of an operator to one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// The status of all leases.
    Leases,
    /// Release this lease if the gateway holds it.
    Release(Name),
    /// True cordons the gateway: it holds no lease that another gateway can hold. False ends this.
    Cordon(bool),
}

/// The reply to a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusReply {
    /// Reply to [`StatusQuery::Leases`].
    Leases(LeaseView),
    /// Whether the gateway held the lease and has released it.
    Released(bool),
    /// Whether the gateway is cordoned from now on.
    Cordoned(bool),
}

/// The status of all leases that one gateway knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The replying gateway.
    pub gateway: Name,
    /// The gateway's state as an acceptor; `None` if it is not an acceptor.
    pub acceptor: Option<AcceptorState>,
    /// Whether the gateway is cordoned: it holds no lease that another gateway can hold.
    pub cordoned: bool,
    /// The leases that the gateway can hold.
    pub leases: Vec<LeaseSummary>,
    /// The held leases that the gateway knows as an acceptor.
    pub held: Vec<HeldLease>,
    /// The live gateways with the process ids that the tokens above refer to.
    pub processes: Vec<(Name, u64)>,
}

/// The state of an acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorState {
    /// The acceptor decides on claims.
    Voting,
    /// The acceptor has just started, or its store lacks promises and it waits to be readmitted.
    Recovering,
    /// The acceptor cannot make promises durable, or another gateway has its name.
    NotVoting,
}

/// The status of a lease that a gateway can hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    /// The lease.
    pub lease: Name,
    /// The gateway's rank for the lease, from 0.
    pub rank: u32,
    /// If the gateway holds the lease: the token, the milliseconds since it acquired the lease, and the milliseconds
    /// until the lease expires.
    pub held: Option<(FencingToken, u64, u64)>,
    /// Rejections of claims and effects so far.
    pub rejections: u64,
    /// The text of the latest rejection.
    pub last_rejection: Option<String>,
}

/// A held lease that an acceptor knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: Name,
    /// The holder's token.
    pub holder: FencingToken,
    /// Milliseconds until the lease expires at this acceptor.
    pub remaining_ms: u64,
}
