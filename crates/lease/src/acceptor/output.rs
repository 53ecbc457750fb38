//! The outputs of an acceptor: actions for its caller, and events. The types of this module have no behaviour.

use super::StateChange;
use crate::message::{AcceptorReply, AcceptorRequest};
use crate::{AcceptorSetId, Name, ProcessId};

/// An action for the caller. The caller carries out the outputs in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Make the change durable, then call `write_completed` with the number. Replies that depend on the change follow
    /// later.
    Persist {
        /// The sequence number of the write.
        number: u64,
        /// The records to write.
        change: StateChange,
    },
    /// Send a reply to a candidate, at the address from which the candidate sent its request.
    Reply {
        /// The candidate's process.
        to: ProcessId,
        /// The reply.
        reply: AcceptorReply,
    },
    /// Send a request to another acceptor.
    Request {
        /// The acceptor's name.
        to: Name,
        /// The request.
        request: AcceptorRequest,
    },
    /// Send a reply to another acceptor.
    PeerReply {
        /// The acceptor's name.
        to: Name,
        /// The reply.
        reply: AcceptorReply,
    },
    /// Record an event for operators.
    Event(Event),
}

/// An event for operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The acceptor votes from now on.
    StartedVoting {
        /// Whether the acceptor had lost promises and was readmitted.
        recovered: bool,
    },
    /// The store lacks promises that the acceptor has made. The acceptor waits to be readmitted.
    LostPromises,
    /// A write failed. The acceptor does not vote until its next start.
    StorageFailed,
    /// The acceptor has left the acceptor set, and the new set has adopted its promises.
    Retired,
    /// The store belongs to this acceptor set, which is later than the configured set or another set of the same epoch.
    DifferentAcceptors(AcceptorSetId),
}
