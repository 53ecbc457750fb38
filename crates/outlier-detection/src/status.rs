//! The status of outlier detection at one gateway, as operators' tools show it. This module contains only data. The order of
//! fields and variants is the encoding.

use serde::{Deserialize, Serialize};

use crate::HealthLevel;

/// Whether a server receives attempts, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatus {
    /// The server is in use.
    Healthy,
    /// The server is in use. It is an outlier for this gateway only.
    OutlierHere,
    /// The server is ejected because of the reports of this gateway's zone.
    EjectedForZone,
    /// The server is ejected because of the reports of several zones.
    EjectedForAll,
    /// The server is an outlier but in use, since no more capacity may be ejected.
    Spared,
    /// The server is ejected and has recovered. It will be in use again soon.
    Returning,
}

impl ServerStatus {
    /// The description that operators' tools show.
    pub fn description(self) -> &'static str {
        match self {
            ServerStatus::Healthy => "fine",
            ServerStatus::OutlierHere => "bad for this gateway alone",
            ServerStatus::EjectedForZone => "out of use: bad for this zone",
            ServerStatus::EjectedForAll => "out of use: bad for all",
            ServerStatus::Spared => "bad, and used: no more may be out at once",
            ServerStatus::Returning => "well again, back soon",
        }
    }
}

/// The status of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    /// The server's name in the endpoint list.
    pub server: String,
    /// Whether the server receives attempts, and why.
    pub status: ServerStatus,
    /// The health that this gateway observes.
    pub observed: Option<HealthLevel>,
    /// The weight of the reports against the server.
    pub against: f64,
    /// The weight of the reports in favor of the server.
    pub in_favor: f64,
    /// Number of gateways that report the server as an outlier.
    pub reporters: u32,
    /// Milliseconds since the server was ejected.
    pub ejected_ms: Option<u64>,
    /// The gateway that may try the server first in this interval.
    pub next_trial: Option<String>,
}

/// The status of all servers according to one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutlierView {
    /// The gateway's name.
    pub gateway: String,
    /// The share of the capacity that is ejected.
    pub ejected_share: f64,
    /// The share of the capacity that may be ejected.
    pub max_ejected_share: f64,
    /// The servers, in the order of the endpoint list.
    pub servers: Vec<ServerView>,
}
