//! Every way in which a connection can end, or fail to begin.

use std::fmt;
use std::io;

use super::syscall::ConnectFailure;

/// Why a connection ended, or was not used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No descriptor was left for it.
    NoDescriptor,
    /// No memory was left for what the other side wrote.
    OutOfMemory,
    /// Nobody listens there, or the dial failed in another way.
    Refused,
    /// It was not established in time.
    ConnectTimeout,
    /// The other side closed it.
    Closed,
    /// Reading or writing failed.
    IoError,
    /// The other side sent a malformed message.
    Malformed,
    /// The other side neither sent nor read anything before the deadline.
    TimedOut,
    /// The other side stopped in the middle of its reply.
    Stalled,
    /// The request on it was cancelled.
    Cancelled,
    /// The server was cordoned by operators.
    Cordoned,
    /// The server drains, was removed, or has another address.
    EndpointChanged,
    /// Nothing had been sent when the client disconnected or its deadline passed.
    NotNeeded,
    /// The endpoint list has expired.
    StaleEndpoints,
    /// It was idle for too long, or its slot was needed.
    Idle,
    /// This gateway shuts down.
    ShuttingDown,
}

/// As in log records, which print ends of attempts in this form.
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
    /// The name in log records and error texts. These stay as they are, whatever the variants are called.
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
            ConnectionEnd::Idle => "Idle",
            ConnectionEnd::ShuttingDown => "Stopping",
        }
    }

    /// How a dial that failed ends.
    pub fn from_connect_error(error: &io::Error) -> Self {
        match ConnectFailure::classify(error) {
            ConnectFailure::TryAgain | ConnectFailure::NoDescriptor => ConnectionEnd::NoDescriptor,
            ConnectFailure::Unreachable => ConnectionEnd::Refused,
        }
    }
}
