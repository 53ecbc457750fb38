//! The view of a gateway's subset for operators. The encoding is postcard: the order of fields must not change.

use serde::{Deserialize, Serialize};

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayView {
    /// The gateway's configured name.
    pub name: String,
    /// The reported attempts per second.
    pub load: f64,
    /// The number of the gateway's zone.
    pub zone: u32,
}

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// The server's name in the endpoint list.
    pub name: String,
    /// The server's capacity relative to the other servers' capacity.
    pub weight: f64,
    /// The number of the server's zone.
    pub zone: u32,
}

/// A gateway's subset, with the settings and the view of the fleet that determine it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetView {
    /// The gateway's name.
    pub gateway: String,
    /// The configured minimum number of servers.
    pub min_servers: u32,
    /// Whether traffic stays in its zone up to the zone's capacity.
    pub prefers_own_zone: bool,
    /// The gateways of the assignment; empty before the first one.
    pub gateways: Vec<GatewayView>,
    /// The servers of the assignment; empty before the first one.
    pub servers: Vec<ServerView>,
    /// The servers that the gateway uses now, each with its share of the gateway's traffic.
    pub uses: Vec<(String, f64)>,
    /// Servers that the gateway avoids now because of its own observations.
    pub avoids: Vec<String>,
}
