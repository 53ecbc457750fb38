//! The identity of a node. The rest of this package refers to nodes by this type.

use std::net::SocketAddr;

use fernscale_shared_counter::pn_counter::Instance;
use serde::{Deserialize, Serialize};

/// A node: its configured name, its process and its address.
///
/// The instance alone identifies a member. A restarted gateway keeps its name and address and has a new instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The gateway's configured name.
    pub name: String,
    /// The process. The id is random and generated when the process starts.
    pub instance: Instance,
    /// The address at which the node receives datagrams and streams.
    pub address: SocketAddr,
}
