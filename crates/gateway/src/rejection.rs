//! Reasons for which a request is rejected before the decision engine gets it, and their log records.

use slog::{debug, Logger};

use crate::operator::unserved::UnservedRequests;

/// Why a request is rejected before the engine gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyRejection {
    /// All connection slots were taken when the client connected. The connection has one of the slots that are reserved for
    /// rejecting clients.
    NoConnectionSlot,
    /// The number of requests in flight, or the number of their bytes, has reached the limit set by the memory.
    NoRequestSlot,
    /// The memory for data received from clients is used up.
    NoMemory,
    /// The gateway is shutting down, and the period in which it still accepts new requests is over.
    ShuttingDown,
    /// Another request with this id has not been answered yet.
    IdInUse,
}

impl EarlyRejection {
    /// The name in log records.
    pub fn name(self) -> &'static str {
        match self {
            EarlyRejection::NoConnectionSlot => "no-connection-place",
            EarlyRejection::NoRequestSlot => "no-request-place",
            EarlyRejection::NoMemory => "no-memory",
            EarlyRejection::ShuttingDown => "ending",
            EarlyRejection::IdInUse => "id-in-use",
        }
    }

    /// Counts the rejection and logs it. `id` is none if the request could not be read.
    pub fn record(self, log: &Logger, unserved: &UnservedRequests, id: Option<&str>) {
        unserved.count(self.name());
        debug!(log, #"request.refused", "request rejected before the decision engine";
            "id" => id.unwrap_or(""), "why" => self.name());
    }
}
