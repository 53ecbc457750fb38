//! What can keep a gateway from starting once its configuration is read.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

use thiserror::Error;

use super::config::INHERITED_SOCKET_VARIABLE;

/// Why a gateway has not started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The handlers of signals can't be installed.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        error: io::Error,
    },
    /// The inherited descriptor is not a listening socket.
    #[error(
        "{INHERITED_SOCKET_VARIABLE} names descriptor {descriptor}, which is no listening socket: {reason}"
    )]
    InheritedSocket {
        /// Its number.
        descriptor: RawFd,
        /// What was found instead.
        reason: io::Error,
    },
    /// The address of membership can't be listened on.
    #[error("can't speak with gateways on {address}: {error}")]
    Membership {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        error: io::Error,
    },
}
