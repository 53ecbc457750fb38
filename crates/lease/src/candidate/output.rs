//! The outputs of a candidate, and the status of its leases. The types of this module have no behaviour.

use crate::message::{AcceptorRequest, Rejection};
use crate::{FencingToken, Micros, Name, ProcessId};

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a request to an acceptor.
    Request {
        /// The acceptor's name.
        to: Name,
        /// The request.
        request: AcceptorRequest,
    },
    /// Notify a successor that a lease is free.
    Released {
        /// The gateway's name.
        to: Name,
        /// The lease.
        lease: Name,
        /// The token of the former holder.
        token: FencingToken,
    },
    /// Notify the holder of a lease that this gateway has a better rank for it.
    Offer {
        /// The holder's process.
        to: ProcessId,
        /// The lease.
        lease: Name,
    },
    /// Record an event for operators.
    Event(Event),
}

/// A change of the leases that a candidate holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The candidate has acquired the lease, or has renewed it with a higher term.
    Acquired {
        /// The lease.
        lease: Name,
        /// The new token.
        token: FencingToken,
    },
    /// The candidate has lost the lease: the renewal failed, or an effect was rejected.
    Lost {
        /// The lease.
        lease: Name,
        /// The former token.
        token: FencingToken,
    },
    /// The candidate has released the lease.
    Released {
        /// The lease.
        lease: Name,
        /// The former token.
        token: FencingToken,
    },
}

/// The status of one lease, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The lease.
    pub lease: Name,
    /// If the candidate holds the lease: the token, since when, and the microseconds until the lease expires.
    pub held: Option<(FencingToken, Micros, Micros)>,
    /// The latest holder that an acceptor has named.
    pub holder: Option<FencingToken>,
    /// The highest known term.
    pub highest_term: u64,
    /// Rejections of claims and effects since the candidate began to pursue the lease.
    pub rejections: u64,
    /// The latest rejection.
    pub last_rejection: Option<Rejection>,
}
