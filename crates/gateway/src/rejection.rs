//! Why a request is rejected before the decision engine gets it, for the records that operators read.

use slog::{debug, Logger};

use crate::operator::unserved::UnservedRequests;

/// The reason of a rejection before the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyRejection {
    /// The connection came when all slots were taken, and has only one of those for rejected clients.
    NoConnectionSlot,
    /// As many requests, or as many bytes of requests, are in flight as the memory allows.
    NoRequestSlot,
    /// The memory for what clients send is used up.
    NoMemory,
    /// The gateway shuts down, and has accepted new requests for long enough.
    ShuttingDown,
    /// Another request with this id is not answered yet.
    IdInUse,
}

impl EarlyRejection {
    /// The name in records.
    pub fn name(self) -> &'static str {
        match self {
            EarlyRejection::NoConnectionSlot => "no-connection-place",
            EarlyRejection::NoRequestSlot => "no-request-place",
            EarlyRejection::NoMemory => "no-memory",
            EarlyRejection::ShuttingDown => "ending",
            EarlyRejection::IdInUse => "id-in-use",
        }
    }

    /// Counts a rejection and writes its record; without an id where the request could not be read.
    pub fn record(self, log: &Logger, unserved: &UnservedRequests, id: Option<&str>) {
        unserved.count(self.name());
        debug!(log, #"request.refused", "not taken"; "id" => id.unwrap_or(""), "why" => self.name());
    }
}
