//! What operators are told of servers, as the fleet sees them and as one gateway does.

use serde::{Deserialize, Serialize};

use crate::HealthLevel;

/// Why a server is where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatus {
    /// In use.
    Healthy,
    /// Bad here, though others do not say so.
    OutlierHere,
    EjectedForZone,
    EjectedForAll,
    /// It is as bad as those out of use, but no more may be out at once.
    Spared,
    /// Well again, and used again after a drawn while.
    Returning,
}

impl ServerStatus {
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

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerView {
    pub server: String,
    pub status: ServerStatus,
    /// What this gateway has met there of late.
    pub observed: Option<HealthLevel>,
    /// What speaks against it and for it, by all that is believed, and how many gateways speak against it.
    pub against: f64,
    pub in_favor: f64,
    pub reporters: u32,
    /// For how long it has been out of use.
    pub ejected_ms: Option<u64>,
    /// Who comes first to try it in this turn.
    pub next_trial: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutlierView {
    pub gateway: String,
    /// Of the capacity, the share that is out of use by choice, and the most that may be.
    pub ejected_share: f64,
    pub max_ejected_share: f64,
    pub servers: Vec<ServerView>,
}
