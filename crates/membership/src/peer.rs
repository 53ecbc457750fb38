//! Who a node is. Everything else in this package refers to nodes by this type; it knows nothing of messages.

use std::net::SocketAddr;

use fernscale_shared_counter::pn_counter::Instance;
use serde::{Deserialize, Serialize};

/// A node: its configured name, the process that runs it, and where it listens.
///
/// The instance alone identifies a member. A restarted gateway has the old name and address and a new instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The gateway's configured name.
    pub name: String,
    /// The process, drawn at random at its start.
    pub instance: Instance,
    /// Where it receives datagrams and streams.
    pub address: SocketAddr,
}
