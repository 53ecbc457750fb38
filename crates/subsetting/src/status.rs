//! The view of a gateway's subset that operators are shown. Data only; its encoding is the order of fields.

use serde::{Deserialize, Serialize};

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayView {
    /// Its configured name.
    pub name: String,
    /// Its attempts per second, as reported.
    pub load: f64,
    /// The number of its zone.
    pub zone: u32,
}

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its capacity relative to the other servers'.
    pub weight: f64,
    /// The number of its zone.
    pub zone: u32,
}

/// A gateway's subset, and what it follows from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetView {
    /// The gateway's name.
    pub gateway: String,
    /// The setting for the least number of servers.
    pub min_servers: u32,
    /// The setting for the own zone.
    pub prefers_own_zone: bool,
    /// The gateways of the assignment; empty before the first one.
    pub gateways: Vec<GatewayView>,
    /// The servers of the assignment; empty before the first one.
    pub servers: Vec<ServerView>,
    /// The servers that the gateway uses now, with the share of its traffic of each.
    pub uses: Vec<(String, f64)>,
    /// Servers that it avoids now because of what it observed there.
    pub avoids: Vec<String>,
}
