//! Messages that other subsystems send over the membership layer, each to one gateway. The membership layer neither
//! retransmits nor orders them, so a subsystem must tolerate loss, duplication and reordering.

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
    /// The maximum size of a payload in bytes, so that no channel exhausts the memory or the time of the others.
    ///
    /// A lease payload may contain all promises of an acceptor with their names. An endpoint list payload contains a
    /// fragment of the list. The others contain as many reports as fit into a datagram. All limits include a margin.
    pub fn max_bytes(self) -> usize {
        match self {
            Channel::Lease => 512 * 1024,
            Channel::EndpointList => 64 * 1024,
            Channel::Subsetting | Channel::OutlierDetection => 8 * 1024,
        }
    }
}

/// Maximum size of a payload that is sent as a datagram, which also contains the seal and the sender. Longer payloads are
/// sent over a stream.
pub const MAX_DATAGRAM_PAYLOAD: usize = 900;

/// A message of another subsystem.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The subsystem that interprets the payload.
    pub channel: Channel,
    /// Bytes that only that subsystem interprets, at most `Channel::max_bytes`.
    pub body: Vec<u8>,
}

/// A payload that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// The authenticated sender.
    pub sender: Peer,
    /// The subsystem that interprets the payload.
    pub channel: Channel,
    /// Bytes that only that subsystem interprets.
    pub body: Vec<u8>,
}

/// The reason why a payload was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No live member has this name or instance.
    #[error("no live gateway has this name or instance")]
    UnknownGateway,
    /// The body is longer than `Channel::max_bytes`.
    #[error("the payload is longer than its channel allows")]
    TooLong,
    /// The node has left the membership and sends no messages.
    #[error("this gateway has left the mesh")]
    NodeLeft,
}
