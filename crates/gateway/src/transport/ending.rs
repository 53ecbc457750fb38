//! Why a connection ends, or can't be established.

use std::fmt;
use std::io;

use super::syscall::ConnectFailure;

/// Why a connection ended, could not be established, or was not used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No file descriptor was free.
    NoDescriptor,
    /// No memory was free for the bytes that the peer sent.
    OutOfMemory,
    /// The peer refused the connection, or connecting failed in another way.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The peer closed the connection.
    Closed,
    /// Reading or writing failed.
    IoError,
    /// The peer sent a malformed message.
    Malformed,
    /// The peer neither sent nor read anything before the deadline.
    TimedOut,
    /// The peer stopped in the middle of its reply.
    Stalled,
    /// The request on the connection was cancelled.
    Cancelled,
    /// An operator cordoned the server.
    Cordoned,
    /// The server is draining, was removed from the endpoint list, or has another address.
    EndpointChanged,
    /// The client disconnected, or its deadline passed, before anything was sent.
    NotNeeded,
    /// The endpoint list has expired.
    StaleEndpoints,
    /// The servers may have forgotten the request's idempotency key before the request was sent in full.
    KeyExpired,
    /// The connection was idle for too long, or its slot was needed.
    Idle,
    /// This gateway is shutting down.
    ShuttingDown,
}

/// Prints the name, as log records write the ends of attempts in this form.
impl fmt::Debug for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl ConnectionEnd {
    /// The name in log records and error texts. It must not change, even if the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::NoDescriptor => "NoSocket",
            ConnectionEnd::OutOfMemory => "NoMemory",
            ConnectionEnd::Refused => "Refused",
            ConnectionEnd::ConnectTimeout => "NeverUp",
            ConnectionEnd::Closed => "Closed",
            ConnectionEnd::IoError => "Broken",
            ConnectionEnd::Malformed => "Garbled",
            ConnectionEnd::TimedOut => "Silent",
            ConnectionEnd::Stalled => "Stalled",
            ConnectionEnd::Cancelled => "GivenUp",
            ConnectionEnd::Cordoned => "Cordoned",
            ConnectionEnd::EndpointChanged => "Left",
            ConnectionEnd::NotNeeded => "Unwanted",
            ConnectionEnd::StaleEndpoints => "OldList",
            ConnectionEnd::KeyExpired => "KeyExpired",
            ConnectionEnd::Idle => "Idle",
            ConnectionEnd::ShuttingDown => "Stopping",
        }
    }

    /// The end that an error of connect(2) stands for.
    pub fn from_connect_error(error: &io::Error) -> Self {
        match ConnectFailure::classify(error) {
            ConnectFailure::Temporary | ConnectFailure::NoDescriptor => ConnectionEnd::NoDescriptor,
            ConnectFailure::Unreachable => ConnectionEnd::Refused,
        }
    }
}
