//! What a candidate asks of its caller, and what it shows of its leases. The types of this module carry no behaviour.

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
    /// Notify a gateway that a lease is free, as it comes next for it.
    Released {
        /// The gateway's name.
        to: Name,
        /// The lease.
        lease: Name,
        /// The token by which it was held.
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

/// A change of what a candidate holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The lease is held from now on, or by a higher term than before.
    Acquired {
        /// The lease.
        lease: Name,
        /// The token by which it is held.
        token: FencingToken,
    },
    /// The lease is held no more: it could not be renewed, or an effect was rejected.
    Lost {
        /// The lease.
        lease: Name,
        /// The token by which it was held.
        token: FencingToken,
    },
    /// The candidate has released the lease.
    Released {
        /// The lease.
        lease: Name,
        /// The token by which it was held.
        token: FencingToken,
    },
}

/// The status of one lease, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The lease.
    pub lease: Name,
    /// Where it is held here: the token, since when, and for how many microseconds more.
    pub held: Option<(FencingToken, Micros, Micros)>,
    /// The holder when an acceptor last named one.
    pub holder: Option<FencingToken>,
    /// The highest term that was heard of.
    pub highest_term: u64,
    /// Rejections of claims and of effects since the lease was wanted.
    pub rejections: u64,
    /// The latest of them.
    pub last_rejection: Option<Rejection>,
}
