//! What operators are told of servers, as the fleet sees them and as one gateway does.

use serde::{Deserialize, Serialize};

use crate::Level;

/// Why a server is where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// In use.
    Fine,
    /// Bad here, though others do not say so.
    BadHere,
    BadForZone,
    BadForAll,
    /// It is as bad as those out of use, but no more may be out at once.
    Spared,
    /// Well again, and used again after a drawn while.
    Returns,
}

impl Standing {
    pub fn told(self) -> &'static str {
        match self {
            Standing::Fine => "fine",
            Standing::BadHere => "bad for this gateway alone",
            Standing::BadForZone => "out of use: bad for this zone",
            Standing::BadForAll => "out of use: bad for all",
            Standing::Spared => "bad, and used: no more may be out at once",
            Standing::Returns => "well again, back soon",
        }
    }
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub server: String,
    pub standing: Standing,
    /// What this gateway has met there of late.
    pub here: Option<Level>,
    /// What speaks against it and for it, by all that is believed, and how many gateways speak against it.
    pub against: f64,
    pub for_it: f64,
    pub by: u32,
    /// For how long it has been out of use.
    pub out_ms: Option<u64>,
    /// Who comes first to try it in this turn.
    pub next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub gateway: String,
    /// Of the capacity, the share that is out of use by choice, and the most that may be.
    pub out: f64,
    pub most_out: f64,
    pub servers: Vec<Seen>,
}
