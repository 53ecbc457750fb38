//! Why a request is refused before the decision module hears of it: for the records of operators.

use slog::{debug, Logger};

/// The reason of a refusal at the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyRejection {
    /// The connection came when all places for connections were taken: there was only room to turn it away.
    NoConnectionSlot,
    /// As many requests, or as many bytes of requests, are held as the memory allows.
    NoRequestSlot,
    /// The memory for what clients send is used up.
    NoMemory,
    /// The gateway ends, and has read new requests long enough.
    ShuttingDown,
    /// Another request that goes by this id has no answer yet.
    IdInUse,
}

impl EarlyRejection {
    /// The name by which records tell it.
    pub fn name(self) -> &'static str {
        match self {
            EarlyRejection::NoConnectionSlot => "no-connection-place",
            EarlyRejection::NoRequestSlot => "no-request-place",
            EarlyRejection::NoMemory => "no-memory",
            EarlyRejection::ShuttingDown => "ending",
            EarlyRejection::IdInUse => "id-in-use",
        }
    }

    /// Writes the record of it; without an id where the request could not be read.
    pub fn record(self, log: &Logger, id: Option<&str>) {
        debug!(log, #"request.refused", "not taken"; "id" => id.unwrap_or(""), "why" => self.name());
    }
}
