//! The view of outlier detection that operators are shown, by one gateway. Data only; its encoding is the order of fields and
//! variants.

use serde::{Deserialize, Serialize};

use crate::HealthLevel;

/// Whether a server is used, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatus {
    /// In use.
    Healthy,
    /// In use, and an outlier for this gateway alone.
    OutlierHere,
    /// Ejected by the reports of this gateway's zone.
    EjectedForZone,
    /// Ejected by the reports of all zones.
    EjectedForAll,
    /// An outlier in use, as no more capacity may be ejected.
    Spared,
    /// Ejected and recovered; in use again soon.
    Returning,
}

impl ServerStatus {
    /// The words that operators are shown.
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
    /// Its name in the endpoint list.
    pub server: String,
    /// Whether it is used, and why.
    pub status: ServerStatus,
    /// What this gateway observes there.
    pub observed: Option<HealthLevel>,
    /// The weight of the reports against it.
    pub against: f64,
    /// The weight of the reports in favor of it.
    pub in_favor: f64,
    /// Number of gateways that report it as an outlier.
    pub reporters: u32,
    /// Milliseconds since its ejection.
    pub ejected_ms: Option<u64>,
    /// The gateway that may first try it in this interval.
    pub next_trial: Option<String>,
}

/// All servers, as one gateway sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutlierView {
    /// The gateway's name.
    pub gateway: String,
    /// The share of the capacity that is ejected.
    pub ejected_share: f64,
    /// The share of the capacity that may be ejected.
    pub max_ejected_share: f64,
    /// The servers of the endpoint list, in its order.
    pub servers: Vec<ServerView>,
}
