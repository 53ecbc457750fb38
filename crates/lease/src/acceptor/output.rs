//! What an acceptor asks of its caller. The types of this module carry no behaviour.

use super::StateChange;
use crate::message::{AcceptorReply, AcceptorRequest};
use crate::{AcceptorSetId, Name, ProcessId};

/// An action for the caller, to be carried out in the order of the outputs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Make this durable, and call `write_completed` with the number afterwards. What depends on it is not sent earlier.
    Persist {
        /// Rises by one with each write.
        number: u64,
        /// The records to write.
        change: StateChange,
    },
    /// Answer a candidate at the address from which it asked.
    Reply {
        /// The candidate's process.
        to: ProcessId,
        /// The answer.
        reply: AcceptorReply,
    },
    /// Send a request to another acceptor.
    Request {
        /// The acceptor's name.
        to: Name,
        /// The request.
        request: AcceptorRequest,
    },
    /// Answer another acceptor.
    PeerReply {
        /// The acceptor's name.
        to: Name,
        /// The answer.
        reply: AcceptorReply,
    },
    /// Record an event for operators.
    Event(Event),
}

/// An event that operators are notified of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It votes from now on.
    StartedVoting {
        /// It had lost promises, and was readmitted.
        recovered: bool,
    },
    /// Its store lacks promises that it has made: it waits to be readmitted.
    LostPromises,
    /// A write can't be made durable: it does not vote until it is started again.
    StorageFailed,
    /// It is no member of the acceptor set any more, and has passed its promises on.
    Retired,
    /// Its store belongs to this acceptor set, which is later than the configured one or another one of the same epoch.
    DifferentAcceptors(AcceptorSetId),
}
