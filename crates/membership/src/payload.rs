//! What the mesh carries for others: messages of a stated kind, sealed like its own, to one gateway at a time. Nothing is said
//! again and nothing is put in order: whoever sends must bear loss, doubling and overtaking.

use serde::{Deserialize, Serialize};

use crate::peer::Peer;

/// What a message is about, and so who takes it in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Channel {
    /// Claims and promises of jobs.
    Lease,
    /// The list of servers, as its owner tells it.
    EndpointList,
    /// What each gateway carries.
    Subsetting,
    /// What servers are like.
    OutlierDetection,
}

impl Channel {
    /// Bytes of one message at the most, so that no kind takes the memory or the time of the others: all promises that a
    /// voter may have made, with their names; a piece of a list; as many words as
    /// go on a datagram, and some room.
    pub fn max_bytes(self) -> usize {
        match self {
            Channel::Lease => 512 * 1024,
            Channel::EndpointList => 64 * 1024,
            Channel::Subsetting | Channel::OutlierDetection => 8 * 1024,
        }
    }
}

/// Up to so many bytes a message rides on a datagram, beside the seal, the sender and what the mesh says itself; longer ones
/// go over a stream.
pub const MAX_DATAGRAM_PAYLOAD: usize = 900;

/// A message for others than the mesh.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    pub channel: Channel,
    pub body: Vec<u8>,
}

/// A message that has come, and from which run of which gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    pub sender: Peer,
    pub channel: Channel,
    pub body: Vec<u8>,
}

/// Why a message is not on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    #[error("no such gateway is known, or it is taken for gone")]
    UnknownGateway,
    #[error("it is longer than its kind may be")]
    TooLong,
    #[error("this gateway has left the mesh")]
    NodeLeft,
}
