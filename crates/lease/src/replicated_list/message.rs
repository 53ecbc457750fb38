//! The entries and versions of a replicated list, and what gateways send each other of it. The encoding is postcard: the
//! order of fields and variants must stay as it is.

use serde::{Deserialize, Serialize};

use crate::FencingToken;

/// One entry of the list, in the source's own encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the entry within the list.
    pub name: String,
    /// The entry is no longer on the list.
    pub removed: bool,
    /// The content, which this package does not read.
    pub body: String,
}

/// An answer of the source: the complete list, or what is newer than the version that was asked from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceReply {
    /// The source's version.
    pub index: u64,
    /// The entries are the complete list.
    pub is_complete: bool,
    /// The list, or the changes.
    pub entries: Vec<Entry>,
}

/// The version of a list. The order is that of the epochs, and within one that of the source's versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The term of the lease holder that began it; 0 at first.
    pub epoch: u64,
    /// The source's version.
    pub index: u64,
}

/// A bounded part of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The version of the list.
    pub version: Version,
    /// The fragments have what is newer than this index of the same epoch; the complete list, if none.
    pub since: Option<u64>,
    /// Time since the source was asked, in milliseconds.
    pub age_ms: u32,
    /// Counted from 0.
    pub number: u16,
    /// Fragments that belong together.
    pub count: u16,
    /// The entries of this part.
    pub entries: Vec<Entry>,
}

/// A message about the list between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// With the token of the lease holder that sends it; without one, from a gateway that has polled in its turn.
    Fragment(Option<FencingToken>, Fragment),
    /// The sender lacks what came before, and asks for the complete list.
    RequestComplete,
    /// The receiver's token is stale: another holds the lease by this one.
    Rejected(FencingToken),
}
