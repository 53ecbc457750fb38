//! The entries and versions of a replicated list, and the messages about the list between gateways. The encoding is
//! postcard: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

use crate::FencingToken;

/// One entry of the list, in the source's own encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the entry within the list.
    pub name: String,
    /// Whether the entry was removed from the list.
    pub removed: bool,
    /// The content. This package does not interpret it.
    pub body: String,
}

/// A reply of the source: the complete list, or the changes since the requested version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceReply {
    /// The source's version.
    pub index: u64,
    /// Whether the entries are the complete list.
    pub is_complete: bool,
    /// The complete list or the changes.
    pub entries: Vec<Entry>,
}

/// The version of a list. Versions are ordered by epoch, then by the source's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The term of the lease holder that started the epoch; 0 for the first epoch.
    pub epoch: u64,
    /// The source's version.
    pub index: u64,
}

/// A bounded part of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The version of the list.
    pub version: Version,
    /// The fragments contain the changes after this index of the same epoch; `None` stands for the complete list.
    pub since: Option<u64>,
    /// Time since the source was polled, in milliseconds.
    pub age_ms: u32,
    /// The position of this fragment in the transmission, from 0.
    pub number: u16,
    /// Number of fragments of the transmission.
    pub count: u16,
    /// The entries of this part.
    pub entries: Vec<Entry>,
}

/// A message about the list between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// A fragment of the list, with the sender's token if the sender holds the lease. Without a token, the sender has
    /// polled the source because it received no broadcast from a holder.
    Fragment(Option<FencingToken>, Fragment),
    /// The sender lacks earlier changes and requests the complete list.
    RequestComplete,
    /// The receiver's token is stale: another gateway holds the lease with this token.
    Rejected(FencingToken),
}
