//! Every way in which a connection can end, or fail to begin.

use std::fmt;
use std::io;

use super::syscall::ConnectFailure;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No descriptor was left for it.
    NoSocket,
    /// No memory was left for what the other side wrote.
    NoMemory,
    /// Nobody listens there, or the dial failed in another way.
    Refused,
    /// It was not up in time.
    NeverUp,
    /// The other side closed it.
    Closed,
    /// It broke.
    Broken,
    /// The other side wrote what can't be understood.
    Garbled,
    /// The other side said nothing, or read nothing, for as long as was waited for it.
    Silent,
    /// The other side had answered before, and fell silent.
    Stalled,
    /// What was asked on it is not wanted any more.
    GivenUp,
    /// The operators have taken the server out of use.
    Cordoned,
    /// The server leaves, or is elsewhere by now.
    Left,
    /// The client has gone, and nothing was sent for it yet.
    Unwanted,
    /// What is known of the servers is too old to go by.
    OldList,
    /// It was not used for long, or its place is needed.
    Idle,
    /// This gateway ends.
    Stopping,
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
            ConnectionEnd::NoSocket => "NoSocket",
            ConnectionEnd::NoMemory => "NoMemory",
            ConnectionEnd::Refused => "Refused",
            ConnectionEnd::NeverUp => "NeverUp",
            ConnectionEnd::Closed => "Closed",
            ConnectionEnd::Broken => "Broken",
            ConnectionEnd::Garbled => "Garbled",
            ConnectionEnd::Silent => "Silent",
            ConnectionEnd::Stalled => "Stalled",
            ConnectionEnd::GivenUp => "GivenUp",
            ConnectionEnd::Cordoned => "Cordoned",
            ConnectionEnd::Left => "Left",
            ConnectionEnd::Unwanted => "Unwanted",
            ConnectionEnd::OldList => "OldList",
            ConnectionEnd::Idle => "Idle",
            ConnectionEnd::Stopping => "Stopping",
        }
    }

    /// How a dial that failed ends.
    pub fn of_dial(error: &io::Error) -> Self {
        match ConnectFailure::classify(error) {
            ConnectFailure::TryAgain | ConnectFailure::NoDescriptor => ConnectionEnd::NoSocket,
            ConnectFailure::Unreachable => ConnectionEnd::Refused,
        }
    }
}
