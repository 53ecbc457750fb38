//! What operators are told of a gateway's subset, over the mesh.

use serde::{Deserialize, Serialize};

/// A gateway that takes part, as one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayView {
    pub name: String,
    /// Trips a second beside the others'.
    pub load: f64,
    pub zone: u32,
}

/// A server, as one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    pub name: String,
    pub weight: f64,
    pub zone: u32,
}

/// How a gateway's subset stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubsetView {
    pub gateway: String,
    pub min_servers: u32,
    pub prefers_own_zone: bool,
    /// What the deal is made of; empty where nothing has settled yet.
    pub gateways: Vec<GatewayView>,
    pub servers: Vec<ServerView>,
    /// What the gateway uses now, with the share of its traffic.
    pub uses: Vec<(String, f64)>,
    /// Servers that it avoids now, for what it has met there.
    pub avoids: Vec<String>,
}
