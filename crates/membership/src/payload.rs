//! Messages that the membership layer carries for other subsystems, to one gateway at a time. They are neither repeated nor
//! put in order: the subsystem must tolerate loss, duplication and reordering.

use serde::{Deserialize, Serialize};

use crate::peer::Peer;

/// The subsystem that a payload belongs to. The order of the variants is their encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Channel {
    /// Requests of lease candidates and replies of acceptors.
    Lease,
    /// The endpoint list, as the lease holder sends it.
    EndpointList,
    /// Load reports of gateways.
    Subsetting,
    /// Observations of servers.
    OutlierDetection,
}

impl Channel {
    /// The size limit of one payload in bytes, so that no channel takes the memory or the time of the others.
    ///
    /// A lease payload may hold all promises of an acceptor with their names, one of the endpoint list a fragment, and the
    /// others as many reports as fit into a datagram, with a margin.
    pub fn max_bytes(self) -> usize {
        match self {
            Channel::Lease => 512 * 1024,
            Channel::EndpointList => 64 * 1024,
            Channel::Subsetting | Channel::OutlierDetection => 8 * 1024,
        }
    }
}

/// Bytes of a payload that still goes by datagram, beside the seal, the sender and claims about members. Longer ones go over
/// a stream.
pub const MAX_DATAGRAM_PAYLOAD: usize = 900;

/// A message of another subsystem.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The subsystem that reads it.
    pub channel: Channel,
    /// Bytes that only that subsystem interprets, at most `Channel::max_bytes`.
    pub body: Vec<u8>,
}

/// A payload that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// The authenticated sender.
    pub sender: Peer,
    /// The subsystem that reads it.
    pub channel: Channel,
    /// Bytes that only that subsystem interprets.
    pub body: Vec<u8>,
}

/// Why a payload was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No live member has the name or the instance.
    #[error("no such gateway is known, or it is taken for gone")]
    UnknownGateway,
    /// The body is longer than `Channel::max_bytes`.
    #[error("it is longer than its kind may be")]
    TooLong,
    /// The node has left and sends nothing any more.
    #[error("this gateway has left the mesh")]
    NodeLeft,
}
