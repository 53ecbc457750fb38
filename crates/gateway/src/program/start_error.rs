//! Errors that prevent a gateway from starting after its configuration has been read.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

use thiserror::Error;

use super::config::INHERITED_SOCKET_VARIABLE;

/// Why a gateway could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handlers can't be installed.
    #[error("can't install the signal handlers: {0}")]
    Signals(io::Error),
    /// The gateway can't listen on an address.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        error: io::Error,
    },
    /// The inherited descriptor is not a listening socket.
    #[error(
        "{INHERITED_SOCKET_VARIABLE} names descriptor {descriptor}, which is not a listening socket: {reason}"
    )]
    InheritedSocket {
        /// The number of the descriptor.
        descriptor: RawFd,
        /// Why the descriptor can't be used.
        reason: io::Error,
    },
    /// The gateway can't listen on the membership address.
    #[error("can't listen for other gateways on {address}: {error}")]
    Membership {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        error: io::Error,
    },
}
