//! The listening sockets of a gateway: bound by this process or inherited from its parent process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use async_io::Async;
use rustix::event::{self, PollFd, PollFlags, Timespec};

use super::config::Config;
use super::start_error::StartError;

/// Maximum number of connections that wait to be accepted. Danger: when the queue is full, the operating system drops the
/// SYN of a client, which the client retransmits only after a second.
const ACCEPT_BACKLOG: i32 = 1_024;

/// The listeners of a gateway, for clients and for operators.
pub(super) struct Listeners {
    pub clients: Async<TcpListener>,
    pub operators: Option<Async<TcpListener>>,
}

impl Listeners {
    /// Binds the listeners. An inherited socket, if any, is used for clients instead of binding one.
    pub(super) fn bind(config: &Config) -> Result<Self, StartError> {
        let clients = match config.inherited_socket {
            Some(descriptor) => inherited_listener(descriptor)?,
            None => listen(config.listen)?,
        };
        let operators = config.operator.map(listen).transpose()?;
        Ok(Listeners { clients, operators })
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    let listener =
        Async::<TcpListener>::bind(address).map_err(|error| StartError::Listen { address, error })?;
    rustix::net::listen(&listener, ACCEPT_BACKLOG)
        .map_err(|error| StartError::Listen { address, error: error.into() })?;
    Ok(listener)
}

/// The listening socket that this process inherited.
fn inherited_listener(descriptor: RawFd) -> Result<Async<TcpListener>, StartError> {
    let failed = |reason| StartError::InheritedSocket { descriptor, reason };
    // SAFETY: the descriptor is borrowed for one query, which fails if the descriptor is not open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let is_listening =
        rustix::net::sockopt::socket_acceptconn(borrowed).map_err(|error| failed(error.into()))?;
    if !is_listening {
        return Err(failed(io::Error::other("it is not in the listening state")));
    }
    // SAFETY: the descriptor is open and listening. This process has opened no listener yet, so no other code owns the
    // descriptor, and this function runs once.
    let socket = unsafe { OwnedFd::from_raw_fd(descriptor) };
    Async::new(TcpListener::from(socket)).map_err(failed)
}

/// Whether a connection is waiting to be accepted.
pub(super) fn has_pending_connection(listener: &Async<TcpListener>) -> bool {
    let mut poll_fds = [PollFd::new(listener, PollFlags::IN)];
    event::poll(&mut poll_fds, Some(&Timespec::default())).is_ok() && !poll_fds[0].revents().is_empty()
}
